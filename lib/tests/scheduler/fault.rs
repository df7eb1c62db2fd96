//! What can happen to a world.

/// Something that goes wrong, or a load that comes.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// An instance is cut off from the council.
    Cut { instance: usize, seconds: u64 },
    /// A worker can't reach an instance, nor it the worker.
    Part { worker: usize, instance: usize, seconds: u64 },
    /// A worker dies and comes back.
    Kill { worker: usize, seconds: u64 },
    /// A worker says that it is leaving.
    Leave { worker: usize },
    /// The other instance takes the data centre.
    Grant,
    /// Tasks are submitted.
    Wave { tasks: u64, cores: u64, idempotent: bool, urgent: bool },
    /// A replica is submitted.
    Replica,
    /// Every task that is open is cancelled, or every third.
    Cancel { all: bool },
}
