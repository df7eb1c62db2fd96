//! Router configuration.

use std::time::Duration;

use crate::{
    data,
    ids::{DataCentre, InstanceId},
};

data! {
    /// The configuration of a router.
    pub struct Config {
        /// The identity of this instance.
        pub me: InstanceId,
        /// The data centre of this instance.
        pub centre: DataCentre,
        /// The maximum number of requests waiting for a claim, a slot or a retry.
        pub max_waiting: usize,
        /// The maximum number of requests whose claim or record hasn't been committed.
        pub max_unsettled: usize,
        /// How long the set of live instances and targets must be unchanged before this instance's
        /// share of a target's slots may grow. Every instance must learn of a change within this
        /// time.
        pub settle_time: Duration,
        /// How long a drain waits for outstanding records after the last request was answered.
        pub drain_timeout: Duration,
        /// The minimum time without progress after which an attempt counts as stalled. It is
        /// longer for services with a high latency.
        pub stall_timeout: Duration,
        /// How long an abandoned attempt keeps its slot unless it ends earlier.
        pub linger: Duration,
        /// A request with a longer timeout than this is long-lived, such as a watch. It isn't
        /// hedged, its latency isn't recorded, and one customer's long-lived requests use at most
        /// as many slots of a service as remain free.
        pub long_lived: Duration,
        /// How long the router waits for the result of a claim after the request was answered.
        pub claim_timeout: Duration,
        /// How long a new target receives less than its share of the requests.
        pub warm_up: Duration,
        /// The number of consecutive failures after which a target is ejected.
        pub max_failures: u32,
        /// The duration of a target's first ejection; it doubles with each further one.
        pub ejection: Duration,
        /// The maximum duration of an ejection.
        pub max_ejection: Duration,
        /// The maximum fraction of a service's targets ejected at a time, in thousandths.
        pub ejected_permille: u32,
        /// The maximum backoff before the first retry; it doubles with each further one.
        pub backoff: Duration,
        /// The maximum backoff before any retry.
        pub max_backoff: Duration,
        /// The window over which retry budgets are computed.
        pub budget_window: Duration,
        /// The number of responses from a service required before its requests are hedged.
        pub hedge_after: u64,
        /// The maximum size, in bytes, of a response body that is stored with the record of a
        /// claimed request.
        pub max_body: usize,
    }
}

impl Config {
    /// The default configuration.
    pub fn new(me: InstanceId, centre: DataCentre) -> Self {
        Self {
            me,
            centre,
            max_waiting: 4_096,
            max_unsettled: 65_536,
            settle_time: Duration::from_secs(3),
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
