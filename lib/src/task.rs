//! Tasks, their states and their outcomes.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    data,
    ids::{
        Attempt, CustomerName, DataCentre, IdempotencyKey, ServiceName, TaskAttempt, TaskId,
        TaskKind, WorkerName,
    },
    resources::Resources,
    symbols,
};

symbols! {
    /// Why a running task was evicted.
    pub enum EvictionReason {
        /// It interfered with a service on the same worker.
        Interference = "interference",
        /// Work of a higher tier needed the resources.
        Preemption = "preemption",
        /// The worker is shutting down.
        Leaving = "leaving",
        /// The worker was quarantined because the attempts on it keep failing.
        Quarantine = "quarantine",
        /// The worker's lease expired.
        LeaseExpired = "lease_expired",
    }
}

data! {
    /// The specification of a task.
    pub struct TaskSpec {
        /// The kind of task.
        pub kind: TaskKind,
        /// The requested resources.
        pub size: Resources,
        /// The run time that the customer declared.
        pub run_time: Duration,
        /// Whether the task must start within a second.
        pub urgent: bool,
        /// Whether the task may be run again from the start once it may have run.
        pub idempotent: bool,
        /// The data centre that the task must run in, if any.
        pub centre: Option<DataCentre>,
        /// The service of which the task is a replica, if any; a replica never ends by itself.
        pub service: Option<ServiceName>,
        /// What the worker runs; opaque to the scheduler.
        pub payload: Bytes,
    }

    /// A task submitted by a customer.
    pub struct Submission {
        /// The customer, authenticated by its credential.
        pub customer: CustomerName,
        /// The idempotency key: a resend has the same key.
        pub key: IdempotencyKey,
        /// The specification of the task.
        pub spec: TaskSpec,
    }

    /// A complete checkpoint, which the platform stores.
    pub struct Checkpoint {
        /// The attempt that wrote it.
        pub attempt: Attempt,
        /// The progress of the task, in thousandths.
        pub permille: u32,
        /// The name under which the platform stores the checkpoint.
        pub handle: String,
    }

    /// How a task ended.
    pub enum TaskOutcome {
        /// It ran to completion.
        Completed {
            /// The output of the task, truncated to a limit.
            output: Bytes,
        },
        /// It failed, and no further attempt is allowed.
        Failed {
            /// The failure of the last attempt.
            reason: String,
        },
        /// It was cancelled; it may have run partially.
        Cancelled,
        /// It can never run.
        Impossible {
            /// Why it can't run, and the closest request that could.
            reason: String,
        },
        /// It may have run, and isn't idempotent, so it is not run again.
        Unknown {
            /// Why the outcome is unknown.
            reason: String,
        },
    }

    /// The state of a task in the ledger.
    pub enum TaskState {
        /// It waits to be placed.
        Queued,
        /// An attempt was recorded and may be running.
        Running {
            /// The number of the attempt.
            attempt: Attempt,
            /// The worker that runs the attempt.
            worker: WorkerName,
            /// The data centre of the worker.
            centre: DataCentre,
        },
        /// It ended.
        Ended(TaskOutcome),
    }

    /// A task that hasn't ended, in the form that the scheduler takes.
    pub struct OpenTask {
        /// The task's number.
        pub task: TaskId,
        /// The customer that submitted it, or that owns the service.
        pub customer: CustomerName,
        /// The specification of the task.
        pub spec: TaskSpec,
        /// The current state.
        pub state: TaskState,
        /// The number of the next attempt.
        pub next: Attempt,
        /// The newest complete checkpoint.
        pub checkpoint: Option<Checkpoint>,
        /// The number of evictions so far.
        pub evictions: u32,
        /// The number of failed attempts.
        pub failures: u32,
        /// Whether the customer has requested cancellation.
        pub cancelled: bool,
    }
}

impl OpenTask {
    /// The attempt that may be running.
    pub fn running(&self) -> Option<TaskAttempt> {
        match &self.state {
            TaskState::Running { attempt, .. } => {
                Some(TaskAttempt { task: self.task, attempt: *attempt })
            }
            TaskState::Queued | TaskState::Ended(_) => None,
        }
    }
}

impl TaskOutcome {
    /// The outcome's name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Completed { .. } => "completed",
            Self::Failed { .. } => "failed",
            Self::Cancelled => "cancelled",
            Self::Impossible { .. } => "impossible",
            Self::Unknown { .. } => "unknown",
        }
    }
}
