//! Samples of use, and what the interference policy makes of them.

use crate::{
    ids::TaskAttempt,
    interference::port::Action,
    scheduler::{Scheduler, attempt::Cause, charts::PhaseEvent, index::WorkerSlot, port::Effect},
    task::EvictionReason,
    time::Time,
    worker::Sample,
};

impl Scheduler {
    /// Takes in a sample of one of a worker's current tries.
    pub(super) fn sampled(&mut self, now: Time, slot: WorkerSlot, sample: &Sample) {
        let worker = &self.fleet[slot];
        let Some(seat) = worker.tries.get(&sample.attempt.task) else { return };
        if seat.attempt == sample.attempt.attempt {
            self.estimates.sampled(seat.kind, &seat.size, &sample.used);
            self.interference.sampled(now, &worker.name, sample);
        }
    }

    /// Carries out what the interference policy asks for, if it is due.
    pub(super) fn interfere(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.interference.next_deadline().is_none_or(|at| at > now) {
            return;
        }
        let mut actions = Vec::new();
        self.interference.decide(now, &mut actions);
        if self.hold.epoch.is_none() {
            return;
        }
        for action in actions {
            match action {
                Action::Throttle { worker: _, attempt, permille } => {
                    if self.tasks.active(attempt).is_some() {
                        let cause = Cause::Throttle(permille);
                        self.step_try(now, attempt.task, PhaseEvent::Throttle, cause, effects);
                    }
                }
                Action::Move { worker: _, attempt } => self.move_away(now, attempt, effects),
            }
        }
    }

    /// Evicts a try that hurts a service, within the budgets of its customer.
    fn move_away(&mut self, now: Time, attempt: TaskAttempt, effects: &mut Vec<Effect>) {
        let Some((task, _)) = self.tasks.active(attempt) else { return };
        let within = self.quota.evictable(now, task.customer, task.open.evictions);
        if within && task.open.spec.idempotent {
            let cause = Cause::Evict(EvictionReason::Interference);
            self.step_try(now, attempt.task, PhaseEvent::Evict, cause, effects);
        }
    }
}
