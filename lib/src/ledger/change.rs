//! What applying an entry changed, for the parts that act on it.

use std::sync::Arc;

use crate::{
    data,
    ids::{DataCentre, Epoch, InstanceId, TaskAttempt, TaskId, WorkerName},
    policy::Policy,
    task::{OpenTask, TaskOutcome},
};

data! {
    /// A change of the ledger.
    pub enum Change {
        /// A new policy is in force.
        Policy(Arc<Policy>),
        /// A task waits for a place: a new one, or one whose try has yielded.
        Queued(Box<OpenTask>),
        /// A try was recorded.
        Started {
            /// The try.
            attempt: TaskAttempt,
            /// The data centre.
            centre: DataCentre,
            /// Where.
            worker: WorkerName,
        },
        /// A try stopped and its task waits again; [`Change::Queued`] follows.
        Yielded {
            /// The try.
            attempt: TaskAttempt,
        },
        /// A task ended.
        Ended {
            /// The last try.
            attempt: TaskAttempt,
            /// How.
            outcome: TaskOutcome,
        },
        /// A customer cancelled a task that hasn't ended.
        CancelRequested {
            /// The task.
            task: TaskId,
        },
        /// A data centre's epoch passed to an instance.
        CentreGranted {
            /// The data centre.
            centre: DataCentre,
            /// The new epoch.
            epoch: Epoch,
            /// Its holder.
            holder: InstanceId,
        },
        /// A data centre's epoch was given back.
        CentreReleased {
            /// The data centre.
            centre: DataCentre,
            /// The epoch that ended.
            epoch: Epoch,
        },
    }
}
