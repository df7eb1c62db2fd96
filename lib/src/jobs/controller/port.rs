//! What goes into a controller and what comes out of it.

use core::{net::SocketAddr, time::Duration};

use crate::{
    consensus::{chart::Role, log::Write, message::Message},
    ids::{Epoch, Incarnation, Index, InstanceId, Term, WorkerName},
    jobs::{
        call::{Call, OperatorReply, OperatorRequest, Reply},
        link::{ControllerStatus, LinkMessage},
        record::Node,
        report::{Ended, Report},
        response::HeartbeatResponse,
    },
    time::Time,
};

/// Who waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ticket {
    /// A request to this controller.
    Front(u64),
    /// A call that came over a connection from another instance.
    Link {
        /// The connection.
        connection: u64,
        /// The call.
        number: u64,
    },
}

/// Something that happened.
#[derive(Debug)]
pub enum Event {
    /// The deadline that was asked for has come.
    Timer,
    /// Another controller introduced itself.
    Hello(Node),
    /// A message of the agreement.
    Consensus {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// Storage synced all writes up to this one.
    Stored {
        /// The number of the last synced write.
        sequence: u64,
    },
    /// A customer's call.
    Call {
        /// Who waits.
        ticket: Ticket,
        /// The call.
        call: Call,
    },
    /// An operator's order.
    Operator {
        /// Who waits.
        ticket: Ticket,
        /// The order.
        request: OperatorRequest,
    },
    /// A worker's heartbeat.
    Heartbeat {
        /// Who waits.
        ticket: Ticket,
        /// What it says.
        report: Box<Report>,
    },
    /// A worker is gone by its own word.
    Leave {
        /// Who waits.
        ticket: Ticket,
        /// The worker.
        name: WorkerName,
        /// Its incarnation, if it was said.
        incarnation: Option<Incarnation>,
        /// What has ended there and wasn't acknowledged.
        ended: Vec<Ended>,
    },
    /// A gateway asks how this controller stands.
    Probe {
        /// Who waits.
        ticket: Ticket,
    },
}

/// What somebody is told.
#[derive(Clone, Debug)]
pub enum Answer {
    /// To a customer's call.
    Reply(Reply),
    /// To an operator's order.
    Operator(OperatorReply),
    /// To a heartbeat.
    Heartbeat(HeartbeatResponse),
    /// To a heartbeat that changes nothing, or to a worker that left.
    Acknowledged,
    /// Another controller leads, perhaps.
    Redirect(Option<Node>),
    /// To a gateway's probe.
    Status(ControllerStatus),
}

impl Answer {
    /// Its name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Reply(reply) => reply.name(),
            Self::Operator(OperatorReply::Stored) => "stored",
            Self::Operator(OperatorReply::Config(_)) => "config",
            Self::Operator(OperatorReply::NoConfig) => "no_config",
            Self::Operator(OperatorReply::Unknown) => "unknown",
            Self::Heartbeat(_) => "orders",
            Self::Acknowledged => "noted",
            Self::Redirect(_) => "elsewhere",
            Self::Status(_) => "standing",
        }
    }
}

/// Something to do.
#[derive(Debug)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// The addressee.
        to: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// Make a write durable and answer with [`Event::Stored`].
    Store(Write),
    /// Tell who waits.
    Answer {
        /// Who.
        ticket: Ticket,
        /// What.
        answer: Answer,
        /// After this time the answer must not leave any more: another controller may lead.
        until: Option<Time>,
    },
    /// Tell the log and the metrics.
    LogEvent(LogEvent),
}

/// What the log and the metrics are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The role in the agreement changed.
    Role {
        /// The role now.
        role: Role,
        /// The term.
        term: Term,
        /// The leader, if it is known.
        leader: Option<InstanceId>,
    },
    /// This controller begins to lead.
    Leading {
        /// The fencing token.
        epoch: Epoch,
        /// Jobs that go on.
        jobs: usize,
        /// Runs whose workers must be heard or waited out.
        runs: usize,
    },
    /// A configuration is in force.
    Configured {
        /// Its version.
        version: u64,
        /// How many queues it has.
        queues: usize,
    },
    /// A job was accepted, has ended or was refused.
    Job {
        /// Its number.
        id: String,
        /// What became of it.
        state: &'static str,
        /// Its queue.
        queue: String,
        /// Milliseconds since it was accepted.
        age_ms: u64,
    },
    /// Tasks of a step were started.
    Started {
        /// The step.
        step: String,
        /// How many.
        tasks: u32,
        /// How many of its tasks still wait.
        waiting: u32,
        /// The last worker chosen.
        worker: String,
        /// Milliseconds since the job was accepted or its occurrence was due.
        age_ms: u64,
    },
    /// A proposal was committed; counted only.
    Committed {
        /// How many records it holds.
        records: usize,
        /// How long it took.
        took: Duration,
    },
    /// A run ended otherwise than as done.
    Ended {
        /// The task.
        task: String,
        /// The run.
        run: u32,
        /// How.
        ending: &'static str,
        /// The worker.
        worker: String,
    },
    /// A worker was heard first, is leaving or is lost.
    Worker {
        /// Its name.
        name: String,
        /// What became of it.
        state: &'static str,
        /// Milliseconds since it was heard.
        silent_ms: u64,
        /// Runs there.
        runs: usize,
    },
    /// The members of the agreement change.
    Members {
        /// How.
        change: String,
    },
    /// An entry or a snapshot can't be read.
    Unreadable {
        /// Its position.
        index: Index,
        /// Why.
        reason: String,
    },
    /// The agreement's chart has no rule for what happened.
    Unhandled {
        /// What.
        reason: String,
    },
}
