//! Handles ledger entries and changes of leadership.

use crate::{
    ids::{Attempt, DataCentre, Epoch, TaskAttempt, TaskId},
    policy::Tier,
    scheduler::{
        Scheduler,
        attempt::EventData,
        charts::{HealthEvent, PhaseEvent},
        health::WORKER_RETENTION,
        index::WorkerSlot,
        leadership::Leadership,
        port::Effect,
        queue::{CustomerSlot, Priority},
        tasks::{ActiveAttempt, Stage, Task},
        timers::Timer,
    },
    task::{OpenTask, TaskOutcome, TaskState},
    time::Time,
};

impl Scheduler {
    /// Handles a task as it is in the ledger.
    pub(super) fn task_opened(&mut self, now: Time, open: &OpenTask, effects: &mut Vec<Effect>) {
        if open.spec.centre.as_ref().is_some_and(|centre| *centre != self.config.centre) {
            return;
        }
        match &open.state {
            TaskState::Ended(_) => self.remove_task(now, open.task, effects),
            TaskState::Queued => self.queued_task_opened(now, open, effects),
            TaskState::Running { attempt, worker, centre } => {
                let here = *centre == self.config.centre;
                let slot = here.then(|| self.fleet.slot(now, worker));
                let current = TaskAttempt { task: open.task, attempt: *attempt };
                if slot.is_some_and(|slot| self.is_current(current, slot)) {
                    return;
                }
                self.remove_task(now, open.task, effects);
                if let Some(slot) = slot {
                    self.inherit_attempt(now, open, *attempt, slot);
                }
            }
        }
    }

    fn queued_task_opened(&mut self, now: Time, open: &OpenTask, effects: &mut Vec<Effect>) {
        let id = open.task;
        if let Some((attempt, _)) = self.phase_of(id)
            && attempt >= open.next
        {
            // The entry is older than the attempt that is being recorded.
            return;
        }
        let known = self.tasks.get(id);
        let (since, failed_on) =
            known.map_or((now, None), |task| (task.stage_since, task.failed_on));
        let last_eviction = known.and_then(|task| task.last_eviction);
        self.remove_task(now, id, effects);
        let mut task = self.new_task(now, open, Stage::Waiting);
        task.failed_on = failed_on;
        task.last_eviction = last_eviction;
        task.stage_since = since;
        let cancelled = open.cancelled;
        self.tasks.insert(id, task);
        if cancelled {
            self.end_unplaced(now, id, TaskOutcome::Cancelled, effects);
        } else if open.failures > 0 {
            self.delay(now, id);
        } else {
            self.enqueue(now, id, effects);
        }
    }

    fn new_task(&mut self, now: Time, open: &OpenTask, stage: Stage) -> Task {
        let customer = self.quota.slot(&open.customer, &self.policy);
        Task {
            open: Box::new(open.clone()),
            customer,
            kind: self.kinds.number(&open.customer, &open.spec.kind),
            priority: self.priority(customer, open),
            stage_since: now,
            stage,
            record_retry: now,
            failed_on: None,
            last_eviction: None,
        }
    }

    fn priority(&self, customer: CustomerSlot, open: &OpenTask) -> Priority {
        let allowed = self.quota[customer].terms.as_ref().is_some_and(|terms| terms.urgent);
        match (open.spec.service.is_some(), open.spec.urgent && allowed) {
            (false, false) => Priority::Normal,
            (true, _) | (_, true) => Priority::Urgent,
        }
    }

    /// Adds an attempt that is running according to the ledger and that this instance didn't start.
    fn inherit_attempt(&mut self, now: Time, open: &OpenTask, attempt: Attempt, slot: WorkerSlot) {
        let mut task = self.new_task(now, open, Stage::AwaitingLedger);
        let size = task.size();
        let tier = self.quota.tier(task.customer, &size).unwrap_or(Tier::BestEffort);
        task.stage = Stage::Active(Box::new(ActiveAttempt::inherited(now, attempt, slot, tier)));
        self.allocate(now, open.task, task);
    }

    /// Puts a task back into the queue.
    pub(super) fn enqueue(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        task.stage = Stage::Waiting;
        let (priority, customer, size) = (task.priority, task.customer, task.size());
        match self.infeasible(now, customer, &size) {
            Some(reason) => self.end_unplaced(now, id, TaskOutcome::Impossible { reason }, effects),
            None => self.queue.push(now, priority, customer, id, &self.quota),
        }
    }

    /// Ends the tasks that are too large for every worker or for their customer's plan, once all
    /// workers had time to announce themselves.
    pub(super) fn end_infeasible(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for id in self.tasks.select(|task| matches!(task.stage, Stage::Waiting)) {
            let Some(task) = self.tasks.get(id) else { continue };
            if let Some(reason) = self.infeasible(now, task.customer, &task.size()) {
                self.end_unplaced(now, id, TaskOutcome::Impossible { reason }, effects);
            }
        }
    }

    /// Updates the priority of waiting tasks after a change of policy.
    pub(super) fn update_priorities(&mut self, now: Time) {
        let waiting = self.tasks.select(|task| matches!(task.stage, Stage::Waiting));
        for id in waiting {
            let Some(task) = self.tasks.get(id) else { continue };
            let (priority, customer) = (task.priority, task.customer);
            let wanted = self.priority(customer, &task.open);
            if wanted == priority {
                continue;
            }
            self.queue.remove(priority, customer, id, &self.quota);
            self.queue.push(now, wanted, customer, id, &self.quota);
            if let Some(task) = self.tasks.get_mut(id) {
                task.priority = wanted;
            }
        }
    }

    /// Removes a task and releases what it holds.
    fn remove_task(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        self.step_attempt(now, id, PhaseEvent::EndRecorded, EventData::None, effects);
        let Some(task) = self.tasks.remove(id) else { return };
        self.queue.remove(task.priority, task.customer, id, &self.quota);
        self.unreserve(id);
    }

    /// Proposes the end of a task that has no attempt.
    pub(super) fn end_unplaced(
        &mut self,
        now: Time,
        id: TaskId,
        outcome: TaskOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        task.stage = Stage::Ending(outcome);
        task.stage_since = now;
        let (priority, customer) = (task.priority, task.customer);
        self.queue.remove(priority, customer, id, &self.quota);
        self.unreserve(id);
        self.propose_end(now, id, effects);
    }

    /// Proposes the end of a task that has no attempt, for the first time or again.
    fn propose_end(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        self.arm_record_timer(now, id);
        let Some(epoch) = self.leadership.record_epoch(now, &self.config) else { return };
        let Some(task) = self.tasks.get(id) else { return };
        if let Stage::Ending(outcome) = &task.stage {
            let attempt = TaskAttempt { task: id, attempt: task.last_attempt() };
            effects.push(Effect::RecordEnd { epoch, attempt, outcome: outcome.clone() });
        }
    }

    /// Arms the timer after which an unanswered record is proposed again.
    pub(super) fn arm_record_timer(&mut self, now: Time, id: TaskId) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        task.record_retry = now + self.config.record_retry;
        self.timers.set(task.record_retry, Timer::Record(id));
    }

    /// Handles the timer of a record. A timer from before the last proposal is ignored.
    pub(super) fn record_timer_fired(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        if self.tasks.get(id).is_some_and(|task| task.record_retry <= now) {
            self.resend_pending(now, id, effects);
        }
    }

    /// Proposes again a record that may have got no answer.
    fn resend_pending(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        let Some(task) = self.tasks.get(id) else { return };
        match &task.stage {
            Stage::Ending(_) => self.propose_end(now, id, effects),
            Stage::Active(_) => {
                self.step_attempt(now, id, PhaseEvent::Retry, EventData::None, effects);
            }
            Stage::Waiting | Stage::BackingOff | Stage::AwaitingLedger => {}
        }
    }

    /// Handles a cancellation by the customer.
    pub(super) fn task_cancelled(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        if std::mem::replace(&mut task.open.cancelled, true) {
            return;
        }
        match &task.stage {
            Stage::Waiting | Stage::BackingOff => {
                self.end_unplaced(now, id, TaskOutcome::Cancelled, effects);
            }
            Stage::Active(_) => {
                self.step_attempt(now, id, PhaseEvent::Cancel, EventData::None, effects);
            }
            Stage::AwaitingLedger | Stage::Ending(_) => {}
        }
    }

    /// Handles the record of an attempt's start.
    pub(super) fn start_recorded(
        &mut self,
        now: Time,
        attempt: TaskAttempt,
        effects: &mut Vec<Effect>,
    ) {
        let id = attempt.task;
        if self.tasks.active(attempt).is_some() {
            self.step_attempt(now, id, PhaseEvent::Recorded, EventData::None, effects);
            return;
        }
        // Another instance started the attempt. The task must not be started here until it is
        // opened again.
        let Some(task) = self.tasks.get_mut(id) else { return };
        if task.open.next <= attempt.attempt && task.current().is_none() {
            task.stage = Stage::AwaitingLedger;
            let (priority, customer) = (task.priority, task.customer);
            self.queue.remove(priority, customer, id, &self.quota);
            self.unreserve(id);
        }
    }

    /// Passes the ledger's answer to the attempt that it is for.
    pub(super) fn ledger_answered(
        &mut self,
        now: Time,
        attempt: TaskAttempt,
        event: PhaseEvent,
        effects: &mut Vec<Effect>,
    ) {
        if self.tasks.active(attempt).is_some() {
            self.step_attempt(now, attempt.task, event, EventData::None, effects);
        }
    }

    /// Handles the record of a task's end.
    pub(super) fn end_recorded(
        &mut self,
        now: Time,
        attempt: TaskAttempt,
        effects: &mut Vec<Effect>,
    ) {
        self.remove_task(now, attempt.task, effects);
    }

    /// Handles a change of the data centre's epoch.
    pub(super) fn leadership_changed(
        &mut self,
        now: Time,
        centre: &DataCentre,
        epoch: Option<Epoch>,
        effects: &mut Vec<Effect>,
    ) {
        if *centre != self.config.centre || epoch == self.leadership.epoch {
            return;
        }
        // Leases that were given under the previous epoch prove nothing under the new one.
        for slot in self.fleet.slots() {
            self.step_worker(now, slot, HealthEvent::Reset, effects);
            self.fleet[slot].leased_at = None;
            self.timers.set(now + WORKER_RETENTION, Timer::Worker(slot));
        }
        for id in self.tasks.select(|task| task.current().is_some()) {
            self.step_attempt(now, id, PhaseEvent::EpochChanged, EventData::None, effects);
        }
        let Some(epoch) = epoch else {
            self.leadership = Leadership::none(now);
            return;
        };
        self.leadership = Leadership { epoch: Some(epoch), acquired: now, confirmed: now };
        let unrecorded = self.tasks.select(|task| match &task.stage {
            Stage::Active(current) => current.pending_record.is_some(),
            Stage::Ending(_) => true,
            Stage::Waiting | Stage::BackingOff | Stage::AwaitingLedger => false,
        });
        for id in unrecorded {
            self.resend_pending(now, id, effects);
        }
        self.timers
            .set(self.leadership.prior_leases_expire(&self.config), Timer::PriorLeasesExpired);
        self.timers.set(now + self.config.discovery, Timer::DiscoveryOver);
        self.queue.wake_all(&self.quota);
    }
}
