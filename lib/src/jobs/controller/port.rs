//! The inputs and outputs of a controller.

use core::{net::SocketAddr, time::Duration};

use crate::{
    consensus::{chart::Role, log::Write, message::Message, port::StepDown},
    ids::{DataCentre, Epoch, Incarnation, Index, InstanceId, Term, WorkerName},
    jobs::{
        call::{Call, OperatorReply, OperatorRequest, Reply},
        controller::evacuate::{CentreLoad, EvacuationState},
        hello::Hello,
        link::{ControllerStatus, LinkMessage},
        obstacle::ObstacleGroup,
        record::Node,
        report::{Ended, Report},
        response::HeartbeatResponse,
        voters::{AbsentVoter, MemberCounts},
    },
    resources::Resources,
    time::Time,
};

/// Identifies the requester that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ticket {
    /// A request to this controller's front end.
    Front(u64),
    /// A call forwarded over a connection from another instance.
    Link {
        /// The connection.
        connection: u64,
        /// The number of the call on that connection.
        number: u64,
    },
}

/// An input of the controller.
#[derive(Debug)]
pub enum Event {
    /// The deadline given by [`next_deadline`](super::Controller::next_deadline) has passed.
    Timer,
    /// A controller announced itself.
    Hello(Hello),
    /// The addresses of controllers that the settings name now.
    Seeds(Vec<SocketAddr>),
    /// This controller is to shut down. It answers with [`Effect::MayStop`].
    ShutDown,
    /// A consensus message.
    Consensus {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// Storage has synced all writes up to this one.
    Stored {
        /// The sequence number of the last synced write.
        sequence: u64,
    },
    /// A customer's call.
    Call {
        /// The requester.
        ticket: Ticket,
        /// The call.
        call: Call,
    },
    /// An operator's request.
    Operator {
        /// The requester.
        ticket: Ticket,
        /// The request.
        request: OperatorRequest,
    },
    /// A worker's heartbeat.
    Heartbeat {
        /// The requester.
        ticket: Ticket,
        /// The content of the heartbeat.
        report: Box<Report>,
    },
    /// A worker announces that it leaves.
    Leave {
        /// The requester.
        ticket: Ticket,
        /// The worker's name.
        name: WorkerName,
        /// Its incarnation, if given.
        incarnation: Option<Incarnation>,
        /// The runs that have ended and weren't acknowledged.
        ended: Vec<Ended>,
    },
    /// A gateway asks for the status of this controller.
    Probe {
        /// The requester.
        ticket: Ticket,
    },
}

/// An answer to a request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The reply to a customer's call.
    Reply(Reply),
    /// The reply to an operator's request.
    Operator(OperatorReply),
    /// The response to a heartbeat.
    Heartbeat(HeartbeatResponse),
    /// Acknowledges a heartbeat without a response, or a worker's leave.
    Acknowledged,
    /// This controller doesn't lead; names the leader, if known.
    Redirect(Option<Node>),
    /// The answer to a gateway's probe.
    Status(ControllerStatus),
}

impl Answer {
    /// The name of the answer in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Reply(reply) => reply.name(),
            Self::Operator(OperatorReply::Stored) => "stored",
            Self::Operator(OperatorReply::Config(_)) => "config",
            Self::Operator(OperatorReply::NoConfig) => "no_config",
            Self::Operator(OperatorReply::NoCentre) => "no_centre",
            Self::Operator(OperatorReply::TooManyCentres) => "too_many_centres",
            Self::Operator(OperatorReply::Unknown) => "unknown",
            Self::Heartbeat(_) => "orders",
            Self::Acknowledged => "noted",
            Self::Redirect(_) => "elsewhere",
            Self::Status(_) => "standing",
        }
    }
}

/// An output of the controller.
#[derive(Debug)]
pub enum Effect {
    /// Send a message. It may be lost.
    Send {
        /// The address of the recipient.
        to: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// Make a write durable and report it with [`Event::Stored`].
    Store(Write),
    /// Answer a request.
    Answer {
        /// The requester.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
        /// The answer must not be sent after this time, since another controller may lead by then.
        until: Option<Time>,
    },
    /// This controller, which is to shut down, may stop: it has handed over its vote, or no other
    /// controller can take it over.
    MayStop {
        /// Whether it still votes.
        votes: bool,
    },
    /// Report an event to the log and the metrics.
    LogEvent(LogEvent),
}

/// A run whose end isn't known when its worker leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownEnd {
    /// The task.
    pub task: String,
    /// The run.
    pub run: u32,
    /// Its progress by the last heartbeat, in percent.
    pub percent: u8,
    /// The time since it was started.
    pub age: Duration,
    /// The customer's estimate of its duration; zero if it is long-running.
    pub estimate: Duration,
    /// Whether the worker was told to stop it.
    pub stopping: bool,
}

/// An event for the log and the metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The consensus role changed.
    Role {
        /// The new role.
        role: Role,
        /// The term.
        term: Term,
        /// The leader, if it is known.
        leader: Option<InstanceId>,
    },
    /// This controller led and gave up leadership.
    SteppedDown(StepDown),
    /// This controller starts to lead.
    Leading {
        /// The fencing token.
        epoch: Epoch,
        /// The number of jobs that haven't ended.
        jobs: usize,
        /// The number of runs that may still be in progress.
        runs: usize,
    },
    /// This controller starts to lead with recorded estimates of interference.
    EstimatesRestored {
        /// The number of pairs of images.
        pairs: usize,
        /// The number of serving images with a baseline.
        images: usize,
    },
    /// A configuration is in force.
    Configured {
        /// Its version.
        version: u64,
        /// The number of queues.
        queues: usize,
    },
    /// A job was accepted or has ended.
    Job {
        /// The job's identifier.
        id: String,
        /// The new state of the job.
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
        /// The number of started tasks.
        tasks: u32,
        /// The number of tasks of the step that still wait.
        waiting: u32,
        /// The worker of the last started task.
        worker: String,
        /// The time since the job was accepted or its occurrence was due, in milliseconds.
        age_ms: u64,
    },
    /// Tasks of a step wait for a better placement, although they could start elsewhere.
    NearWait {
        /// The step.
        step: String,
        /// The number of its tasks that wait.
        tasks: usize,
        /// The rack that they wait for.
        rack: String,
        /// In how many milliseconds room for the first of them is expected there.
        expected_ms: u64,
        /// In how many milliseconds the wait ends.
        until_ms: u64,
        /// The probability that the expectation is right, in percent.
        right_percent: u32,
        /// The worker that the first of them could start on now.
        alternative: String,
    },
    /// All tasks of a step that has waited for a better placement have started.
    NearWaitEnded {
        /// The step.
        step: String,
        /// The rack that it waited for.
        rack: String,
        /// The number of tasks that started there; 1 for a gang.
        near: u32,
        /// The number of tasks that started elsewhere; 1 for a gang.
        far: u32,
        /// Why the last of these did; `None` if none did.
        reason: Option<&'static str>,
        /// The time since the wait began, in milliseconds.
        waited_ms: u64,
    },
    /// A proposal was committed. Reported in metrics only.
    Committed {
        /// The number of records in it.
        records: usize,
        /// The time from the proposal to its commit.
        took: Duration,
    },
    /// A run ended without completing its task.
    Ended {
        /// The task.
        task: String,
        /// The run.
        run: u32,
        /// How it ended.
        ending: &'static str,
        /// The worker.
        worker: String,
    },
    /// A worker joined, is leaving or was lost.
    Worker {
        /// Its name.
        name: String,
        /// What happened to it.
        state: &'static str,
        /// The time since its last heartbeat, in milliseconds.
        silent_ms: u64,
        /// The number of its runs.
        runs: usize,
    },
    /// A worker leaves now. The ends of its last runs may not be known.
    Leave {
        /// Its name.
        worker: String,
        /// The time since its last heartbeat.
        silent: Duration,
        /// The time since it reported first that it would leave.
        notice: Duration,
        /// The number of its runs whose end isn't known.
        runs: usize,
        /// The one of these that had progressed most.
        last: Option<UnknownEnd>,
    },
    /// Ends that a worker lists begin or cease to be withheld from its acknowledgements.
    Withheld {
        /// The name of the worker.
        worker: String,
        /// The number of ends that are withheld.
        ends: usize,
        /// The task of the first of them.
        task: Option<String>,
        /// The number up to which the worker's ends are acknowledged.
        acknowledged: u64,
        /// Whether the worker was removed before and has returned.
        returned: bool,
    },
    /// A heartbeat names no worker to use and was ignored.
    Ignored {
        /// The name in the heartbeat.
        name: String,
        /// Why it was ignored.
        reason: &'static str,
    },
    /// A worker reports another capacity than before.
    Resized {
        /// Its name.
        name: String,
        /// The capacity that it had.
        before: Resources,
        /// The capacity that it has now.
        after: Resources,
        /// The resources that its runs reserve.
        reserved: Resources,
        /// The number of its runs.
        runs: usize,
    },
    /// A worker has crashed, and tasks that it had just started may be the cause.
    Crash {
        /// The name of the worker.
        worker: String,
        /// The tasks, with the number of crashes that each of them may have caused.
        suspects: Vec<(String, u32)>,
    },
    /// A task has crashed too many workers, and its job fails.
    GivenUp {
        /// The task.
        task: String,
        /// The number of crashes.
        crashes: u32,
    },
    /// Long-running tasks that have run before wait for long.
    Stranded {
        /// The step that has waited longest.
        step: String,
        /// The number of its tasks that wait.
        tasks: usize,
        /// The number of these that may have crashed a worker.
        suspects: usize,
        /// For how long the step has waited, in milliseconds.
        waited_ms: u64,
        /// The number of steps that have waited for long.
        all_steps: usize,
        /// The number of tasks of these steps that wait.
        all_tasks: usize,
        /// The step with the smallest tasks.
        smallest: String,
        /// What one of these requests.
        needs: Resources,
        /// The workers by what keeps each of them from running the smallest task that it may run.
        workers: Vec<(&'static str, ObstacleGroup)>,
    },
    /// A worker has listed room for a long-running task that has run before and waits for long.
    Vacant {
        /// The name of the worker.
        worker: String,
        /// Its room by its last list of runs.
        listed: Resources,
        /// Its room as the leader sees it.
        free: Resources,
        /// The smallest step that fits.
        step: String,
        /// What a task of the step requests.
        needs: Resources,
        /// What keeps the worker from running it.
        obstacle: &'static str,
        /// For how long the worker is still avoided; `None` if it isn't.
        avoided: Option<Duration>,
        /// The number of starts that it hasn't listed.
        unlisted: usize,
        /// The age of the oldest of these; zero if there is none.
        oldest: Duration,
    },
    /// Workers haven't listed starts for long.
    Unlisted {
        /// The number of starts.
        starts: usize,
        /// The number of workers.
        workers: usize,
        /// The task of the oldest start.
        task: String,
        /// The worker of that start.
        worker: String,
        /// The time since the decision on that start.
        age: Duration,
        /// Whether the worker may have received it.
        sent: bool,
        /// Whether a heartbeat of the worker is held.
        held: bool,
    },
    /// The evacuation of a data centre begins, goes on, is complete or is cancelled.
    Evacuation {
        /// The data centre.
        centre: DataCentre,
        /// The state of its evacuation.
        state: EvacuationState,
        /// What is left there.
        left: CentreLoad,
    },
    /// The membership of the consensus group changes.
    Members {
        /// The requested change.
        change: String,
    },
    /// Fewer controllers vote than the leader aims at.
    TooFewVoters {
        /// The controllers.
        counts: MemberCounts,
        /// The voters that are silent or shut down.
        absent: Vec<AbsentVoter>,
    },
    /// As many controllers vote as the leader aims at, after too few.
    EnoughVoters {
        /// The controllers.
        counts: MemberCounts,
        /// For how long there were too few.
        after: Duration,
    },
    /// The first sign of life of a controller, or the first after it was silent.
    ControllerHeard {
        /// The address of the controller.
        peer: SocketAddr,
        /// The sender of the hello: the controller itself, or one that has heard it.
        from: SocketAddr,
    },
    /// No leader has been known for long.
    NoLeader {
        /// For how long.
        waited: Duration,
        /// The controllers that are greeted: the seeds, the members and those that were heard of.
        asked: Vec<SocketAddr>,
        /// Those of them that have answered.
        heard: Vec<SocketAddr>,
    },
    /// A change of the consensus group's members is committed.
    MembersCommitted {
        /// The members that vote from now on.
        voters: Vec<InstanceId>,
        /// The members that only receive the log.
        learners: Vec<InstanceId>,
    },
    /// A log entry or a snapshot can't be decoded.
    Unreadable {
        /// The log index.
        index: Index,
        /// The decoding error.
        reason: String,
    },
    /// The consensus chart has no transition for an event.
    Unhandled {
        /// The event and the role.
        reason: String,
    },
}
