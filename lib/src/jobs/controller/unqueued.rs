//! Occurrences whose steps are still to be queued.
//!
//! A job may have tens of thousands of steps, and a new leader queues those of all jobs. Each turn queues
//! a limited number; the rest waits for the next one.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    jobs::{
        controller::leader::Leader,
        model::{JobId, StepKey},
    },
    time::Time,
};

/// The maximum number of steps that are examined in a turn.
const MAX_EXAMINED: usize = 8192;

/// The pause before the next turn if steps are left to be examined.
const RESUME_AFTER: Duration = Duration::from_millis(5);

/// The occurrences whose steps are to be queued, in order.
#[derive(Debug, Default)]
pub(super) struct Unqueued {
    occurrences: VecDeque<UnqueuedSteps>,
    /// When the turn is due that continues with them.
    resume_at: Option<Time>,
    /// Since when steps waited that were queued before the queues changed.
    since: HashMap<StepKey, Time>,
}

/// The steps of an occurrence from `next` on.
#[derive(Clone, Copy, Debug)]
struct UnqueuedSteps {
    job: JobId,
    occurrence: u32,
    next: usize,
}

impl Unqueued {
    /// Adds an occurrence that may begin.
    pub(super) fn push(&mut self, job: JobId, occurrence: u32) {
        self.occurrences.push_back(UnqueuedSteps { job, occurrence, next: 0 });
    }

    /// Forgets all occurrences, which are added again. Their steps keep the time since when they have
    /// waited.
    pub(super) fn restart(&mut self, waiting: impl IntoIterator<Item = (StepKey, Time)>) {
        self.occurrences.clear();
        self.since.extend(waiting);
    }

    /// Since when a step has waited that is queued now.
    pub(super) fn waits_since(&mut self, step: &StepKey, now: Time) -> Time {
        self.since.remove(step).unwrap_or(now)
    }

    /// Whether no occurrence is left.
    pub(super) fn is_empty(&self) -> bool {
        self.occurrences.is_empty()
    }

    /// When the turn is due that continues with the remaining steps.
    pub(super) fn next_deadline(&self) -> Option<Time> {
        self.resume_at
    }
}

impl Leader {
    /// Queues the steps of admitted occurrences that are ready, up to the limit of a turn.
    pub(super) fn queue_steps(&mut self, now: Time) {
        let mut left = MAX_EXAMINED;
        while left > 0
            && let Some(steps) = self.unqueued.occurrences.pop_front()
        {
            let UnqueuedSteps { job: id, occurrence, next } = steps;
            let Some(job) = self.state.jobs.get(&id).filter(|job| job.phase.is_open()) else {
                continue;
            };
            let end = job.spec.steps.len().min(next + left);
            let examined = (next..end).filter_map(|step| u16::try_from(step).ok());
            let examined = examined.map(|step| StepKey { job: id, occurrence, step });
            let ready: Vec<_> = examined.filter(|step| job.is_ready(step)).collect();
            if end < job.spec.steps.len() {
                self.unqueued.occurrences.push_front(UnqueuedSteps { next: end, ..steps });
            }
            left -= end - next;
            for step in ready {
                self.enqueue(now, step);
            }
        }
        self.work.examined += MAX_EXAMINED - left;
        let unfinished = !self.unqueued.occurrences.is_empty();
        self.unqueued.resume_at = unfinished.then(|| now + RESUME_AFTER);
        if !unfinished {
            self.unqueued.since.clear();
        }
    }
}
