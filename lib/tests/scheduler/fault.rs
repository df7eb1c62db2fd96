//! The events of a simulation.

/// A fault or a load.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// An instance is partitioned from the consensus group.
    IsolateInstance { instance: usize, seconds: u64 },
    /// A worker and an instance can't reach each other.
    Partition { worker: usize, instance: usize, seconds: u64 },
    /// A worker crashes and restarts.
    Crash { worker: usize, seconds: u64 },
    /// A worker announces that it is leaving.
    Drain { worker: usize },
    /// The other instance takes over the data centre.
    TransferLeadership,
    /// Batch tasks are submitted.
    Submit { tasks: u64, cores: u64, idempotent: bool, urgent: bool },
    /// A replica is submitted.
    SubmitReplica,
    /// All open tasks are cancelled, or every third.
    Cancel { all: bool },
}
