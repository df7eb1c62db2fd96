//! The events and effects of an instance.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{
    command::{ListKind, Reply},
    consensus::{log::Write, port::StepDown},
    data,
    directory::port as directory,
    ids::{
        CustomerName, DataCentre, Epoch, Fence, Index, InstanceId, InstanceName, OperatorName,
        RequestId, Revision, TaskId, Term, WorkerName,
    },
    policy::Policy,
    replicated_log::port as replicated_log,
    router::port as router,
    scheduler::port as scheduler,
    task::{Checkpoint, TaskState},
    worker::{LeaseAnswer, WorkerCommand},
};

data! {
    /// An event for one of the components.
    pub enum Event {
        /// For the replicated log.
        ReplicatedLog(replicated_log::Event),
        /// For the scheduler.
        Scheduler(scheduler::Event),
        /// For the router.
        Router(router::Event),
        /// For the directory.
        Directory(directory::Event),
    }

    /// An output of a component.
    pub enum Output {
        /// An event for another component of the instance.
        Event(Event),
        /// An effect for the process to carry out.
        Effect(Effect),
    }

    /// An effect that the process carries out.
    pub enum Effect {
        /// Make a write durable and report its sequence number.
        Store(Write),
        /// Send a message to another instance; it may be lost.
        Send {
            /// The address of the other instance.
            to: SocketAddr,
            /// The message.
            message: directory::PeerMessage,
        },
        /// Send something to a target or a worker.
        Dispatch(DispatchCommand),
        /// Answer a worker's announcement.
        AnnounceAnswer {
            /// The announcement's ticket.
            ticket: u64,
            /// The answer, or why the announcement is invalid.
            answer: Result<LeaseAnswer, String>,
        },
        /// Answer a request.
        RequestAnswer {
            /// The request.
            request: RequestId,
            /// Its outcome.
            outcome: router::RequestOutcome,
        },
        /// Answer a command or a query from the front end.
        Answer {
            /// The ticket of the command or the query.
            ticket: u64,
            /// The answer.
            answer: Box<Answer>,
        },
        /// All requests in flight have ended; the instance may exit.
        Drained,
        /// This instance drains, and either it has no vote in the consensus group any more or no
        /// other instance can take it over; as far as the group is concerned it may exit.
        HandedOver,
        /// Write a line to the operator's log.
        Log(LogEvent),
        /// A new policy is in force; the front end checks credentials against it.
        Policy(Arc<Policy>),
    }

    /// A command for the HTTP client of targets and workers.
    pub enum DispatchCommand {
        /// Send an attempt of a request to a target.
        Request {
            /// The attempt.
            attempt: router::AttemptId,
            /// The target.
            target: String,
            /// Whether to open a new connection.
            fresh: bool,
            /// The customer.
            customer: CustomerName,
            /// The path at the target.
            path: String,
            /// The body.
            body: Bytes,
            /// How long the attempt may take.
            timeout: Duration,
        },
        /// Abandon an attempt and close its connection.
        Abandon {
            /// The attempt.
            attempt: router::AttemptId,
        },
        /// Close the idle connections to a target.
        CloseIdle {
            /// The target.
            target: String,
        },
        /// Send commands to a worker.
        Command {
            /// The worker.
            worker: WorkerName,
            /// The address at which it takes commands.
            address: String,
            /// The holder's epoch.
            epoch: Epoch,
            /// The fence of the worker's lease.
            fence: Fence,
            /// The commands, in order.
            commands: Vec<WorkerCommand>,
        },
    }

    /// An event for the operator's log.
    pub enum LogEvent {
        /// This instance's role in the consensus group changed.
        Role {
            /// The role.
            role: String,
            /// The term.
            term: Term,
            /// The leader, if one is known.
            leader: Option<InstanceId>,
        },
        /// This instance led the consensus group and gave up leadership.
        SteppedDown(StepDown),
        /// This instance started a new consensus group.
        Bootstrapped,
        /// A policy came into force at this instance.
        Policy {
            /// The revision of the plans.
            plans: Revision,
            /// The revision of the usage list.
            usage: Revision,
        },
        /// A data centre's epoch was granted or released.
        Epoch {
            /// The data centre.
            centre: DataCentre,
            /// The epoch.
            epoch: Epoch,
            /// The holder; `None` if the epoch was released.
            holder: Option<InstanceId>,
        },
        /// The state of a task changed.
        Task {
            /// The task.
            task: TaskId,
            /// A description of the change.
            event: String,
        },
        /// The state was replaced by a snapshot.
        Restored {
            /// The index of the last entry that the snapshot covers.
            index: Index,
        },
        /// An entry or a snapshot can't be decoded by this version of the program.
        Unreadable {
            /// The index of the entry, or of the last one that the snapshot covers.
            index: Index,
            /// The decoding error.
            reason: String,
        },
        /// A state chart has no transition for a trigger.
        Unhandled {
            /// The trigger and the state.
            reason: String,
        },
        /// The numbers of voters changed, as this instance sees them.
        Voters(VoterCounts),
        /// The leader requests a membership change.
        Members {
            /// The requested change.
            change: String,
        },
    }

    /// The voters of the consensus group.
    #[derive(Copy, Default)]
    pub struct VoterCounts {
        /// The voters.
        pub voters: usize,
        /// Those that are alive and don't drain.
        pub live: usize,
        /// How many there should be.
        pub wanted: usize,
        /// The live members with a disk that could become voters.
        pub standbys: usize,
        /// Whether live voters have been missing for long beside a standby.
        pub overdue: bool,
    }

    /// A query that is answered from the ledger.
    pub enum Query {
        /// The status of the instance.
        Status,
        /// The state of a task.
        Task {
            /// The customer that asks.
            customer: CustomerName,
            /// The task.
            task: TaskId,
        },
        /// The contents of a list.
        List {
            /// The list.
            list: ListKind,
        },
    }

    /// The answer to a command or a query.
    pub enum Answer {
        /// The command was committed and applied.
        Reply(Reply),
        /// The command was never sent to a leader and has no effect.
        NotAccepted,
        /// The command may still be applied; it may safely be sent again.
        Unknown,
        /// The status of the instance.
        Status(Box<InstanceStatus>),
        /// The state of a task.
        Task(Box<TaskAnswer>),
        /// A list that is in force.
        List {
            /// Its revision.
            revision: Revision,
            /// Its version.
            version: u64,
            /// The operator who edited it last.
            author: OperatorName,
            /// Its text.
            text: String,
        },
        /// It doesn't exist, or belongs to another customer.
        NotFound,
    }

    /// The status of an instance, shown to operators.
    pub struct InstanceStatus {
        /// Its identity.
        pub instance: InstanceId,
        /// Its name.
        pub name: InstanceName,
        /// Its data centre.
        pub centre: DataCentre,
        /// Its role in the consensus group.
        pub role: String,
        /// The current term.
        pub term: Term,
        /// The leader, if one is known.
        pub leader: Option<InstanceId>,
        /// The index of the last committed entry.
        pub committed: Index,
        /// The index of the last applied entry.
        pub applied: Index,
        /// The voters.
        pub voters: Vec<InstanceId>,
        /// The revision of the plans in force.
        pub plans: Revision,
        /// The revision of the usage list in force.
        pub usage: Revision,
        /// The data centres that have a leader.
        pub centres: Vec<CentreStatus>,
        /// The instances that are alive.
        pub alive: Vec<InstanceName>,
        /// The number of tasks that haven't ended.
        pub open_tasks: u64,
        /// The completed requests of each customer.
        pub counts: Vec<CustomerCount>,
    }

    /// The leadership of a data centre.
    pub struct CentreStatus {
        /// The data centre.
        pub centre: DataCentre,
        /// The epoch.
        pub epoch: Epoch,
        /// Its holder.
        pub holder: InstanceId,
    }

    /// The number of completed requests of a customer.
    pub struct CustomerCount {
        /// The customer.
        pub customer: CustomerName,
        /// Completed requests.
        pub requests: u64,
    }

    /// The state of a task, shown to its customer.
    pub struct TaskAnswer {
        /// The task.
        pub task: TaskId,
        /// Its state.
        pub state: TaskState,
        /// The number of evictions.
        pub evictions: u32,
        /// The number of failed attempts.
        pub failures: u32,
        /// Whether its customer requested its cancellation.
        pub cancelled: bool,
        /// The newest complete checkpoint.
        pub checkpoint: Option<Checkpoint>,
    }
}

impl Output {
    /// An event for the replicated log.
    pub fn replicated_log(event: replicated_log::Event) -> Self {
        Self::Event(Event::ReplicatedLog(event))
    }

    /// An event for the scheduler.
    pub fn scheduler(event: scheduler::Event) -> Self {
        Self::Event(Event::Scheduler(event))
    }

    /// An event for the router.
    pub fn router(event: router::Event) -> Self {
        Self::Event(Event::Router(event))
    }

    /// An event for the directory.
    pub fn directory(event: directory::Event) -> Self {
        Self::Event(Event::Directory(event))
    }
}
