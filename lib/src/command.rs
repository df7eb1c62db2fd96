//! The commands of the replicated log, and the replies to them.
//!
//! Every command carries a key that makes it idempotent: an instance that didn't get the reply
//! resends the command and gets the reply to the first one.

use bytes::Bytes;

use crate::{
    data,
    finding::Findings,
    ids::{
        CustomerName, DataCentre, Epoch, IdempotencyKey, InstanceId, OperatorName, Revision,
        TaskAttempt, TaskId, Ticket, WorkerName,
    },
    symbols,
    task::{Checkpoint, EvictionReason, Submission, TaskOutcome},
    time::WallTime,
};

symbols! {
    /// The two lists that operators keep.
    pub enum ListKind {
        /// The customers' plans.
        Plans = "plans",
        /// What each plan may use.
        Usage = "usage",
    }
}

/// A command with its metadata, as an entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The instance that waits for the reply.
    pub origin: InstanceId,
    /// Correlates the reply with the command at that instance.
    pub ticket: Ticket,
    /// The leader's wall clock when it received the command.
    pub at: WallTime,
    /// The command.
    pub command: Command,
}

data! {
    /// A change of the replicated state.
    pub enum Command {
        /// Replaces a list.
        EditList(ListEdit),
        /// Submits a task.
        Submit(Submission),
        /// Cancels a task.
        Cancel {
            /// The customer that requests it.
            customer: CustomerName,
            /// The task.
            task: TaskId,
        },
        /// Records an attempt, before its start is sent to the worker.
        Start {
            /// The data centre.
            centre: DataCentre,
            /// The holder's epoch.
            epoch: Epoch,
            /// The attempt.
            attempt: TaskAttempt,
            /// The worker that will run the attempt.
            worker: WorkerName,
        },
        /// Records that an attempt has certainly stopped, and that the task waits to be placed
        /// again.
        Yield {
            /// The data centre.
            centre: DataCentre,
            /// The holder's epoch.
            epoch: Epoch,
            /// The attempt.
            attempt: TaskAttempt,
            /// The checkpoint to resume from, if any.
            checkpoint: Option<Checkpoint>,
            /// Why the attempt stopped.
            cause: YieldCause,
        },
        /// Records the end of a task.
        End {
            /// The data centre.
            centre: DataCentre,
            /// The holder's epoch.
            epoch: Epoch,
            /// The last attempt; 0 if the task never ran.
            attempt: TaskAttempt,
            /// The outcome of the task.
            outcome: TaskOutcome,
        },
        /// Claims an idempotency key, before the request is sent to a target.
        Claim(Claim),
        /// Records the result of a claimed request, and counts the request if it ran.
        Settle {
            /// The customer.
            customer: CustomerName,
            /// The idempotency key.
            key: IdempotencyKey,
            /// The instance that holds the claim.
            owner: InstanceId,
            /// The number of the request at the owner, as in the claim.
            request: u64,
            /// What became of it.
            result: ClaimResult,
        },
        /// Counts completed requests that had no idempotency key.
        Count {
            /// The instance that handled the requests.
            instance: InstanceId,
            /// The instance's sequence number of the batch; a number that isn't larger than the
            /// last is ignored.
            sequence: u64,
            /// The number of requests by customer.
            counts: Vec<(CustomerName, u64)>,
        },
        /// Grants the leadership of a data centre.
        GrantCentre {
            /// The data centre.
            centre: DataCentre,
            /// The instance that becomes the holder.
            holder: InstanceId,
            /// The epoch to take over from; the grant is refused if it isn't the newest.
            previous: Epoch,
        },
        /// Releases the leadership of a data centre.
        ReleaseCentre {
            /// The data centre.
            centre: DataCentre,
            /// The epoch that ends.
            epoch: Epoch,
        },
    }

    /// Why an attempt stopped and its task waits again.
    pub enum YieldCause {
        /// It was evicted.
        Evicted(EvictionReason),
        /// The attempt failed.
        Failed {
            /// The failure.
            reason: String,
        },
        /// The worker refused to start it.
        NotStarted,
    }

    /// An edit of a list.
    pub struct ListEdit {
        /// The list to replace.
        pub list: ListKind,
        /// The identifier of the edit, drawn by the operator's client; a resend has the same.
        pub edit: u128,
        /// The operator who edits the list.
        pub author: OperatorName,
        /// The complete text of the list, including its version.
        pub text: String,
    }

    /// A claim on an idempotency key.
    pub struct Claim {
        /// The customer.
        pub customer: CustomerName,
        /// The idempotency key.
        pub key: IdempotencyKey,
        /// A digest of the request: reusing the key for a different request is refused.
        pub digest: [u8; 32],
        /// The instance that is going to send the request.
        pub owner: InstanceId,
        /// The number of the request at the owner; a resend of the command has the same.
        pub request: u64,
    }

    /// The result of a claimed request.
    pub enum ClaimResult {
        /// It ran; the response is kept if it is small.
        Ran {
            /// The status of the response.
            status: u16,
            /// The body of the response, if it is kept.
            body: Option<Bytes>,
        },
        /// It did not run; the key is free again.
        NotRun,
        /// It may have run.
        Unknown,
    }

    /// The reply to a command.
    pub enum Reply {
        /// The list was accepted.
        Edited {
            /// The revision of the list.
            revision: Revision,
        },
        /// The list has errors and was rejected.
        Rejected(Findings),
        /// The version of the list was already taken by another edit.
        Conflict {
            /// The current version.
            version: u64,
            /// The operator who edited it.
            author: OperatorName,
            /// The current text.
            text: String,
        },
        /// The task was submitted, by this command or an earlier one.
        Submitted {
            /// The task's number.
            task: TaskId,
        },
        /// The command took effect, now or earlier.
        Done,
        /// The key was claimed; the request may be sent.
        Claimed,
        /// The key was claimed earlier.
        AlreadyClaimed {
            /// The result of that request, if it is known.
            result: Option<ClaimResult>,
        },
        /// The leadership was granted.
        Granted {
            /// The new epoch.
            epoch: Epoch,
        },
        /// The command doesn't fit the current state, and changed nothing.
        Refused(Refusal),
    }

    /// Why a command changed nothing.
    pub enum Refusal {
        /// The epoch isn't the newest one, or was released.
        StaleEpoch {
            /// The newest epoch.
            newest: Epoch,
        },
        /// The attempt isn't the one that may start or end now.
        StaleAttempt,
        /// There is no such task, or it belongs to another customer.
        NoSuchTask,
        /// The key was used for a different request or task.
        KeyReused,
        /// There is no such customer.
        NoSuchCustomer,
        /// The claim is held by another instance or request, or doesn't exist.
        NotOwner,
        /// The task has ended or is cancelled.
        Ended,
        /// The customer's open tasks would take more than the remaining capacity.
        TooManyTasks,
    }
}
