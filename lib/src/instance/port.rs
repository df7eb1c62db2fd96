//! What goes into an instance and what comes out of it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{
    command::{ListKind, Reply},
    consensus::log::Write,
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
    /// An event for one of the parts.
    pub enum Event {
        /// For the council's part.
        ReplicatedLog(replicated_log::Event),
        /// For the scheduler.
        Scheduler(scheduler::Event),
        /// For the router.
        Router(router::Event),
        /// For the directory.
        Directory(directory::Event),
    }

    /// What a part gives: an event for another part, or something for an edge to do.
    pub enum Output {
        /// An event for another part of the instance.
        Event(Event),
        /// Something for an edge.
        Effect(Effect),
    }

    /// Something for an edge of the process to do.
    pub enum Effect {
        /// Make a write durable and answer with its number.
        Store(Write),
        /// Send a message to another instance; it may be lost.
        Send {
            /// Where the other instance is.
            to: SocketAddr,
            /// What to send.
            message: directory::PeerMessage,
        },
        /// Something for a target or a worker.
        Dispatch(DispatchCommand),
        /// Answer an announcement.
        AnnounceAnswer {
            /// Matches the announcement.
            ticket: u64,
            /// The answer, or why the announcement is nonsense.
            answer: Result<LeaseAnswer, String>,
        },
        /// Answer a request.
        RequestAnswer {
            /// The request.
            request: RequestId,
            /// What became of it.
            outcome: router::RequestOutcome,
        },
        /// Answer a command or a question that came in at the front.
        Answer {
            /// Matches the question.
            ticket: u64,
            /// The answer.
            answer: Box<Answer>,
        },
        /// Every request in flight has ended; the instance may leave.
        Drained,
        /// Something an operator may want to read in the log.
        Log(LogEvent),
        /// A policy is in force, for the edges that check credentials.
        Policy(Arc<Policy>),
    }

    /// Something for a target or a worker, over HTTP.
    pub enum DispatchCommand {
        /// Send a try of a request to a target.
        Request {
            /// The try.
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
            /// How long the try may take.
            timeout: Duration,
        },
        /// Give a try up and close its connection.
        Abandon {
            /// The try.
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
            /// Where it takes commands.
            address: String,
            /// The holder's epoch.
            epoch: Epoch,
            /// The fence of the worker's lease.
            fence: Fence,
            /// What to do, in order.
            commands: Vec<WorkerCommand>,
        },
    }

    /// Something worth a line in the log.
    pub enum LogEvent {
        /// This instance's role in the council changed.
        Role {
            /// The role.
            role: String,
            /// The term.
            term: Term,
            /// The leader, if one is known.
            leader: Option<InstanceId>,
        },
        /// This instance founds the council.
        Bootstrapped,
        /// A policy is in force here.
        Policy {
            /// The revision of the plans.
            plans: Revision,
            /// The revision of the usage list.
            usage: Revision,
        },
        /// A data centre's epoch passed to an instance.
        Epoch {
            /// The data centre.
            centre: DataCentre,
            /// The epoch.
            epoch: Epoch,
            /// The holder; nothing if it was given back.
            holder: Option<InstanceId>,
        },
        /// A task moved.
        Task {
            /// The task.
            task: TaskId,
            /// What happened to it.
            event: String,
        },
        /// The state was replaced by a snapshot.
        Restored {
            /// The last entry in the snapshot.
            index: Index,
        },
        /// An entry of the log can't be read by this version of the program.
        Unreadable {
            /// The entry.
            index: Index,
            /// Why.
            reason: String,
        },
        /// A state chart has no rule for what happened.
        Unhandled {
            /// What happened.
            reason: String,
        },
        /// The leader asks for a change of members.
        Members {
            /// What it asks for.
            change: String,
        },
    }

    /// A question that the ledger's state answers.
    pub enum Query {
        /// How is the instance?
        Status,
        /// What became of a task?
        Task {
            /// Who asks.
            customer: CustomerName,
            /// The task.
            task: TaskId,
        },
        /// What does a list say?
        List {
            /// Which list.
            list: ListKind,
        },
    }

    /// An answer to a command or a question.
    pub enum Answer {
        /// The council applied the command.
        Reply(Reply),
        /// The council didn't take the command in; nothing happened.
        NotAccepted,
        /// The command may still be applied; a resend is safe.
        Unknown,
        /// The instance's state.
        Status(Box<InstanceStatus>),
        /// A task.
        Task(Box<TaskAnswer>),
        /// A list that stands.
        List {
            /// Its revision.
            revision: Revision,
            /// Its version.
            version: u64,
            /// Who made it.
            author: OperatorName,
            /// Its text.
            text: String,
        },
        /// There is no such thing, or it is another customer's.
        NotFound,
    }

    /// What an instance says of itself to an operator.
    pub struct InstanceStatus {
        /// Its identity.
        pub instance: InstanceId,
        /// Its name.
        pub name: InstanceName,
        /// Its data centre.
        pub centre: DataCentre,
        /// Its role in the council.
        pub role: String,
        /// The council's term.
        pub term: Term,
        /// The leader, if one is known.
        pub leader: Option<InstanceId>,
        /// The newest entry that is committed.
        pub committed: Index,
        /// The newest entry that is applied.
        pub applied: Index,
        /// The voters.
        pub voters: Vec<InstanceId>,
        /// The revision of the plans in force.
        pub plans: Revision,
        /// The revision of the usage list in force.
        pub usage: Revision,
        /// The data centres whose epoch is held.
        pub centres: Vec<CentreStatus>,
        /// Instances that are alive.
        pub alive: Vec<InstanceName>,
        /// Tasks without an end.
        pub open_tasks: u64,
        /// Completed requests by customer.
        pub counts: Vec<CustomerCount>,
    }

    /// Who may place work in a data centre.
    pub struct CentreStatus {
        /// The data centre.
        pub centre: DataCentre,
        /// The epoch.
        pub epoch: Epoch,
        /// Its holder.
        pub holder: InstanceId,
    }

    /// How many requests of a customer were completed.
    pub struct CustomerCount {
        /// The customer.
        pub customer: CustomerName,
        /// Completed requests.
        pub requests: u64,
    }

    /// What became of a task.
    pub struct TaskAnswer {
        /// The task.
        pub task: TaskId,
        /// Where it stands.
        pub state: TaskState,
        /// How often it was evicted.
        pub evictions: u32,
        /// How many tries failed.
        pub failures: u32,
        /// Whether its customer asked to cancel it.
        pub cancelled: bool,
        /// The newest whole checkpoint.
        pub checkpoint: Option<Checkpoint>,
    }
}

impl Output {
    /// An event for the council's part.
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
