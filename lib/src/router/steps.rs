//! Carries out what the chart of a request says.

use crate::{
    ids::RequestId,
    router::{
        Router,
        answers::claim_of,
        port::{Effect, NotRun, RequestOutcome},
        request::{CHART, Entry, RequestAction, RequestEvent, RequestGuard, RequestState, Room},
        timers::Alarm,
    },
    time::Time,
};

/// An event of a request's chart, with what its actions need.
#[derive(Debug)]
pub(super) struct Signal {
    event: RequestEvent,
    reason: NotRun,
    outcome: Option<RequestOutcome>,
    target: Option<usize>,
}

impl Signal {
    pub(super) fn new(event: RequestEvent) -> Self {
        Self { event, reason: NotRun::Deadline, outcome: None, target: None }
    }

    /// The reason if the request is given up.
    pub(super) fn because(event: RequestEvent, reason: NotRun) -> Self {
        Self { reason, ..Self::new(event) }
    }

    /// The outcome that came.
    pub(super) fn with(event: RequestEvent, outcome: RequestOutcome) -> Self {
        Self { outcome: Some(outcome), ..Self::new(event) }
    }

    /// The target that has a free slot.
    pub(super) fn to(target: usize) -> Self {
        Self { target: Some(target), ..Self::new(RequestEvent::Dispatch) }
    }
}

impl Router {
    /// Something happened to a request: its chart says what comes of it.
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
        self.enter(now, id, (from, step.to));
    }

    fn holds(&self, now: Time, entry: &Entry, guard: RequestGuard) -> bool {
        match guard {
            RequestGuard::NeedsClaim => entry.needs_claim(),
            RequestGuard::ClaimHeld => entry.claimed,
            RequestGuard::ExactCounts => entry.exact,
            RequestGuard::TryOpen => entry.open.len() > 0,
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
        let withdrawn = signal.event == RequestEvent::CallerGone;
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
            RequestAction::MarkLeft => self.entry(id).left = true,
            RequestAction::BackOff => self.back_off(now, id),
            RequestAction::Keep => self.entry(id).outcome = signal.outcome.take(),
            RequestAction::GiveUp => {
                let entry = self.entry(id);
                entry.outcome = Some(entry.given_up(signal.reason));
            }
            RequestAction::Record => self.record(id, effects),
            RequestAction::Answer => {
                if let Some(outcome) = self.entry(id).outcome.take() {
                    self.answer(now, id, (outcome, withdrawn), effects);
                }
            }
            RequestAction::AnswerUnrecorded => {
                let reason = "it ran, but its record isn't confirmed".to_owned();
                let outcome = RequestOutcome::Unknown { reason };
                self.answer(now, id, (outcome, withdrawn), effects);
            }
        }
    }

    /// Keeps the bounds and timers that go with a state.
    fn enter(&mut self, now: Time, id: RequestId, (from, to): (RequestState, RequestState)) {
        if from == to {
            return;
        }
        let Some(entry) = self.requests.get_mut(&id) else { return };
        entry.state = to;
        if to != RequestState::Sending && to != RequestState::BackingOff {
            entry.wake.take().inspect(|at| self.timers.cancel(*at, Alarm::Request(id)));
        }
        entry.release.take().inspect(|at| self.timers.cancel(*at, Alarm::Release(id)));
        if to == RequestState::Releasing {
            let at = now + self.config.release_after;
            entry.release = Some(at);
            self.timers.set(at, Alarm::Release(id));
        }
        let account = entry.account;
        self.occupy(account, from.room(), to.room());
        if from.is_open() && !to.is_open() {
            self.end(id);
        }
        if to == RequestState::Done {
            self.requests.remove(&id);
        }
    }

    /// Moves a request from one bounded room to another.
    fn occupy(&mut self, account: usize, from: Room, to: Room) {
        match from {
            Room::Waiting => self.waiting.leave(account),
            Room::Unsettled => self.unsettled.leave(account),
            Room::Free => {}
        }
        match to {
            Room::Waiting => self.waiting.enter(account),
            Room::Unsettled => self.unsettled.enter(account),
            Room::Free => {}
        }
    }

    /// The caller of a request was answered: what only the answer needed is let go.
    fn end(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        self.open -= 1;
        if entry.standing {
            self.fleet.services[entry.service].standing.leave(entry.account);
        }
        self.timers.cancel(entry.request.deadline, Alarm::Deadline(id));
        entry.request.body.clear();
        entry.outcome = None;
    }

    pub(super) fn entry(&mut self, id: RequestId) -> &mut Entry {
        self.requests.get_mut(&id).expect("the request is being stepped")
    }
}
