//! Tasks: what is asked for, what became of it, and why.

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
        /// It hurt a service next to it.
        Interference = "interference",
        /// Work with a firmer hold needed the room.
        Preemption = "preemption",
        /// The worker is leaving.
        Leaving = "leaving",
        /// The worker was set aside because it fails what it starts.
        Quarantine = "quarantine",
        /// The worker's lease ran out.
        LeaseExpired = "lease_expired",
    }
}

data! {
    /// What a customer asks to have run.
    pub struct TaskSpec {
        /// The kind of task.
        pub kind: TaskKind,
        /// The declared size.
        pub size: Resources,
        /// The declared run time.
        pub run_time: Duration,
        /// Whether it must start within a second.
        pub urgent: bool,
        /// Whether it may be run again from the start after it may have run.
        pub idempotent: bool,
        /// The data centre it must run in, if any.
        pub centre: Option<DataCentre>,
        /// The service whose replica it is; a replica never ends by itself.
        pub service: Option<ServiceName>,
        /// What the worker is to run, opaque to the scheduler.
        pub payload: Bytes,
    }

    /// A submission by a customer; a resend has the same key.
    pub struct Submission {
        /// The customer, known by its credential.
        pub customer: CustomerName,
        /// Tells a resend from a new task.
        pub key: IdempotencyKey,
        /// What to run.
        pub spec: TaskSpec,
    }

    /// A whole checkpoint, kept by the platform under this name.
    pub struct Checkpoint {
        /// The attempt that wrote it.
        pub attempt: Attempt,
        /// How far the task had come, in thousandths.
        pub permille: u32,
        /// The platform's name for it.
        pub handle: String,
    }

    /// How a task ended.
    pub enum TaskOutcome {
        /// It ran to its end.
        Completed {
            /// What it printed, cut to a limit.
            output: Bytes,
        },
        /// It failed as often as its bound allows.
        Failed {
            /// What the last try said.
            reason: String,
        },
        /// It was cancelled; it may have run in part.
        Cancelled,
        /// It can never run.
        Impossible {
            /// Why, and the nearest that could.
            reason: String,
        },
        /// It isn't idempotent and may have run.
        Unknown {
            /// What happened.
            reason: String,
        },
    }

    /// Where a task stands in the ledger.
    pub enum TaskState {
        /// It waits for a place.
        Queued,
        /// A try was recorded; it may be running.
        Running {
            /// The try.
            attempt: Attempt,
            /// Its worker.
            worker: WorkerName,
            /// The data centre of the worker.
            centre: DataCentre,
        },
        /// It ended.
        Ended(TaskOutcome),
    }

    /// A task that has no end yet, as the scheduler takes it in.
    pub struct OpenTask {
        /// Its number.
        pub task: TaskId,
        /// Whose it is.
        pub customer: CustomerName,
        /// What to run.
        pub spec: TaskSpec,
        /// Where it stands.
        pub state: TaskState,
        /// The number that the next try gets.
        pub next: Attempt,
        /// The newest whole checkpoint.
        pub checkpoint: Option<Checkpoint>,
        /// How often it was evicted.
        pub evictions: u32,
        /// How many tries failed.
        pub failures: u32,
        /// Whether its customer asked to cancel it.
        pub cancelled: bool,
    }
}

impl OpenTask {
    /// The try that may be running.
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
