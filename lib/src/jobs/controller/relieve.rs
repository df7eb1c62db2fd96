//! Moves runs away from a worker that has shrunk below what it runs.

use std::{cmp::Reverse, collections::BTreeSet, time::Duration};

use crate::{
    jobs::{
        controller::leader::Leader,
        fleet::{RunView, Worker},
        model::{StepKey, TaskKey, WorkerNumber},
        pool::{Candidates, Pool},
        waiting::Demand,
    },
    resources::Resources,
    time::Time,
};

/// How long the runs of a worker must exceed its capacity before some are moved away, and the
/// interval between two such moves. The capacity may grow back at any time.
const EXCESS_TIMEOUT: Duration = Duration::from_secs(1);

/// How readily a run leaves an overcommitted worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Mobility {
    /// It is opportunistic and continues from its checkpoint.
    Opportunistic,
    /// It continues from its checkpoint.
    Resumable,
    /// It is long-running and its step may be disrupted.
    LongRunning,
}

impl Mobility {
    /// `None` for a run that would start from the beginning: it ends sooner where it is.
    fn of(view: &RunView) -> Option<Self> {
        match (view.long_running, view.checkpoints) {
            (true, _) => Some(Self::LongRunning),
            (false, true) if view.is_opportunistic() => Some(Self::Opportunistic),
            (false, true) => Some(Self::Resumable),
            (false, false) => None,
        }
    }
}

impl Leader {
    /// Stops runs on a worker whose runs have exceeded its capacity for a while, as long as other
    /// workers have room for them. Their room counts as taken until they have stopped.
    pub(super) fn relieve(&mut self, now: Time, number: WorkerNumber) {
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        let mut excess = worker.excess();
        if excess == Resources::ZERO {
            worker.excess_since = None;
            return;
        }
        let since = *worker.excess_since.get_or_insert(now);
        if now.since(since) < EXCESS_TIMEOUT {
            return;
        }
        worker.excess_since = Some(now);
        let runs = self.movable_runs(number);
        let mut pool = Pool::all(&self.fleet, now, Candidates::Live);
        let mut staying: BTreeSet<StepKey> = BTreeSet::new();
        for (mobility, task) in runs {
            let key = task.step_key();
            let Some(step) = self.state.step(&key) else { continue };
            let demand = Demand::new(step);
            if staying.contains(&key) || !reduces(&excess, &demand.reserved) {
                continue;
            }
            let allowed = mobility != Mobility::LongRunning || self.may_disrupt(&key);
            let Some(destination) = self.destination(&pool, &key).filter(|_| allowed) else {
                staying.insert(key);
                continue;
            };
            pool.take(destination, &demand);
            excess = excess.saturating_sub(&demand.reserved);
            let worker = self.fleet.workers.get_mut(&number);
            if let Some(view) = worker.and_then(|worker| worker.runs.get_mut(&task)) {
                view.stopping = true;
            }
        }
    }

    /// The runs that may leave a worker: the most mobile ones first, and of these the latest, which
    /// lose the least.
    pub(super) fn movable_runs(&self, number: WorkerNumber) -> Vec<(Mobility, TaskKey)> {
        let runs = self.fleet.workers.get(&number).into_iter().flat_map(listed_runs);
        let mut runs: Vec<_> = runs
            .filter_map(|(task, view)| Some((Mobility::of(view)?, Reverse(view.since), *task)))
            .filter(|(_, _, task)| {
                let step = self.state.step(&task.step_key());
                step.is_some_and(|step| !step.options.gang)
            })
            .collect();
        runs.sort_unstable();
        runs.into_iter().map(|(mobility, _, task)| (mobility, task)).collect()
    }
}

fn listed_runs(worker: &Worker) -> impl Iterator<Item = (&TaskKey, &RunView)> {
    worker.runs.iter().filter(|(_, view)| view.listed && !view.missing && !view.stopping)
}

/// Whether a run that reserves `reserved` takes part in the excess.
fn reduces(excess: &Resources, reserved: &Resources) -> bool {
    excess.millicores.min(reserved.millicores) > 0
        || excess.memory_mib.min(reserved.memory_mib) > 0
        || excess.accelerators.min(reserved.accelerators) > 0
}
