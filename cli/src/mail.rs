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
    duty::{counts::Save, peers::Post, router::Job as RouterJob, scheduler::Job},
    ring::{Outbox, RingReading, RingSender, RingStats, set_backlog},
};

/// What the front is told.
#[derive(Debug)]
pub enum FrontNews {
    /// The answer to a command or a question.
    Answer(u64, Box<Answer>),
    /// What became of a request.
    Request(RequestId, router::RequestOutcome),
    /// The answer to an announcement.
    Announce(u64, Result<LeaseAnswer, String>),
    /// A policy is in force.
    Policy(Arc<Policy>),
    /// A worker or a task as the scheduler sees it.
    Explained(u64, Option<serde_json::Value>),
    /// What the router counted for the burn report.
    Burn(u64, Box<burn::Report>),
}

/// The sending ends of all rings.
#[derive(Clone, Debug)]
pub struct Rings {
    /// To the council's duty.
    pub replicated_log: RingSender<replicated_log::Event>,
    /// To storage.
    pub storage: RingSender<Write>,
    /// To the scheduler.
    pub scheduler: RingSender<Job>,
    /// To the router.
    pub router: RingSender<RouterJob>,
    /// To the front.
    pub front: RingSender<FrontNews>,
    /// To the peers' duty.
    pub peers: RingSender<Post>,
    /// To dispatch.
    pub dispatch: RingSender<DispatchCommand>,
    /// To the duty that saves the burn report's counts.
    pub counts: RingSender<Save>,
    /// To the log and the metrics.
    pub notes: RingSender<LogEvent>,
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
            self.notes.reading(),
        ]
    }
}

/// What one duty passes on to all others.
#[derive(Debug)]
pub struct Mail {
    own: Arc<RingStats>,
    replicated_log: Outbox<replicated_log::Event>,
    storage: Outbox<Write>,
    scheduler: Outbox<Job>,
    router: Outbox<RouterJob>,
    front: Outbox<FrontNews>,
    peers: Outbox<Post>,
    dispatch: Outbox<DispatchCommand>,
    counts: RingSender<Save>,
    notes: RingSender<LogEvent>,
}

impl Mail {
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
            notes: rings.notes.clone(),
        }
    }

    /// Passes an output on.
    pub fn deliver(&mut self, output: Output) {
        match output {
            Output::Event(Event::ReplicatedLog(event)) => self.replicated_log.send(event),
            Output::Event(Event::Scheduler(event)) => self.scheduler.send(Job::Event(event)),
            Output::Event(Event::Router(event)) => self.router.send(event),
            Output::Event(Event::Directory(event)) => self.peers.send(Post::Event(event)),
            Output::Effect(effect) => self.effect(effect),
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

    fn effect(&mut self, effect: Effect) {
        match effect {
            Effect::Store(write) => self.storage.send(write),
            Effect::Send { to, message } => self.peers.send(Post::Send { to, message }),
            Effect::Dispatch(order) => self.dispatch.send(order),
            Effect::AnnounceAnswer { ticket, answer } => {
                self.front.send(FrontNews::Announce(ticket, answer));
            }
            Effect::RequestAnswer { request, outcome } => {
                self.front.send(FrontNews::Request(request, outcome));
            }
            Effect::Answer { ticket, answer } => self.front.send(FrontNews::Answer(ticket, answer)),
            Effect::Policy(policy) => self.front.send(FrontNews::Policy(policy)),
            Effect::Drained => self.peers.send(Post::Drained),
            // A line in the log may be lost; work may not wait for it.
            Effect::Log(note) => drop(self.notes.push(note)),
        }
    }

    /// Tells the front what the scheduler knows of a worker or a task.
    pub fn explain(&mut self, ticket: u64, explained: Option<serde_json::Value>) {
        self.front.send(FrontNews::Explained(ticket, explained));
    }

    /// Tells the front what the router counted.
    pub fn burn(&mut self, ticket: u64, report: burn::Report) {
        self.front.send(FrontNews::Burn(ticket, Box::new(report)));
    }

    /// Has the router's counts saved; if there is no room, the next ones will do.
    pub fn counts(&mut self, snapshot: burn::Snapshot) {
        drop(self.counts.push(Save::Counts(Box::new(snapshot))));
    }
}
