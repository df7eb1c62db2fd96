//! The ways of placing batch tasks that are compared.

use std::collections::BTreeMap;

use hickorylink_lib::{
    ids::TaskAttempt,
    interference::{
        Interference,
        port::{Action, Neighbour},
    },
    time::Time,
    worker::Sample,
};

use crate::experiment::host::{Host, Running};

/// How much an expected rise of latency weighs against the share of a worker that is held.
const PENALTY_WEIGHT: f64 = 1.0;
/// Samples above the good latency, one after the other, after which the threshold rule evicts.
const STRIKES: u32 = 3;
/// Milliseconds between two evictions on a worker under the threshold rule.
const REST_MILLIS: u64 = 30_000;

/// A way of placing batch tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum, serde::Serialize)]
pub enum Strategy {
    /// The worker with the least held by declared sizes.
    LeastLoaded,
    /// The same; three samples above the good latency evict the largest batch task.
    LeastLoadedEvicting,
    /// The first worker with room by declared size.
    FirstFit,
    /// The same, with the same rule of eviction.
    FirstFitEvicting,
    /// Least held plus the policy's penalty; no actions.
    Avoiding,
    /// Least held, with the policy's actions.
    Acting,
    /// Least held plus the policy's penalty, with the policy's actions.
    Hickorylink,
    /// The scheduler itself with its own placement and the policy inside, by events.
    Scheduler,
    /// No batch task is started: what services alone come to.
    Idle,
    /// Least held plus the true rise of latency, which no system can know: a bound.
    Oracle,
}

/// A strategy at work in one data centre.
#[derive(Debug)]
pub(crate) struct Chooser {
    strategy: Strategy,
    /// The policy, if the strategy uses it.
    pub(crate) policy: Option<Interference>,
    strikes: BTreeMap<TaskAttempt, u32>,
    rested: BTreeMap<usize, u64>,
}

impl Strategy {
    fn avoids(self) -> bool {
        matches!(self, Self::Avoiding | Self::Hickorylink)
    }

    fn acts(self) -> bool {
        matches!(self, Self::Acting | Self::Hickorylink)
    }

    fn evicts_by_threshold(self) -> bool {
        matches!(self, Self::LeastLoadedEvicting | Self::FirstFitEvicting)
    }

    fn takes_first(self) -> bool {
        matches!(self, Self::FirstFit | Self::FirstFitEvicting)
    }
}

impl Chooser {
    /// The strategy before it has seen anything.
    pub(crate) fn new(strategy: Strategy) -> Self {
        let policy = match (strategy.avoids(), strategy.acts()) {
            (_, true) => Some(Interference::default()),
            (true, false) => Some(Interference::passive()),
            (false, false) => None,
        };
        Self { strategy, policy, strikes: BTreeMap::new(), rested: BTreeMap::new() }
    }

    /// The worker to place a task on, if any has room.
    ///
    /// `true_rise` gives the true rise of latency on a worker; only the oracle asks for it.
    pub(crate) fn choose(
        &self,
        now: Time,
        hosts: &[Host],
        task: &Neighbour,
        true_rise: impl Fn(&Host) -> f64,
    ) -> Option<usize> {
        if self.strategy == Strategy::Idle {
            return None;
        }
        let mut fitting = hosts.iter().enumerate().filter(|(_, host)| host.free.fits(&task.size));
        if self.strategy.takes_first() {
            return fitting.next().map(|(at, _)| at);
        }
        let cost = |host: &Host| {
            if self.strategy == Strategy::Oracle {
                return host.share() + true_rise(host);
            }
            let policy = self.policy.as_ref().filter(|_| self.strategy.avoids());
            let penalty = policy.map_or(0.0, |policy| policy.penalty(now, &host.name, task));
            host.share() + PENALTY_WEIGHT * penalty
        };
        let costs = fitting.map(|(at, host)| (at, cost(host)));
        costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(at, _)| at)
    }

    /// Takes in a sample; gives the task to evict under the threshold rule.
    pub(crate) fn sampled(
        &mut self,
        now: Time,
        at: usize,
        host: &Host,
        sample: &Sample,
        good: f64,
    ) -> Option<TaskAttempt> {
        if let Some(policy) = &mut self.policy {
            policy.sampled(now, &host.name, sample);
        }
        if !self.strategy.evicts_by_threshold() {
            return None;
        }
        let strikes = self.strikes.entry(sample.attempt).or_default();
        let hurt = sample.latency.is_some_and(|latency| latency.as_secs_f64() > good);
        *strikes = if hurt { *strikes + 1 } else { 0 };
        let millis = now.as_nanos() / 1_000_000;
        let rested = self.rested.get(&at).is_none_or(|last| millis >= last + REST_MILLIS);
        if *strikes < STRIKES || !rested {
            return None;
        }
        let movable = host.running.iter().filter(|running| running.job.evictions > 0);
        let largest = movable.max_by_key(|running| running.job.size.millicores)?;
        self.rested.insert(at, millis);
        Some(Running::attempt(largest))
    }

    /// What the policy asks for now.
    pub(crate) fn decide(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(policy) = &mut self.policy {
            policy.decide(now, &mut actions);
        }
        actions
    }
}
