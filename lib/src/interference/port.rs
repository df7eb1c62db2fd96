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
}
