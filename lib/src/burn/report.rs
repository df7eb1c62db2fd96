//! Reports of burn rates, for one or several instances.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    burn::window::{Tally, Window},
    data,
    ids::{CustomerName, InstanceId, ServiceName},
    symbols,
};

/// The burn rate, over both five minutes and an hour, from which a burn is fast. A rate of 14.4
/// uses up a fifth of the three-day budget within an hour.
pub const FAST_BURN_RATE: f64 = 14.4;

/// The burn rate, over both six hours and three days, from which a burn is slow. Any higher rate
/// uses up the budget before its period ends.
pub const SLOW_BURN_RATE: f64 = 1.0;

const MILLION: f64 = 1e6;

symbols! {
    /// How fast an error budget is used up.
    pub enum Pace {
        /// Within the budget.
        Steady = "steady",
        /// The budget is used up before its period ends.
        Slow = "slow",
        /// The budget is used up within hours.
        Fast = "fast",
    }
}

data! {
    /// Good and bad requests by customer, service and window.
    #[derive(Default)]
    pub struct Report {
        /// The instances whose requests are included, with the coverage of their counts.
        pub sources: BTreeMap<InstanceId, Source>,
        /// Live instances whose report is missing.
        pub missing: BTreeSet<InstanceId>,
        /// The rows, by service and customer.
        pub rows: BTreeMap<RowKey, Row>,
    }

    /// The coverage of an instance's counts.
    pub struct Source {
        /// The part of each window in which it counted, in the order of [`Window::ALL`].
        pub covered: Vec<Duration>,
        /// Requests that are in no row because the maximum number of rows was reached.
        pub untracked: u64,
    }

    /// The key of a row.
    #[derive(PartialOrd, Ord)]
    pub struct RowKey {
        /// The service.
        pub service: ServiceName,
        /// The customer.
        pub customer: CustomerName,
    }

    /// The counts of a customer's requests to a service.
    pub struct Row {
        /// The objective for the share of good requests, in millionths.
        pub good_ppm: u32,
        /// The latency objective: a request counts as good if it completes within it.
        pub latency: Duration,
        /// The counts, in the order of [`Window::ALL`].
        pub tallies: Vec<Tally>,
    }
}

/// When an error budget will be used up, at the rate of the last hour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exhaustion {
    /// At this rate, it isn't used up.
    Never,
    /// After this duration.
    In(Duration),
    /// It is already used up.
    Exhausted,
}

impl Report {
    /// Merges another report into this one. Returns false and changes nothing if the two share an
    /// instance: rows are sums over instances, so its requests would be counted twice.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.sources.keys().any(|instance| self.sources.contains_key(instance)) {
            return false;
        }
        self.sources.extend(other.sources.iter().map(|(id, source)| (*id, source.clone())));
        self.missing.extend(&other.missing);
        self.missing.retain(|instance| !self.sources.contains_key(instance));
        for (key, row) in &other.rows {
            match self.rows.get_mut(key) {
                Some(existing) => existing.merge(row),
                None => {
                    self.rows.insert(key.clone(), row.clone());
                }
            }
        }
        true
    }

    /// Marks the live instances that aren't among the sources as missing.
    pub fn add_missing(&mut self, live: impl IntoIterator<Item = InstanceId>) {
        let sources = &self.sources;
        self.missing.extend(live.into_iter().filter(|id| !sources.contains_key(id)));
    }

    /// The largest part of a window that any source covers, from 0 to 1.
    pub fn coverage(&self, window: Window) -> f64 {
        let covered = self.sources.values().filter_map(|s| s.covered.get(usize::from(window)));
        let longest = covered.max().copied().unwrap_or_default();
        (longest.as_secs_f64() / window.span().as_secs_f64()).min(1.0)
    }

    /// The instances that cover a window only in part.
    pub fn partial_sources(&self, window: Window) -> impl Iterator<Item = InstanceId> {
        let at = usize::from(window);
        let partial = move |source: &Source| {
            source.covered.get(at).is_none_or(|covered| *covered < window.span())
        };
        self.sources.iter().filter(move |(_, source)| partial(source)).map(|(id, _)| *id)
    }

    /// The number of requests that are in no row.
    pub fn untracked(&self) -> u64 {
        self.sources.values().map(|source| source.untracked).sum()
    }

    /// The remaining part of a row's three-day error budget, from 0 to 1.
    pub fn budget_left(&self, row: &Row) -> f64 {
        let used = row.burn_rate(Window::ThreeDays) * self.coverage(Window::ThreeDays);
        (1.0 - used).clamp(0.0, 1.0)
    }

    /// When a row's error budget will be used up, at the rate of the last hour.
    pub fn exhaustion(&self, row: &Row) -> Exhaustion {
        let left = self.budget_left(row);
        let rate = row.burn_rate(Window::Hour);
        if left <= 0.0 {
            return Exhaustion::Exhausted;
        }
        let seconds = Window::ThreeDays.span().as_secs_f64() * left / rate;
        match Duration::try_from_secs_f64(seconds) {
            Ok(span) => Exhaustion::In(span),
            Err(_) => Exhaustion::Never,
        }
    }
}

impl Row {
    /// The counts of a window.
    pub fn tally(&self, window: Window) -> Tally {
        self.tallies.get(usize::from(window)).copied().unwrap_or_default()
    }

    /// The burn rate in a window. A rate of 1 uses up the error budget exactly at the end of its
    /// period.
    pub fn burn_rate(&self, window: Window) -> f64 {
        let tally = self.tally(window);
        if tally.bad == 0 {
            return 0.0;
        }
        let bad = tally.bad as f64 / tally.total() as f64;
        let budget = (MILLION - f64::from(self.good_ppm)).max(1.0) / MILLION;
        bad / budget
    }

    /// How fast the error budget is used up.
    pub fn pace(&self) -> Pace {
        let above =
            |windows: [Window; 2], limit| windows.iter().all(|w| self.burn_rate(*w) >= limit);
        if above([Window::FiveMinutes, Window::Hour], FAST_BURN_RATE) {
            Pace::Fast
        } else if above([Window::SixHours, Window::ThreeDays], SLOW_BURN_RATE) {
            Pace::Slow
        } else {
            Pace::Steady
        }
    }

    fn merge(&mut self, other: &Self) {
        for (tally, added) in self.tallies.iter_mut().zip(&other.tallies) {
            tally.add(*added);
        }
    }
}
