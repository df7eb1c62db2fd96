//! The limits of the ledger.

use std::time::Duration;

use crate::data;

data! {
    /// The limits of the ledger; they must be the same in all instances.
    pub struct Limits {
        /// The capacity for open tasks, in units: each task takes one, and another one for every
        /// full [`PAYLOAD_UNIT`] of its payload. The tasks of a customer never take more units than
        /// remain free.
        pub open_max: u64,
        /// How long ended tasks are retained, by the time in the log.
        pub ended_kept: Duration,
        /// The maximum number of retained ended tasks; the oldest are removed first.
        pub ended_max: usize,
        /// The maximum size of all retained outcomes, in bytes; the oldest tasks are removed first.
        pub ended_bytes: usize,
        /// How long the key of a submission is retained after the end of its task.
        pub keys_kept: Duration,
        /// The maximum number of retained keys whose task was removed; the oldest are removed
        /// first.
        pub keys_max: usize,
        /// How long claims are retained.
        pub claims_kept: Duration,
        /// The maximum number of retained claims; the oldest are removed first.
        pub claims_max: usize,
        /// The maximum size of a response body that is retained with a claim, in bytes.
        pub body_max: usize,
        /// The maximum size of all retained bodies, in bytes; the oldest are removed first.
        pub bodies_max: usize,
        /// The number of failed attempts after which a task has failed.
        pub failures_max: u32,
        /// The maximum number of retained replies to edits of the lists.
        pub edits_max: usize,
        /// The maximum number of instances whose last batch of counts is retained; the least recent
        /// are removed first.
        pub counters_max: usize,
    }
}

/// The size of a payload that takes one more unit of [`Limits::open_max`], in bytes.
pub const PAYLOAD_UNIT: usize = 256;

const DAY: Duration = Duration::from_secs(24 * 60 * 60);

impl Default for Limits {
    fn default() -> Self {
        Self {
            open_max: 260_000,
            ended_kept: DAY,
            ended_max: 100_000,
            ended_bytes: 16 << 20,
            keys_kept: DAY,
            keys_max: 250_000,
            claims_kept: DAY,
            claims_max: 100_000,
            body_max: 4 << 10,
            bodies_max: 16 << 20,
            failures_max: 3,
            edits_max: 64,
            counters_max: 10_000,
        }
    }
}
