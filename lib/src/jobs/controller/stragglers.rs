//! Moves throttled runs to workers on which they run at full speed.
//!
//! A job is done with its last task, so one run that stays throttled beside serving tasks holds up all others.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    jobs::{
        controller::leader::Leader,
        fleet::{RunView, Worker},
        model::{StepKey, TaskKey, WorkerNumber},
        placement::choose_worker,
        pool::{Candidates, Pool},
    },
    time::Time,
};

/// The interval between two searches for places.
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);

/// How long a run that saves checkpoints must have been throttled. Loads change within seconds, and a move
/// costs the time of a stop, a start and a restore.
const THROTTLED_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a run without checkpoints must have been paused. It starts again from the beginning elsewhere.
const PAUSED_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of earlier runs of a task up to which each of them doubles the time before the next move. A task
/// whose interference isn't known yet would otherwise move on from each worker before its first checkpoint.
const MAX_DOUBLINGS: u32 = 4;

/// The maximum number of runs that are moved after a search.
const MAX_MOVES: usize = 32;

/// The work after which a search ends, in evaluated workers.
const MAX_WORK: usize = 5000;

impl Leader {
    /// Stops throttled runs for which another worker has a place at full speed, those that have been throttled
    /// longest first. Searches at most once per `SEARCH_INTERVAL`.
    pub(super) fn move_stragglers(&mut self, now: Time) {
        if now < self.next_move {
            return;
        }
        self.next_move = now + SEARCH_INTERVAL;
        let stragglers = self.stragglers(now);
        if stragglers.is_empty() {
            return;
        }
        let mut pool = Pool::all(&self.fleet, now, Candidates::Held);
        // Their throttled runs would be candidates for their own places, and where a target is exceeded, runs
        // are throttled whatever the estimates say.
        for (number, _) in self.fleet.workers.iter().filter(|(_, worker)| throttles(worker)) {
            pool.exclude(*number);
        }
        let mut staying: BTreeSet<StepKey> = BTreeSet::new();
        let (mut moves, mut work) = (0, 0);
        for (_, number, task) in stragglers {
            if moves == MAX_MOVES || work >= MAX_WORK {
                break;
            }
            let key = task.step_key();
            if staying.contains(&key) {
                continue;
            }
            let Some(request) = self.request(&key) else { continue };
            let Some(destination) = choose_worker(&self.fleet, &pool, &request, &mut work) else {
                staying.insert(key);
                continue;
            };
            // Interference with the run that is on its way isn't known there yet.
            pool.exclude(destination);
            if let Some(worker) = self.fleet.workers.get_mut(&number)
                && let Some(view) = worker.runs.get_mut(&task)
            {
                view.stopping = true;
                self.changed.insert(number);
                moves += 1;
            }
        }
        self.work.evaluated += work;
    }

    /// The runs that have been throttled for long, by the time since when.
    fn stragglers(&self, now: Time) -> Vec<(Time, WorkerNumber, TaskKey)> {
        // Evacuated workers are drained elsewhere.
        let mixed = |worker: &Worker| worker.is_mixed() && !worker.evacuated;
        let workers = self.fleet.workers.iter().filter(|(_, worker)| mixed(worker));
        let runs = workers.flat_map(|(number, worker)| {
            worker.runs.iter().map(move |(task, view)| (*number, task, view))
        });
        let throttled = runs.filter_map(|(number, task, view)| {
            let since = straggles_since(view, now)?;
            let step = self.state.step(&task.step_key())?;
            (!step.options.gang).then_some((since, number, *task))
        });
        let mut throttled: Vec<_> = throttled.collect();
        throttled.sort_unstable();
        throttled
    }
}

/// Whether a run on the worker is throttled, or a serving task is over its target.
fn throttles(worker: &Worker) -> bool {
    worker.runs.values().any(|view| view.throttled_since.or(view.over_since).is_some())
}

/// Since when a run has been throttled, if that is long enough for it to be moved. Long-running ones have users
/// of their own who would lose them meanwhile.
fn straggles_since(view: &RunView, now: Time) -> Option<Time> {
    if !view.listed || view.missing || view.stopping || view.long_running {
        return None;
    }
    let (since, timeout) = if view.checkpoints {
        (view.throttled_since?, THROTTLED_TIMEOUT)
    } else {
        (view.paused_since?, PAUSED_TIMEOUT)
    };
    let doublings = view.run.0.saturating_sub(1).min(MAX_DOUBLINGS);
    (now.since(since) > timeout * (1 << doublings)).then_some(since)
}
