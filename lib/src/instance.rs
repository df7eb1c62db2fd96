//! A whole instance as one machine: its council, scheduler, router and directory.
//!
//! The daemon runs each part in a thread of its own; [`Instance`] runs them one after the other,
//! for front ends without threads, property tests and model checks. Both use the same parts.

use crate::{
    consensus::log::Recovered,
    directory::{Config as DirectoryConfig, Directory},
    instance::{
        components::{RouterComponent, SchedulerComponent},
        port::{Effect, Event, Output},
    },
    ledger::DecodeError,
    replicated_log::{Config as ReplicatedLogConfig, ReplicatedLog},
    router::Config as RouterConfig,
    scheduler::config::Config as SchedulerConfig,
    time::{Time, earliest},
};

pub mod components;
pub mod port;

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// For the council's part.
    pub replicated_log: ReplicatedLogConfig,
    /// For the directory.
    pub directory: DirectoryConfig,
    /// For the router.
    pub router: RouterConfig,
    /// For the scheduler.
    pub scheduler: SchedulerConfig,
    /// Seeds what is drawn at random.
    pub seed: u64,
}

/// The parts of an instance.
#[derive(Debug)]
pub struct Instance {
    /// The agreed log and the ledger.
    pub replicated_log: ReplicatedLog,
    /// Other instances and targets.
    pub directory: Directory,
    /// Requests.
    pub router: RouterComponent,
    /// Placement.
    pub scheduler: SchedulerComponent,
}

impl Instance {
    /// Goes on from what storage found; `effects` gets what is to be done at once.
    ///
    /// # Errors
    ///
    /// The snapshot can't be decoded.
    pub fn new(
        config: Config,
        recovered: Recovered,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> Result<Self, DecodeError> {
        let me = config.replicated_log.me.clone();
        let mut instance = Self {
            replicated_log: ReplicatedLog::new(config.replicated_log, recovered, now)?,
            directory: Directory::new(config.directory, now),
            router: RouterComponent::new(me.instance, config.router, now, config.seed),
            scheduler: SchedulerComponent::new(me.centre, config.scheduler, now, config.seed),
        };
        let mut out = Vec::new();
        instance.replicated_log.start(now, &mut out);
        instance.run(now, out, effects);
        Ok(instance)
    }

    /// Takes in an event and adds what the edges are to do to `effects`.
    pub fn handle(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        self.run(now, vec![Output::Event(event)], effects);
    }

    /// Lets every part whose deadline has come act.
    pub fn tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let due = |deadline: Option<Time>| deadline.is_some_and(|at| at <= now);
        let mut out = Vec::new();
        if due(self.replicated_log.next_deadline()) {
            out.push(Output::replicated_log(crate::replicated_log::port::Event::Timer));
        }
        if due(self.directory.next_deadline()) {
            out.push(Output::directory(crate::directory::port::Event::Timer));
        }
        if due(self.router.next_deadline()) {
            out.push(Output::router(crate::router::port::Event::Timer));
        }
        if due(self.scheduler.next_deadline()) {
            out.push(Output::scheduler(crate::scheduler::port::Event::Timer));
        }
        self.run(now, out, effects);
    }

    /// When [`Self::tick`] is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let replicated_log =
            earliest(self.replicated_log.next_deadline(), self.directory.next_deadline());
        let router = earliest(self.router.next_deadline(), self.scheduler.next_deadline());
        earliest(replicated_log, router)
    }

    /// Passes events between the parts, in order, until only the edges have something to do.
    fn run(&mut self, now: Time, out: Vec<Output>, effects: &mut Vec<Effect>) {
        let mut waiting = std::collections::VecDeque::from(out);
        let mut made = Vec::new();
        while let Some(output) = waiting.pop_front() {
            match output {
                Output::Effect(effect) => effects.push(effect),
                Output::Event(Event::ReplicatedLog(event)) => {
                    self.replicated_log.handle(now, event, &mut made)
                }
                Output::Event(Event::Scheduler(event)) => {
                    self.scheduler.handle(now, event, &mut made);
                }
                Output::Event(Event::Router(event)) => self.router.handle(now, event, &mut made),
                Output::Event(Event::Directory(event)) => {
                    self.directory.handle(now, event, &mut made);
                }
            }
            waiting.extend(made.drain(..));
        }
    }
}
