//! Requests to latency-critical services: admission, choice of a target, limits, retries.
//!
//! Every request ends in exactly one of three ways: it ran and here is the whole answer; it did
//! not run; or it is unknown whether it ran.

mod accounts;
mod admission;
mod answers;
mod budget;
mod choice;
mod config;
mod dispatch;
mod fleet;
mod hashing;
mod latency;
mod occupancy;
pub mod port;
mod queue;
pub mod request;
mod silence;
pub mod slots;
mod status;
mod steps;
pub mod target;
mod timers;
mod tries;

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
        answers::earlier,
        fleet::Fleet,
        hashing::Hashing,
        occupancy::Occupancy,
        port::{ClaimAnswer, Effect, Event, NotRun, RequestOutcome, TryId},
        request::{Entry, RequestEvent},
        steps::Signal,
        target::TargetEvent,
        timers::{Alarm, Timers},
        tries::Try,
    },
    time::{Time, WallTime},
};

/// The router of one instance.
#[derive(Clone, Debug)]
pub struct Router {
    config: Config,
    policy: Arc<Policy>,
    rng: ChaCha8Rng,
    timers: Timers,
    fleet: Fleet,
    requests: HashMap<RequestId, Box<Entry>, Hashing>,
    tries: HashMap<TryId, Try, Hashing>,
    accounts: Accounts,
    waiting: Occupancy,
    unsettled: Occupancy,
    /// Requests whose caller waits.
    open: usize,
    burn: BurnTracker,
    counters: Counters,
    draining: bool,
    drained: bool,
    depart: Option<Time>,
}

impl Router {
    /// A router that knows no policy, instance or target yet; `seed` decides its random choices.
    pub fn new(config: Config, now: Time, seed: u64) -> Self {
        Self {
            policy: Arc::new(Policy::default()),
            rng: ChaCha8Rng::seed_from_u64(seed),
            timers: Timers::default(),
            fleet: Fleet::default(),
            requests: HashMap::default(),
            tries: HashMap::default(),
            accounts: Accounts::default(),
            waiting: Occupancy::new(config.queue),
            unsettled: Occupancy::new(config.unsettled),
            open: 0,
            burn: BurnTracker::new(now),
            counters: Counters::default(),
            draining: false,
            drained: false,
            depart: None,
            config,
        }
    }

    /// Takes in what happened and says what to do. Timers that are due go before the event.
    pub fn handle(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        while let Some(alarm) = self.timers.due(now) {
            self.ring(now, alarm, effects);
        }
        match event {
            Event::Timer => {}
            Event::Policy(policy) => self.set_policy(policy),
            Event::Instances(peers) => {
                self.fleet.instances(now, peers, &self.config, &mut self.timers);
                self.pump_all(now, effects);
            }
            Event::Target(target) => {
                let service = self.fleet.announce(now, target, &self.config, &mut self.timers);
                self.pump(now, service, effects);
            }
            Event::TargetGone { address } => {
                self.fleet.withdraw(now, &address, &self.config, &mut self.timers);
            }
            Event::Request(request) => self.admit(now, request, effects),
            Event::CallerGone { request } => {
                let signal = Signal::because(RequestEvent::CallerGone, NotRun::CallerGone);
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
            Event::TryEnded { attempt, end } => self.try_ended(now, attempt, end, effects),
            Event::Progress { attempt } => self.progress(now, attempt),
            Event::Drain => self.draining = true,
        }
        self.prune_timers();
        self.check_drained(now, effects);
    }

    /// When [`Event::Timer`] is to come, if nothing happens before.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.next()
    }

    /// What the router did and holds.
    pub fn status(&self) -> Status {
        let targets = self.fleet.targets.iter().flatten().map(|target| TargetStatus {
            address: target.info.address.clone(),
            service: target.info.service.clone(),
            state: target.state,
            part: target.part,
            connections: target.connections,
            flying: target.flying,
            latency: (target.average.last_seconds() * 1e6) as u64,
        });
        Status {
            counters: self.counters.clone(),
            open: self.open,
            waiting: self.waiting.total(),
            unsettled: self.unsettled.total(),
            flying: self.tries.len(),
            draining: self.draining,
            targets: targets.collect(),
        }
    }

    /// The good and bad requests that this instance counted; the report names the live instances
    /// that it doesn't cover.
    pub fn burn(&self, now: Time) -> burn::Report {
        let mut report = self.burn.report(now, self.config.me, &self.policy);
        report.add_missing(self.fleet.alive());
        report
    }

    /// What the counts of good and bad requests need to go on after a restart.
    pub fn burn_snapshot(&mut self, now: Time, wall: WallTime) -> burn::Snapshot {
        self.burn.snapshot(now, wall)
    }

    /// Goes on with the counts of an earlier process; to be called before the first request.
    pub fn restore_burn(&mut self, now: Time, wall: WallTime, snapshot: burn::Snapshot) {
        self.burn = BurnTracker::restore(now, wall, snapshot);
    }

    /// How many connections to a target this instance may hold, idle ones included.
    pub fn connections(&self, address: &str) -> u32 {
        self.fleet.find(address).map_or(0, |target| target.connections)
    }

    fn ring(&mut self, now: Time, alarm: Alarm, effects: &mut Vec<Effect>) {
        match alarm {
            Alarm::Deadline(id) => {
                self.step(now, id, Signal::new(RequestEvent::Deadline), effects);
            }
            Alarm::Request(id) => self.wake(now, id, effects),
            Alarm::Release(id) => {
                self.counters.forgotten += 1;
                self.step(now, id, Signal::new(RequestEvent::Expired), effects);
            }
            Alarm::Silence(attempt) => self.silent(now, attempt, effects),
            Alarm::Linger(attempt) => self.lingered(now, attempt, effects),
            Alarm::Target(key) => {
                self.fleet.target_mut(key).alarm = None;
                self.fleet.step(now, key, TargetEvent::Timer, &self.config, &mut self.timers);
                let service = self.fleet.target(key).service;
                self.pump(now, service, effects);
            }
            Alarm::Settle => {
                self.fleet.deal_all(now, &self.config, &mut self.timers);
                self.pump_all(now, effects);
            }
            Alarm::Depart => {}
        }
    }

    /// A request's pause is over, or it is slower than most.
    fn wake(&mut self, now: Time, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        entry.wake = None;
        let service = entry.service;
        self.step(now, id, Signal::new(RequestEvent::Timer), effects);
        self.pump(now, service, effects);
    }

    fn set_policy(&mut self, policy: Arc<Policy>) {
        self.accounts.follow(&policy);
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
            ClaimAnswer::Earlier(result) => Signal::with(RequestEvent::ClaimFound, earlier(result)),
            ClaimAnswer::KeyReused => {
                let outcome = RequestOutcome::NotRun { reason: NotRun::KeyReused };
                Signal::with(RequestEvent::ClaimFound, outcome)
            }
            ClaimAnswer::Unavailable => {
                Signal::because(RequestEvent::ClaimFailed, NotRun::CouncilUnavailable)
            }
        };
        let service = self.requests.get(&id).map(|entry| entry.service);
        self.step(now, id, signal, effects);
        if let Some(service) = service {
            self.pump(now, service, effects);
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
            match self.depart {
                None => {
                    let at = now + self.config.leave_after;
                    self.depart = Some(at);
                    self.timers.set(at, Alarm::Depart);
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
