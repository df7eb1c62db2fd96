//! What a worker reports in its heartbeat.

use std::{net::SocketAddr, time::Duration};

use crate::{
    data,
    ids::{DataCentre, Incarnation, ServiceName, WorkerName},
    jobs::{
        model::{Label, Run, TaskKey},
        record::Ending,
    },
    resources::Resources,
};

/// The longest checkpoint that is kept, in bytes. Checkpoints are replicated, and a start has to fit a
/// response.
const MAX_CHECKPOINT_BYTES: usize = 16 << 10;

/// The checkpoint, or none if it is too long to be kept.
pub fn keepable(checkpoint: &str) -> &str {
    if checkpoint.len() > MAX_CHECKPOINT_BYTES { "" } else { checkpoint }
}

impl Report {
    /// About how many bytes the report takes in memory.
    pub fn memory_bytes(&self) -> u64 {
        let labels: usize = self.labels.iter().map(|label| label.as_str().len()).sum();
        let running: usize = self.running.iter().map(|run| run.checkpoint.len()).sum();
        let ended: usize = self.ended.iter().map(|run| run.checkpoint.len()).sum();
        let lists = self.labels.capacity() * size_of::<Label>()
            + self.running.capacity() * size_of::<Running>()
            + self.ended.capacity() * size_of::<Ended>();
        (size_of::<Self>() + lists + labels + running + ended) as u64
    }
}

data! {
    /// The content of a worker's heartbeat.
    pub struct Report {
        /// The name of the worker.
        pub name: WorkerName,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// The sequence number of the heartbeat; it increases within an incarnation.
        pub sequence: u64,
        /// The worker's monotonic clock when it sent the heartbeat; `None` if it doesn't say.
        pub clock: Option<Duration>,
        /// The address that other processes reach it at. Live workers never share an address.
        pub address: SocketAddr,
        /// The service that it belongs to.
        pub service: ServiceName,
        /// Its data centre.
        pub centre: DataCentre,
        /// Its labels; one of them names its rack.
        pub labels: Vec<Label>,
        /// Its total resources.
        pub capacity: Resources,
        /// The minimum time until the worker leaves, in milliseconds; `None` if it stays.
        pub leaving: Option<u64>,
        /// The runs in progress.
        pub running: Vec<Running>,
        /// The runs that have ended and weren't acknowledged.
        pub ended: Vec<Ended>,
        /// Whether that list is full, so that further runs may have ended.
        pub more_ends: bool,
    }

    /// A run in progress.
    pub struct Running {
        /// The task.
        pub task: TaskKey,
        /// The run.
        pub run: Run,
        /// Its latest checkpoint.
        pub checkpoint: Box<str>,
        /// Its progress, in percent.
        pub percent: u8,
        /// The tail latency in milliseconds for a serving task, the processor usage in millicores
        /// for any other.
        pub gauge: u64,
    }

    /// A run that has ended.
    pub struct Ended {
        /// The number of the end; it increases with every end on the worker.
        pub number: u64,
        /// The task.
        pub task: TaskKey,
        /// The run.
        pub run: Run,
        /// How it ended.
        pub ending: Ending,
        /// The checkpoint that it saved.
        pub checkpoint: Box<str>,
    }
}
