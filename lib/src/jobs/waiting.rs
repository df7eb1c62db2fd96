//! The steps that wait for placement.

use std::{collections::BTreeMap, ops::Bound};

use crate::{
    jobs::{
        model::{JobId, Step, StepKey},
        rank::{Class, Rank},
    },
    resources::Resources,
    time::Time,
};

/// What one task of a step asks of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The resources that it reserves.
    pub reserved: Resources,
    /// The processors that it requests without a reservation, in millicores; 0 unless it is
    /// opportunistic.
    pub unreserved: u64,
    /// Whether its start may wait for the worker's next heartbeat.
    pub patient: bool,
    /// Whether it runs until its job is cancelled.
    pub long_running: bool,
}

impl Demand {
    /// The demand of a task of this step.
    pub fn new(step: &Step) -> Self {
        Self {
            reserved: step.reserved(),
            unreserved: if step.options.opportunistic { step.needs.millicores } else { 0 },
            patient: step.options.long_running || step.options.gang,
            long_running: step.options.long_running,
        }
    }
}

/// A step that waits for placement.
#[derive(Clone, Copy, Debug)]
pub struct WaitingStep {
    /// The step.
    pub key: StepKey,
    /// What each of its tasks asks for.
    pub demand: Demand,
    /// When it was queued.
    pub since: Time,
    /// Whether all workers were considered since its tasks became ready. It is then reconsidered
    /// only for workers that have changed.
    pub tried: bool,
}

/// The steps that wait for placement, in the order of their ranks.
#[derive(Debug, Default)]
pub struct WaitingSteps {
    order: BTreeMap<(Rank, StepKey), Queued>,
    ranks: BTreeMap<StepKey, Rank>,
    /// The number of the current search, in which all workers are considered for each step once.
    search: u64,
    /// The last step that a window has shown beyond its head; `None` if the next window continues
    /// behind the head.
    shown: Option<(Rank, StepKey)>,
    /// The last step that was ranked again; `None` if the first one is next.
    reranked: Option<StepKey>,
}

/// What is kept of a waiting step.
#[derive(Clone, Copy, Debug)]
struct Queued {
    demand: Demand,
    since: Time,
    /// The last search in which all workers were considered.
    searched: Option<u64>,
}

/// The waiting steps that a turn considers.
#[derive(Debug)]
pub struct Window {
    /// The steps, in the order of their ranks.
    pub steps: Vec<WaitingStep>,
    /// The number of steps that were looked at.
    pub considered: usize,
    /// Whether the last waiting step is among them.
    pub complete: bool,
    /// Where the tail begins.
    from: Option<(Rank, StepKey)>,
}

/// The number of steps that each window begins with.
const MAX_HEAD: usize = 2048;

/// The number of steps behind the head of a window.
const MAX_TAIL: usize = 2048;

impl WaitingSteps {
    /// The number of steps.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no step waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn view(&self, key: StepKey, queued: &Queued) -> WaitingStep {
        let Queued { demand, since, searched } = *queued;
        WaitingStep { key, demand, since, tried: searched == Some(self.search) }
    }

    /// The steps in the order of their ranks.
    pub fn iter(&self) -> impl Iterator<Item = WaitingStep> {
        self.order.iter().map(|((_, key), queued)| self.view(*key, queued))
    }

    /// The steps that this turn considers, without those for which `keep` is false: the first ones, and
    /// further ones behind those of the last window. Over several turns all steps are considered.
    pub fn next_window(&mut self, keep: impl Fn(&WaitingStep) -> bool) -> Window {
        let from = self.shown;
        let mut window = Window { steps: Vec::new(), considered: 0, complete: true, from };
        let mut last = None;
        for (position, queued) in self.order.iter().take(MAX_HEAD) {
            window.consider(self.view(position.1, queued), &keep);
            last = Some(*position);
        }
        let Some(head) = last else { return window };
        let from = from.filter(|shown| *shown > head).unwrap_or(head);
        let mut tail = self.order.range((Bound::Excluded(from), Bound::Unbounded));
        let mut shown = None;
        for (position, queued) in tail.by_ref().take(MAX_TAIL) {
            window.consider(self.view(position.1, queued), &keep);
            shown = Some(*position);
        }
        window.complete = tail.next().is_none();
        self.shown = shown.filter(|_| !window.complete);
        window
    }

    /// Lets the next window show the same steps again.
    pub fn repeat_window(&mut self, window: &Window) {
        self.shown = window.from;
    }

    /// The steps of this class.
    pub fn of_class(&self, class: Class) -> impl Iterator<Item = WaitingStep> {
        // The steps are in the order of their classes.
        let steps = self.order.iter().skip_while(move |((rank, _), _)| rank.class < class);
        let steps = steps.take_while(move |((rank, _), _)| rank.class == class);
        steps.map(|((_, key), queued)| self.view(*key, queued))
    }

    /// A step and its rank.
    pub fn get(&self, key: &StepKey) -> Option<(Rank, WaitingStep)> {
        let rank = *self.ranks.get(key)?;
        Some((rank, self.view(*key, self.order.get(&(rank, *key))?)))
    }

    /// Queues a step that has waited since this time, or changes its rank. All workers will be considered
    /// for its tasks.
    pub fn insert(&mut self, key: StepKey, rank: Rank, demand: Demand, since: Time) {
        let since = self.remove(&key).map_or(since, |step| step.since);
        self.ranks.insert(key, rank);
        self.order.insert((rank, key), Queued { demand, since, searched: None });
    }

    /// Changes the rank of a queued step.
    pub fn update_rank(&mut self, key: &StepKey, rank: Rank) {
        let Some(before) = self.ranks.get_mut(key) else { return };
        if *before == rank {
            return;
        }
        let queued = self.order.remove(&(*before, *key));
        *before = rank;
        if let Some(queued) = queued {
            self.order.insert((rank, *key), queued);
        }
    }

    /// The steps that are to be ranked again, at most `max`. Over several calls all steps come up.
    pub fn next_ranked(&mut self, max: usize) -> Vec<StepKey> {
        let from = self.reranked.map_or(Bound::Unbounded, Bound::Excluded);
        let steps = self.ranks.range((from, Bound::Unbounded)).take(max);
        let steps: Vec<_> = steps.map(|(key, _)| *key).collect();
        self.reranked = steps.last().copied().filter(|_| steps.len() == max);
        steps
    }

    /// Removes a step.
    pub fn remove(&mut self, key: &StepKey) -> Option<WaitingStep> {
        let rank = self.ranks.remove(key)?;
        let queued = self.order.remove(&(rank, *key))?;
        Some(self.view(*key, &queued))
    }

    /// The steps of a job.
    pub fn of_job(&self, job: JobId) -> Vec<StepKey> {
        self.ranks.range(job.steps()).map(|(key, _)| *key).collect()
    }

    /// Whether a step of the occurrence waits.
    pub fn has_occurrence(&self, job: JobId, occurrence: u32) -> bool {
        let first = StepKey { job, occurrence, step: 0 };
        self.ranks.range(first..=StepKey { step: u16::MAX, ..first }).next().is_some()
    }

    /// Records that all workers were considered for a step.
    pub fn mark_tried(&mut self, key: &StepKey) {
        if let Some(rank) = self.ranks.get(key)
            && let Some(step) = self.order.get_mut(&(*rank, *key))
        {
            step.searched = Some(self.search);
        }
    }

    /// Considers all workers for a step again.
    pub fn retry(&mut self, key: &StepKey) {
        if let Some(rank) = self.ranks.get(key)
            && let Some(step) = self.order.get_mut(&(*rank, *key))
        {
            step.searched = None;
        }
    }

    /// Considers all workers for all steps again.
    pub fn retry_all(&mut self) {
        self.search += 1;
        self.shown = None;
    }
}

impl Window {
    fn consider(&mut self, step: WaitingStep, keep: impl Fn(&WaitingStep) -> bool) {
        self.considered += 1;
        if keep(&step) {
            self.steps.push(step);
        }
    }
}
