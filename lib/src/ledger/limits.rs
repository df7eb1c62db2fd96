//! The limits of the ledger.

use std::time::Duration;

use crate::data;

data! {
    /// The limits of the ledger; they must be the same in all instances.
    pub struct Limits {
        /// The capacity for open tasks, in units: each task takes one, and another one for every
        /// full [`PAYLOAD_UNIT_BYTES`] of its payload. The tasks of a customer never take more
        /// units than remain free.
        pub max_open: u64,
        /// How long ended tasks are retained, by the time in the log.
        pub ended_retention: Duration,
        /// The maximum number of retained ended tasks; the oldest are removed first.
        pub max_ended: usize,
        /// The maximum size of all retained outcomes, in bytes; the oldest tasks are removed first.
        pub ended_bytes: usize,
        /// How long the key of a submission is retained after the end of its task.
        pub key_retention: Duration,
        /// The maximum number of retained keys whose task was removed; the oldest are removed
        /// first.
        pub max_keys: usize,
        /// How long claims are retained.
        pub claim_retention: Duration,
        /// The maximum number of retained claims; the oldest are removed first.
        pub max_claims: usize,
        /// The maximum size of a response body that is retained with a claim, in bytes.
        pub max_body: usize,
        /// The maximum size of all retained bodies, in bytes; the oldest are removed first.
        pub max_bodies: usize,
        /// The number of failed attempts after which a task has failed.
        pub max_failures: u32,
        /// The maximum number of retained replies to edits of the lists.
        pub max_edits: usize,
        /// The maximum number of instances whose last batch of counts is retained; the least recent
        /// are removed first.
        pub max_counters: usize,
    }
}

/// The size of a payload that takes one more unit of [`Limits::max_open`], in bytes.
pub const PAYLOAD_UNIT_BYTES: usize = 256;

const DAY: Duration = Duration::from_secs(24 * 60 * 60);

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_open: 260_000,
            ended_retention: DAY,
            max_ended: 100_000,
            ended_bytes: 16 << 20,
            key_retention: DAY,
            max_keys: 250_000,
            claim_retention: DAY,
            max_claims: 100_000,
            max_body: 4 << 10,
            max_bodies: 16 << 20,
            max_failures: 3,
            max_edits: 64,
            max_counters: 10_000,
        }
    }
}
