//! Changes of the ledger, for the components that react to them.

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
        /// A new policy took effect.
        Policy(Arc<Policy>),
        /// A task waits to be placed: it is new, its attempt stopped, or it is a waiting replica
        /// whose specification or owner changed.
        Queued(Box<OpenTask>),
        /// An attempt was recorded.
        Started {
            /// The attempt.
            attempt: TaskAttempt,
            /// The data centre.
            centre: DataCentre,
            /// The worker that will run the attempt.
            worker: WorkerName,
        },
        /// An attempt stopped and its task waits again; [`Change::Queued`] follows.
        Yielded {
            /// The attempt.
            attempt: TaskAttempt,
        },
        /// A task ended.
        Ended {
            /// The last attempt.
            attempt: TaskAttempt,
            /// The outcome of the task.
            outcome: TaskOutcome,
        },
        /// The cancellation of a task was requested.
        CancelRequested {
            /// The task.
            task: TaskId,
        },
        /// An instance was granted the leadership of a data centre.
        CentreGranted {
            /// The data centre.
            centre: DataCentre,
            /// The new epoch.
            epoch: Epoch,
            /// The holder of the epoch.
            holder: InstanceId,
        },
        /// The leadership of a data centre was released.
        CentreReleased {
            /// The data centre.
            centre: DataCentre,
            /// The epoch that was released.
            epoch: Epoch,
        },
    }
}
