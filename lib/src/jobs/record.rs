//! What the controllers' log is made of.

use core::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    data,
    ids::{DataCentre, Incarnation, InstanceId, WorkerName},
    jobs::{
        config::Config,
        model::{JobId, JobSpec, QueueName, Run, TaskKey, WorkerNumber},
    },
    symbols,
    time::WallTime,
};

data! {
    /// One change of the agreed state.
    pub enum Record {
        /// A configuration; without effect unless its version is the highest.
        Configure(Config),
        /// A job was accepted.
        Submit {
            /// Its number.
            id: JobId,
            /// Its queue.
            queue: QueueName,
            /// When it was accepted.
            at: WallTime,
            /// The job.
            spec: JobSpec,
        },
        /// A job is to end.
        Cancel {
            /// The job.
            id: JobId,
        },
        /// An incarnation of a worker was heard for the first time.
        AddWorker {
            /// Its number from now on.
            number: WorkerNumber,
            /// The worker.
            name: WorkerName,
            /// The incarnation.
            incarnation: Incarnation,
        },
        /// An incarnation of a worker is gone, and all that it ran.
        RemoveWorker {
            /// The worker.
            worker: WorkerNumber,
        },
        /// A task is to start.
        Start {
            /// The task.
            task: TaskKey,
            /// The number of the start.
            run: Run,
            /// Where.
            worker: WorkerNumber,
        },
        /// A run has ended.
        End {
            /// The task.
            task: TaskKey,
            /// The run.
            run: Run,
            /// How it ended.
            ending: Ending,
            /// The progress that it saved; empty if there is none.
            checkpoint: Box<str>,
        },
        /// A controller introduced itself.
        Node(Node),
        /// Jobs that ended long ago are forgotten.
        Forget {
            /// The jobs.
            jobs: Vec<JobId>,
        },
    }

    /// A controller and its addresses.
    pub struct Node {
        /// The controller.
        pub id: InstanceId,
        /// Where other instances reach it.
        pub peer: SocketAddr,
        /// Where workers and operators reach it.
        pub listen: SocketAddr,
        /// Its data centre.
        pub centre: DataCentre,
    }
}

symbols! {
    /// How a run ended.
    pub enum Ending {
        /// The task is done.
        Done = "done",
        /// It failed, through its own fault or the worker's.
        Failed = "failed",
        /// It was stopped.
        Stopped = "stopped",
        /// Its lease ran out.
        LeaseExpired = "lapsed",
        /// Another member of its gang ended.
        GangBroken = "broken",
        /// The other members of its gang didn't come.
        GangIncomplete = "alone",
        /// The worker didn't start it.
        Refused = "refused",
    }
}

/// The records of one entry of the log, with what the proposer matches its commit by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The controller that proposed it.
    pub origin: InstanceId,
    /// The proposal's number there.
    pub number: u64,
    /// The records, in order.
    pub records: Vec<Record>,
}
