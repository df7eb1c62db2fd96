//! Which pairs of tasks hurt each other, learned from late samples, and what to do about it.
//!
//! A sample counts for the tries that ran when it was taken. Samples wait for the next control
//! interval and are learned from in the order of their times, so that the order in which they
//! arrive within an interval doesn't matter. What is done with a batch task follows the state
//! chart in `charts/interference.jsonc`.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::{CustomerName, ServiceName, TaskAttempt, TaskKind, WorkerName},
    interference::{
        control::{Outcome, State},
        limits::{
            ALONE_RATIO, INTERVAL, MAX_KINDS, MAX_SERVICES, PLACES_LOOKED_AT, WORKERS_PER_MOVE,
            harm_weight,
        },
        model::{Exposure, Harm, Model},
        port::{Action, Counters, Footprint, Neighbour, Role},
        residents::{Lesson, Moves, Residents, present_harm},
        slots::Slots,
        stay::{Occupant, Pending, Stay},
    },
    time::Time,
    worker::Sample,
};

pub mod control;
mod limits;
pub mod model;
pub mod port;
mod residents;
mod slots;
mod stay;

/// A kind of batch task; customers' names for kinds are their own.
type KindName = (CustomerName, TaskKind);

/// What is known of the pairs on one data centre's workers.
#[derive(Clone, Debug)]
pub struct Interference {
    workers: BTreeMap<WorkerName, Residents>,
    services: Slots<ServiceName>,
    kinds: Slots<KindName>,
    model: Model,
    counters: Counters,
    moving: usize,
    due: Option<Time>,
    passive: bool,
    /// Which worker the next look for better places starts at.
    turn: usize,
    beside: Vec<Exposure>,
}

impl Default for Interference {
    fn default() -> Self {
        Self {
            workers: BTreeMap::new(),
            services: Slots::new(MAX_SERVICES),
            kinds: Slots::new(MAX_KINDS),
            model: Model::default(),
            counters: Counters::default(),
            moving: 0,
            due: None,
            passive: false,
            turn: 0,
            beside: Vec::new(),
        }
    }
}

impl Interference {
    /// A policy that learns and gives penalties, and never asks for an action.
    pub fn passive() -> Self {
        Self { passive: true, ..Self::default() }
    }

    /// A try was placed on a worker. A try that is there already stays as it is.
    pub fn placed(&mut self, now: Time, worker: &WorkerName, neighbour: &Neighbour) {
        if self.workers.get(worker).is_some_and(|known| known.find(neighbour.attempt).is_some()) {
            return;
        }
        let number = self.number(now, neighbour);
        let residents = self.workers.entry(worker.clone()).or_default();
        residents.begin(Stay::new(now, neighbour, number));
        residents.refresh(&self.model);
        self.due = self.due.or(Some(now + INTERVAL));
    }

    /// A try has left a worker. A try that isn't there is ignored.
    pub fn left(&mut self, now: Time, worker: &WorkerName, attempt: TaskAttempt) {
        let Some(residents) = self.workers.get_mut(worker) else { return };
        let Some(stay) = residents.end(now, attempt) else { return };
        if stay.batch().is_some_and(|batch| batch.control.state() == State::Moving) {
            self.moving = self.moving.saturating_sub(1);
        }
        residents.refresh(&self.model);
    }

    /// A worker delivered a sample that was taken [`Sample::age`] before `now`.
    ///
    /// The next [`Self::decide`] learns from it: from a replica's sample how much the tasks beside
    /// it slow its service, from a batch task's what it uses when nothing limits it.
    pub fn sampled(&mut self, now: Time, worker: &WorkerName, sample: &Sample) {
        let pending = Pending::new(now, sample);
        match self.workers.get_mut(worker) {
            Some(residents) => {
                let kept = residents.push(pending);
                self.counters.overflow += u64::from(!kept);
            }
            None => self.counters.unknown += 1,
        }
    }

    /// How much `neighbour` is expected to hurt, and be hurt by, what runs on the worker: the
    /// expected rise of service latency as a fraction of the good latency, weighed by objective;
    /// 0 if nothing is known.
    pub fn penalty(&self, now: Time, worker: &WorkerName, neighbour: &Neighbour) -> f64 {
        let Some(residents) = self.workers.get(worker) else { return 0.0 };
        match &neighbour.role {
            Role::Service { service, latency: _ } => {
                let Some(service) = self.services.find(service) else { return 0.0 };
                let batches = residents.batches();
                let harm = batches.map(|(_, batch)| present_harm(&self.model, service, batch));
                harm_weight(neighbour.objective) * ALONE_RATIO * harm.sum::<f64>().exp_m1()
            }
            Role::Batch { kind, evictions: _ } => {
                let name = (neighbour.customer.clone(), kind.clone());
                let Some(kind) = self.kinds.find(&name) else { return 0.0 };
                residents.rise(now, &self.model, kind, 0.0)
            }
        }
    }

    /// Adds what is to be done now to `actions`; nothing before the control interval is over.
    pub fn decide(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.due.is_none_or(|due| now < due) {
            return;
        }
        self.due = Some(now + INTERVAL);
        let limit = (self.workers.len() / WORKERS_PER_MOVE).max(1);
        let least = self.least_rises(now);
        let mut moves = Moves { running: self.moving, limit, places: self.workers.len(), least };
        let mut lesson = Lesson {
            model: &mut self.model,
            counters: &mut self.counters,
            beside: &mut self.beside,
        };
        for (worker, residents) in &mut self.workers {
            if residents.is_idle() {
                continue;
            }
            residents.learn(now, &mut lesson);
            if self.passive {
                continue;
            }
            let decided = residents.decide(now, lesson.model, &mut moves);
            actions.extend(decided.and_then(|(attempt, outcome)| action(worker, attempt, outcome)));
        }
        self.moving = moves.running;
        self.expire(now);
    }

    /// When [`Self::decide`] wants to be called next.
    pub fn next_deadline(&self) -> Option<Time> {
        self.due
    }

    /// What is known of a service and a customer's kind of batch task.
    pub fn harm(
        &self,
        now: Time,
        service: &ServiceName,
        customer: &CustomerName,
        kind: &TaskKind,
    ) -> Harm {
        let kind = self.kinds.find(&(customer.clone(), kind.clone()));
        let pair = self.services.find(service).zip(kind);
        pair.map_or(Harm::UNKNOWN, |(service, kind)| self.model.harm(now, service, kind))
    }

    /// Where the policy stands with a batch task; nothing if it isn't there.
    pub fn state(&self, worker: &WorkerName, attempt: TaskAttempt) -> Option<State> {
        let stay = self.workers.get(worker)?.find(attempt)?;
        Some(stay.batch()?.control.state())
    }

    /// What became of the samples so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// How much is remembered.
    pub fn footprint(&self) -> Footprint {
        Footprint {
            workers: self.workers.len(),
            stays: self.workers.values().map(Residents::len).sum(),
            services: self.services.len(),
            kinds: self.kinds.len(),
            pairs: self.model.pairs(),
        }
    }

    fn number(&mut self, now: Time, neighbour: &Neighbour) -> Option<u32> {
        match &neighbour.role {
            Role::Service { service, latency: _ } => {
                let acquired = self.services.acquire(now, service)?;
                if acquired.recycled {
                    self.model.forget_service(acquired.number);
                }
                Some(acquired.number)
            }
            Role::Batch { kind, evictions: _ } => {
                let name = (neighbour.customer.clone(), kind.clone());
                let acquired = self.kinds.acquire(now, &name)?;
                if acquired.recycled {
                    self.model.forget_kind(acquired.number);
                }
                Some(acquired.number)
            }
        }
    }

    /// For each kind with a task at its floor, the least rise of latency that placing it elsewhere
    /// is expected to cause, among some of the workers.
    fn least_rises(&mut self, now: Time) -> BTreeMap<u32, f64> {
        let floored: BTreeSet<u32> = self.workers.values().flat_map(Residents::floored).collect();
        let stride = (self.workers.len() / PLACES_LOOKED_AT).max(1);
        self.turn = (self.turn + 1) % stride;
        let places: Vec<_> = self.workers.values().skip(self.turn).step_by(stride).collect();
        let least = |kind: u32| {
            let rises = places.iter().map(|place| place.rise(now, &self.model, kind, 0.0));
            (kind, rises.fold(f64::INFINITY, f64::min))
        };
        floored.into_iter().map(least).collect()
    }

    /// Forgets stays that ended too long ago, and workers that nothing is known of.
    fn expire(&mut self, now: Time) {
        for residents in self.workers.values_mut() {
            while let Some(stay) = residents.expire(now) {
                match &stay.occupant {
                    Occupant::Service(replica) => {
                        replica.service.into_iter().for_each(|at| self.services.release(now, at));
                    }
                    Occupant::Batch(batch) => {
                        batch.kind.into_iter().for_each(|at| self.kinds.release(now, at));
                    }
                }
            }
        }
        self.workers.retain(|_, residents| !residents.is_empty());
        if self.workers.is_empty() {
            self.due = None;
        }
    }
}

fn action(worker: &WorkerName, attempt: TaskAttempt, outcome: Outcome) -> Option<Action> {
    let worker = worker.clone();
    match outcome {
        Outcome::Nothing => None,
        Outcome::Throttle(permille) => Some(Action::Throttle { worker, attempt, permille }),
        Outcome::Move => Some(Action::Move { worker, attempt }),
    }
}
