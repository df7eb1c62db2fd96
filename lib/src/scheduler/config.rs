//! Settings of a data centre's scheduler.

use std::time::Duration;

use crate::{data, ids::DataCentre};

data! {
    /// Timeouts, intervals and limits of a scheduler.
    pub struct Config {
        /// The data centre whose workers are scheduled.
        pub centre: DataCentre,
        /// How long a worker may run its batch attempts after the announcement that was answered.
        pub lease: Duration,
        /// The interval between a worker's announcements.
        pub announce_interval: Duration,
        /// The margin added to a lease for a worker whose clock is slow.
        pub drift: Duration,
        /// How long a holder renews leases without a confirmation by the consensus group.
        pub renewal_cutoff: Duration,
        /// How long after a confirmation new records are proposed.
        pub record_cutoff: Duration,
        /// How long after it acquired leadership the scheduler ignores reports of attempts that it
        /// doesn't know.
        pub settle_time: Duration,
        /// How long after it acquired leadership the scheduler waits for workers to announce
        /// themselves before it ends tasks that fit none of them.
        pub discovery: Duration,
        /// How long to wait for an answer before a record is proposed again.
        pub record_retry: Duration,
        /// How long a stopped attempt may take to write its checkpoint.
        pub stop_grace: Duration,
        /// The same when an urgent task waits for the resources.
        pub urgent_grace: Duration,
        /// How long a task waits before a worker is reserved for it.
        pub reserve_after: Duration,
        /// The delay before a failed task is retried; doubles with each failure.
        pub retry_delay: Duration,
        /// The length of a worker's first quarantine; doubles each time.
        pub quarantine: Duration,
        /// How many failed attempts end a task as failed.
        pub max_failures: u32,
        /// The largest number of tasks that it tries to place for one event.
        pub max_placements: usize,
    }
}

impl Config {
    /// Returns the default settings for a data centre.
    pub fn new(centre: DataCentre) -> Self {
        Self {
            centre,
            lease: Duration::from_secs(6),
            announce_interval: Duration::from_secs(2),
            drift: Duration::from_secs(1),
            renewal_cutoff: Duration::from_secs(600),
            record_cutoff: Duration::from_secs(3),
            settle_time: Duration::from_secs(3),
            discovery: Duration::from_secs(10),
            record_retry: Duration::from_secs(3),
            stop_grace: Duration::from_secs(10),
            urgent_grace: Duration::from_millis(500),
            reserve_after: Duration::from_secs(20),
            retry_delay: Duration::from_secs(1),
            quarantine: Duration::from_secs(30),
            max_failures: 4,
            max_placements: 512,
        }
    }

    /// How long after the last announcement that was answered a worker's batch attempts have
    /// certainly stopped.
    pub fn lease_expiry(&self) -> Duration {
        self.lease + self.drift
    }

    /// How long without an announcement makes a worker overdue.
    pub fn overdue_after(&self) -> Duration {
        self.announce_interval * 2
    }
}
