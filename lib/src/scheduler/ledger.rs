//! What the ledger recorded, and what this instance holds of the data centre.

use crate::{
    ids::{Attempt, DataCentre, Epoch, TaskAttempt, TaskId},
    policy::Tier,
    scheduler::{
        Scheduler,
        attempt::Cause,
        charts::{HealthEvent, PhaseEvent},
        health::FORGET,
        hold::Hold,
        index::WorkerSlot,
        port::Effect,
        queue::{CustomerSlot, Lane},
        tasks::{Stage, Task, Try},
        timers::Timer,
    },
    task::{OpenTask, TaskOutcome, TaskState},
    time::Time,
};

impl Scheduler {
    /// Takes in a task as the ledger has it.
    pub(super) fn opened(&mut self, now: Time, open: &OpenTask, effects: &mut Vec<Effect>) {
        if open.spec.centre.as_ref().is_some_and(|centre| *centre != self.config.centre) {
            return;
        }
        match &open.state {
            TaskState::Ended(_) => self.forget(now, open.task, effects),
            TaskState::Queued => self.opened_queued(now, open, effects),
            TaskState::Running { attempt, worker, centre } => {
                let here = *centre == self.config.centre;
                let slot = here.then(|| self.fleet.slot(now, worker));
                let current = TaskAttempt { task: open.task, attempt: *attempt };
                if slot.is_some_and(|slot| self.is_current(current, slot)) {
                    return;
                }
                self.forget(now, open.task, effects);
                if let Some(slot) = slot {
                    self.inherit(now, open, *attempt, slot);
                }
            }
        }
    }

    fn opened_queued(&mut self, now: Time, open: &OpenTask, effects: &mut Vec<Effect>) {
        let id = open.task;
        if let Some((attempt, _)) = self.phase_of(id)
            && attempt >= open.next
        {
            // It says what was true before the try that is being recorded.
            return;
        }
        let known = self.tasks.get(id);
        let (since, avoid) = known.map_or((now, None), |task| (task.since, task.avoid));
        let evicted = known.and_then(|task| task.evicted);
        self.forget(now, id, effects);
        let mut task = self.task(now, open, Stage::Waiting);
        task.avoid = avoid;
        task.evicted = evicted;
        task.since = since;
        let cancelled = open.cancelled;
        self.tasks.insert(id, task);
        if cancelled {
            self.close(now, id, TaskOutcome::Cancelled, effects);
        } else if open.failures > 0 {
            self.delay(now, id);
        } else {
            self.enqueue(now, id, effects);
        }
    }

    fn task(&mut self, now: Time, open: &OpenTask, stage: Stage) -> Task {
        let customer = self.quota.slot(&open.customer, &self.policy);
        Task {
            open: Box::new(open.clone()),
            customer,
            kind: self.kinds.number(&open.customer, &open.spec.kind),
            lane: self.lane(customer, open),
            since: now,
            stage,
            retry: now,
            avoid: None,
            evicted: None,
        }
    }

    fn lane(&self, customer: CustomerSlot, open: &OpenTask) -> Lane {
        let allowed = self.quota[customer].terms.as_ref().is_some_and(|terms| terms.urgent);
        match (open.spec.service.is_some(), open.spec.urgent && allowed) {
            (false, false) => Lane::Normal,
            (true, _) | (_, true) => Lane::Urgent,
        }
    }

    /// Takes in a try that the ledger has as running and that this instance didn't start.
    fn inherit(&mut self, now: Time, open: &OpenTask, attempt: Attempt, slot: WorkerSlot) {
        let mut task = self.task(now, open, Stage::Parked);
        let size = task.size();
        let tier = self.quota.tier(task.customer, &size).unwrap_or(Tier::BestEffort);
        task.stage = Stage::Active(Box::new(Try::inherited(now, attempt, slot, tier)));
        self.hold_room(now, open.task, task);
    }

    /// Puts a task back into the queue.
    pub(super) fn enqueue(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        task.stage = Stage::Waiting;
        let (lane, customer, size) = (task.lane, task.customer, task.size());
        match self.impossible(now, customer, &size) {
            Some(reason) => self.close(now, id, TaskOutcome::Impossible { reason }, effects),
            None => self.queue.push(now, lane, customer, id, &self.quota),
        }
    }

    /// The workers that were heard of are all there are: ends tasks that none of them could run.
    pub(super) fn census(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for id in self.tasks.select(|task| matches!(task.stage, Stage::Waiting)) {
            let Some(task) = self.tasks.get(id) else { continue };
            if let Some(reason) = self.impossible(now, task.customer, &task.size()) {
                self.close(now, id, TaskOutcome::Impossible { reason }, effects);
            }
        }
    }

    /// Moves tasks whose lane the policy changed.
    pub(super) fn sort_lanes(&mut self, now: Time) {
        let waiting = self.tasks.select(|task| matches!(task.stage, Stage::Waiting));
        for id in waiting {
            let Some(task) = self.tasks.get(id) else { continue };
            let (lane, customer) = (task.lane, task.customer);
            let wanted = self.lane(customer, &task.open);
            if wanted == lane {
                continue;
            }
            self.queue.remove(lane, customer, id, &self.quota);
            self.queue.push(now, wanted, customer, id, &self.quota);
            if let Some(task) = self.tasks.get_mut(id) {
                task.lane = wanted;
            }
        }
    }

    /// Forgets a task and gives back what it holds.
    fn forget(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        self.step_try(now, id, PhaseEvent::EndRecorded, Cause::Plain, effects);
        let Some(task) = self.tasks.remove(id) else { return };
        self.queue.remove(task.lane, task.customer, id, &self.quota);
        self.unreserve(id);
    }

    /// Asks for the record of the end of a task that has no try.
    pub(super) fn close(
        &mut self,
        now: Time,
        id: TaskId,
        outcome: TaskOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        task.stage = Stage::Closing(outcome);
        task.since = now;
        let (lane, customer) = (task.lane, task.customer);
        self.queue.remove(lane, customer, id, &self.quota);
        self.unreserve(id);
        self.close_again(now, id, effects);
    }

    /// Asks once more for the record of the end of a task that has no try.
    fn close_again(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        self.retry_later(now, id);
        let Some(epoch) = self.hold.records(now, &self.config) else { return };
        let Some(task) = self.tasks.get(id) else { return };
        if let Stage::Closing(outcome) = &task.stage {
            let attempt = TaskAttempt { task: id, attempt: task.last() };
            effects.push(Effect::RecordEnd { epoch, attempt, outcome: outcome.clone() });
        }
    }

    /// Asks for a record again if there is no answer in time.
    pub(super) fn retry_later(&mut self, now: Time, id: TaskId) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        task.retry = now + self.config.retry;
        self.timers.set(task.retry, Timer::Record(id));
    }

    /// The timer for a record has come; one that was set before the last request comes too early.
    pub(super) fn record_due(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        if self.tasks.get(id).is_some_and(|task| task.retry <= now) {
            self.retry_record(now, id, effects);
        }
    }

    /// A record may have got no answer.
    fn retry_record(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        let Some(task) = self.tasks.get(id) else { return };
        match &task.stage {
            Stage::Closing(_) => self.close_again(now, id, effects),
            Stage::Active(_) => {
                self.step_try(now, id, PhaseEvent::Retry, Cause::Plain, effects);
            }
            Stage::Waiting | Stage::Delayed | Stage::Parked => {}
        }
    }

    /// A customer cancelled a task.
    pub(super) fn cancelled(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        if std::mem::replace(&mut task.open.cancelled, true) {
            return;
        }
        match &task.stage {
            Stage::Waiting | Stage::Delayed => {
                self.close(now, id, TaskOutcome::Cancelled, effects);
            }
            Stage::Active(_) => {
                self.step_try(now, id, PhaseEvent::Cancel, Cause::Plain, effects);
            }
            Stage::Parked | Stage::Closing(_) => {}
        }
    }

    /// The ledger recorded a try.
    pub(super) fn start_recorded(
        &mut self,
        now: Time,
        attempt: TaskAttempt,
        effects: &mut Vec<Effect>,
    ) {
        let id = attempt.task;
        if self.tasks.active(attempt).is_some() {
            self.step_try(now, id, PhaseEvent::Recorded, Cause::Plain, effects);
            return;
        }
        // Another instance's try: until its task is opened again, it must not be started here.
        let Some(task) = self.tasks.get_mut(id) else { return };
        if task.open.next <= attempt.attempt && task.current().is_none() {
            task.stage = Stage::Parked;
            let (lane, customer) = (task.lane, task.customer);
            self.queue.remove(lane, customer, id, &self.quota);
            self.unreserve(id);
        }
    }

    /// Takes an answer of the ledger to the try that it is about.
    pub(super) fn answered(
        &mut self,
        now: Time,
        attempt: TaskAttempt,
        event: PhaseEvent,
        effects: &mut Vec<Effect>,
    ) {
        if self.tasks.active(attempt).is_some() {
            self.step_try(now, attempt.task, event, Cause::Plain, effects);
        }
    }

    /// The ledger recorded a task's end.
    pub(super) fn end_recorded(
        &mut self,
        now: Time,
        attempt: TaskAttempt,
        effects: &mut Vec<Effect>,
    ) {
        self.forget(now, attempt.task, effects);
    }

    /// This instance holds the data centre's epoch, or no longer does.
    pub(super) fn held(
        &mut self,
        now: Time,
        centre: &DataCentre,
        epoch: Option<Epoch>,
        effects: &mut Vec<Effect>,
    ) {
        if *centre != self.config.centre || epoch == self.hold.epoch {
            return;
        }
        // Nothing follows from the leases of an epoch that has ended.
        for slot in self.fleet.slots() {
            self.step_worker(now, slot, HealthEvent::Reset, effects);
            self.fleet[slot].answered = None;
            self.timers.set(now + FORGET, Timer::Worker(slot));
        }
        for id in self.tasks.select(|task| task.current().is_some()) {
            self.step_try(now, id, PhaseEvent::Takeover, Cause::Plain, effects);
        }
        let Some(epoch) = epoch else {
            self.hold = Hold::none(now);
            return;
        };
        self.hold = Hold { epoch: Some(epoch), taken: now, confirmed: now };
        let unrecorded = self.tasks.select(|task| match &task.stage {
            Stage::Active(current) => current.record.is_some(),
            Stage::Closing(_) => true,
            Stage::Waiting | Stage::Delayed | Stage::Parked => false,
        });
        for id in unrecorded {
            self.retry_record(now, id, effects);
        }
        self.timers.set(self.hold.cleared(&self.config), Timer::Cleared);
        self.timers.set(now + self.config.census, Timer::Census);
        self.queue.wake_all(&self.quota);
    }
}
