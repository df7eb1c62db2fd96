//! Applies the state chart of an attempt.

use crate::{
    command::YieldCause,
    ids::{Attempt, TaskAttempt, TaskId},
    policy::Tier,
    scheduler::{
        Scheduler,
        charts::{ATTEMPT, HealthEvent, Phase, PhaseAction, PhaseEvent, PhaseGuard},
        index::WorkerSlot,
        port::Effect,
        queue::CustomerSlot,
        tasks::{ActiveAttempt, PendingRecord, Stage, Task},
        timers::Timer,
    },
    task::{Checkpoint, EvictionReason, TaskOutcome},
    time::Time,
    worker::{AttemptState, StartCommand, WorkerCommand},
};

/// How many times a throttle command is resent.
const THROTTLE_RESENDS: u8 = 3;

/// The data that comes with an attempt's event.
#[derive(Clone, Copy, Debug)]
pub(super) enum EventData<'c> {
    /// No data.
    None,
    /// The worker's report.
    Report(&'c AttemptState),
    /// Why the attempt is evicted.
    Evict(EvictionReason),
    /// The requested speed, in thousandths.
    Throttle(u32),
}

impl EventData<'_> {
    fn checkpoint(&self) -> Option<&Checkpoint> {
        match self {
            Self::Report(AttemptState::Stopped { checkpoint }) => checkpoint.as_ref(),
            Self::Report(
                AttemptState::Running
                | AttemptState::Completed { .. }
                | AttemptState::Failed { .. }
                | AttemptState::NotStarted { .. },
            )
            | Self::None
            | Self::Evict(_)
            | Self::Throttle(_) => None,
        }
    }

    fn reason(&self) -> String {
        match self {
            Self::Report(AttemptState::Failed { reason } | AttemptState::NotStarted { reason }) => {
                reason.clone()
            }
            Self::Report(
                AttemptState::Running
                | AttemptState::Completed { .. }
                | AttemptState::Stopped { .. },
            )
            | Self::None
            | Self::Evict(_)
            | Self::Throttle(_) => String::new(),
        }
    }
}

impl Scheduler {
    /// Applies an event to a task's current attempt.
    pub(super) fn step_attempt(
        &mut self,
        now: Time,
        id: TaskId,
        event: PhaseEvent,
        data: EventData<'_>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(task) = self.tasks.get(id) else { return };
        let Some(current) = task.current() else { return };
        let holds = |guard| self.phase_guard(task, current, guard, data);
        match ATTEMPT.step(current.phase, event, holds) {
            Ok(step) => {
                if let Some(current) = self.tasks.get_mut(id).and_then(Task::current_mut) {
                    current.phase = step.to;
                }
                for action in step.actions {
                    self.act_on_attempt(now, id, *action, data, effects);
                }
                if let Some(current) = self.tasks.get(id).and_then(Task::current)
                    && let Some(allocation) = self.fleet[current.worker].allocations.get_mut(&id)
                {
                    allocation.steady = current.steady();
                }
            }
            Err(unhandled) => self.unhandled(&unhandled),
        }
    }

    fn phase_guard(
        &self,
        task: &Task,
        current: &ActiveAttempt,
        guard: PhaseGuard,
        data: EventData<'_>,
    ) -> bool {
        match guard {
            PhaseGuard::Cancelled => task.open.cancelled,
            PhaseGuard::CannotStart => {
                current.eviction.is_some() || !self.fleet[current.worker].leased()
            }
            PhaseGuard::Idempotent => task.open.spec.idempotent,
            PhaseGuard::Checkpointed => {
                data.checkpoint().is_some_and(|found| found.attempt == current.attempt)
            }
            PhaseGuard::AttemptsExhausted => {
                !task.open.spec.idempotent || task.open.failures + 1 >= self.config.max_failures
            }
            PhaseGuard::PresumedStopped => current.presumed_stopped,
            PhaseGuard::ResendsLeft => current.resends_left > 0,
            PhaseGuard::FullSpeed => match data {
                EventData::Throttle(permille) => permille >= 1_000,
                EventData::None | EventData::Report(_) | EventData::Evict(_) => false,
            },
        }
    }

    fn act_on_attempt(
        &mut self,
        now: Time,
        id: TaskId,
        action: PhaseAction,
        data: EventData<'_>,
        effects: &mut Vec<Effect>,
    ) {
        match action {
            PhaseAction::RecordStart => self.propose_start(now, id, effects),
            PhaseAction::ResendRecord => self.propose_record(now, id, effects),
            PhaseAction::SendStart => self.send_start(id),
            PhaseAction::SendStop => self.send_stop(id),
            PhaseAction::SetSpeed => self.set_speed(id, data),
            PhaseAction::SendThrottle => self.send_throttle(id),
            PhaseAction::MarkEvicted => self.mark_evicted(now, id, data),
            PhaseAction::Reallocate => self.reallocate(now, id),
            PhaseAction::Release => self.release(now, id, effects),
            PhaseAction::Requeue => self.delay(now, id),
            PhaseAction::CancelTask => self.end_unplaced(now, id, TaskOutcome::Cancelled, effects),
            PhaseAction::YieldNotStarted => {
                self.record_yield(now, id, None, YieldCause::NotStarted, effects);
            }
            PhaseAction::YieldFailed => {
                let failed = YieldCause::Failed { reason: data.reason() };
                self.record_yield(now, id, None, failed, effects);
            }
            PhaseAction::YieldEvicted => self.record_eviction(now, id, data, effects),
            PhaseAction::YieldExpired => {
                let expired = YieldCause::Evicted(EvictionReason::LeaseExpired);
                self.record_yield(now, id, None, expired, effects);
            }
            PhaseAction::EndCompleted => self.record_completion(now, id, data, effects),
            PhaseAction::EndFailed => {
                self.record_end(now, id, TaskOutcome::Failed { reason: data.reason() }, effects);
            }
            PhaseAction::EndCancelled => {
                self.record_end(now, id, TaskOutcome::Cancelled, effects);
            }
            PhaseAction::EndUnknown => {
                let reason = "its worker stopped it or was lost, and it may not run twice".into();
                self.record_end(now, id, TaskOutcome::Unknown { reason }, effects);
            }
            PhaseAction::ForgetAttempt => {
                if let Some(task) = self.tasks.get_mut(id) {
                    task.stage = Stage::AwaitingLedger;
                    task.stage_since = now;
                }
            }
            PhaseAction::ForgetTask => {
                self.tasks.remove(id);
            }
        }
    }

    /// Proposes the start of a task's current attempt and arms the retry timer.
    pub(super) fn propose_start(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        self.arm_record_timer(now, id);
        let Some(epoch) = self.leadership.record_epoch(now, &self.config) else { return };
        let Some(current) = self.tasks.get(id).and_then(Task::current) else { return };
        effects.push(Effect::RecordStart {
            epoch,
            attempt: TaskAttempt { task: id, attempt: current.attempt },
            worker: self.fleet[current.worker].name.clone(),
        });
    }

    /// Proposes the pending record of an attempt's end, for the first time or again.
    fn propose_record(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        self.arm_record_timer(now, id);
        let Some(epoch) = self.leadership.record_epoch(now, &self.config) else { return };
        let Some(current) = self.tasks.get(id).and_then(Task::current) else { return };
        let attempt = TaskAttempt { task: id, attempt: current.attempt };
        match current.pending_record.clone() {
            Some(PendingRecord::Yield { checkpoint, cause }) => {
                effects.push(Effect::RecordYield { epoch, attempt, checkpoint, cause });
            }
            Some(PendingRecord::End(outcome)) => {
                effects.push(Effect::RecordEnd { epoch, attempt, outcome });
            }
            None => {}
        }
    }

    fn set_record(
        &mut self,
        now: Time,
        id: TaskId,
        record: PendingRecord,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(current) = self.tasks.get_mut(id).and_then(Task::current_mut) {
            current.pending_record = Some(record);
        }
        self.propose_record(now, id, effects);
    }

    fn record_yield(
        &mut self,
        now: Time,
        id: TaskId,
        checkpoint: Option<Checkpoint>,
        cause: YieldCause,
        effects: &mut Vec<Effect>,
    ) {
        self.set_record(now, id, PendingRecord::Yield { checkpoint, cause }, effects);
    }

    fn record_end(
        &mut self,
        now: Time,
        id: TaskId,
        outcome: TaskOutcome,
        effects: &mut Vec<Effect>,
    ) {
        self.set_record(now, id, PendingRecord::End(outcome), effects);
    }

    fn record_eviction(
        &mut self,
        now: Time,
        id: TaskId,
        data: EventData<'_>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(current) = self.tasks.get(id).and_then(Task::current) else { return };
        // An attempt that stopped without being asked to did so because its lease expired.
        let reason = current.eviction.unwrap_or(EvictionReason::LeaseExpired);
        let checkpoint = data.checkpoint().cloned();
        self.record_yield(now, id, checkpoint, YieldCause::Evicted(reason), effects);
    }

    fn record_completion(
        &mut self,
        now: Time,
        id: TaskId,
        data: EventData<'_>,
        effects: &mut Vec<Effect>,
    ) {
        let output = match data {
            EventData::Report(AttemptState::Completed { output }) => output.clone(),
            EventData::Report(
                AttemptState::Running
                | AttemptState::Failed { .. }
                | AttemptState::Stopped { .. }
                | AttemptState::NotStarted { .. },
            )
            | EventData::None
            | EventData::Evict(_)
            | EventData::Throttle(_) => return,
        };
        self.record_end(now, id, TaskOutcome::Completed { output }, effects);
    }

    fn send_start(&mut self, id: TaskId) {
        let Some(task) = self.tasks.get(id) else { return };
        let Some(current) = task.current() else { return };
        let spec = &task.open.spec;
        let start = StartCommand {
            attempt: TaskAttempt { task: id, attempt: current.attempt },
            kind: spec.kind.clone(),
            size: spec.size,
            service: spec.service.clone(),
            checkpoint: task.open.checkpoint.clone(),
            payload: spec.payload.clone(),
        };
        self.send(current.worker, WorkerCommand::Start(Box::new(start)));
    }

    fn send_stop(&mut self, id: TaskId) {
        let Some(task) = self.tasks.get(id) else { return };
        let Some(current) = task.current() else { return };
        let attempt = TaskAttempt { task: id, attempt: current.attempt };
        let urgent = self.fleet[current.worker]
            .reserved
            .and_then(|waiting| Some(self.tasks.get(waiting)?.open.spec.urgent));
        let grace = match urgent {
            Some(true) => self.config.urgent_grace,
            Some(false) | None => self.config.stop_grace,
        };
        self.send(current.worker, WorkerCommand::Stop { attempt, grace });
    }

    fn set_speed(&mut self, id: TaskId, data: EventData<'_>) {
        let EventData::Throttle(permille) = data else { return };
        if let Some(current) = self.tasks.get_mut(id).and_then(Task::current_mut) {
            current.speed = permille;
            current.resends_left = THROTTLE_RESENDS + 1;
        }
    }

    fn send_throttle(&mut self, id: TaskId) {
        let Some(current) = self.tasks.get_mut(id).and_then(Task::current_mut) else { return };
        current.resends_left = current.resends_left.saturating_sub(1);
        let attempt = TaskAttempt { task: id, attempt: current.attempt };
        let (worker, permille) = (current.worker, current.speed);
        self.send(worker, WorkerCommand::Throttle { attempt, permille });
    }

    fn mark_evicted(&mut self, now: Time, id: TaskId, data: EventData<'_>) {
        let EventData::Evict(reason) = data else { return };
        let Some(task) = self.tasks.get_mut(id) else { return };
        task.last_eviction = Some(reason);
        let customer = task.customer;
        if let Some(current) = task.current_mut() {
            current.eviction = Some(reason);
        }
        self.quota.evicted(now, customer);
    }

    /// Releases the resources and the quota of a task's current attempt.
    fn release(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) {
        let Some(task) = self.tasks.get(id) else { return };
        let Some(current) = task.current() else { return };
        let (worker, tier, customer) = (current.worker, current.tier, task.customer);
        let attempt = TaskAttempt { task: id, attempt: current.attempt };
        let size = task.size();
        let service = task.open.spec.service.clone();
        let expected = current.expected;
        self.fleet.release(worker, id, &size, tier);
        self.fleet[worker].expected = self.fleet[worker].expected.saturating_sub(&expected);
        self.quota.refund(customer, id, tier, &size);
        self.promote(customer, tier);
        if let Some(service) = service {
            self.spread.remove(&service, self.fleet[worker].rack);
        }
        self.interference.left(now, &self.fleet[worker].name, attempt);
        self.wake_customer(customer);
        self.offer_capacity(worker);
        self.step_worker(now, worker, HealthEvent::AttemptReleased, effects);
    }

    /// Charges attempts of a customer to a higher tier that has capacity again.
    fn promote(&mut self, customer: CustomerSlot, tier: Tier) {
        for id in self.quota.promotable(customer, tier) {
            let Some(task) = self.tasks.get_mut(id) else { continue };
            let size = task.size();
            let Some(current) = task.current_mut().filter(|current| current.holds_resources())
            else {
                continue;
            };
            let Some(upper) = self.quota.tier(customer, &size) else { continue };
            if upper >= current.tier {
                continue;
            }
            let lower = std::mem::replace(&mut current.tier, upper);
            self.fleet[current.worker].change_tier(lower, upper, &size);
            self.quota.refund(customer, id, lower, &size);
            self.quota.charge(customer, id, upper, &size);
        }
    }

    /// Allocates resources for a task's current attempt again, because another holder may have
    /// renewed the lease under which it runs.
    fn reallocate(&mut self, now: Time, id: TaskId) {
        let Some(mut task) = self.tasks.remove(id) else { return };
        if let Some(current) = task.current_mut() {
            current.presumed_stopped = false;
            current.eviction = None;
            current.pending_record = None;
        }
        self.allocate(now, id, task);
    }

    /// Delays a task before it returns to the queue; the delay doubles with each failure.
    pub(super) fn delay(&mut self, now: Time, id: TaskId) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        let doublings = task.open.failures.min(6);
        task.stage = Stage::BackingOff;
        task.stage_since = now;
        let wait = self.config.retry_delay * 2_u32.pow(doublings);
        self.timers.set(now + wait, Timer::Requeue(id));
    }

    /// Whether an attempt is the current one of its task and runs on this worker.
    pub(super) fn is_current(&self, attempt: TaskAttempt, worker: WorkerSlot) -> bool {
        self.tasks.active(attempt).is_some_and(|(_, current)| current.worker == worker)
    }

    /// The number and the phase of a task's current attempt.
    pub(super) fn phase_of(&self, id: TaskId) -> Option<(Attempt, Phase)> {
        let current = self.tasks.get(id)?.current()?;
        Some((current.attempt, current.phase))
    }
}
