//! Attempts that hold a slot: their end, stalls and abandonment.

use crate::{
    ids::RequestId,
    router::{
        Router,
        port::{AttemptEnd, AttemptId, Effect, NotRun, RequestOutcome},
        request::RequestEvent,
        steps::Signal,
        target::TargetEvent,
        timers::TimerKind,
    },
    time::Time,
};

/// HTTP statuses from this one on count as failures of the target.
const MIN_SERVER_ERROR: u16 = 500;

/// An attempt that holds a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) target: usize,
    sent_at: Time,
    /// When data last arrived on its connection.
    pub(super) last_activity: Time,
    /// Whether it opened a new connection.
    fresh: bool,
    /// The number of consecutive stall checks without progress.
    pub(super) stalls: u32,
    /// When it is next checked for a stall.
    pub(super) check: Time,
    /// When it releases its slot, if it was abandoned.
    abandoned: Option<Time>,
}

impl Attempt {
    pub(super) fn new(now: Time, target: usize, fresh: bool, check: Time) -> Self {
        Self { target, sent_at: now, last_activity: now, fresh, stalls: 0, check, abandoned: None }
    }
}

impl Attempt {
    /// Whether a stall check is due.
    pub(super) fn is_due(&self, now: Time) -> bool {
        self.abandoned.is_none() && self.check <= now
    }

    /// Whether a stall timer at `at` is the current one of this attempt.
    fn owns_check(&self, at: Time) -> bool {
        self.abandoned.is_none() && self.check == at
    }
}

impl Router {
    /// Drops stall timers of attempts that are over.
    pub(super) fn prune_timers(&mut self) {
        let attempts = &self.attempts;
        self.timers
            .prune(|at, attempt| attempts.get(&attempt).is_some_and(|open| open.owns_check(at)));
    }

    /// Handles the end of an attempt. Late and duplicate events are counted and dropped.
    pub(super) fn attempt_ended(
        &mut self,
        now: Time,
        attempt: AttemptId,
        end: AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(ended) = self.attempts.remove(&attempt) else {
            self.counters.late += 1;
            return;
        };
        let service = self.fleet.target(ended.target).service;
        if let Some(at) = ended.abandoned {
            self.counters.late += 1;
            self.timers.cancel(at, TimerKind::Linger(attempt));
        } else {
            self.observe_end(now, (attempt, ended), &end);
            self.remove_open(attempt);
            let signal = self.signal_for(attempt.request, end);
            self.step(now, attempt.request, signal, effects);
        }
        self.fleet.free_slot(ended.target);
        self.dispatch(now, service, effects);
    }

    /// Updates the statistics and state of the target from an attempt that wasn't abandoned.
    fn observe_end(&mut self, now: Time, (attempt, ended): (AttemptId, Attempt), end: &AttemptEnd) {
        let long_lived = self.requests.get(&attempt.request).is_some_and(|entry| entry.long_lived);
        let failed = match end {
            AttemptEnd::Answered(response) => {
                let target = self.fleet.target_mut(ended.target);
                target.last_activity = now;
                target.fresh &= !ended.fresh;
                if !long_lived {
                    let took = now.since(ended.sent_at);
                    target.latency.observe(now, took);
                    let service = target.service;
                    self.fleet.services[service].latencies.observe(now, took);
                }
                response.status >= MIN_SERVER_ERROR
            }
            AttemptEnd::Refused | AttemptEnd::NotSent { .. } | AttemptEnd::Lost { .. } => true,
        };
        let event = match failed {
            true => TargetEvent::Failed,
            false => TargetEvent::Succeeded,
        };
        self.fleet.step(now, ended.target, event, &self.config, &mut self.timers);
    }

    fn signal_for(&mut self, id: RequestId, end: AttemptEnd) -> Signal {
        let (event, error) = match end {
            AttemptEnd::Answered(response) => {
                return Signal::with_outcome(RequestEvent::Answered, RequestOutcome::Ran(response));
            }
            AttemptEnd::Refused => (RequestEvent::Refused, None),
            AttemptEnd::NotSent { reason } => (RequestEvent::Refused, Some(reason)),
            AttemptEnd::Lost { reason } => (RequestEvent::Lost, Some(reason)),
        };
        if let (Some(entry), Some(_)) = (self.requests.get_mut(&id), &error) {
            entry.last_error = error;
        }
        Signal::with_reason(event, NotRun::TargetsUnavailable)
    }

    /// Removes an attempt from the open attempts of its request.
    fn remove_open(&mut self, attempt: AttemptId) {
        if let Some(entry) = self.requests.get_mut(&attempt.request) {
            entry.open.remove(attempt.number);
        }
    }

    /// Abandons all open attempts of a request. They keep their slots for a while because the
    /// targets may still be processing them.
    pub(super) fn abandon(&mut self, now: Time, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        for number in std::mem::take(&mut entry.open).iter() {
            self.abandon_attempt(now, AttemptId { request: id, number }, effects);
        }
    }

    /// Ends an attempt whose connection stalled as lost. It keeps its slot for a while.
    pub(super) fn fail_stalled(
        &mut self,
        now: Time,
        attempt: AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(stalled) = self.attempts.get(&attempt).copied() else { return };
        let end = AttemptEnd::Lost { reason: "the connection stalled".to_owned() };
        self.abandon_attempt(now, attempt, effects);
        self.observe_end(now, (attempt, stalled), &end);
        self.remove_open(attempt);
        let signal = self.signal_for(attempt.request, end);
        self.step(now, attempt.request, signal, effects);
    }

    fn abandon_attempt(&mut self, now: Time, attempt: AttemptId, effects: &mut Vec<Effect>) {
        let Some(open) = self.attempts.get_mut(&attempt) else { return };
        let until = now + self.config.linger;
        open.abandoned = Some(until);
        self.timers.set(until, TimerKind::Linger(attempt));
        effects.push(Effect::Abandon { attempt });
    }

    /// Releases the slot of an abandoned attempt.
    pub(super) fn release_abandoned(
        &mut self,
        now: Time,
        attempt: AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(ended) = self.attempts.remove(&attempt) else { return };
        let service = self.fleet.target(ended.target).service;
        self.fleet.free_slot(ended.target);
        self.dispatch(now, service, effects);
    }

    /// Handles the arrival of data on an attempt's connection.
    pub(super) fn progress(&mut self, now: Time, attempt: AttemptId) {
        let Some(open) = self.attempts.get_mut(&attempt).filter(|open| open.abandoned.is_none())
        else {
            self.counters.late += 1;
            return;
        };
        self.fleet.target_mut(open.target).last_activity = now;
        open.last_activity = now;
        open.stalls = 0;
    }
}
