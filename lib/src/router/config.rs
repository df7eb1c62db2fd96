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
        pub queue: usize,
        /// Requests whose claim or record the council hasn't confirmed, at most.
        pub unsettled: usize,
        /// A part of a target's slots grows only after the instances and targets that it is dealt
        /// over have stayed the same for so long. Every instance must learn of a change within
        /// this time.
        pub settle: Duration,
        /// How long after the end of the last request a drain waits for records.
        pub leave_after: Duration,
        /// A try without progress for so long, and for several times what its service usually
        /// takes, is given up if its target answers others.
        pub silence: Duration,
        /// How long a slot stays taken after its try was abandoned, unless the try ends earlier.
        pub linger: Duration,
        /// A request whose caller waits longer than this is a standing one, like a watcher: it
        /// isn't hedged, its latency isn't learned from, and such requests of one customer take
        /// no more slots of a service than what they leave free.
        pub standing: Duration,
        /// How long a claim is remembered whose answer didn't come in time.
        pub release_after: Duration,
        /// How long a new target gets less than its part.
        pub warm_up: Duration,
        /// Failures in a row after which a target is ejected.
        pub failures: u32,
        /// How long the first ejection of a target lasts; each further one doubles.
        pub ejection: Duration,
        /// The longest ejection.
        pub ejection_cap: Duration,
        /// Targets of a service that may be ejected at a time, in thousandths.
        pub ejected_permille: u32,
        /// The longest pause before the first retry; each further one doubles.
        pub back_off: Duration,
        /// The longest pause before any retry.
        pub back_off_cap: Duration,
        /// The window over which a retry budget is counted.
        pub budget_window: Duration,
        /// Answers of a service that must have come before its requests are hedged.
        pub hedge_after: u64,
        /// Bodies up to this many bytes are kept with the record of a claimed request.
        pub kept_body: usize,
    }
}

impl Config {
    /// The usual settings of an instance.
    pub fn new(me: InstanceId, centre: DataCentre) -> Self {
        Self {
            me,
            centre,
            queue: 4_096,
            unsettled: 65_536,
            settle: Duration::from_secs(3),
            leave_after: Duration::from_secs(10),
            silence: Duration::from_secs(3),
            linger: Duration::from_secs(1),
            standing: Duration::from_secs(60),
            release_after: Duration::from_secs(60),
            warm_up: Duration::from_secs(10),
            failures: 3,
            ejection: Duration::from_secs(1),
            ejection_cap: Duration::from_secs(60),
            ejected_permille: 500,
            back_off: Duration::from_millis(10),
            back_off_cap: Duration::from_secs(1),
            budget_window: Duration::from_secs(10),
            hedge_after: 100,
            kept_body: 4_096,
        }
    }
}
