//! Moves throttled runs to workers on which they run at full speed.
//!
//! A job is done with its last task, so one run that stays throttled beside serving tasks holds up all others.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    jobs::{
        controller::leader::Leader,
        fleet::RunView,
        model::{StepKey, TaskKey, WorkerNumber},
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

/// The maximum number of runs that are moved after a search.
const MAX_MOVES: usize = 32;

/// The maximum number of runs for which a search looks for places.
const MAX_SEARCHES: usize = 64;

impl Leader {
    /// Stops throttled runs for which another worker has a place at full speed, those that have been throttled
    /// longest first. Searches at most once per `SEARCH_INTERVAL`.
    pub(super) fn move_stragglers(&mut self, now: Time) {
        if now < self.next_straggler_search {
            return;
        }
        self.next_straggler_search = now + SEARCH_INTERVAL;
        let stragglers = self.stragglers(now);
        if stragglers.is_empty() {
            return;
        }
        let mut pool = Pool::all(&self.fleet, now, Candidates::Held);
        let mut staying: BTreeSet<StepKey> = BTreeSet::new();
        let mut moves = 0;
        for (_, number, task) in stragglers.into_iter().take(MAX_SEARCHES) {
            let key = task.step_key();
            if moves == MAX_MOVES || staying.contains(&key) {
                continue;
            }
            let Some(destination) = self.destination(&pool, &key) else {
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
    }

    /// The runs that have been throttled for long, by the time since when.
    fn stragglers(&self, now: Time) -> Vec<(Time, WorkerNumber, TaskKey)> {
        let workers = self.fleet.workers.iter().filter(|(_, worker)| worker.is_mixed());
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

/// Since when a run has been throttled, if that is long enough for it to be moved.
fn straggles_since(view: &RunView, now: Time) -> Option<Time> {
    if !view.listed || view.missing || view.stopping {
        return None;
    }
    let (since, timeout) = if view.checkpoints {
        (view.throttled_since?, THROTTLED_TIMEOUT)
    } else {
        (view.paused_since?, PAUSED_TIMEOUT)
    };
    (now.since(since) > timeout).then_some(since)
}
