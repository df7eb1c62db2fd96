//! Carries out what the chart of a request says.

use rand::Rng;

use crate::{
    burn::Served,
    command::{Claim, ClaimResult},
    ids::{InstanceId, RequestId},
    router::{
        Router,
        choice::{Wish, choose},
        port::{Effect, NotRun, Request, RequestOutcome, TryId},
        request::{CHART, Entry, RequestAction, RequestEvent, RequestGuard, RequestState, Room},
        target::doubled,
        timers::Alarm,
        tries::Try,
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
        for (room, enters) in [(from.room(), false), (to.room(), true)] {
            let occupancy = match room {
                Room::Waiting => &mut self.waiting,
                Room::Unsettled => &mut self.unsettled,
                Room::Free => continue,
            };
            match enters {
                true => occupancy.enter(entry.account),
                false => occupancy.leave(entry.account),
            }
        }
        if to != RequestState::Sending && to != RequestState::BackingOff {
            entry.wake.take().inspect(|at| self.timers.cancel(*at, Alarm::Request(id)));
        }
        entry.release.take().inspect(|at| self.timers.cancel(*at, Alarm::Release(id)));
        if !to.is_open() {
            if from.is_open() {
                self.open -= 1;
                if entry.standing {
                    self.fleet.services[entry.service].standing.leave(entry.account);
                }
            }
            self.timers.cancel(entry.request.deadline, Alarm::Deadline(id));
            entry.request.body.clear();
            entry.outcome = None;
        }
        if to == RequestState::Releasing {
            let at = now + self.config.release_after;
            entry.release = Some(at);
            self.timers.set(at, Alarm::Release(id));
        }
        if to == RequestState::Done {
            self.requests.remove(&id);
        }
    }

    fn entry(&mut self, id: RequestId) -> &mut Entry {
        self.requests.get_mut(&id).expect("the request is being stepped")
    }

    fn enqueue(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get(&id) else { return };
        let weight = self.accounts.get(entry.account).weight;
        let queue = &mut self.fleet.services[entry.service].queue;
        queue.push(entry.account, weight, (entry.request.deadline, id));
    }

    fn dequeue(&mut self, id: RequestId, leaves: bool) {
        let Some(entry) = self.requests.get(&id) else { return };
        let queue = &mut self.fleet.services[entry.service].queue;
        queue.take(entry.account, (entry.request.deadline, id), leaves);
    }

    fn send(&mut self, now: Time, id: RequestId, target: usize, effects: &mut Vec<Effect>) {
        let entry = self.requests.get_mut(&id).expect("the request is being stepped");
        entry.tries += 1;
        entry.last = Some(target);
        entry.open.add(entry.tries);
        let attempt = TryId { request: id, number: entry.tries };
        let sent = self.fleet.target(target);
        effects.push(Effect::Send {
            attempt,
            target: sent.info.address.clone(),
            fresh: sent.fresh,
            customer: entry.request.customer.clone(),
            path: entry.request.path.clone(),
            body: entry.request.body.clone(),
            deadline: entry.request.deadline,
        });
        let check = now + self.config.silence;
        self.tries.insert(attempt, Try::new(now, target, sent.fresh, check));
        self.timers.set_silence(check, attempt);
        self.set_hedge(now, id);
        self.fleet.take_slot(target, &self.config);
    }

    fn set_hedge(&mut self, now: Time, id: RequestId) {
        let entry = self.requests.get_mut(&id).expect("the request is being stepped");
        let learned = &self.fleet.services[entry.service].quantiles;
        if !entry.request.idempotent
            || entry.standing
            || entry.open.len() > 1
            || learned.total() < self.config.hedge_after
        {
            return;
        }
        let at = now + learned.tail();
        if at < entry.request.deadline {
            entry.wake = Some(at);
            self.timers.set(at, Alarm::Request(id));
        }
    }

    fn hedge(&mut self, now: Time, id: RequestId, effects: &mut Vec<Effect>) {
        let entry = self.requests.get(&id).expect("the request is being stepped");
        let wish = Wish { avoid: entry.last, idempotent: true };
        let found = choose(&self.fleet, entry.service, wish, now, &self.config, &mut self.rng);
        let Some(target) = found.filter(|target| Some(*target) != entry.last) else { return };
        if !self.fleet.services[entry.service].queue.is_empty() {
            return;
        }
        self.spend(now, id);
        self.counters.hedges += 1;
        self.send(now, id, target, effects);
    }

    fn spend(&mut self, now: Time, id: RequestId) {
        let account = self.requests[&id].account;
        self.accounts.get_mut(account).retry(now, self.config.budget_window);
    }

    fn back_off(&mut self, now: Time, id: RequestId) {
        self.spend(now, id);
        self.counters.retries += 1;
        let entry = self.requests.get_mut(&id).expect("the request is being stepped");
        let longest = doubled(self.config.back_off, entry.tries.saturating_sub(1))
            .min(self.config.back_off_cap);
        let pause = longest.mul_f64(self.rng.random::<f64>());
        entry.wake.take().inspect(|at| self.timers.cancel(*at, Alarm::Request(id)));
        entry.wake = Some(now + pause);
        self.timers.set(now + pause, Alarm::Request(id));
    }

    fn record(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let limit = self.config.kept_body;
        let entry = self.entry(id);
        let claimed = entry.claimed;
        let result = match &entry.outcome {
            Some(RequestOutcome::Ran(response)) => ClaimResult::Ran {
                status: response.status,
                body: (claimed && response.body.len() <= limit).then(|| response.body.clone()),
            },
            Some(RequestOutcome::Unknown { .. }) => ClaimResult::Unknown,
            Some(RequestOutcome::NotRun { .. } | RequestOutcome::RanEarlier { .. }) | None => {
                ClaimResult::NotRun
            }
        };
        effects.push(Effect::Record {
            request: id,
            customer: entry.request.customer.clone(),
            key: entry.request.key.clone().filter(|_| claimed),
            result,
        });
    }

    fn answer(
        &mut self,
        now: Time,
        id: RequestId,
        (outcome, withdrawn): (RequestOutcome, bool),
        effects: &mut Vec<Effect>,
    ) {
        self.counters.count(&outcome);
        if let Some(entry) = self.requests.get(&id) {
            let served = Served {
                customer: &entry.request.customer,
                service: &entry.request.service,
                outcome: &outcome,
                took: now.since(entry.arrived),
                patience: entry.arrived.until(entry.request.deadline),
                withdrawn,
                standing: entry.standing,
            };
            self.burn.record(now, &self.policy, served);
        }
        effects.push(Effect::Answer { request: id, outcome });
    }
}

fn claim_of(request: &Request, owner: InstanceId) -> Option<Claim> {
    Some(Claim {
        customer: request.customer.clone(),
        key: request.key.clone()?,
        digest: digest(request),
        owner,
        request: request.request.0,
    })
}

/// A digest of what makes two requests the same.
fn digest(request: &Request) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [request.service.as_str().as_bytes(), request.path.as_bytes(), &request.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}
