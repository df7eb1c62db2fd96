//! The protocol between workers and instances.
//!
//! A worker announces itself and its tasks. The instance that holds its data centre's epoch
//! replies with a lease and sends commands. A worker obeys only the largest epoch that it has
//! seen, and stops its batch tasks by its own clock when its lease expires.

use std::{net::SocketAddr, time::Duration};

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
    /// The announcement of a worker.
    pub struct Announcement {
        /// The worker's name.
        pub worker: WorkerName,
        /// The incarnation: it increases each time the worker restarts.
        pub incarnation: Incarnation,
        /// The worker's monotonic clock when it sent the announcement; `None` if it doesn't say.
        pub clock: Option<Duration>,
        /// The data centre that the worker is in.
        pub centre: DataCentre,
        /// The rack: its workers share a switch and a power supply.
        pub rack: Rack,
        /// The address at which the worker accepts commands: an IP address with a port.
        pub address: String,
        /// The total resources of the worker.
        pub capacity: Resources,
        /// Whether the worker is shutting down and must get no new work.
        pub leaving: bool,
        /// The largest epoch that the worker has seen.
        pub epoch: Epoch,
        /// All attempts whose end hasn't been acknowledged.
        pub tasks: Vec<TaskReport>,
        /// The targets on the worker.
        pub targets: Vec<TargetReport>,
        /// Samples of resource usage and latency; they may be late and out of order.
        pub samples: Vec<Sample>,
    }

    /// A worker's report on an attempt.
    pub struct TaskReport {
        /// The attempt.
        pub attempt: TaskAttempt,
        /// The state of the attempt.
        pub state: AttemptState,
    }

    /// The state of an attempt on a worker. All states but `Running` are final.
    pub enum AttemptState {
        /// It is running.
        Running,
        /// It ran to completion.
        Completed {
            /// The output of the task.
            output: Bytes,
        },
        /// It failed on its own.
        Failed {
            /// The failure.
            reason: String,
        },
        /// It was stopped by a command, or because the lease expired.
        Stopped {
            /// The newest complete checkpoint, if one was written.
            checkpoint: Option<Checkpoint>,
        },
        /// The worker refused to start it.
        NotStarted {
            /// Why the worker refused.
            reason: String,
        },
    }

    /// A worker's report on a target.
    pub struct TargetReport {
        /// The service whose requests the target serves.
        pub service: ServiceName,
        /// The attempt that runs the replica.
        pub attempt: TaskAttempt,
        /// The address at which the target accepts requests: an IP address with a port.
        pub address: String,
        /// The maximum number of concurrent requests.
        pub slots: u32,
        /// The number of open connections.
        pub connections: u32,
    }

    /// A sample of an attempt's resource usage.
    pub struct Sample {
        /// The attempt.
        pub attempt: TaskAttempt,
        /// The age of the sample at the time of the announcement.
        pub age: Duration,
        /// The resources used.
        pub used: Resources,
        /// For a replica of a service: the 99th percentile of its latency since the last sample.
        pub latency: Option<Duration>,
        /// The other attempts that were running on the worker.
        pub beside: Vec<TaskAttempt>,
    }

    /// The reply to an announcement.
    pub struct LeaseAnswer {
        /// The epoch under which the lease is granted.
        pub epoch: Epoch,
        /// The worker's fence: the worker drops command batches of this epoch with a smaller fence.
        pub fence: Fence,
        /// The duration of the lease, counted from when the announcement was sent; `None` if the
        /// instance can't grant a lease.
        pub lease: Option<Duration>,
        /// The address of the instance to announce to, if it isn't this one.
        pub holder: Option<String>,
        /// The time until the next announcement is due.
        pub interval: Duration,
        /// Attempts whose ends were recorded and need not be reported again.
        pub acknowledged: Vec<TaskAttempt>,
    }

    /// A batch of commands from the holder of an epoch to a worker.
    pub struct CommandBatch {
        /// The holder's epoch.
        pub epoch: Epoch,
        /// The fence of the worker's lease.
        pub fence: Fence,
        /// The commands, in order.
        pub commands: Vec<WorkerCommand>,
    }

    /// A command to a worker. Each is idempotent for its attempt.
    pub enum WorkerCommand {
        /// Start an attempt.
        Start(Box<StartCommand>),
        /// Limit the processors of an attempt.
        Throttle {
            /// The attempt.
            attempt: TaskAttempt,
            /// The processors that the attempt may use, in thousandths of its size.
            permille: u32,
        },
        /// Write a checkpoint and continue.
        Checkpoint {
            /// The attempt.
            attempt: TaskAttempt,
        },
        /// Write a checkpoint if that can be done within `grace`, then stop.
        Stop {
            /// The attempt.
            attempt: TaskAttempt,
            /// The time allowed for the checkpoint.
            grace: Duration,
        },
    }

    /// Everything that a worker needs to start an attempt.
    pub struct StartCommand {
        /// The attempt.
        pub attempt: TaskAttempt,
        /// The kind of task.
        pub kind: TaskKind,
        /// The resources of the attempt.
        pub size: Resources,
        /// The service of which the attempt runs a replica, if any.
        pub service: Option<ServiceName>,
        /// The checkpoint to resume from, if any.
        pub checkpoint: Option<Checkpoint>,
        /// The payload of the task.
        pub payload: Bytes,
    }
}

impl Announcement {
    /// The addresses that no connection can be opened to, each with its place. An address is an IP
    /// address with a port, which needs no name resolution.
    pub fn findings(&self) -> Vec<String> {
        let own = std::iter::once(("the worker".to_owned(), &self.address));
        let targets = self.targets.iter().map(|target| {
            let place = format!("the target of service \"{}\"", target.service);
            (place, &target.address)
        });
        let odd = own.chain(targets).filter(|(_, address)| !is_usable(address));
        odd.map(|(place, address)| {
            format!("{place}: \"{address}\" is not an IP address with a port")
        })
        .collect()
    }
}

fn is_usable(address: &str) -> bool {
    let parsed = address.parse().ok();
    parsed.is_some_and(|at: SocketAddr| at.port() != 0 && !at.ip().is_unspecified())
}
