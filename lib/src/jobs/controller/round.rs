//! A round of placement: the workers that are considered at the end of a turn.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    jobs::{
        fleet::Fleet,
        model::{JobId, StepKey, WorkerNumber},
        placement::{Request, SpeedRequirement, Unplaceable, choose_worker},
        pool::{Candidates, Pool},
        state::Job,
        waiting::{Demand, WaitingStep},
    },
    time::Time,
};

/// The number of evaluated workers after which a round ends. The remaining tasks wait for the next
/// turn, which continues with the steps that weren't tried.
const MAX_EVALUATIONS: usize = 20_000;

/// The number of tasks that are as much work to look at as one worker.
const TASKS_PER_EVALUATION: usize = 64;

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
    /// Whether any task runs of the occurrences that were looked at.
    running: BTreeMap<(JobId, u32), bool>,
}

impl Round {
    pub(super) fn new(fleet: &Fleet, now: Time, changed: &BTreeSet<WorkerNumber>) -> Self {
        let pool = |candidates| Pool::of(fleet, now, candidates, changed.iter().copied());
        Self { changed: Pools::new(pool), all: None, evaluated: 0, running: BTreeMap::new() }
    }

    /// Whether too many workers were evaluated to go on in this turn.
    pub(super) fn is_exhausted(&self) -> bool {
        self.evaluated > MAX_EVALUATIONS
    }

    /// The work of the round so far, in evaluated workers.
    pub(super) fn evaluated(&self) -> usize {
        self.evaluated
    }

    /// Adds the work of looking at this number of tasks.
    pub(super) fn add_tasks(&mut self, count: usize) {
        self.evaluated += count / TASKS_PER_EVALUATION;
    }

    /// Whether any task runs of the step's occurrence.
    pub(super) fn is_running(&mut self, job: &Job, key: &StepKey) -> bool {
        let occurrence = (key.job, key.occurrence);
        if let Some(running) = self.running.get(&occurrence) {
            return *running;
        }
        self.add_tasks(usize::try_from(job.spec.tasks()).unwrap_or(usize::MAX));
        let running = job.is_running(key.occurrence);
        self.running.insert(occurrence, running);
        running
    }

    /// Records that a task of the step has started on a worker.
    pub(super) fn record_start(&mut self, fleet: &Fleet, key: &StepKey, number: WorkerNumber) {
        self.running.insert((key.job, key.occurrence), true);
        // The runs of a worker with neighbours are summarized with each start.
        let worker = fleet.workers.get(&number).filter(|worker| !worker.neighbours.is_empty());
        self.add_tasks(worker.map_or(0, |worker| worker.runs.len()));
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
