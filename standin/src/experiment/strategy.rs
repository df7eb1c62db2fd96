//! The placement strategies that the experiment compares.

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

/// The weight of the expected increase in latency, relative to the reserved share of a worker.
const PENALTY_WEIGHT: f64 = 1.0;
/// Consecutive samples above the latency objective after which the threshold rule evicts.
const BREACHES_TO_EVICT: u32 = 3;
/// The minimum time between two evictions on a worker under the threshold rule, in milliseconds.
const EVICTION_INTERVAL_MS: u64 = 30_000;

/// A strategy for placing batch tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum, serde::Serialize)]
pub enum Strategy {
    /// The worker with the lowest reserved share
    LeastLoaded,
    /// As `least-loaded`; three samples above the latency objective evict the largest batch task
    LeastLoadedEvicting,
    /// The first worker with room for the declared size
    FirstFit,
    /// As `first-fit`, with the eviction rule of `least-loaded-evicting`
    FirstFitEvicting,
    /// The lowest reserved share plus the policy's penalty, without the policy's actions
    Avoiding,
    /// The lowest reserved share, with the policy's actions
    Acting,
    /// The lowest reserved share plus the policy's penalty, with the policy's actions
    Hickorylink,
    /// The real scheduler, driven by events, with its own placement and the policy
    Scheduler,
    /// No batch tasks: the baseline of services alone
    Idle,
    /// The lowest reserved share plus the true increase in latency, which no system knows: a bound
    Oracle,
}

/// The state of a strategy in one data centre.
#[derive(Debug)]
pub(crate) struct Placer {
    strategy: Strategy,
    /// The interference policy, if the strategy uses it.
    pub(crate) policy: Option<Interference>,
    /// Consecutive samples above the latency objective, by replica.
    breaches: BTreeMap<TaskAttempt, u32>,
    /// The time of the last eviction on each worker, in milliseconds.
    last_eviction: BTreeMap<usize, u64>,
}

impl Strategy {
    fn uses_penalty(self) -> bool {
        matches!(self, Self::Avoiding | Self::Hickorylink)
    }

    fn uses_actions(self) -> bool {
        matches!(self, Self::Acting | Self::Hickorylink)
    }

    fn evicts_by_threshold(self) -> bool {
        matches!(self, Self::LeastLoadedEvicting | Self::FirstFitEvicting)
    }

    fn is_first_fit(self) -> bool {
        matches!(self, Self::FirstFit | Self::FirstFitEvicting)
    }
}

impl Placer {
    /// The initial state of a strategy.
    pub(crate) fn new(strategy: Strategy) -> Self {
        let policy = match (strategy.uses_penalty(), strategy.uses_actions()) {
            (_, true) => Some(Interference::default()),
            (true, false) => Some(Interference::passive()),
            (false, false) => None,
        };
        Self { strategy, policy, breaches: BTreeMap::new(), last_eviction: BTreeMap::new() }
    }

    /// The index of the worker on which to place a task, if any has room.
    ///
    /// `true_increase` returns the true increase in latency on a worker; only the oracle uses it.
    pub(crate) fn choose(
        &self,
        now: Time,
        hosts: &[Host],
        task: &Neighbour,
        true_increase: impl Fn(&Host) -> f64,
    ) -> Option<usize> {
        if self.strategy == Strategy::Idle {
            return None;
        }
        let mut fitting = hosts.iter().enumerate().filter(|(_, host)| host.free.fits(&task.size));
        if self.strategy.is_first_fit() {
            return fitting.next().map(|(at, _)| at);
        }
        let cost = |host: &Host| {
            if self.strategy == Strategy::Oracle {
                return host.reserved_share() + true_increase(host);
            }
            let policy = self.policy.as_ref().filter(|_| self.strategy.uses_penalty());
            let penalty = policy.map_or(0.0, |policy| policy.penalty(now, &host.name, task));
            host.reserved_share() + PENALTY_WEIGHT * penalty
        };
        let costs = fitting.map(|(at, host)| (at, cost(host)));
        costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(at, _)| at)
    }

    /// Processes a sample, and returns the task to evict under the threshold rule, if any.
    pub(crate) fn handle_sample(
        &mut self,
        now: Time,
        at: usize,
        host: &Host,
        sample: &Sample,
        objective: f64,
    ) -> Option<TaskAttempt> {
        if let Some(policy) = &mut self.policy {
            policy.sampled(now, &host.name, sample);
        }
        if !self.strategy.evicts_by_threshold() {
            return None;
        }
        let breaches = self.breaches.entry(sample.attempt).or_default();
        let breached = sample.latency.is_some_and(|latency| latency.as_secs_f64() > objective);
        *breaches = if breached { *breaches + 1 } else { 0 };
        let millis = now.as_nanos() / 1_000_000;
        let interval_over =
            self.last_eviction.get(&at).is_none_or(|last| millis >= last + EVICTION_INTERVAL_MS);
        if *breaches < BREACHES_TO_EVICT || !interval_over {
            return None;
        }
        let evictable = host.running.iter().filter(|running| running.job.evictions > 0);
        let largest = evictable.max_by_key(|running| running.job.size.millicores)?;
        self.last_eviction.insert(at, millis);
        Some(Running::attempt(largest))
    }

    /// The actions that the policy requests now.
    pub(crate) fn decide(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(policy) = &mut self.policy {
            policy.decide(now, &mut actions);
        }
        actions
    }
}
