//! Handles usage samples and the actions of the interference policy.

use crate::{
    ids::TaskAttempt,
    interference::port::Action,
    scheduler::{
        Scheduler, attempt::EventData, charts::PhaseEvent, index::WorkerSlot, port::Effect,
    },
    task::EvictionReason,
    time::Time,
    worker::Sample,
};

impl Scheduler {
    /// Handles a sample of one of a worker's current attempts.
    pub(super) fn sampled(&mut self, now: Time, slot: WorkerSlot, sample: &Sample) {
        let worker = &self.fleet[slot];
        let Some(allocation) = worker.allocations.get(&sample.attempt.task) else { return };
        if allocation.attempt == sample.attempt.attempt {
            self.estimates.sampled(allocation.kind, &allocation.size, &sample.used);
            self.interference.sampled(now, &worker.name, sample);
        }
    }

    /// Runs the interference policy when it is due, and applies its actions.
    pub(super) fn apply_interference_policy(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.interference.next_deadline().is_none_or(|at| at > now) {
            return;
        }
        let mut actions = Vec::new();
        self.interference.decide(now, &mut actions);
        if self.leadership.epoch.is_none() {
            return;
        }
        for action in actions {
            match action {
                Action::Throttle { worker: _, attempt, permille } => {
                    if self.tasks.active(attempt).is_some() {
                        let data = EventData::Throttle(permille);
                        self.step_attempt(now, attempt.task, PhaseEvent::Throttle, data, effects);
                    }
                }
                Action::Move { worker: _, attempt } => {
                    self.evict_interfering(now, attempt, effects)
                }
            }
        }
    }

    /// Evicts an attempt that degrades a service, within its customer's eviction budgets.
    fn evict_interfering(&mut self, now: Time, attempt: TaskAttempt, effects: &mut Vec<Effect>) {
        let Some((task, _)) = self.tasks.active(attempt) else { return };
        let within_budget = self.quota.evictable(now, task.customer, task.open.evictions);
        if within_budget && task.open.spec.idempotent {
            let data = EventData::Evict(EvictionReason::Interference);
            self.step_attempt(now, attempt.task, PhaseEvent::Evict, data, effects);
        }
    }
}
