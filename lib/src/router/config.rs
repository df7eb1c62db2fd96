//! What an instance's router is set up with.

use std::time::Duration;

use crate::{
    data,
    ids::{DataCentre, InstanceId},
};

data! {
    /// The settings of a router.
    pub struct Config {
        /// This instance.
        pub me: InstanceId,
        /// Its data centre.
        pub centre: DataCentre,
        /// Requests that wait for a claim, a slot or a retry, at most.
        pub max_waiting: usize,
        /// Requests whose claim or record the council hasn't confirmed, at most.
        pub max_unsettled: usize,
        /// A part of a target's slots grows only after the instances and targets that it is dealt
        /// over have stayed the same for so long. Every instance must learn of a change within
        /// this time.
        pub settle: Duration,
        /// How long after the end of the last request a drain waits for records.
        pub drain_timeout: Duration,
        /// A try without progress for so long, and for several times what its service usually
        /// takes, is given up if its target answers others.
        pub stall_timeout: Duration,
        /// How long a slot stays taken after its try was abandoned, unless the try ends earlier.
        pub linger: Duration,
        /// A request whose caller waits longer than this is a standing one, like a watcher: it
        /// isn't hedged, its latency isn't learned from, and such requests of one customer take
        /// no more slots of a service than what they leave free.
        pub long_lived: Duration,
        /// How long a claim is remembered whose answer didn't come in time.
        pub claim_timeout: Duration,
        /// How long a new target gets less than its part.
        pub warm_up: Duration,
        /// Failures in a row after which a target is ejected.
        pub max_failures: u32,
        /// How long the first ejection of a target lasts; each further one doubles.
        pub ejection: Duration,
        /// The longest ejection.
        pub max_ejection: Duration,
        /// Targets of a service that may be ejected at a time, in thousandths.
        pub ejected_permille: u32,
        /// The longest pause before the first retry; each further one doubles.
        pub backoff: Duration,
        /// The longest pause before any retry.
        pub max_backoff: Duration,
        /// The window over which a retry budget is counted.
        pub budget_window: Duration,
        /// Answers of a service that must have come before its requests are hedged.
        pub hedge_after: u64,
        /// Bodies up to this many bytes are kept with the record of a claimed request.
        pub max_body: usize,
    }
}

impl Config {
    /// The usual settings of an instance.
    pub fn new(me: InstanceId, centre: DataCentre) -> Self {
        Self {
            me,
            centre,
            max_waiting: 4_096,
            max_unsettled: 65_536,
            settle: Duration::from_secs(3),
            drain_timeout: Duration::from_secs(10),
            stall_timeout: Duration::from_secs(3),
            linger: Duration::from_secs(1),
            long_lived: Duration::from_secs(60),
            claim_timeout: Duration::from_secs(60),
            warm_up: Duration::from_secs(10),
            max_failures: 3,
            ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(60),
            ejected_permille: 500,
            backoff: Duration::from_millis(10),
            max_backoff: Duration::from_secs(1),
            budget_window: Duration::from_secs(10),
            hedge_after: 100,
            max_body: 4_096,
        }
    }
}
