//! Interprets the state chart of a request.

use crate::{
    ids::RequestId,
    router::{
        Router,
        answers::claim_of,
        port::{Effect, NotRun, RequestOutcome},
        request::{Bound, CHART, Entry, RequestAction, RequestEvent, RequestGuard, RequestState},
        timers::TimerKind,
    },
    time::Time,
};

/// An event of a request's chart with the data that its actions need.
#[derive(Debug)]
pub(super) struct Signal {
    event: RequestEvent,
    reason: NotRun,
    outcome: Option<RequestOutcome>,
    target: Option<usize>,
}

impl Signal {
    /// An event without data. A request that it abandons is reported as having missed its deadline.
    pub(super) fn new(event: RequestEvent) -> Self {
        Self { event, reason: NotRun::Deadline, outcome: None, target: None }
    }

    /// An event with the reason to report if the request is abandoned.
    pub(super) fn with_reason(event: RequestEvent, reason: NotRun) -> Self {
        Self { reason, ..Self::new(event) }
    }

    /// An event with the outcome of the request.
    pub(super) fn with_outcome(event: RequestEvent, outcome: RequestOutcome) -> Self {
        Self { outcome: Some(outcome), ..Self::new(event) }
    }

    /// A dispatch to a target with a free slot.
    pub(super) fn with_target(target: usize) -> Self {
        Self { target: Some(target), ..Self::new(RequestEvent::Dispatch) }
    }
}

impl Router {
    /// Applies an event to a request according to its chart.
    pub(super) fn step(
        &mut self,
        now: Time,
        id: RequestId,
        mut signal: Signal,
        effects: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.requests.get(&id) else {
            self.counters.stray += 1;
            return;
        };
        let from = entry.state;
        let step = CHART
            .step(from, signal.event, |guard| self.holds(now, entry, guard))
            .expect("the chart handles every event");
        for action in step.actions {
            self.act(now, id, *action, &mut signal, effects);
        }
        self.enter_state(now, id, (from, step.to));
    }

    fn holds(&self, now: Time, entry: &Entry, guard: RequestGuard) -> bool {
        match guard {
            RequestGuard::NeedsClaim => entry.needs_claim(),
            RequestGuard::ClaimHeld => entry.claimed,
            RequestGuard::ExactCounts => entry.exact_counts,
            RequestGuard::AttemptOpen => entry.open.len() > 0,
            RequestGuard::Idempotent => entry.request.idempotent,
            RequestGuard::MayRetry => {
                self.waiting.admits(entry.account) && self.within_budget(now, entry)
            }
            RequestGuard::MayHedge => {
                entry.request.idempotent && entry.open.len() == 1 && self.within_budget(now, entry)
            }
        }
    }

    fn within_budget(&self, now: Time, entry: &Entry) -> bool {
        self.accounts.get(entry.account).may_retry(now, self.config.budget_window)
    }

    fn act(
        &mut self,
        now: Time,
        id: RequestId,
        action: RequestAction,
        signal: &mut Signal,
        effects: &mut Vec<Effect>,
    ) {
        let disconnected = signal.event == RequestEvent::CallerGone;
        match action {
            RequestAction::Claim => {
                let owner = self.config.me;
                let claim = claim_of(&self.entry(id).request, owner);
                effects.extend(claim.map(Effect::Claim));
            }
            RequestAction::HoldClaim => self.entry(id).claimed = true,
            RequestAction::Enqueue => self.enqueue(id),
            RequestAction::Dequeue => self.dequeue(id, signal.event == RequestEvent::Dispatch),
            RequestAction::Send => {
                if let Some(target) = signal.target {
                    self.send(now, id, target, effects);
                }
            }
            RequestAction::Hedge => self.hedge(now, id, effects),
            RequestAction::Abandon => self.abandon(now, id, effects),
            RequestAction::MarkMaybeRun => self.entry(id).maybe_ran = true,
            RequestAction::BackOff => self.back_off(now, id),
            RequestAction::KeepOutcome => self.entry(id).outcome = signal.outcome.take(),
            RequestAction::GiveUp => {
                let entry = self.entry(id);
                entry.outcome = Some(entry.given_up(signal.reason));
            }
            RequestAction::Record => self.record(id, effects),
            RequestAction::Answer => {
                if let Some(outcome) = self.entry(id).outcome.take() {
                    self.answer(now, id, (outcome, disconnected), effects);
                }
            }
            RequestAction::AnswerUnrecorded => {
                let reason = "it ran, but its record isn't committed".to_owned();
                let outcome = RequestOutcome::Unknown { reason };
                self.answer(now, id, (outcome, disconnected), effects);
            }
        }
    }

    /// Updates the limits and timers that depend on the state.
    fn enter_state(&mut self, now: Time, id: RequestId, (from, to): (RequestState, RequestState)) {
        if from == to {
            return;
        }
        let Some(entry) = self.requests.get_mut(&id) else { return };
        entry.state = to;
        if to != RequestState::Sending && to != RequestState::BackingOff {
            entry.wake.take().inspect(|at| self.timers.cancel(*at, TimerKind::RetryOrHedge(id)));
        }
        entry
            .claim_expiry
            .take()
            .inspect(|at| self.timers.cancel(*at, TimerKind::ClaimTimeout(id)));
        if to == RequestState::Releasing {
            let at = now + self.config.claim_timeout;
            entry.claim_expiry = Some(at);
            self.timers.set(at, TimerKind::ClaimTimeout(id));
        }
        let account = entry.account;
        self.move_bound(account, from.bound(), to.bound());
        if from.is_open() && !to.is_open() {
            self.close(id);
        }
        if to == RequestState::Done {
            self.requests.remove(&id);
        }
    }

    /// Moves a request from one limit to another.
    fn move_bound(&mut self, account: usize, from: Bound, to: Bound) {
        match from {
            Bound::Waiting => self.waiting.leave(account),
            Bound::Unsettled => self.unsettled.leave(account),
            Bound::Unbounded => {}
        }
        match to {
            Bound::Waiting => self.waiting.enter(account),
            Bound::Unsettled => self.unsettled.enter(account),
            Bound::Unbounded => {}
        }
    }

    /// Releases what is needed only until the caller is answered.
    fn close(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        self.open -= 1;
        if entry.long_lived {
            self.fleet.services[entry.service].long_lived.leave(entry.account);
        }
        self.timers.cancel(entry.request.deadline, TimerKind::Deadline(id));
        entry.request.body.clear();
        entry.outcome = None;
    }

    pub(super) fn entry(&mut self, id: RequestId) -> &mut Entry {
        self.requests.get_mut(&id).expect("the request exists while it is stepped")
    }
}
