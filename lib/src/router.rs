//! Routes requests to latency-critical services: admission, target selection, limits, retries.
//!
//! Every request ends with exactly one of three outcomes: it ran, and the complete response is
//! returned; it did not run; or it is unknown whether it ran.

mod accounts;
mod admission;
mod answers;
mod attempts;
mod budget;
mod choice;
mod config;
mod dispatch;
mod fleet;
mod hash;
mod latency;
mod occupancy;
pub mod port;
mod queue;
pub mod request;
pub mod shares;
mod stall;
mod status;
mod steps;
pub mod target;
mod timers;

use std::{collections::HashMap, sync::Arc};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use self::{
    config::Config,
    status::{Counters, Status, TargetStatus},
};
use crate::{
    burn::{self, BurnTracker},
    ids::RequestId,
    policy::Policy,
    router::{
        accounts::Accounts,
        answers::outcome_of_claim,
        attempts::Attempt,
        fleet::Fleet,
        hash::BuildNumberHasher,
        occupancy::Occupancy,
        port::{AttemptId, ClaimAnswer, Effect, Event, NotRun, RequestOutcome},
        request::{Entry, RequestEvent},
        steps::Signal,
        target::TargetEvent,
        timers::{TimerKind, Timers},
    },
    time::{Time, WallTime},
};

/// The request router of one instance.
#[derive(Clone, Debug)]
pub struct Router {
    config: Config,
    policy: Arc<Policy>,
    rng: ChaCha8Rng,
    timers: Timers,
    fleet: Fleet,
    requests: HashMap<RequestId, Box<Entry>, BuildNumberHasher>,
    attempts: HashMap<AttemptId, Attempt, BuildNumberHasher>,
    accounts: Accounts,
    /// Requests waiting for a claim, a slot or a retry.
    waiting: Occupancy,
    /// Requests whose claim or record isn't committed.
    unsettled: Occupancy,
    /// The number of requests that haven't been answered yet.
    open: usize,
    burn: BurnTracker,
    counters: Counters,
    draining: bool,
    /// Whether [`Effect::Drained`] was emitted.
    drained: bool,
    /// When the drain stops waiting for records.
    drain_deadline: Option<Time>,
}

impl Router {
    /// Creates a router without a policy, instances or targets; `seed` seeds its random choices.
    pub fn new(config: Config, now: Time, seed: u64) -> Self {
        Self {
            policy: Arc::new(Policy::default()),
            rng: ChaCha8Rng::seed_from_u64(seed),
            timers: Timers::default(),
            fleet: Fleet::default(),
            requests: HashMap::default(),
            attempts: HashMap::default(),
            accounts: Accounts::default(),
            waiting: Occupancy::new(config.max_waiting),
            unsettled: Occupancy::new(config.max_unsettled),
            open: 0,
            burn: BurnTracker::new(now),
            counters: Counters::default(),
            draining: false,
            drained: false,
            drain_deadline: None,
            config,
        }
    }

    /// Handles an event and appends the resulting effects. Timers that are due fire before it.
    pub fn handle(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.due(now) {
            self.fire(now, timer, effects);
        }
        match event {
            Event::Timer => {}
            Event::Policy(policy) => self.set_policy(policy),
            Event::Instances(peers) => {
                self.fleet.set_instances(now, peers, &self.config, &mut self.timers);
                self.dispatch_all(now, effects);
            }
            Event::Target(target) => {
                let service = self.fleet.announce(now, target, &self.config, &mut self.timers);
                self.dispatch(now, service, effects);
            }
            Event::TargetGone { address } => {
                self.fleet.withdraw(now, &address, &self.config, &mut self.timers);
            }
            Event::Request(request) => self.admit(now, request, effects),
            Event::CallerGone { request } => {
                let signal = Signal::with_reason(RequestEvent::CallerGone, NotRun::CallerGone);
                self.step(now, request, signal, effects);
            }
            Event::ClaimAnswered { request, answer } => {
                self.claim_answered(now, request, answer, effects);
            }
            Event::Recorded { request } => {
                if self.requests.contains_key(&request) {
                    self.step(now, request, Signal::new(RequestEvent::Recorded), effects);
                }
            }
            Event::AttemptEnded { attempt, end } => self.attempt_ended(now, attempt, end, effects),
            Event::Progress { attempt } => self.progress(now, attempt),
            Event::Drain => self.draining = true,
        }
        self.prune_timers();
        self.check_drained(now, effects);
    }

    /// The time at which [`Event::Timer`] must be delivered unless another event comes earlier.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.next()
    }

    /// The router's counters and current load.
    pub fn status(&self) -> Status {
        let targets = self.fleet.targets.iter().flatten().map(|target| TargetStatus {
            address: target.info.address.clone(),
            service: target.info.service.clone(),
            state: target.state,
            share: target.share,
            connections: target.connections,
            in_flight: target.in_flight,
            latency_us: (target.latency.last_seconds() * 1e6) as u64,
        });
        Status {
            counters: self.counters.clone(),
            open: self.open,
            waiting: self.waiting.total(),
            unsettled: self.unsettled.total(),
            in_flight: self.attempts.len(),
            draining: self.draining,
            targets: targets.collect(),
        }
    }

    /// The burn report over the good and bad requests counted by this instance. It lists the live
    /// instances whose counts it doesn't include.
    pub fn burn(&self, now: Time) -> burn::Report {
        let mut report = self.burn.report(now, self.config.me, &self.policy);
        report.add_missing(self.fleet.live_instances());
        report
    }

    /// A snapshot of the good and bad request counts, to be restored after a restart.
    pub fn burn_snapshot(&mut self, now: Time, wall: WallTime) -> burn::Snapshot {
        self.burn.snapshot(now, wall)
    }

    /// Restores the counts of an earlier process. Must be called before the first request.
    pub fn restore_burn(&mut self, now: Time, wall: WallTime, snapshot: burn::Snapshot) {
        self.burn = BurnTracker::restore(now, wall, snapshot);
    }

    /// The maximum number of connections, including idle ones, that this instance may hold to a
    /// target.
    pub fn connections(&self, address: &str) -> u32 {
        self.fleet.find(address).map_or(0, |target| target.connections)
    }

    fn fire(&mut self, now: Time, timer: TimerKind, effects: &mut Vec<Effect>) {
        match timer {
            TimerKind::Deadline(id) => {
                self.step(now, id, Signal::new(RequestEvent::Deadline), effects);
            }
            TimerKind::RetryOrHedge(id) => self.wake(now, id, effects),
            TimerKind::ClaimTimeout(id) => {
                self.counters.expired_claims += 1;
                self.step(now, id, Signal::new(RequestEvent::Expired), effects);
            }
            TimerKind::Stall(attempt) => self.check_stall(now, attempt, effects),
            TimerKind::Linger(attempt) => self.release_abandoned(now, attempt, effects),
            TimerKind::Target(key) => {
                self.fleet.target_mut(key).timer = None;
                self.fleet.step(now, key, TargetEvent::Timer, &self.config, &mut self.timers);
                let service = self.fleet.target(key).service;
                self.dispatch(now, service, effects);
            }
            TimerKind::ViewExpiry => {
                self.fleet.update_all_shares(now, &self.config, &mut self.timers);
                self.dispatch_all(now, effects);
            }
            TimerKind::DrainTimeout => {}
        }
    }

    /// Handles the end of a request's backoff, or the time at which it may be hedged.
    fn wake(&mut self, now: Time, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        entry.wake = None;
        let service = entry.service;
        self.step(now, id, Signal::new(RequestEvent::Timer), effects);
        self.dispatch(now, service, effects);
    }

    fn set_policy(&mut self, policy: Arc<Policy>) {
        self.accounts.apply_policy(&policy);
        self.policy = policy;
    }

    fn claim_answered(
        &mut self,
        now: Time,
        id: RequestId,
        answer: ClaimAnswer,
        effects: &mut Vec<Effect>,
    ) {
        let signal = match answer {
            ClaimAnswer::Claimed => Signal::new(RequestEvent::Claimed),
            ClaimAnswer::AlreadyClaimed(result) => {
                Signal::with_outcome(RequestEvent::ClaimFound, outcome_of_claim(result))
            }
            ClaimAnswer::KeyReused => {
                let outcome = RequestOutcome::NotRun { reason: NotRun::KeyReused };
                Signal::with_outcome(RequestEvent::ClaimFound, outcome)
            }
            ClaimAnswer::Unavailable => {
                Signal::with_reason(RequestEvent::ClaimFailed, NotRun::ConsensusUnavailable)
            }
        };
        let service = self.requests.get(&id).map(|entry| entry.service);
        self.step(now, id, signal, effects);
        if let Some(service) = service {
            self.dispatch(now, service, effects);
        }
    }

    fn check_drained(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if !self.draining || self.drained {
            return;
        }
        if self.open > 0 {
            return;
        }
        if !self.requests.is_empty() {
            match self.drain_deadline {
                None => {
                    let at = now + self.config.drain_timeout;
                    self.drain_deadline = Some(at);
                    self.timers.set(at, TimerKind::DrainTimeout);
                    return;
                }
                Some(at) if now < at => return,
                Some(_) => {}
            }
        }
        self.drained = true;
        effects.push(Effect::Drained);
    }
}
