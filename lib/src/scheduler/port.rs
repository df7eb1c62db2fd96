//! What goes into the scheduler and what comes out of it.

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
    /// Something that happened.
    pub enum Event {
        /// The deadline that the machine asked for has come.
        Timer,
        /// A new policy is in force.
        Policy(Arc<Policy>),
        /// The shares of the allowances that this data centre holds. A customer that isn't named
        /// may use its whole allowance here.
        Shares(BTreeMap<CustomerName, Allowance>),
        /// This instance holds the data centre's epoch, or no longer does. An
        /// [`Event::TaskOpened`] for each open task comes before the event that gives the epoch.
        Leadership {
            /// The data centre.
            centre: DataCentre,
            /// The epoch; nothing if another instance holds it.
            epoch: Option<Epoch>,
        },
        /// The council confirmed that this instance's epoch is the newest.
        LeadershipConfirmed,
        /// The ledger holds a task without an end that may be placed in this data centre.
        TaskOpened(Box<OpenTask>),
        /// A customer cancelled a task.
        TaskCancelled {
            /// The task.
            task: TaskId,
        },
        /// The ledger recorded a try; its start may leave.
        StartRecorded {
            /// The try.
            attempt: TaskAttempt,
        },
        /// The ledger refused a try.
        StartRefused {
            /// The try.
            attempt: TaskAttempt,
        },
        /// The ledger recorded that a try stopped and its task waits again.
        YieldRecorded {
            /// The try.
            attempt: TaskAttempt,
        },
        /// The ledger recorded the end of a task.
        EndRecorded {
            /// The last try.
            attempt: TaskAttempt,
        },
        /// A worker announced itself.
        Announced {
            /// Matches the answer.
            ticket: u64,
            /// What it said.
            announcement: Box<Announcement>,
        },
        /// A worker could not be reached with commands.
        Unreachable {
            /// The worker.
            worker: WorkerName,
        },
    }

    /// Something to do.
    pub enum Effect {
        /// Record a try.
        RecordStart {
            /// The holder's epoch.
            epoch: Epoch,
            /// The try.
            attempt: TaskAttempt,
            /// Where.
            worker: WorkerName,
        },
        /// Record that a try has surely stopped.
        RecordYield {
            /// The holder's epoch.
            epoch: Epoch,
            /// The try.
            attempt: TaskAttempt,
            /// What to resume from.
            checkpoint: Option<Checkpoint>,
            /// Why it stopped.
            cause: YieldCause,
        },
        /// Record a task's end.
        RecordEnd {
            /// The holder's epoch.
            epoch: Epoch,
            /// The last try; attempt 0 if there was none.
            attempt: TaskAttempt,
            /// How it ended.
            outcome: TaskOutcome,
        },
        /// Send commands to a worker.
        Command {
            /// The worker.
            worker: WorkerName,
            /// Where it takes commands.
            address: String,
            /// The holder's epoch.
            epoch: Epoch,
            /// The fence of the worker's lease.
            fence: Fence,
            /// What to do, in order.
            commands: Vec<WorkerCommand>,
        },
        /// Answer an announcement.
        Answer {
            /// Matches the event.
            ticket: u64,
            /// The answer, or why the announcement is nonsense.
            answer: Result<LeaseAnswer, String>,
        },
    }
}
