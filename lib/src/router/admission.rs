//! Admission control.

use std::time::Duration;

use crate::{
    burn::ServedRequest,
    router::{
        Router,
        port::{Effect, NotRun, Request, RequestOutcome},
        request::{Admitted, Entry, RequestEvent},
        steps::Signal,
        timers::TimerKind,
    },
    time::Time,
};

impl Router {
    /// Admits a request, or immediately answers that it did not run.
    pub(super) fn admit(&mut self, now: Time, request: Box<Request>, effects: &mut Vec<Effect>) {
        let id = request.request;
        if self.requests.contains_key(&id) {
            self.counters.stray += 1;
            return;
        }
        match self.check(now, &request) {
            Ok(admitted) => {
                let Admitted { account, service, .. } = admitted;
                self.accounts.get_mut(account).count_request(now, self.config.budget_window);
                self.open += 1;
                if admitted.long_lived {
                    self.fleet.services[service].long_lived.enter(account);
                }
                self.timers.set(request.deadline, TimerKind::Deadline(id));
                self.requests.insert(id, Box::new(Entry::new(now, request, admitted)));
                self.step(now, id, Signal::new(RequestEvent::Start), effects);
                self.dispatch(now, service, effects);
            }
            Err(reason) => {
                let outcome = RequestOutcome::NotRun { reason };
                self.counters.count(&outcome);
                let served = ServedRequest {
                    customer: &request.customer,
                    service: &request.service,
                    outcome: &outcome,
                    elapsed: Duration::ZERO,
                    timeout: now.until(request.deadline),
                    disconnected: false,
                    long_lived: false,
                };
                self.burn.record(now, &self.policy, served);
                effects.push(Effect::Answer { request: id, outcome });
            }
        }
    }

    fn check(&mut self, now: Time, request: &Request) -> Result<Admitted, NotRun> {
        if self.draining {
            return Err(NotRun::Draining);
        }
        let index = self.accounts.index_of(&request.customer, &self.policy);
        let account = index.ok_or(NotRun::NotAllowed)?;
        let plan = self.accounts.get(account);
        if !plan.services.contains(&request.service) {
            return Err(NotRun::NotAllowed);
        }
        let exact_counts = plan.exact_counts;
        if !request.idempotent && request.key.is_none() {
            return Err(NotRun::MissingKey);
        }
        let service = self.fleet.service(&request.service).ok_or(NotRun::NoTarget)?;
        if !self.fleet.services[service].has_targets() {
            return Err(NotRun::NoTarget);
        }
        if !self.waiting.admits(account) {
            return Err(NotRun::Overloaded);
        }
        let settles = exact_counts || !request.idempotent;
        if settles && !self.unsettled.admits(account) {
            return Err(NotRun::ConsensusUnavailable);
        }
        if now >= request.deadline || now + self.estimate(now, service, account) > request.deadline
        {
            return Err(NotRun::Deadline);
        }
        let long_lived = now.until(request.deadline) > self.config.long_lived;
        if long_lived && !self.fleet.services[service].long_lived.admits(account) {
            return Err(NotRun::Overloaded);
        }
        Ok(Admitted { account, service, long_lived, exact_counts })
    }

    /// The expected time that a new request spends queued and running.
    fn estimate(&self, now: Time, service: usize, account: usize) -> Duration {
        let service = &self.fleet.services[service];
        let median = service.latencies.median(now);
        if service.queue.is_empty() {
            return median;
        }
        let ahead = service.queue.ahead(account) as f64;
        let rounds = ahead / (service.capacity.max(1) as f64);
        median.mul_f64(1.0 + rounds)
    }
}
