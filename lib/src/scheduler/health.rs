//! Applies the state chart of a worker.

use std::time::Duration;

use crate::{
    ids::TaskId,
    scheduler::{
        Scheduler,
        attempt::EventData,
        charts::{Health, HealthAction, HealthEvent, HealthGuard, Phase, PhaseEvent, WORKER},
        index::WorkerSlot,
        port::Effect,
        tasks::Task,
        timers::Timer,
    },
    task::EvictionReason,
    time::Time,
};

/// How long a worker without a lease is kept.
pub(super) const WORKER_RETENTION: Duration = Duration::from_secs(3_600);

impl Scheduler {
    /// Applies an event to a worker.
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
            HealthGuard::Failing => worker.outcomes.failing(),
        };
        match WORKER.step(before, event, holds) {
            Ok(step) => {
                self.fleet[slot].health = step.to;
                self.update_total(slot, before, step.to);
                for action in step.actions {
                    self.act_on_worker(now, slot, *action, effects);
                }
            }
            Err(unhandled) => self.unhandled(&unhandled),
        }
    }

    fn update_total(&mut self, slot: WorkerSlot, before: Health, after: Health) {
        match (before == Health::Silent, after == Health::Silent) {
            (true, false) => self.fleet.add_capacity(slot),
            (false, true) => self.fleet.subtract_capacity(slot),
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
                self.offer_capacity(slot);
            }
            HealthAction::Exclude => self.exclude(slot),
            HealthAction::Drain => self.drain(now, slot, EvictionReason::Leaving, effects),
            HealthAction::EvictUnstarted => self.evict_unstarted(now, slot, effects),
            HealthAction::ExpireLease => self.expire_lease(now, slot, effects),
            HealthAction::SetQuarantine => {
                let worker = &mut self.fleet[slot];
                let wait = self.config.quarantine * 2_u32.pow(worker.outcomes.quarantines.min(6));
                worker.outcomes.quarantines += 1;
                worker.quarantined_until = now + wait;
                self.timers.set(now + wait, Timer::Worker(slot));
            }
            HealthAction::ClearFailures => self.fleet[slot].outcomes.clear(),
        }
    }

    fn exclude(&mut self, slot: WorkerSlot) {
        self.fleet.index.remove(slot);
        if let Some(task) = self.fleet[slot].reserved.take() {
            self.reservations.remove(&task);
        }
    }

    /// Evicts the attempts on a worker that can be run elsewhere. One of a task that isn't
    /// idempotent is left to end by itself.
    fn drain(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        reason: EvictionReason,
        effects: &mut Vec<Effect>,
    ) {
        for id in self.tasks_on(slot) {
            let idempotent = self.tasks.get(id).is_some_and(|task| task.open.spec.idempotent);
            if idempotent || self.phase_of(id).is_some_and(|(_, phase)| phase == Phase::Recording) {
                self.step_attempt(now, id, PhaseEvent::Evict, EventData::Evict(reason), effects);
            }
        }
    }

    /// Evicts the attempts whose start command hasn't been sent yet.
    fn evict_unstarted(&mut self, now: Time, slot: WorkerSlot, effects: &mut Vec<Effect>) {
        let data = EventData::Evict(EvictionReason::Quarantine);
        for id in self.tasks_on(slot) {
            if self.phase_of(id).is_some_and(|(_, phase)| phase == Phase::Recording) {
                self.step_attempt(now, id, PhaseEvent::Evict, data, effects);
            }
        }
    }

    /// Handles the expiry of a worker's lease, which ends its batch attempts.
    fn expire_lease(&mut self, now: Time, slot: WorkerSlot, effects: &mut Vec<Effect>) {
        // Commands sent under the expired lease must not start anything under a later one.
        self.fleet.raise_fence(slot);
        self.fleet[slot].leased_at = None;
        self.timers.set(now + WORKER_RETENTION, Timer::Worker(slot));
        let prior_expired = now >= self.leadership.prior_leases_expire(&self.config);
        for id in self.tasks_on(slot) {
            let batch = self.tasks.get(id).is_some_and(|task| task.is_batch());
            let inherited = self.phase_of(id).is_some_and(|(_, phase)| phase == Phase::Inherited);
            // The previous holder may still renew the worker's lease.
            if batch && (!inherited || prior_expired) {
                self.presume_stopped(now, id, effects);
            }
        }
    }

    /// Handles the time at which all leases of the previous holder have expired.
    pub(super) fn expire_prior_leases(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.leadership.epoch.is_none()
            || now < self.leadership.prior_leases_expire(&self.config)
        {
            return;
        }
        let expired = self.tasks.select(|task| {
            task.is_batch()
                && task.current().is_some_and(|current| {
                    current.phase == Phase::Inherited && !self.fleet[current.worker].leased()
                })
        });
        for id in expired {
            self.presume_stopped(now, id, effects);
        }
    }

    /// Treats a task's current attempt as stopped, inferred from the leases of this and earlier
    /// holders.
    fn presume_stopped(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        if let Some(current) = self.tasks.get_mut(id).and_then(Task::current_mut) {
            current.presumed_stopped = true;
            let slot = current.worker;
            self.fleet[slot].presumed_stopped.insert(id);
        }
        self.step_attempt(now, id, PhaseEvent::Lost, EventData::None, effects);
    }

    /// Confirms the attempts that were presumed stopped. A worker that has accepted no later epoch
    /// got its leases from this holder alone, so that the inference holds.
    pub(super) fn confirm_presumed_stops(&mut self, slot: WorkerSlot) {
        for id in std::mem::take(&mut self.fleet[slot].presumed_stopped) {
            if let Some(current) = self.tasks.get_mut(id).and_then(Task::current_mut)
                && current.worker == slot
            {
                current.presumed_stopped = false;
            }
        }
    }

    /// Checks whether a worker is overdue, without a valid lease or out of quarantine.
    pub(super) fn worker_timer_fired(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        effects: &mut Vec<Effect>,
    ) {
        self.fleet[slot].timer_set = false;
        if !self.fleet[slot].leased() {
            let worker = &self.fleet[slot];
            if now.since(worker.last_heard) >= WORKER_RETENTION && worker.allocations.is_empty() {
                self.fleet.remove(slot);
            }
            return;
        }
        let expires = self.lease_expires(slot);
        if now >= expires {
            self.step_worker(now, slot, HealthEvent::LeaseExpired, effects);
            return;
        }
        let overdue = self.fleet[slot].last_heard + self.config.overdue_after();
        if now >= overdue {
            self.step_worker(now, slot, HealthEvent::Overdue, effects);
        }
        if self.fleet[slot].health == Health::Quarantined
            && now >= self.fleet[slot].quarantined_until
        {
            self.step_worker(now, slot, HealthEvent::QuarantineOver, effects);
        }
        self.arm_worker_timer(now, slot);
    }

    /// Arms a worker's timer, unless it is set.
    pub(super) fn arm_worker_timer(&mut self, now: Time, slot: WorkerSlot) {
        if std::mem::replace(&mut self.fleet[slot].timer_set, true) {
            return;
        }
        let overdue = self.fleet[slot].last_heard + self.config.overdue_after();
        let next = if overdue > now { overdue } else { self.lease_expires(slot) };
        self.timers.set(next, Timer::Worker(slot));
    }

    /// When a worker's lease has certainly expired, with the margin for a slow clock.
    fn lease_expires(&self, slot: WorkerSlot) -> Time {
        let worker = &self.fleet[slot];
        // A worker that got no lease under this epoch may have got one from the previous holder at
        // its last announcement.
        worker.leased_at.unwrap_or(worker.last_heard) + self.config.lease_expiry()
    }

    /// The tasks whose attempts hold resources on a worker.
    pub(super) fn tasks_on(&self, slot: WorkerSlot) -> Vec<TaskId> {
        self.fleet[slot].allocations.keys().copied().collect()
    }
}
