//! What workers and the system say to each other.
//!
//! A worker announces itself and its tasks; the holder of its data centre's epoch answers with a
//! lease and sends commands. A worker obeys only the largest epoch it has seen, and stops its
//! batch tasks by its own clock when its lease runs out.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    data,
    ids::{
        DataCentre, Epoch, Fence, Incarnation, Rack, ServiceName, TaskAttempt, TaskKind, WorkerName,
    },
    resources::Resources,
    task::Checkpoint,
};

data! {
    /// What a worker says of itself.
    pub struct Announcement {
        /// Its name.
        pub worker: WorkerName,
        /// Its boot.
        pub incarnation: Incarnation,
        /// Where it stands.
        pub centre: DataCentre,
        /// The rack it shares a switch and power with.
        pub rack: Rack,
        /// Where it takes commands, as an IP address with a port.
        pub address: String,
        /// All it has.
        pub capacity: Resources,
        /// Whether it is leaving and must get no new work.
        pub leaving: bool,
        /// The largest epoch it has seen.
        pub epoch: Epoch,
        /// Every try it knows of whose end hasn't been acknowledged.
        pub tasks: Vec<TaskReport>,
        /// Targets that serve requests on it.
        pub targets: Vec<TargetReport>,
        /// Samples of use and latency, late and in any order.
        pub samples: Vec<Sample>,
    }

    /// What a worker says of a try.
    pub struct TaskReport {
        /// The try.
        pub attempt: TaskAttempt,
        /// What became of it so far.
        pub state: AttemptState,
    }

    /// What became of a try on a worker. All but `Running` are final.
    pub enum AttemptState {
        /// It runs.
        Running,
        /// It ran to its end.
        Completed {
            /// What it printed.
            output: Bytes,
        },
        /// It failed by itself.
        Failed {
            /// What it said.
            reason: String,
        },
        /// It was stopped, by command or because the lease ran out.
        Stopped {
            /// The newest whole checkpoint, if one was written.
            checkpoint: Option<Checkpoint>,
        },
        /// It was refused and never started.
        NotStarted {
            /// Why.
            reason: String,
        },
    }

    /// What a worker says of a target on it.
    pub struct TargetReport {
        /// The service it serves.
        pub service: ServiceName,
        /// The replica's try.
        pub attempt: TaskAttempt,
        /// Where it takes requests, as an IP address with a port.
        pub address: String,
        /// Requests it works on at a time.
        pub slots: u32,
        /// Connections it holds open.
        pub connections: u32,
    }

    /// A sample of one try's use.
    pub struct Sample {
        /// The try.
        pub attempt: TaskAttempt,
        /// How long before the announcement the sample was taken.
        pub age: Duration,
        /// What it used.
        pub used: Resources,
        /// For a service replica: the 99th percentile of its latency since the last sample.
        pub latency: Option<Duration>,
        /// Tasks beside it at that moment.
        pub beside: Vec<TaskAttempt>,
    }

    /// The answer to an announcement.
    pub struct LeaseAnswer {
        /// The epoch under which the lease is given.
        pub epoch: Epoch,
        /// The worker drops command batches with a smaller fence under this epoch.
        pub fence: Fence,
        /// How long from the sending of the announcement the worker may run its tasks;
        /// nothing if the instance can't give a lease.
        pub lease: Option<Duration>,
        /// Where to announce next, if not here.
        pub holder: Option<String>,
        /// How long until the next announcement is due.
        pub interval: Duration,
        /// Tries whose ends were recorded and need not be reported again.
        pub acknowledged: Vec<TaskAttempt>,
    }

    /// Commands that one holder sends to a worker.
    pub struct CommandBatch {
        /// The holder's epoch.
        pub epoch: Epoch,
        /// The fence of the worker's lease; a batch with a smaller one is dropped.
        pub fence: Fence,
        /// What to do, in order.
        pub commands: Vec<WorkerCommand>,
    }

    /// What a worker is told to do. Each is idempotent by its try.
    pub enum WorkerCommand {
        /// Run a try.
        Start(Box<StartCommand>),
        /// Run it slower.
        Throttle {
            /// The try.
            attempt: TaskAttempt,
            /// The processors it may use, in thousandths of its size.
            permille: u32,
        },
        /// Write a checkpoint and go on.
        Checkpoint {
            /// The try.
            attempt: TaskAttempt,
        },
        /// Write a checkpoint if that can be done within `grace`, then stop.
        Stop {
            /// The try.
            attempt: TaskAttempt,
            /// How long it may take.
            grace: Duration,
        },
    }

    /// What a worker needs to run a try.
    pub struct StartCommand {
        /// The try.
        pub attempt: TaskAttempt,
        /// The kind of task.
        pub kind: TaskKind,
        /// The room it gets.
        pub size: Resources,
        /// The service whose replica it is.
        pub service: Option<ServiceName>,
        /// The checkpoint to resume from.
        pub checkpoint: Option<Checkpoint>,
        /// What to run.
        pub payload: Bytes,
    }
}
