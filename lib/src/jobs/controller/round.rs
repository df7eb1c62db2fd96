//! A round of placement: the workers that are considered at the end of a turn.

use std::collections::BTreeSet;

use crate::{
    jobs::{
        fleet::Fleet,
        model::WorkerNumber,
        placement::{Request, SpeedRequirement, Unplaceable, choose_worker},
        pool::{Candidates, Pool},
        waiting::{Demand, WaitingStep},
    },
    time::Time,
};

/// The number of evaluated workers after which a round ends. The remaining steps wait for the next
/// turn, which continues with those that weren't tried.
const MAX_EVALUATIONS: usize = 20_000;

/// The workers that are considered for one step.
#[derive(Debug)]
struct Pools {
    held: Pool,
    live: Pool,
    avoided: Pool,
    unplaceable: Unplaceable,
}

impl Pools {
    fn new(pool: impl Fn(Candidates) -> Pool) -> Self {
        Self {
            held: pool(Candidates::Held),
            live: pool(Candidates::Live),
            avoided: pool(Candidates::Avoided),
            unplaceable: Unplaceable::default(),
        }
    }

    fn pool(&self, demand: &Demand) -> &Pool {
        if demand.patient { &self.live } else { &self.held }
    }

    /// Whether a task may find a worker, however long it has waited. `false` is certain.
    fn may_fit(&self, demand: &Demand) -> bool {
        self.pool(demand).may_fit(demand) || demand.long_running && self.avoided.may_fit(demand)
    }
}

/// A round of placement. A step that was tried before is tried only on workers that have changed in
/// this turn.
#[derive(Debug)]
pub(super) struct Round {
    changed: Pools,
    /// All workers, collected for the first step that wasn't tried before.
    all: Option<Pools>,
    evaluated: usize,
}

impl Round {
    pub(super) fn new(fleet: &Fleet, now: Time, changed: &BTreeSet<WorkerNumber>) -> Self {
        let pool = |candidates| Pool::of(fleet, now, candidates, changed.iter().copied());
        Self { changed: Pools::new(pool), all: None, evaluated: 0 }
    }

    /// Whether too many workers were evaluated to go on in this turn.
    pub(super) fn is_exhausted(&self) -> bool {
        self.evaluated > MAX_EVALUATIONS
    }

    /// Whether a task of the step may find a worker. `false` is certain.
    pub(super) fn may_fit(&self, step: &WaitingStep) -> bool {
        let pools = if step.tried { Some(&self.changed) } else { self.all.as_ref() };
        pools.is_none_or(|pools| pools.may_fit(&step.demand))
    }

    /// The best worker for a task of the step.
    pub(super) fn choose(
        &mut self,
        fleet: &Fleet,
        now: Time,
        step: &WaitingStep,
        request: &Request<'_>,
    ) -> Option<WorkerNumber> {
        let pools = if step.tried {
            &mut self.changed
        } else {
            self.all
                .get_or_insert_with(|| Pools::new(|candidates| Pool::all(fleet, now, candidates)))
        };
        if pools.unplaceable.covers(request) {
            return None;
        }
        let found = choose_worker(fleet, pools.pool(&step.demand), request, &mut self.evaluated);
        if found.is_some() {
            return found;
        }
        pools.unplaceable.add(request);
        pools.held.tighten();
        pools.live.tighten();
        pools.avoided.tighten();
        if step.demand.long_running && request.speed == SpeedRequirement::Any {
            return choose_worker(fleet, &pools.avoided, request, &mut self.evaluated);
        }
        None
    }

    /// Updates the room of a worker whose runs have changed.
    pub(super) fn update(&mut self, fleet: &Fleet, number: WorkerNumber) {
        let Some(worker) = fleet.workers.get(&number) else { return };
        for pools in std::iter::once(&mut self.changed).chain(&mut self.all) {
            pools.held.update(number, worker);
            pools.live.update(number, worker);
            pools.avoided.update(number, worker);
        }
    }
}
