//! The keys and names by which the parts speak of the same thing.

use crate::{key, name};

key! {
    /// One process of the system: the identity in its data folder, or one drawn at its start.
    pub struct InstanceId(u64);
    /// A batch task, numbered by the ledger.
    pub struct TaskId(u64);
    /// The number of a try at a task; a later try has a larger number, also across epochs.
    pub struct Attempt(u32);
    /// The fencing token of the right to place work in a data centre.
    pub struct Epoch(u64);
    /// A term of the council.
    pub struct Term(u64);
    /// A position in the council's log; the first entry is at 1.
    pub struct Index(u64);
    /// The number of an accepted list; larger is newer.
    pub struct Revision(u64);
    /// A request at the instance that took it in.
    pub struct RequestId(u64);
    /// Matches an answer of another part with the question that was put to it.
    pub struct Ticket(u64);
    /// A worker's boot: a worker that restarts announces a larger one.
    pub struct Incarnation(u64);
    /// Tells command batches from before a worker's lease was counted as run out from later ones.
    pub struct Fence(u64);
}

name! {
    /// A customer: a store or a Member.
    pub struct CustomerName;
    /// A plan in the customers' list.
    pub struct PlanName;
    /// A latency-critical service.
    pub struct ServiceName;
    /// A data centre.
    pub struct DataCentre;
    /// A rack in a data centre.
    pub struct Rack;
    /// A machine that the platform gives.
    pub struct WorkerName;
    /// The name of an instance in its settings.
    pub struct InstanceName;
    /// An operator who edits the lists.
    pub struct OperatorName;
    /// The key by which a customer tells one request or submission from another.
    pub struct IdempotencyKey;
    /// A kind of batch task, as its customer calls it; tasks of a kind behave alike.
    pub struct TaskKind;
}

/// A try at a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// The number of the try.
    pub attempt: Attempt,
}

impl std::fmt::Display for TaskAttempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.task, self.attempt)
    }
}
