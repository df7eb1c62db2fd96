//! Estimates which batch tasks slow which services, and throttles or moves batch tasks in response.
//!
//! A sample is attributed to the attempts that ran when it was taken, even if it arrives late.
//! Samples are buffered until the next control interval and processed in the order in which they
//! were taken, so the order of arrival within an interval doesn't matter. The actions on a batch
//! task follow the state chart in `charts/interference.jsonc`.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::{CustomerName, ServiceName, TaskAttempt, TaskKind, WorkerName},
    interference::{
        colocation::{Colocation, LearnContext, Moves, present_harm},
        control::{Outcome, State},
        interner::Interner,
        limits::{
            DEFAULT_ALONE_RATIO, INTERVAL, MAX_KINDS, MAX_SERVICES, SCANNED_WORKERS,
            WORKERS_PER_MOVE, harm_weight,
        },
        model::{Exposure, Harm, Model},
        placement::{PendingSample, Placement, Workload},
        port::{Action, Counters, Footprint, Neighbour, Role},
    },
    time::Time,
    worker::Sample,
};

mod colocation;
pub mod control;
mod interner;
mod limits;
pub mod model;
mod placement;
pub mod port;

/// A kind of batch task. Names of kinds are scoped to a customer.
type KindName = (CustomerName, TaskKind);

/// The interference policy for the workers of one data centre.
#[derive(Clone, Debug)]
pub struct Interference {
    workers: BTreeMap<WorkerName, Colocation>,
    services: Interner<ServiceName>,
    kinds: Interner<KindName>,
    model: Model,
    counters: Counters,
    /// The number of moves in progress.
    moving: usize,
    /// When the current control interval ends; `None` without placements.
    due: Option<Time>,
    passive: bool,
    /// The index of the worker at which the next scan for better workers starts.
    scan_offset: usize,
    exposures: Vec<Exposure>,
}

impl Default for Interference {
    fn default() -> Self {
        Self {
            workers: BTreeMap::new(),
            services: Interner::new(MAX_SERVICES),
            kinds: Interner::new(MAX_KINDS),
            model: Model::default(),
            counters: Counters::default(),
            moving: 0,
            due: None,
            passive: false,
            scan_offset: 0,
            exposures: Vec::new(),
        }
    }
}

impl Interference {
    /// Creates a policy that learns and computes penalties but never requests an action.
    pub fn passive() -> Self {
        Self { passive: true, ..Self::default() }
    }

    /// Records that an attempt was placed on a worker. Does nothing if it is already there.
    pub fn placed(&mut self, now: Time, worker: &WorkerName, neighbour: &Neighbour) {
        if self.workers.get(worker).is_some_and(|known| known.find(neighbour.attempt).is_some()) {
            return;
        }
        let number = self.acquire_number(now, neighbour);
        let colocation = self.workers.entry(worker.clone()).or_default();
        colocation.begin(Placement::new(now, neighbour, number));
        colocation.refresh(&self.model);
        self.due = self.due.or(Some(now + INTERVAL));
    }

    /// Records that an attempt has left a worker. An attempt that isn't there is ignored.
    pub fn left(&mut self, now: Time, worker: &WorkerName, attempt: TaskAttempt) {
        let Some(colocation) = self.workers.get_mut(worker) else { return };
        let Some(placement) = colocation.end(now, attempt) else { return };
        if placement.batch().is_some_and(|batch| batch.control.state() == State::Moving) {
            self.moving = self.moving.saturating_sub(1);
        }
        colocation.refresh(&self.model);
    }

    /// Buffers a sample that was taken [`Sample::age`] before `now`.
    ///
    /// The next [`Self::decide`] processes it. A replica's sample shows how much the tasks beside
    /// it slow its service; a batch task's sample shows how much CPU it uses unthrottled.
    pub fn sampled(&mut self, now: Time, worker: &WorkerName, sample: &Sample) {
        let pending = PendingSample::new(now, sample);
        match self.workers.get_mut(worker) {
            Some(colocation) => {
                let kept = colocation.push(pending);
                self.counters.overflow += u64::from(!kept);
            }
            None => self.counters.unknown += 1,
        }
    }

    /// The cost of placing `neighbour` on the worker: the expected increase of service latency
    /// caused by it, or suffered by it, as a fraction of the latency objective and weighted by the
    /// plan's objective. 0 if nothing is known.
    pub fn penalty(&self, now: Time, worker: &WorkerName, neighbour: &Neighbour) -> f64 {
        let Some(colocation) = self.workers.get(worker) else { return 0.0 };
        match &neighbour.role {
            Role::Service { service, latency: _ } => {
                let Some(service) = self.services.find(service) else { return 0.0 };
                let batches = colocation.batches();
                let harm = batches.map(|(_, batch)| present_harm(&self.model, service, batch));
                harm_weight(neighbour.objective) * DEFAULT_ALONE_RATIO * harm.sum::<f64>().exp_m1()
            }
            Role::Batch { kind, evictions: _ } => {
                let name = (neighbour.customer.clone(), kind.clone());
                let Some(kind) = self.kinds.find(&name) else { return 0.0 };
                colocation.rise(now, &self.model, kind, 0.0)
            }
        }
    }

    /// Processes buffered samples and appends the resulting actions to `actions`. Does nothing
    /// before the control interval is over.
    pub fn decide(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.due.is_none_or(|due| now < due) {
            return;
        }
        self.due = Some(now + INTERVAL);
        let limit = (self.workers.len() / WORKERS_PER_MOVE).max(1);
        let min_rises = self.min_rises(now);
        let mut moves =
            Moves { running: self.moving, limit, workers: self.workers.len(), min_rises };
        let mut context = LearnContext {
            model: &mut self.model,
            counters: &mut self.counters,
            exposures: &mut self.exposures,
        };
        for (worker, colocation) in &mut self.workers {
            if colocation.is_idle() {
                continue;
            }
            colocation.learn(now, &mut context);
            if self.passive {
                continue;
            }
            let decided = colocation.decide(now, context.model, &mut moves);
            actions.extend(decided.and_then(|(attempt, outcome)| action(worker, attempt, outcome)));
        }
        self.moving = moves.running;
        self.expire(now);
    }

    /// When [`Self::decide`] must be called next.
    pub fn next_deadline(&self) -> Option<Time> {
        self.due
    }

    /// The estimated harm that a customer's kind of batch task does to a service.
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

    /// The control state of a batch task; `None` if it isn't on the worker.
    pub fn state(&self, worker: &WorkerName, attempt: TaskAttempt) -> Option<State> {
        let placement = self.workers.get(worker)?.find(attempt)?;
        Some(placement.batch()?.control.state())
    }

    /// The sample counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The number of entries in memory.
    pub fn footprint(&self) -> Footprint {
        Footprint {
            workers: self.workers.len(),
            placements: self.workers.values().map(Colocation::len).sum(),
            services: self.services.len(),
            kinds: self.kinds.len(),
            pairs: self.model.pairs(),
        }
    }

    fn acquire_number(&mut self, now: Time, neighbour: &Neighbour) -> Option<u32> {
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

    /// For each kind with a task at its throttle floor, the minimum over the scanned workers of the
    /// increase of latency that another task of the kind is expected to cause there. Each call
    /// scans about [`SCANNED_WORKERS`] workers, and starts one worker later than the previous one.
    fn min_rises(&mut self, now: Time) -> BTreeMap<u32, f64> {
        let kinds_at_floor: BTreeSet<u32> =
            self.workers.values().flat_map(Colocation::kinds_at_floor).collect();
        let stride = (self.workers.len() / SCANNED_WORKERS).max(1);
        self.scan_offset = (self.scan_offset + 1) % stride;
        let scanned: Vec<_> =
            self.workers.values().skip(self.scan_offset).step_by(stride).collect();
        let min_rise = |kind: u32| {
            let rises =
                scanned.iter().map(|colocation| colocation.rise(now, &self.model, kind, 0.0));
            (kind, rises.fold(f64::INFINITY, f64::min))
        };
        kinds_at_floor.into_iter().map(min_rise).collect()
    }

    /// Drops placements that ended too long ago, and workers without any entries.
    fn expire(&mut self, now: Time) {
        for colocation in self.workers.values_mut() {
            while let Some(placement) = colocation.expire(now) {
                match &placement.workload {
                    Workload::Service(replica) => {
                        replica.service.into_iter().for_each(|at| self.services.release(now, at));
                    }
                    Workload::Batch(batch) => {
                        batch.kind.into_iter().for_each(|at| self.kinds.release(now, at));
                    }
                }
            }
        }
        self.workers.retain(|_, colocation| !colocation.is_empty());
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
