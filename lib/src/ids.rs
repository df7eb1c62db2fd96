//! Identifiers and names that are shared by all modules.

use crate::{key, name};

key! {
    /// An instance: one process of the system. The identifier is kept in the data folder, or
    /// generated at random at startup if there is none.
    pub struct InstanceId(u64);
    /// A task; the ledger assigns the number.
    pub struct TaskId(u64);
    /// The number of an attempt to run a task; later attempts have larger numbers, also across
    /// epochs.
    pub struct Attempt(u32);
    /// The fencing token of a data centre's leadership; it increases with each new holder.
    pub struct Epoch(u64);
    /// A term of the consensus group.
    pub struct Term(u64);
    /// An index in the replicated log; the first entry has index 1.
    pub struct Index(u64);
    /// The number of an accepted list; it increases with each accepted edit.
    pub struct Revision(u64);
    /// The number of a request at the instance that received it.
    pub struct RequestId(u64);
    /// Correlates a reply from another component with the query.
    pub struct Ticket(u64);
    /// The incarnation of a worker: it increases each time the worker restarts.
    pub struct Incarnation(u64);
    /// A fencing token within an epoch: separates command batches that were sent before a worker's
    /// lease was considered expired from later ones.
    pub struct Fence(u64);
}

name! {
    /// A customer: a store or a Member.
    pub struct CustomerName;
    /// A plan in the plans list.
    pub struct PlanName;
    /// A latency-critical service.
    pub struct ServiceName;
    /// A data centre.
    pub struct DataCentre;
    /// A rack in a data centre.
    pub struct Rack;
    /// A worker: a machine of the platform that runs tasks.
    pub struct WorkerName;
    /// The name of an instance, from its settings.
    pub struct InstanceName;
    /// An operator who edits the lists.
    pub struct OperatorName;
    /// The key by which a customer identifies a request or submission; a resend has the same key.
    pub struct IdempotencyKey;
    /// A kind of batch task, named by the customer; tasks of the same kind are expected to behave
    /// alike.
    pub struct TaskKind;
}

/// An attempt to run a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: Attempt,
}

impl std::fmt::Display for TaskAttempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.task, self.attempt)
    }
}
