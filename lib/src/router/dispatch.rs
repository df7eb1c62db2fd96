//! Sends requests to targets: from the queue, again after a pause, or a second time as a hedge.

use rand::Rng;

use crate::{
    ids::RequestId,
    router::{
        Router,
        choice::{Wish, choose},
        port::{Effect, NotRun, TryId},
        request::RequestEvent,
        steps::Signal,
        target::doubled,
        timers::Alarm,
        tries::Try,
    },
    time::Time,
};

impl Router {
    pub(super) fn pump_all(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for service in 0..self.fleet.services.len() {
            self.pump(now, service, effects);
        }
    }

    /// Sends waiting requests while targets have free slots.
    pub(super) fn pump(&mut self, now: Time, service: usize, effects: &mut Vec<Effect>) {
        while let Some(id) = self.fleet.services[service].queue.peek() {
            let entry = &self.requests[&id];
            let wish = Wish { avoid: entry.last, idempotent: entry.request.idempotent };
            let found = choose(&self.fleet, service, wish, now, &self.config, &mut self.rng);
            let Some(target) = found else { return };
            let median = self.fleet.services[service].quantiles.median(now);
            let signal = match now + median > entry.request.deadline {
                true => Signal::because(RequestEvent::Unservable, NotRun::Deadline),
                false => Signal::to(target),
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

    pub(super) fn dequeue(&mut self, id: RequestId, leaves: bool) {
        let Some(entry) = self.requests.get(&id) else { return };
        let queue = &mut self.fleet.services[entry.service].queue;
        queue.take(entry.account, (entry.request.deadline, id), leaves);
    }

    pub(super) fn send(
        &mut self,
        now: Time,
        id: RequestId,
        target: usize,
        effects: &mut Vec<Effect>,
    ) {
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
        self.fleet.take_slot(target);
    }

    pub(super) fn set_hedge(&mut self, now: Time, id: RequestId) {
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

    pub(super) fn hedge(&mut self, now: Time, id: RequestId, effects: &mut Vec<Effect>) {
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

    pub(super) fn spend(&mut self, now: Time, id: RequestId) {
        let account = self.requests[&id].account;
        self.accounts.get_mut(account).retry(now, self.config.budget_window);
    }

    pub(super) fn back_off(&mut self, now: Time, id: RequestId) {
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
}
