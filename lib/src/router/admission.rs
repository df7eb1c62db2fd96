//! Whether a request is taken in.

use std::time::Duration;

use crate::{
    router::{
        Router,
        port::{Effect, NotRun, Request, RequestOutcome},
        request::{Entry, RequestEvent},
        steps::Signal,
        timers::Alarm,
    },
    time::Time,
};

impl Router {
    /// Takes a request in, or answers at once that it did not run.
    pub(super) fn admit(&mut self, now: Time, request: Request, effects: &mut Vec<Effect>) {
        let id = request.request;
        if self.requests.contains_key(&id) {
            self.counters.stray += 1;
            return;
        }
        match self.check(now, &request) {
            Ok((service, exact)) => {
                let window = self.config.budget_window;
                self.budgets.entry(request.customer.clone()).or_default().request(now, window);
                self.timers.set(request.deadline, Alarm::Deadline(id));
                self.requests.insert(id, Entry::new(request, service, exact));
                self.step(now, id, Signal::new(RequestEvent::Start), effects);
                self.pump(now, service, effects);
            }
            Err(reason) => {
                let outcome = RequestOutcome::NotRun { reason };
                self.counters.count(&outcome);
                effects.push(Effect::Answer { request: id, outcome });
            }
        }
    }

    /// The service's index and whether its count is exact.
    fn check(&self, now: Time, request: &Request) -> Result<(usize, bool), NotRun> {
        if self.draining {
            return Err(NotRun::Draining);
        }
        let plan = self.policy.plan_of(&request.customer).ok_or(NotRun::NotAllowed)?;
        if !plan.services.contains(&request.service) {
            return Err(NotRun::NotAllowed);
        }
        if !request.idempotent && request.key.is_none() {
            return Err(NotRun::MissingKey);
        }
        let service = self.fleet.service(&request.service).ok_or(NotRun::NoTarget)?;
        if !self.fleet.services[service].is_present() {
            return Err(NotRun::NoTarget);
        }
        if !self.waiting.admits(&request.customer) {
            return Err(NotRun::Overloaded);
        }
        if !self.unsettled.admits(&request.customer) {
            return Err(NotRun::CouncilUnavailable);
        }
        if now >= request.deadline || now + self.estimate(now, service, request) > request.deadline
        {
            return Err(NotRun::Deadline);
        }
        Ok((service, plan.exact_counts))
    }

    /// How long the request is likely to wait and to run.
    fn estimate(&self, now: Time, service: usize, request: &Request) -> Duration {
        let service = &self.fleet.services[service];
        let median = service.quantiles.median(now);
        if service.queue.is_empty() {
            return median;
        }
        let ahead = service.queue.ahead(&request.customer) as f64;
        let rounds = ahead / (service.capacity.max(1) as f64);
        median.mul_f64(1.0 + rounds)
    }
}
