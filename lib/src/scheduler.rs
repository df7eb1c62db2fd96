//! Placement of tasks on the workers of one data centre.
//!
//! The machine acts only while its instance holds the data centre's epoch. It takes in what the
//! ledger recorded, what workers say and the policy in force, and gives commands for the council
//! and for workers. A worker's room is held from the decision to start until the stop is
//! confirmed or the worker's lease has surely run out.

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
        failures::Kinds,
        fleet::Fleet,
        hold::Hold,
        index::WorkerSlot,
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
mod hold;
mod index;
mod interfere;
mod ledger;
mod place;
pub mod port;
mod preempt;
pub mod queue;
mod quota;
mod spread;
mod tasks;
mod timers;

/// The scheduler of a data centre.
#[derive(Clone, Debug)]
pub struct Scheduler {
    config: Config,
    hold: Hold,
    policy: Arc<Policy>,
    tasks: Tasks,
    fleet: Fleet,
    quota: Quota,
    queue: Queue,
    spread: Spread,
    kinds: Kinds,
    estimates: Estimates,
    interference: Interference,
    timers: Timers,
    /// Workers that are kept free, by the task that waits for them.
    reservations: BTreeMap<TaskId, WorkerSlot>,
    /// Commands of the event that is being handled.
    outbox: BTreeMap<WorkerSlot, Vec<WorkerCommand>>,
    /// Kept to spare allocations.
    candidates: Vec<WorkerSlot>,
    /// Whether a sweep is due.
    sweeping: bool,
    rng: ChaCha8Rng,
    unhandled: (u64, Option<String>),
}

impl Scheduler {
    /// A scheduler that holds no epoch. Equal seeds and events give equal effects.
    pub fn new(config: Config, now: Time, seed: u64) -> Self {
        Self {
            config,
            hold: Hold::none(now),
            policy: Arc::default(),
            tasks: Tasks::default(),
            fleet: Fleet::default(),
            quota: Quota::default(),
            queue: Queue::default(),
            spread: Spread::default(),
            kinds: Kinds::default(),
            estimates: Estimates::default(),
            interference: Interference::default(),
            timers: Timers::default(),
            reservations: BTreeMap::new(),
            outbox: BTreeMap::new(),
            candidates: Vec::new(),
            sweeping: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
            unhandled: (0, None),
        }
    }

    /// Takes in what happened and adds what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        self.fire(now, effects);
        self.take(now, event, effects);
        self.interfere(now, effects);
        self.schedule(now, effects);
        self.flush(effects);
    }

    /// When [`Event::Timer`] is wanted next.
    pub fn next_deadline(&self) -> Option<Time> {
        earliest(self.timers.next(), self.interference.next_deadline())
    }

    fn take(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Timer => {}
            Event::Policy(policy) => {
                self.quota.set_policy(&policy);
                self.policy = policy;
                self.sort_lanes(now);
                self.queue.wake_all(&self.quota);
            }
            Event::Shares(shares) => {
                self.quota.set_shares(&shares);
                self.queue.wake_all(&self.quota);
            }
            Event::Leadership { centre, epoch } => self.held(now, &centre, epoch, effects),
            Event::LeadershipConfirmed => self.hold.confirmed = now,
            Event::TaskOpened(open) => self.opened(now, &open, effects),
            Event::TaskCancelled { task } => self.cancelled(now, task, effects),
            Event::StartRecorded { attempt } => self.start_recorded(now, attempt, effects),
            Event::StartRefused { attempt } => {
                self.answered(now, attempt, PhaseEvent::Refused, effects);
            }
            Event::YieldRecorded { attempt } => {
                self.answered(now, attempt, PhaseEvent::YieldRecorded, effects);
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

    /// Does what is due.
    fn fire(&mut self, now: Time, effects: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.take(now) {
            match timer {
                Timer::Worker(slot) => self.watch_worker(now, slot, effects),
                Timer::Record(id) => self.record_due(now, id, effects),
                Timer::Requeue(id) => self.requeue(now, id, effects),
                Timer::Cleared => self.expire_inherited(now, effects),
                Timer::Census => self.census(now, effects),
                Timer::Sweep => self.sweep(now),
            }
        }
    }

    fn requeue(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        let delayed = self.tasks.get(id).is_some_and(|task| match task.stage {
            tasks::Stage::Delayed => true,
            tasks::Stage::Waiting
            | tasks::Stage::Active(_)
            | tasks::Stage::Parked
            | tasks::Stage::Closing(_) => false,
        });
        if delayed {
            self.enqueue(now, id, effects);
        }
    }

    fn sweep_at(&mut self, at: Time) {
        if !std::mem::replace(&mut self.sweeping, true) {
            self.timers.set(at, Timer::Sweep);
        }
    }

    /// Takes a command for a worker, to leave with the others of the same event.
    fn send(&mut self, slot: WorkerSlot, command: WorkerCommand) {
        self.outbox.entry(slot).or_default().push(command);
    }

    fn flush(&mut self, effects: &mut Vec<Effect>) {
        let Some(epoch) = self.hold.epoch else {
            self.outbox.clear();
            return;
        };
        for (slot, commands) in std::mem::take(&mut self.outbox) {
            let worker = &self.fleet[slot];
            // What a worker without a lease must do is found out anew when it announces itself.
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
