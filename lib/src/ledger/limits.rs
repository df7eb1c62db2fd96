//! The bounds of the ledger.

use std::time::Duration;

use crate::data;

data! {
    /// The bounds of the ledger; every instance must have the same.
    pub struct Limits {
        /// How much room there is for open tasks: each takes one unit, and one for every whole
        /// [`PAYLOAD_UNIT`] of its payload. A customer's tasks take at most as much as is free.
        pub open_max: u64,
        /// How long ended tasks are kept, by the time of the log.
        pub ended_kept: Duration,
        /// How many ended tasks are kept; the oldest go first.
        pub ended_max: usize,
        /// How many bytes of outcomes are kept; the oldest tasks go first.
        pub ended_bytes: usize,
        /// How long a submission's key is known after its task's end.
        pub keys_kept: Duration,
        /// How many keys of tasks that are kept no more are known; the oldest go first.
        pub keys_max: usize,
        /// How long a claim is kept.
        pub claims_kept: Duration,
        /// How many claims are kept; the oldest go first.
        pub claims_max: usize,
        /// The largest body that is kept with a claim, in bytes.
        pub body_max: usize,
        /// How many bytes of bodies are kept; the oldest go first.
        pub bodies_max: usize,
        /// How many tries of a task may fail.
        pub failures_max: u32,
        /// How many answers to edits of the lists are known.
        pub edits_max: usize,
        /// How many numberers of batches of counts are known; the least recent go first.
        pub counters_max: usize,
    }
}

/// The payload that takes a unit of the room for open tasks, in bytes.
pub const PAYLOAD_UNIT: usize = 256;

/// A day.
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
