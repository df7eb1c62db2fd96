//! The steps that wait for placement.

use std::collections::{BTreeMap, HashMap};

use crate::{
    jobs::{
        model::{JobId, Step, StepKey},
        rank::{Class, Rank},
    },
    resources::Resources,
    time::WallTime,
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
    /// When it was queued, by the wall clock.
    pub since: WallTime,
    /// Whether all workers were considered since its tasks became ready. It is then reconsidered
    /// only for workers that have changed.
    pub tried: bool,
}

/// The steps that wait for placement, in the order of their ranks.
#[derive(Debug, Default)]
pub struct WaitingSteps {
    order: BTreeMap<(Rank, StepKey), WaitingStep>,
    ranks: HashMap<StepKey, Rank>,
}

impl WaitingSteps {
    /// The number of steps.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no step waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// The steps in the order of their ranks.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingStep> {
        self.order.values()
    }

    /// The steps of this class.
    pub fn of_class(&self, class: Class) -> impl Iterator<Item = &WaitingStep> {
        // The steps are in the order of their classes.
        let steps = self.order.iter().skip_while(move |((rank, _), _)| rank.class < class);
        steps.take_while(move |((rank, _), _)| rank.class == class).map(|(_, step)| step)
    }

    /// A step and its rank.
    pub fn get(&self, key: &StepKey) -> Option<(Rank, &WaitingStep)> {
        let rank = *self.ranks.get(key)?;
        Some((rank, self.order.get(&(rank, *key))?))
    }

    /// Queues a step, or changes its rank. All workers will be considered for its tasks.
    pub fn insert(&mut self, key: StepKey, rank: Rank, demand: Demand, now: WallTime) {
        let since = self.remove(&key).map_or(now, |step| step.since);
        self.ranks.insert(key, rank);
        self.order.insert((rank, key), WaitingStep { key, demand, since, tried: false });
    }

    /// Changes the rank of a queued step.
    pub fn update_rank(&mut self, key: &StepKey, rank: Rank) {
        if self.ranks.get(key) == Some(&rank) {
            return;
        }
        if let Some(step) = self.remove(key) {
            self.ranks.insert(*key, rank);
            self.order.insert((rank, *key), step);
        }
    }

    /// Removes a step.
    pub fn remove(&mut self, key: &StepKey) -> Option<WaitingStep> {
        let rank = self.ranks.remove(key)?;
        self.order.remove(&(rank, *key))
    }

    /// The steps of a job.
    pub fn of_job(&self, job: JobId) -> Vec<StepKey> {
        self.ranks.keys().filter(|key| key.job == job).copied().collect()
    }

    /// Records that all workers were considered for a step.
    pub fn mark_tried(&mut self, key: &StepKey) {
        if let Some(rank) = self.ranks.get(key)
            && let Some(step) = self.order.get_mut(&(*rank, *key))
        {
            step.tried = true;
        }
    }

    /// Considers all workers for all steps again.
    pub fn retry_all(&mut self) {
        self.order.values_mut().for_each(|step| step.tried = false);
    }

    /// Takes over since when the steps have waited in an earlier queue.
    pub fn keep_ages(&mut self, before: &Self) {
        for step in self.order.values_mut() {
            if let Some((_, earlier)) = before.get(&step.key) {
                step.since = earlier.since;
            }
        }
    }
}
