//! Sends requests to targets: from the queue, as a retry after a backoff, or as a hedge.

use rand::Rng;

use crate::{
    ids::RequestId,
    router::{
        Router,
        attempts::Attempt,
        choice::{Preference, choose},
        port::{AttemptId, Effect, NotRun},
        request::RequestEvent,
        steps::Signal,
        target::doubled,
        timers::TimerKind,
    },
    time::Time,
};

impl Router {
    pub(super) fn dispatch_all(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for service in 0..self.fleet.services.len() {
            self.dispatch(now, service, effects);
        }
    }

    /// Sends queued requests of a service while its targets have free slots.
    pub(super) fn dispatch(&mut self, now: Time, service: usize, effects: &mut Vec<Effect>) {
        while let Some(id) = self.fleet.services[service].queue.peek() {
            let entry = &self.requests[&id];
            let preference =
                Preference { avoid: entry.last_target, idempotent: entry.request.idempotent };
            let found = choose(&self.fleet, service, preference, now, &self.config, &mut self.rng);
            let Some(target) = found else { return };
            let median = self.fleet.services[service].latencies.median(now);
            let signal = match now + median > entry.request.deadline {
                true => Signal::with_reason(RequestEvent::Unservable, NotRun::Deadline),
                false => Signal::with_target(target),
            };
            self.step(now, id, signal, effects);
        }
    }

    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get(&id) else { return };
        let weight = self.accounts.get(entry.account).weight;
        let queue = &mut self.fleet.services[entry.service].queue;
        queue.push(entry.account, weight, (entry.request.deadline, id));
    }

    pub(super) fn dequeue(&mut self, id: RequestId, dispatched: bool) {
        let Some(entry) = self.requests.get(&id) else { return };
        let queue = &mut self.fleet.services[entry.service].queue;
        queue.take(entry.account, (entry.request.deadline, id), dispatched);
    }

    pub(super) fn send(
        &mut self,
        now: Time,
        id: RequestId,
        target: usize,
        effects: &mut Vec<Effect>,
    ) {
        let entry = self.requests.get_mut(&id).expect("the request exists while it is stepped");
        entry.attempts += 1;
        entry.last_target = Some(target);
        entry.open.add(entry.attempts);
        let attempt = AttemptId { request: id, number: entry.attempts };
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
        let check = now + self.config.stall_timeout;
        self.attempts.insert(attempt, Attempt::new(now, target, sent.fresh, check));
        self.timers.set_stall(check, attempt);
        self.set_hedge(now, id);
        self.fleet.take_slot(target);
    }

    pub(super) fn set_hedge(&mut self, now: Time, id: RequestId) {
        let entry = self.requests.get_mut(&id).expect("the request exists while it is stepped");
        let latencies = &self.fleet.services[entry.service].latencies;
        if !entry.request.idempotent
            || entry.long_lived
            || entry.open.len() > 1
            || latencies.total() < self.config.hedge_after
        {
            return;
        }
        let at = now + latencies.p95();
        if at < entry.request.deadline {
            entry.wake = Some(at);
            self.timers.set(at, TimerKind::RetryOrHedge(id));
        }
    }

    pub(super) fn hedge(&mut self, now: Time, id: RequestId, effects: &mut Vec<Effect>) {
        let entry = self.requests.get(&id).expect("the request exists while it is stepped");
        let preference = Preference { avoid: entry.last_target, idempotent: true };
        let found =
            choose(&self.fleet, entry.service, preference, now, &self.config, &mut self.rng);
        let Some(target) = found.filter(|target| Some(*target) != entry.last_target) else {
            return;
        };
        if !self.fleet.services[entry.service].queue.is_empty() {
            return;
        }
        self.spend_retry(now, id);
        self.counters.hedges += 1;
        self.send(now, id, target, effects);
    }

    pub(super) fn spend_retry(&mut self, now: Time, id: RequestId) {
        let account = self.requests[&id].account;
        self.accounts.get_mut(account).count_retry(now, self.config.budget_window);
    }

    pub(super) fn back_off(&mut self, now: Time, id: RequestId) {
        self.spend_retry(now, id);
        self.counters.retries += 1;
        let entry = self.requests.get_mut(&id).expect("the request exists while it is stepped");
        let max = doubled(self.config.backoff, entry.attempts.saturating_sub(1))
            .min(self.config.max_backoff);
        let backoff = max.mul_f64(self.rng.random::<f64>());
        entry.wake.take().inspect(|at| self.timers.cancel(*at, TimerKind::RetryOrHedge(id)));
        entry.wake = Some(now + backoff);
        self.timers.set(now + backoff, TimerKind::RetryOrHedge(id));
    }
}
