//! Where the duties' outputs go: one ring for each duty.

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

/// What the front is told.
#[derive(Debug)]
pub enum FrontEvent {
    /// The answer to a command or a question.
    Answer(u64, Box<Answer>),
    /// What became of a request.
    RequestAnswer(RequestId, router::RequestOutcome),
    /// The answer to an announcement.
    AnnounceAnswer(u64, Result<LeaseAnswer, String>),
    /// A policy is in force.
    Policy(Arc<Policy>),
    /// A worker or a task as the scheduler sees it.
    Explanation(u64, Option<serde_json::Value>),
    /// What the router counted for the burn report.
    BurnReport(u64, Box<burn::Report>),
}

/// The sending ends of all rings.
#[derive(Clone, Debug)]
pub struct Rings {
    /// To the council's duty.
    pub replicated_log: RingSender<replicated_log::Event>,
    /// To storage.
    pub storage: RingSender<Write>,
    /// To the scheduler.
    pub scheduler: RingSender<SchedulerInput>,
    /// To the router.
    pub router: RingSender<RouterInput>,
    /// To the front.
    pub front: RingSender<FrontEvent>,
    /// To the peers' duty.
    pub peers: RingSender<PeersInput>,
    /// To dispatch.
    pub dispatch: RingSender<DispatchCommand>,
    /// To the duty that saves the burn report's counts.
    pub counts: RingSender<CountsInput>,
    /// To the log and the metrics.
    pub log_events: RingSender<LogEvent>,
}

impl Rings {
    /// How every ring stands.
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

/// What one duty passes on to all others.
#[derive(Debug)]
pub struct Outboxes {
    own: Arc<RingStats>,
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
    /// Empty outboxes of the duty that takes from the ring `own` counts.
    pub fn new(rings: &Rings, own: &Arc<RingStats>) -> Self {
        Self {
            own: own.clone(),
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

    /// Passes an output on.
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

    /// Passes on what waits; how many items still do.
    pub fn flush(&mut self) -> usize {
        let waiting = self.replicated_log.flush()
            + self.storage.flush()
            + self.scheduler.flush()
            + self.router.flush()
            + self.front.flush()
            + self.peers.flush()
            + self.dispatch.flush();
        set_backlog(&self.own, waiting);
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
            // A line in the log may be lost; work may not wait for it.
            Effect::Log(event) => drop(self.log_events.push(event)),
        }
    }

    /// Tells the front what the scheduler knows of a worker or a task.
    pub fn send_explanation(&mut self, ticket: u64, explanation: Option<serde_json::Value>) {
        self.front.send(FrontEvent::Explanation(ticket, explanation));
    }

    /// Tells the front what the router counted.
    pub fn send_burn_report(&mut self, ticket: u64, report: burn::Report) {
        self.front.send(FrontEvent::BurnReport(ticket, Box::new(report)));
    }

    /// Has the router's counts saved; if there is no room, the next ones will do.
    pub fn save_counts(&mut self, snapshot: burn::Snapshot) {
        drop(self.counts.push(CountsInput::Counts(Box::new(snapshot))));
    }
}
