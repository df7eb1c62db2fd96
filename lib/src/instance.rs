//! A whole instance as one state machine: its replicated log, scheduler, router and directory.
//!
//! The daemon runs each component in its own thread; [`Instance`] runs them in turn, for front ends
//! without threads, property tests and model checks. Both use the same components.

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

/// The settings of an instance.
#[derive(Clone, Debug)]
pub struct Config {
    /// The settings of the replicated log.
    pub replicated_log: ReplicatedLogConfig,
    /// The settings of the directory.
    pub directory: DirectoryConfig,
    /// The settings of the router.
    pub router: RouterConfig,
    /// The settings of the scheduler.
    pub scheduler: SchedulerConfig,
    /// The seed of the router and the scheduler.
    pub seed: u64,
}

/// The components of an instance.
#[derive(Debug)]
pub struct Instance {
    /// Consensus and the ledger.
    pub replicated_log: ReplicatedLog,
    /// The other instances and the targets.
    pub directory: Directory,
    /// The routing of requests.
    pub router: RouterComponent,
    /// The placement of tasks.
    pub scheduler: SchedulerComponent,
}

impl Instance {
    /// Creates an instance from the state that storage recovered, and appends its first effects to
    /// `effects`.
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

    /// Handles an event and appends the resulting effects to `effects`.
    pub fn handle(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        self.run(now, vec![Output::Event(event)], effects);
    }

    /// Sends a timer event to every component whose deadline has come.
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
        let log_or_directory =
            earliest(self.replicated_log.next_deadline(), self.directory.next_deadline());
        let router_or_scheduler =
            earliest(self.router.next_deadline(), self.scheduler.next_deadline());
        earliest(log_or_directory, router_or_scheduler)
    }

    /// Passes events between the components in order, until only effects are left.
    fn run(&mut self, now: Time, out: Vec<Output>, effects: &mut Vec<Effect>) {
        let mut queue = std::collections::VecDeque::from(out);
        let mut outputs = Vec::new();
        while let Some(output) = queue.pop_front() {
            match output {
                Output::Effect(effect) => effects.push(effect),
                Output::Event(Event::ReplicatedLog(event)) => {
                    self.replicated_log.handle(now, event, &mut outputs)
                }
                Output::Event(Event::Scheduler(event)) => {
                    self.scheduler.handle(now, event, &mut outputs);
                }
                Output::Event(Event::Router(event)) => self.router.handle(now, event, &mut outputs),
                Output::Event(Event::Directory(event)) => {
                    self.directory.handle(now, event, &mut outputs);
                }
            }
            queue.extend(outputs.drain(..));
        }
    }
}
