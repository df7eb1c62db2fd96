//! Routes the outputs of a duty to the rings of the others.

use std::sync::Arc;

use hickorylink_lib::{
    burn,
    consensus::log::Write,
    ids::RequestId,
    instance::port::{Answer, DispatchCommand, Effect, Event, LogEvent, Output},
    policy::Policy,
    replicated_log::port as replicated_log,
    router::port as router,
    worker::LeaseAnswer,
};

use crate::{
    duty::{
        counts::Input as CountsInput, peers::Input as PeersInput, router::Input as RouterInput,
        scheduler::Input as SchedulerInput,
    },
    ring::{Outbox, RingReading, RingSender, RingStats, set_backlog},
};

/// What the front end's ring carries.
#[derive(Debug)]
pub enum FrontEvent {
    /// The answer to a command or a query, by its ticket.
    Answer(u64, Box<Answer>),
    /// The outcome of a request.
    RequestAnswer(RequestId, router::RequestOutcome),
    /// The answer to a worker's announcement, by its ticket.
    AnnounceAnswer(u64, Result<LeaseAnswer, String>),
    /// A new policy is in force.
    Policy(Arc<Policy>),
    /// The scheduler's explanation of a worker or a task, by its ticket; `None` if the scheduler
    /// doesn't know the item.
    Explanation(u64, Option<serde_json::Value>),
    /// The router's burn report, by its ticket.
    BurnReport(u64, Box<burn::Report>),
}

/// The senders of all rings.
#[derive(Clone, Debug)]
pub struct Rings {
    /// To the replicated log.
    pub replicated_log: RingSender<replicated_log::Event>,
    /// To storage.
    pub storage: RingSender<Write>,
    /// To the scheduler.
    pub scheduler: RingSender<SchedulerInput>,
    /// To the router.
    pub router: RingSender<RouterInput>,
    /// To the HTTP front end.
    pub front: RingSender<FrontEvent>,
    /// To the duty that exchanges messages with other instances.
    pub peers: RingSender<PeersInput>,
    /// To the duty that calls targets and workers.
    pub dispatch: RingSender<DispatchCommand>,
    /// To the duty that saves the burn report's counts.
    pub counts: RingSender<CountsInput>,
    /// To the log and the metrics.
    pub log_events: RingSender<LogEvent>,
}

impl Rings {
    /// The fill level and counters of every ring.
    pub fn readings(&self) -> Vec<RingReading> {
        vec![
            self.replicated_log.reading(),
            self.storage.reading(),
            self.scheduler.reading(),
            self.router.reading(),
            self.front.reading(),
            self.peers.reading(),
            self.dispatch.reading(),
            self.counts.reading(),
            self.log_events.reading(),
        ]
    }
}

/// The outboxes of one duty, one for each duty that it sends to. Counts and log events have none:
/// they are dropped if the ring is full.
#[derive(Debug)]
pub struct Outboxes {
    own_stats: Arc<RingStats>,
    replicated_log: Outbox<replicated_log::Event>,
    storage: Outbox<Write>,
    scheduler: Outbox<SchedulerInput>,
    router: Outbox<RouterInput>,
    front: Outbox<FrontEvent>,
    peers: Outbox<PeersInput>,
    dispatch: Outbox<DispatchCommand>,
    counts: RingSender<CountsInput>,
    log_events: RingSender<LogEvent>,
}

impl Outboxes {
    /// Empty outboxes of the duty whose own ring has these statistics.
    pub fn new(rings: &Rings, own_stats: &Arc<RingStats>) -> Self {
        Self {
            own_stats: own_stats.clone(),
            replicated_log: Outbox::new(&rings.replicated_log),
            storage: Outbox::new(&rings.storage),
            scheduler: Outbox::new(&rings.scheduler),
            router: Outbox::new(&rings.router),
            front: Outbox::new(&rings.front),
            peers: Outbox::new(&rings.peers),
            dispatch: Outbox::new(&rings.dispatch),
            counts: rings.counts.clone(),
            log_events: rings.log_events.clone(),
        }
    }

    /// Queues an output for the duty that handles it.
    pub fn send(&mut self, output: Output) {
        match output {
            Output::Event(Event::ReplicatedLog(event)) => self.replicated_log.send(event),
            Output::Event(Event::Scheduler(event)) => {
                self.scheduler.send(SchedulerInput::Event(event))
            }
            Output::Event(Event::Router(event)) => self.router.send(event),
            Output::Event(Event::Directory(event)) => self.peers.send(PeersInput::Event(event)),
            Output::Effect(effect) => self.send_effect(effect),
        }
    }

    /// Sends what is queued as far as the rings have room; returns how many items remain.
    pub fn flush(&mut self) -> usize {
        let waiting = self.replicated_log.flush()
            + self.storage.flush()
            + self.scheduler.flush()
            + self.router.flush()
            + self.front.flush()
            + self.peers.flush()
            + self.dispatch.flush();
        set_backlog(&self.own_stats, waiting);
        waiting
    }

    fn send_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Store(write) => self.storage.send(write),
            Effect::Send { to, message } => self.peers.send(PeersInput::Send { to, message }),
            Effect::Dispatch(command) => self.dispatch.send(command),
            Effect::AnnounceAnswer { ticket, answer } => {
                self.front.send(FrontEvent::AnnounceAnswer(ticket, answer));
            }
            Effect::RequestAnswer { request, outcome } => {
                self.front.send(FrontEvent::RequestAnswer(request, outcome));
            }
            Effect::Answer { ticket, answer } => {
                self.front.send(FrontEvent::Answer(ticket, answer))
            }
            Effect::Policy(policy) => self.front.send(FrontEvent::Policy(policy)),
            Effect::Drained => self.peers.send(PeersInput::Drained),
            Effect::HandedOver => self.peers.send(PeersInput::HandedOver),
            // A log line may be dropped if the ring is full: no duty waits for the log.
            Effect::Log(event) => drop(self.log_events.push(event)),
        }
    }

    /// Sends the front end the scheduler's explanation of a worker or a task.
    pub fn send_explanation(&mut self, ticket: u64, explanation: Option<serde_json::Value>) {
        self.front.send(FrontEvent::Explanation(ticket, explanation));
    }

    /// Sends the front end the router's burn report.
    pub fn send_burn_report(&mut self, ticket: u64, report: burn::Report) {
        self.front.send(FrontEvent::BurnReport(ticket, Box::new(report)));
    }

    /// Has the router's counts saved. If the ring is full they are dropped, as later ones follow.
    pub fn save_counts(&mut self, snapshot: burn::Snapshot) {
        drop(self.counts.push(CountsInput::Counts(Box::new(snapshot))));
    }
}
