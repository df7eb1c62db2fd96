//! What a worker says of itself.

use crate::{
    data,
    ids::{DataCentre, Incarnation, ServiceName, WorkerName},
    jobs::{
        model::{Label, Run, TaskKey},
        record::Ending,
    },
    resources::Resources,
};

data! {
    /// A worker's heartbeat.
    pub struct Report {
        /// The worker.
        pub name: WorkerName,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// The number of the heartbeat; it rises in an incarnation.
        pub sequence: u64,
        /// Where it is reached; no two workers that live share an address.
        pub address: Box<str>,
        /// The pool that it belongs to.
        pub service: ServiceName,
        /// Its data centre.
        pub centre: DataCentre,
        /// Its properties and its rack.
        pub labels: Vec<Label>,
        /// What it has.
        pub capacity: Resources,
        /// How long it stays at least, in milliseconds, if it is leaving.
        pub leaving: Option<u64>,
        /// What it runs.
        pub running: Vec<Running>,
        /// What has ended there and wasn't acknowledged.
        pub ended: Vec<Ended>,
    }

    /// A run on a worker.
    pub struct Running {
        /// The task.
        pub task: TaskKey,
        /// The run.
        pub run: Run,
        /// The progress that it saved last.
        pub checkpoint: Box<str>,
        /// How far it is, in percent.
        pub percent: u8,
        /// A task that serves: the tail of its response times in milliseconds. Any other:
        /// the processors in use, in thousandths.
        pub gauge: u64,
    }

    /// A run that has ended.
    pub struct Ended {
        /// Its place in the list of ends, which rises.
        pub number: u64,
        /// The task.
        pub task: TaskKey,
        /// The run.
        pub run: Run,
        /// How.
        pub ending: Ending,
        /// The progress that it saved.
        pub checkpoint: Box<str>,
    }
}
