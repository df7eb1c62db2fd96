//! The records that make up the controllers' log.

use core::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    codec::{DecodeError, Extensions, append, decode_extension, decode_first},
    data,
    ids::{DataCentre, Incarnation, InstanceId, WorkerName},
    jobs::{
        config::Config,
        crash::CrashEntry,
        estimates::EstimateRecord,
        evacuation::EvacuationOrder,
        model::{JobId, JobSpec, QueueName, Run, TaskKey, WorkerNumber},
    },
    symbols,
    time::WallTime,
};

data! {
    /// One change of the replicated state.
    pub enum Record {
        /// Sets the configuration. Ignored unless its version is the highest so far.
        Configure(Config),
        /// Accepts a job.
        Submit {
            /// The job's identifier.
            id: JobId,
            /// Its queue.
            queue: QueueName,
            /// When it was accepted.
            at: WallTime,
            /// The job.
            spec: JobSpec,
        },
        /// Cancels a job.
        Cancel {
            /// The job.
            id: JobId,
        },
        /// Adds an incarnation of a worker on its first heartbeat.
        AddWorker {
            /// The number assigned to it.
            number: WorkerNumber,
            /// The name of the worker.
            name: WorkerName,
            /// The incarnation.
            incarnation: Incarnation,
        },
        /// Removes an incarnation of a worker and ends all its runs.
        RemoveWorker {
            /// The worker.
            worker: WorkerNumber,
        },
        /// Starts a task.
        Start {
            /// The task.
            task: TaskKey,
            /// The number of the run.
            run: Run,
            /// The worker to run on.
            worker: WorkerNumber,
        },
        /// Ends a run.
        End {
            /// The task.
            task: TaskKey,
            /// The run.
            run: Run,
            /// How it ended.
            ending: Ending,
            /// The checkpoint that it saved; empty if there is none.
            checkpoint: Box<str>,
        },
        /// Sets the addresses of a controller.
        Node(Node),
        /// Forgets jobs whose retention time has passed.
        Forget {
            /// The jobs.
            jobs: Vec<JobId>,
        },
    }

    /// A controller and its addresses.
    pub struct Node {
        /// The identifier of the controller.
        pub id: InstanceId,
        /// The address for other instances.
        pub peer: SocketAddr,
        /// The address for workers and operators.
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
        /// The run failed; the cause may be the task or the worker.
        Failed = "failed",
        /// The run was stopped.
        Stopped = "stopped",
        /// The lease of the run expired.
        LeaseExpired = "lapsed",
        /// Another member of the gang ended.
        GangBroken = "broken",
        /// The other members of the gang didn't start in time.
        GangIncomplete = "alone",
        /// The worker refused to start the run.
        Refused = "refused",
    }
}

/// The records of one log entry, with the identity by which the proposer recognizes its commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The controller that proposed it.
    pub origin: InstanceId,
    /// The proposer's number for the proposal.
    pub number: u64,
    /// The records, in order.
    pub records: Vec<Record>,
    /// Changes of the crash counts, in order. They are encoded behind the batch.
    #[serde(skip)]
    pub crashes: Vec<CrashEntry>,
    /// Orders to evacuate data centres, in order. They are encoded behind the crash counts.
    #[serde(skip)]
    pub evacuations: Vec<EvacuationOrder>,
    /// Estimates of interference. They are encoded behind the evacuations.
    #[serde(skip)]
    pub estimates: EstimateRecord,
    /// Cancellations of jobs that weren't known, in order. They are encoded behind the estimates.
    #[serde(skip)]
    pub cancels: Vec<JobId>,
}

impl Batch {
    /// Encodes the batch for the log.
    pub fn encode(&self) -> Vec<u8> {
        let mut extensions = Extensions::behind(append(Vec::new(), self));
        extensions.append(&self.crashes, self.crashes.is_empty());
        extensions.append(&self.evacuations, self.evacuations.is_empty());
        extensions.append(&self.estimates, self.estimates.is_empty());
        extensions.append(&self.cancels, self.cancels.is_empty());
        extensions.finish()
    }

    /// Splits the batch so that the encoded records of each part have at most `max_bytes`, unless it is a
    /// single record. The parts are numbered from the batch's number on. The first one has the evacuations and
    /// the cancellations, so that no start is committed before the order that it was decided under.
    pub fn split(self, max_bytes: usize) -> Vec<Self> {
        let part = |number| Self {
            origin: self.origin,
            number,
            records: Vec::new(),
            crashes: Vec::new(),
            evacuations: Vec::new(),
            estimates: EstimateRecord::default(),
            cancels: Vec::new(),
        };
        let (evacuations, cancels) = (self.evacuations, self.cancels);
        let mut parts = vec![Self { evacuations, cancels, ..part(self.number) }];
        let mut crashes = self.crashes.into_iter().peekable();
        let (mut before, mut bytes) = (0, 0);
        for (at, record) in (0..).zip(self.records) {
            let size = append(Vec::new(), &record).len();
            let Some(last) = parts.last() else { break };
            if !last.records.is_empty() && bytes + size > max_bytes {
                parts.push(part(last.number + 1));
                (before, bytes) = (at, 0);
            }
            bytes += size;
            let Some(part) = parts.last_mut() else { break };
            while let Some(crash) = crashes.next_if(|crash| crash.after <= at) {
                part.crashes.push(CrashEntry { after: crash.after - before, ..crash });
            }
            part.records.push(record);
        }
        if let Some(last) = parts.last_mut() {
            last.crashes
                .extend(crashes.map(|crash| CrashEntry { after: crash.after - before, ..crash }));
            last.estimates = self.estimates;
        }
        parts
    }

    /// Decodes a batch of the log.
    ///
    /// # Errors
    ///
    /// The bytes aren't a valid batch.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (batch, rest): (Self, _) = decode_first(bytes)?;
        let (crashes, rest) = decode_extension(rest)?;
        let (evacuations, rest) = decode_extension(rest)?;
        let (estimates, rest) = decode_extension(rest)?;
        let (cancels, _) = decode_extension(rest)?;
        Ok(Self { crashes, evacuations, estimates, cancels, ..batch })
    }
}
