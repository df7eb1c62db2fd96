//! The commands that the council agrees on, and their answers.
//!
//! Every command is idempotent by a key of its own, so that an instance that lost the answer
//! sends it again and gets the first answer.

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

/// A command on its way through the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The instance that waits for the answer.
    pub origin: InstanceId,
    /// What it knows the answer by.
    pub ticket: Ticket,
    /// The leader's wall clock when it took the command in.
    pub at: WallTime,
    /// The command.
    pub command: Command,
}

data! {
    /// A change of what must survive.
    pub enum Command {
        /// Replace a list.
        EditList(ListEdit),
        /// Take in a task.
        Submit(Submission),
        /// Cancel a task.
        Cancel {
            /// Who asks.
            customer: CustomerName,
            /// The task.
            task: TaskId,
        },
        /// Record a try before its start leaves.
        Start {
            /// The data centre.
            centre: DataCentre,
            /// The holder's epoch.
            epoch: Epoch,
            /// The try.
            attempt: TaskAttempt,
            /// Where.
            worker: WorkerName,
        },
        /// Record that a try has surely stopped and the task waits again.
        Yield {
            /// The data centre.
            centre: DataCentre,
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
        End {
            /// The data centre.
            centre: DataCentre,
            /// The holder's epoch.
            epoch: Epoch,
            /// The last try; a task that never ran has attempt 0.
            attempt: TaskAttempt,
            /// How it ended.
            outcome: TaskOutcome,
        },
        /// Claim an idempotency key before a request leaves.
        Claim(Claim),
        /// Record what became of a claimed request, and count it if it ran.
        Settle {
            /// The customer.
            customer: CustomerName,
            /// The key.
            key: IdempotencyKey,
            /// The instance that holds the claim.
            owner: InstanceId,
            /// The owner's number of the request, as in its claim.
            request: u64,
            /// What became of it.
            result: ClaimResult,
        },
        /// Count completed requests that carried no key.
        Count {
            /// The instance that answered them.
            instance: InstanceId,
            /// Its number of this batch; a batch with an older number was counted.
            sequence: u64,
            /// Requests by customer.
            counts: Vec<(CustomerName, u64)>,
        },
        /// Give the right to place work in a data centre.
        GrantCentre {
            /// The data centre.
            centre: DataCentre,
            /// The instance that takes it.
            holder: InstanceId,
            /// The epoch that it takes over from; the grant fails if it isn't the newest.
            previous: Epoch,
        },
        /// Give that right back.
        ReleaseCentre {
            /// The data centre.
            centre: DataCentre,
            /// The epoch that ends.
            epoch: Epoch,
        },
    }

    /// Why a try's task waits again.
    pub enum YieldCause {
        /// It was evicted.
        Evicted(EvictionReason),
        /// The try failed.
        Failed {
            /// What it said.
            reason: String,
        },
        /// The worker refused it before it started.
        NotStarted,
    }

    /// An edit of a list.
    pub struct ListEdit {
        /// Which list.
        pub list: ListKind,
        /// Drawn by the operator's client; a resend has the same.
        pub edit: u128,
        /// Who edits.
        pub author: OperatorName,
        /// The text of the whole list, which holds its version.
        pub text: String,
    }

    /// A claim on an idempotency key.
    pub struct Claim {
        /// The customer.
        pub customer: CustomerName,
        /// The key.
        pub key: IdempotencyKey,
        /// A digest of the request, so that a key used for another request is refused.
        pub digest: [u8; 32],
        /// The instance that will send the request.
        pub owner: InstanceId,
        /// The owner's number of the request; a resent command has the same.
        pub request: u64,
    }

    /// What became of a claimed request.
    pub enum ClaimResult {
        /// It ran; the answer is kept if it is small.
        Ran {
            /// The status of the answer.
            status: u16,
            /// The body, if it is kept.
            body: Option<Bytes>,
        },
        /// It did not run; the key is free again.
        NotRun,
        /// It may have run.
        Unknown,
    }

    /// The answer to a command.
    pub enum Reply {
        /// A list is in force.
        Edited {
            /// Its revision.
            revision: Revision,
        },
        /// The list has findings and nothing changed.
        Rejected(Findings),
        /// Another edit with the version stands.
        Conflict {
            /// The version that stands.
            version: u64,
            /// Who made it.
            author: OperatorName,
            /// The text that stands.
            text: String,
        },
        /// A task was taken in, now or before.
        Submitted {
            /// Its number.
            task: TaskId,
        },
        /// The command was recorded, now or before.
        Done,
        /// The claim holds; the request may leave.
        Claimed,
        /// The key was claimed before.
        AlreadyClaimed {
            /// What became of that request, if it is known.
            result: Option<ClaimResult>,
        },
        /// The data centre's epoch.
        Granted {
            /// The epoch.
            epoch: Epoch,
        },
        /// The command doesn't fit what stands, and changed nothing.
        Refused(Refusal),
    }

    /// Why a command changed nothing.
    pub enum Refusal {
        /// The epoch is no longer the newest.
        StaleEpoch {
            /// The newest.
            newest: Epoch,
        },
        /// The try isn't the one that may start or end now.
        StaleAttempt,
        /// There is no such task, or it is another customer's.
        NoSuchTask,
        /// The key was used for a different request or task.
        KeyReused,
        /// There is no such customer.
        NoSuchCustomer,
        /// The claim is another instance's.
        NotOwner,
        /// The task has ended or is cancelled.
        Ended,
        /// The customer has as many open tasks as there is room left for.
        TooManyTasks,
    }
}
