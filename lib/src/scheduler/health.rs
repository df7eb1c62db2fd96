//! A worker's way through its chart.

use std::time::Duration;

use crate::{
    ids::TaskId,
    scheduler::{
        Scheduler,
        attempt::Cause,
        charts::{Health, HealthAction, HealthEvent, HealthGuard, Phase, PhaseEvent, WORKER},
        index::WorkerSlot,
        port::Effect,
        tasks::Task,
        timers::Timer,
    },
    task::EvictionReason,
    time::Time,
};

/// How long a worker without a lease is remembered.
pub(super) const FORGET: Duration = Duration::from_secs(3_600);

impl Scheduler {
    /// Takes an event to a worker.
    pub(super) fn step_worker(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        event: HealthEvent,
        effects: &mut Vec<Effect>,
    ) {
        let worker = &self.fleet[slot];
        let before = worker.health;
        let holds = |guard| match guard {
            HealthGuard::Leaving => worker.leaving,
            HealthGuard::Failing => worker.failures.failing(),
        };
        match WORKER.step(before, event, holds) {
            Ok(step) => {
                self.fleet[slot].health = step.to;
                self.count_capacity(slot, before, step.to);
                for action in step.actions {
                    self.act_on_worker(now, slot, *action, effects);
                }
            }
            Err(unhandled) => self.unhandled(&unhandled),
        }
    }

    fn count_capacity(&mut self, slot: WorkerSlot, before: Health, after: Health) {
        match (before == Health::Silent, after == Health::Silent) {
            (true, false) => self.fleet.count_in(slot),
            (false, true) => self.fleet.count_out(slot),
            (true, true) | (false, false) => {}
        }
        self.quota.total = self.fleet.total;
    }

    fn act_on_worker(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        action: HealthAction,
        effects: &mut Vec<Effect>,
    ) {
        match action {
            HealthAction::Admit => {
                self.fleet.admit(slot);
                self.freed_room(slot);
            }
            HealthAction::Withdraw => self.withdraw(slot),
            HealthAction::Shed => self.shed(now, slot, EvictionReason::Leaving, effects),
            HealthAction::ShedQueued => self.shed_queued(now, slot, effects),
            HealthAction::Expire => self.expire(now, slot, effects),
            HealthAction::BackOff => {
                let worker = &mut self.fleet[slot];
                let wait = self.config.quarantine * 2_u32.pow(worker.failures.rounds.min(6));
                worker.failures.rounds += 1;
                worker.release = now + wait;
                self.timers.set(now + wait, Timer::Worker(slot));
            }
            HealthAction::Forgive => self.fleet[slot].failures.forgive(),
        }
    }

    fn withdraw(&mut self, slot: WorkerSlot) {
        self.fleet.index.remove(slot);
        if let Some(task) = self.fleet[slot].reserved.take() {
            self.reservations.remove(&task);
        }
    }

    /// Evicts every try on a worker that may be run elsewhere without harm. A try that may not run
    /// twice is left to end by itself.
    fn shed(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        reason: EvictionReason,
        effects: &mut Vec<Effect>,
    ) {
        for id in self.tries_on(slot) {
            let repeatable = self.tasks.get(id).is_some_and(|task| task.open.spec.idempotent);
            if repeatable || self.phase_of(id).is_some_and(|(_, phase)| phase == Phase::Recording) {
                self.step_try(now, id, PhaseEvent::Evict, Cause::Evict(reason), effects);
            }
        }
    }

    /// Gives back tries whose start hasn't left yet.
    fn shed_queued(&mut self, now: Time, slot: WorkerSlot, effects: &mut Vec<Effect>) {
        let cause = Cause::Evict(EvictionReason::Quarantine);
        for id in self.tries_on(slot) {
            if self.phase_of(id).is_some_and(|(_, phase)| phase == Phase::Recording) {
                self.step_try(now, id, PhaseEvent::Evict, cause, effects);
            }
        }
    }

    /// The worker's lease has surely run out, and with it its batch tries.
    fn expire(&mut self, now: Time, slot: WorkerSlot, effects: &mut Vec<Effect>) {
        // What was sent under the lease that ran out must not start anything under a later one.
        self.fleet.raise_fence(slot);
        self.fleet[slot].answered = None;
        self.timers.set(now + FORGET, Timer::Worker(slot));
        let cleared = now >= self.hold.cleared(&self.config);
        for id in self.tries_on(slot) {
            let batch = self.tasks.get(id).is_some_and(|task| task.batch());
            let inherited = self.phase_of(id).is_some_and(|(_, phase)| phase == Phase::Inherited);
            // The holder before this one may still renew the worker's lease.
            if batch && (!inherited || cleared) {
                self.surmise(now, id, effects);
            }
        }
    }

    /// Leases of the holder before this one have surely run out.
    pub(super) fn expire_inherited(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.hold.epoch.is_none() || now < self.hold.cleared(&self.config) {
            return;
        }
        let expired = self.tasks.select(|task| {
            task.batch()
                && task.current().is_some_and(|current| {
                    current.phase == Phase::Inherited && !self.fleet[current.worker].leased()
                })
        });
        for id in expired {
            self.surmise(now, id, effects);
        }
    }

    /// A task's current try has stopped, as far as leases of this and earlier holders go.
    fn surmise(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        if let Some(current) = self.tasks.get_mut(id).and_then(Task::current_mut) {
            current.surmised = true;
            let slot = current.worker;
            self.fleet[slot].surmised.insert(id);
        }
        self.step_try(now, id, PhaseEvent::Gone, Cause::Plain, effects);
    }

    /// A worker that has obeyed no later epoch had its leases from this holder alone: what was
    /// concluded from them is a fact.
    pub(super) fn confirm_surmises(&mut self, slot: WorkerSlot) {
        for id in std::mem::take(&mut self.fleet[slot].surmised) {
            if let Some(current) = self.tasks.get_mut(id).and_then(Task::current_mut)
                && current.worker == slot
            {
                current.surmised = false;
            }
        }
    }

    /// Looks whether a worker is overdue, lapsed or out of quarantine.
    pub(super) fn watch_worker(&mut self, now: Time, slot: WorkerSlot, effects: &mut Vec<Effect>) {
        self.fleet[slot].watched = false;
        if !self.fleet[slot].leased() {
            let worker = &self.fleet[slot];
            if now.since(worker.heard) >= FORGET && worker.tries.is_empty() {
                self.fleet.forget(slot);
            }
            return;
        }
        let lapse = self.lapse_of(slot);
        if now >= lapse {
            self.step_worker(now, slot, HealthEvent::Lapsed, effects);
            return;
        }
        let overdue = self.fleet[slot].heard + self.config.overdue();
        if now >= overdue {
            self.step_worker(now, slot, HealthEvent::Overdue, effects);
        }
        if self.fleet[slot].health == Health::Quarantined && now >= self.fleet[slot].release {
            self.step_worker(now, slot, HealthEvent::BackedOff, effects);
        }
        self.arm_worker(now, slot);
    }

    /// Sets a worker's timer, unless it is set.
    pub(super) fn arm_worker(&mut self, now: Time, slot: WorkerSlot) {
        if std::mem::replace(&mut self.fleet[slot].watched, true) {
            return;
        }
        let overdue = self.fleet[slot].heard + self.config.overdue();
        let next = if overdue > now { overdue } else { self.lapse_of(slot) };
        self.timers.set(next, Timer::Worker(slot));
    }

    /// When a worker's lease has surely run out.
    fn lapse_of(&self, slot: WorkerSlot) -> Time {
        let worker = &self.fleet[slot];
        // A worker that was never answered under this epoch counts as if it was when last heard.
        worker.answered.unwrap_or(worker.heard) + self.config.lapse()
    }

    /// The tasks whose tries hold room on a worker.
    pub(super) fn tries_on(&self, slot: WorkerSlot) -> Vec<TaskId> {
        self.fleet[slot].tries.keys().copied().collect()
    }
}
