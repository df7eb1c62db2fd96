//! What the interference policy is told of tasks, and what it asks for.

use std::time::Duration;

use crate::{
    data,
    ids::{CustomerName, ServiceName, TaskAttempt, TaskKind, WorkerName},
    policy::Objective,
    resources::Resources,
};

data! {
    /// A try on a worker, as its neighbours see it.
    pub struct Neighbour {
        /// The try.
        pub attempt: TaskAttempt,
        /// Whose it is.
        pub customer: CustomerName,
        /// The room it holds.
        pub size: Resources,
        /// What its customer's plan weighs decisions by.
        pub objective: Objective,
        /// What it does.
        pub role: Role,
    }

    /// What a try does.
    pub enum Role {
        /// A service's replica.
        Service {
            /// The service.
            service: ServiceName,
            /// The latency within which a request counts as good.
            latency: Duration,
        },
        /// Batch work.
        Batch {
            /// Its kind.
            kind: TaskKind,
            /// How often the task may still be evicted.
            evictions: u32,
        },
    }

    /// What the policy asks for.
    pub enum Action {
        /// Let a try use only a part of its processors; 1,000 takes the throttle away.
        Throttle {
            /// The worker.
            worker: WorkerName,
            /// The try.
            attempt: TaskAttempt,
            /// The part, in thousandths.
            permille: u32,
        },
        /// Write a checkpoint, stop, and place elsewhere.
        Move {
            /// The worker.
            worker: WorkerName,
            /// The try.
            attempt: TaskAttempt,
        },
    }

    /// What became of the samples of services' latency.
    #[derive(Copy, Default)]
    pub struct Counters {
        /// Samples that were learned from.
        pub counted: u64,
        /// Samples dropped because the replica or a try beside it wasn't known to be there.
        pub unknown: u64,
        /// Samples dropped because they were too old.
        pub old: u64,
        /// Samples dropped because they had been counted.
        pub duplicate: u64,
        /// Samples dropped because too many waited for a decision.
        pub overflow: u64,
    }

    /// How much the policy remembers.
    #[derive(Copy, Default)]
    pub struct Footprint {
        /// Workers.
        pub workers: usize,
        /// Tries on them, with those that left a short time ago.
        pub placements: usize,
        /// Services told apart.
        pub services: usize,
        /// Kinds told apart.
        pub kinds: usize,
        /// Pairs with room for an estimate.
        pub pairs: usize,
    }
}
