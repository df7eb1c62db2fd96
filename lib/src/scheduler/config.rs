//! The settings of a data centre's scheduler.

use std::time::Duration;

use crate::{data, ids::DataCentre};

data! {
    /// How long things may take and how often they are tried.
    pub struct Config {
        /// The data centre whose workers get the work.
        pub centre: DataCentre,
        /// How long a worker may run its batch tries after the announcement that was answered.
        pub lease: Duration,
        /// How often a worker announces itself.
        pub announce_interval: Duration,
        /// How much longer than the lease a worker with a slow clock may take.
        pub drift: Duration,
        /// How long a holder renews leases without the council's confirmation.
        pub cutoff: Duration,
        /// How long after a confirmation new records are still asked for.
        pub confirm: Duration,
        /// How long after the hold was taken nothing unknown is judged.
        pub settle: Duration,
        /// How long after the hold was taken the workers that were heard of count as all there are.
        pub census: Duration,
        /// When a record that got no answer is asked for again.
        pub retry: Duration,
        /// How long a stopped try may take to write its checkpoint.
        pub grace: Duration,
        /// The same when urgent work waits for the room.
        pub urgent_grace: Duration,
        /// How long a task waits before a worker is kept free for it.
        pub patience: Duration,
        /// How long a failed task waits for its next try; doubles with each failure.
        pub retry_delay: Duration,
        /// How long a failing worker is set aside the first time; doubles each time.
        pub quarantine: Duration,
        /// After how many failed tries a task ends as failed.
        pub max_failures: u32,
        /// How many starts one event may cause.
        pub batch: usize,
    }
}

impl Config {
    /// The usual settings for a data centre.
    pub fn new(centre: DataCentre) -> Self {
        Self {
            centre,
            lease: Duration::from_secs(6),
            announce_interval: Duration::from_secs(2),
            drift: Duration::from_secs(1),
            cutoff: Duration::from_secs(600),
            confirm: Duration::from_secs(3),
            settle: Duration::from_secs(3),
            census: Duration::from_secs(10),
            retry: Duration::from_secs(3),
            grace: Duration::from_secs(10),
            urgent_grace: Duration::from_millis(500),
            patience: Duration::from_secs(20),
            retry_delay: Duration::from_secs(1),
            quarantine: Duration::from_secs(30),
            max_failures: 4,
            batch: 512,
        }
    }

    /// How long after its last answered announcement a worker's batch tries have surely stopped.
    pub fn lapse(&self) -> Duration {
        self.lease + self.drift
    }

    /// How long without an announcement makes a worker overdue.
    pub fn overdue(&self) -> Duration {
        self.announce_interval * 2
    }
}
