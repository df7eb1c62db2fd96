//! The inputs, actions and counters of the interference policy.

use std::time::Duration;

use crate::{
    data,
    ids::{CustomerName, ServiceName, TaskAttempt, TaskKind, WorkerName},
    policy::Objective,
    resources::Resources,
};

data! {
    /// An attempt that shares a worker with others.
    pub struct Neighbour {
        /// The attempt.
        pub attempt: TaskAttempt,
        /// The customer that owns it.
        pub customer: CustomerName,
        /// The resources reserved for it.
        pub size: Resources,
        /// The objective of its customer's plan.
        pub objective: Objective,
        /// Its role.
        pub role: Role,
    }

    /// The role of an attempt.
    pub enum Role {
        /// A replica of a service.
        Service {
            /// The service.
            service: ServiceName,
            /// The latency objective, within which a request counts as good.
            latency: Duration,
        },
        /// A batch task.
        Batch {
            /// Its kind.
            kind: TaskKind,
            /// How often the task may still be evicted.
            evictions: u32,
        },
    }

    /// An action requested by the policy.
    pub enum Action {
        /// Limit an attempt to a fraction of its CPU reservation; 1,000 removes the throttle.
        Throttle {
            /// The worker.
            worker: WorkerName,
            /// The attempt.
            attempt: TaskAttempt,
            /// The fraction, in thousandths.
            permille: u32,
        },
        /// Stop an attempt after a checkpoint, and place its task on another worker.
        Move {
            /// The worker.
            worker: WorkerName,
            /// The attempt.
            attempt: TaskAttempt,
        },
    }

    /// Counts of processed latency samples.
    #[derive(Copy, Default)]
    pub struct Counters {
        /// Samples used for the estimates.
        pub counted: u64,
        /// Samples dropped because the replica, or an attempt beside it, wasn't known to be on the
        /// worker.
        pub unknown: u64,
        /// Samples dropped because they were too old.
        pub old: u64,
        /// Samples dropped because they had already been counted.
        pub duplicate: u64,
        /// Samples dropped because the worker's buffer was full.
        pub overflow: u64,
    }

    /// The number of entries that the policy holds in memory.
    #[derive(Copy, Default)]
    pub struct Footprint {
        /// Workers.
        pub workers: usize,
        /// Placements, including those that ended recently.
        pub placements: usize,
        /// Services with a number.
        pub services: usize,
        /// Kinds of batch tasks with a number.
        pub kinds: usize,
        /// Pairs of service and kind with memory for an estimate.
        pub pairs: usize,
    }
}
