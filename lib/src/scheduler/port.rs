//! The scheduler's input events and output effects.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    command::YieldCause,
    data,
    ids::{CustomerName, DataCentre, Epoch, Fence, TaskAttempt, TaskId, WorkerName},
    policy::{Allowance, Policy},
    task::{Checkpoint, OpenTask, TaskOutcome},
    worker::{Announcement, LeaseAnswer, WorkerCommand},
};

data! {
    /// An input of the scheduler.
    pub enum Event {
        /// The deadline that the scheduler asked for has been reached.
        Timer,
        /// A new policy is in force.
        Policy(Arc<Policy>),
        /// The shares of the allowances that this data centre holds. A customer that isn't listed
        /// may use its whole allowance here.
        Shares(BTreeMap<CustomerName, Allowance>),
        /// This instance acquired or lost the leadership of the data centre. An
        /// [`Event::TaskOpened`] for each open task precedes the event with a new epoch.
        Leadership {
            /// The data centre.
            centre: DataCentre,
            /// The epoch; none if another instance holds it.
            epoch: Option<Epoch>,
        },
        /// The consensus group confirmed that this instance's epoch is the newest.
        LeadershipConfirmed,
        /// The ledger holds a task that hasn't ended and may be placed in this data centre.
        TaskOpened(Box<OpenTask>),
        /// A customer cancelled a task.
        TaskCancelled {
            /// The task.
            task: TaskId,
        },
        /// The ledger recorded the start of an attempt; the start command may be sent.
        StartRecorded {
            /// The attempt.
            attempt: TaskAttempt,
        },
        /// The ledger refused the start of an attempt.
        StartRefused {
            /// The attempt.
            attempt: TaskAttempt,
        },
        /// The ledger recorded that an attempt stopped and its task is queued again.
        YieldRecorded {
            /// The attempt.
            attempt: TaskAttempt,
        },
        /// The ledger recorded the end of a task.
        EndRecorded {
            /// The last attempt.
            attempt: TaskAttempt,
        },
        /// A worker announced itself.
        Announced {
            /// Identifies the announcement in [`Effect::Answer`].
            ticket: u64,
            /// The announcement.
            announcement: Box<Announcement>,
        },
        /// A worker could not be reached with commands.
        Unreachable {
            /// The worker.
            worker: WorkerName,
        },
    }

    /// An output of the scheduler.
    pub enum Effect {
        /// Propose the start of an attempt to the ledger.
        RecordStart {
            /// The holder's epoch.
            epoch: Epoch,
            /// The attempt.
            attempt: TaskAttempt,
            /// Its worker.
            worker: WorkerName,
        },
        /// Propose that an attempt has stopped and its task is queued again.
        RecordYield {
            /// The holder's epoch.
            epoch: Epoch,
            /// The attempt.
            attempt: TaskAttempt,
            /// The checkpoint to resume from.
            checkpoint: Option<Checkpoint>,
            /// Why it stopped.
            cause: YieldCause,
        },
        /// Propose the end of a task to the ledger.
        RecordEnd {
            /// The holder's epoch.
            epoch: Epoch,
            /// The last attempt; number 0 if there was none.
            attempt: TaskAttempt,
            /// The outcome.
            outcome: TaskOutcome,
        },
        /// Send commands to a worker.
        Command {
            /// The worker.
            worker: WorkerName,
            /// The address for commands.
            address: String,
            /// The holder's epoch.
            epoch: Epoch,
            /// The fence of the worker's lease.
            fence: Fence,
            /// The commands, in order.
            commands: Vec<WorkerCommand>,
        },
        /// Answer an announcement.
        Answer {
            /// The ticket of [`Event::Announced`].
            ticket: u64,
            /// The answer, or why the announcement is invalid.
            answer: Result<LeaseAnswer, String>,
        },
    }
}
