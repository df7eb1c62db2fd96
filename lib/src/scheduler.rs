//! Places tasks on the workers of one data centre.
//!
//! The scheduler acts only while its instance holds the data centre's epoch. Its inputs are ledger
//! entries, worker announcements and the current policy; its outputs are proposals to the ledger
//! and commands to workers. Resources on a worker stay allocated from the decision to start an
//! attempt until the worker confirms that it stopped, or until the worker's lease has certainly
//! expired.

use std::{collections::BTreeMap, fmt, sync::Arc};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    ids::TaskId,
    interference::Interference,
    policy::Policy,
    scheduler::{
        charts::PhaseEvent,
        config::Config,
        estimate::Estimates,
        failures::KindOutcomes,
        fleet::Fleet,
        index::WorkerSlot,
        leadership::Leadership,
        port::{Effect, Event},
        queue::Queue,
        quota::Quota,
        spread::Spread,
        tasks::Tasks,
        timers::{Timer, Timers},
    },
    time::{Time, earliest},
    worker::WorkerCommand,
};

mod announce;
mod attempt;
pub mod charts;
pub mod config;
pub mod cost;
mod estimate;
pub mod explain;
mod failures;
mod fleet;
mod health;
mod index;
mod leadership;
mod ledger;
mod place;
pub mod port;
mod preempt;
pub mod queue;
mod quota;
mod samples;
mod spread;
mod tasks;
mod timers;

/// The scheduler of a data centre.
#[derive(Clone, Debug)]
pub struct Scheduler {
    config: Config,
    leadership: Leadership,
    policy: Arc<Policy>,
    tasks: Tasks,
    fleet: Fleet,
    quota: Quota,
    queue: Queue,
    spread: Spread,
    kinds: KindOutcomes,
    estimates: Estimates,
    interference: Interference,
    timers: Timers,
    /// Workers reserved for a waiting task.
    reservations: BTreeMap<TaskId, WorkerSlot>,
    /// Commands produced by the event that is being handled.
    outbox: BTreeMap<WorkerSlot, Vec<WorkerCommand>>,
    /// A buffer that is reused between placements to avoid allocating.
    candidate_buffer: Vec<WorkerSlot>,
    /// Whether a sweep timer is set.
    sweep_pending: bool,
    rng: ChaCha8Rng,
    /// The number of events that a chart doesn't handle, and a description of the last one.
    unhandled: (u64, Option<String>),
}

impl Scheduler {
    /// Creates a scheduler that holds no epoch. Equal seeds and events give equal effects.
    pub fn new(config: Config, now: Time, seed: u64) -> Self {
        Self {
            config,
            leadership: Leadership::none(now),
            policy: Arc::default(),
            tasks: Tasks::default(),
            fleet: Fleet::default(),
            quota: Quota::default(),
            queue: Queue::default(),
            spread: Spread::default(),
            kinds: KindOutcomes::default(),
            estimates: Estimates::default(),
            interference: Interference::default(),
            timers: Timers::default(),
            reservations: BTreeMap::new(),
            outbox: BTreeMap::new(),
            candidate_buffer: Vec::new(),
            sweep_pending: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
            unhandled: (0, None),
        }
    }

    /// Handles an event and appends the resulting effects.
    pub fn handle(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        self.fire_timers(now, effects);
        self.apply(now, event, effects);
        self.apply_interference_policy(now, effects);
        self.schedule(now, effects);
        self.flush(effects);
    }

    /// When the next [`Event::Timer`] is due.
    pub fn next_deadline(&self) -> Option<Time> {
        earliest(self.timers.next(), self.interference.next_deadline())
    }

    fn apply(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Timer => {}
            Event::Policy(policy) => {
                self.quota.set_policy(&policy);
                self.policy = policy;
                self.update_priorities(now);
                self.queue.wake_all(&self.quota);
            }
            Event::Shares(shares) => {
                self.quota.set_shares(&shares);
                self.queue.wake_all(&self.quota);
            }
            Event::Leadership { centre, epoch } => {
                self.leadership_changed(now, &centre, epoch, effects)
            }
            Event::LeadershipConfirmed => self.leadership.confirmed = now,
            Event::TaskOpened(open) => self.task_opened(now, &open, effects),
            Event::TaskCancelled { task } => self.task_cancelled(now, task, effects),
            Event::StartRecorded { attempt } => self.start_recorded(now, attempt, effects),
            Event::StartRefused { attempt } => {
                self.ledger_answered(now, attempt, PhaseEvent::Refused, effects);
            }
            Event::YieldRecorded { attempt } => {
                self.ledger_answered(now, attempt, PhaseEvent::YieldRecorded, effects);
            }
            Event::EndRecorded { attempt } => self.end_recorded(now, attempt, effects),
            Event::Announced { ticket, announcement } => {
                self.announced(now, ticket, &announcement, effects);
            }
            Event::Unreachable { worker } => {
                if let Some(slot) = self.fleet.find(&worker) {
                    self.step_worker(now, slot, charts::HealthEvent::Overdue, effects);
                }
            }
        }
    }

    /// Runs the timers that are due.
    fn fire_timers(&mut self, now: Time, effects: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.take(now) {
            match timer {
                Timer::Worker(slot) => self.worker_timer_fired(now, slot, effects),
                Timer::Record(id) => self.record_timer_fired(now, id, effects),
                Timer::Requeue(id) => self.requeue(now, id, effects),
                Timer::PriorLeasesExpired => self.expire_prior_leases(now, effects),
                Timer::DiscoveryOver => self.end_infeasible(now, effects),
                Timer::Sweep => self.sweep(now),
            }
        }
    }

    fn requeue(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        let delayed = self.tasks.get(id).is_some_and(|task| match task.stage {
            tasks::Stage::BackingOff => true,
            tasks::Stage::Waiting
            | tasks::Stage::Active(_)
            | tasks::Stage::AwaitingLedger
            | tasks::Stage::Ending(_) => false,
        });
        if delayed {
            self.enqueue(now, id, effects);
        }
    }

    fn schedule_sweep(&mut self, at: Time) {
        if !std::mem::replace(&mut self.sweep_pending, true) {
            self.timers.set(at, Timer::Sweep);
        }
    }

    /// Queues a command for a worker; the commands of one event are sent together.
    fn send(&mut self, slot: WorkerSlot, command: WorkerCommand) {
        self.outbox.entry(slot).or_default().push(command);
    }

    fn flush(&mut self, effects: &mut Vec<Effect>) {
        let Some(epoch) = self.leadership.epoch else {
            self.outbox.clear();
            return;
        };
        for (slot, commands) in std::mem::take(&mut self.outbox) {
            let worker = &self.fleet[slot];
            // Commands to a worker without a lease are dropped. When it announces itself, its
            // reports show again what it has to be told.
            if worker.leased() {
                effects.push(Effect::Command {
                    worker: worker.name.clone(),
                    address: worker.address.clone(),
                    epoch,
                    fence: worker.fence,
                    commands,
                });
            }
        }
    }

    fn unhandled(&mut self, unhandled: &impl fmt::Display) {
        self.unhandled.0 += 1;
        self.unhandled.1 = Some(unhandled.to_string());
    }
}
