//! Service-level burn: how fast each customer's error budget at each service is used up.
//!
//! A request is good if it ran within the service's latency. Requests that ran later, that may
//! have run, or that did not run for a reason of the system's own are bad. Requests that their
//! caller had no right to, or withdrew, count as neither.

mod report;
mod window;

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

pub use self::{
    report::{Exhaustion, FAST_BURN_RATE, Pace, Report, Row, RowKey, SLOW_BURN_RATE, Source},
    window::{Tally, Window},
};
use crate::{
    burn::window::Ring,
    data,
    ids::{CustomerName, InstanceId, ServiceName},
    policy::Policy,
    router::port::{NotRun, RequestOutcome},
    time::{Time, WallTime},
};

/// Rows that an instance keeps; the requests of further ones are only counted.
const MAX_ROWS: usize = 10_000;

/// Outages that are told apart; the oldest are joined.
const MAX_OUTAGES: usize = 64;

/// A request that was answered.
#[derive(Clone, Copy, Debug)]
pub struct ServedRequest<'a> {
    /// The customer.
    pub customer: &'a CustomerName,
    /// The service.
    pub service: &'a ServiceName,
    /// What the caller was told.
    pub outcome: &'a RequestOutcome,
    /// How long it elapsed.
    pub elapsed: Duration,
    /// How long the caller would have waited.
    pub timeout: Duration,
    /// Whether the caller went away.
    pub disconnected: bool,
    /// Whether it is a long_lived request, which has no latency.
    pub long_lived: bool,
}

/// The good and bad requests of one instance over the last three days.
#[derive(Clone, Debug, Default)]
pub struct BurnTracker {
    state: State,
    /// A point on the process's clock.
    origin: Time,
    /// The same point on the clock of the buckets, which goes on after a restart.
    start: u64,
}

/// What survives a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct State {
    /// When counting began, on the clock of the buckets.
    since: u64,
    /// Spans since then in which nothing was counted.
    outages: Vec<(u64, u64)>,
    series: BTreeMap<ServiceName, BTreeMap<CustomerName, Series>>,
    untracked: u64,
}

/// The rings of one row, in the order of [`Window::ALL`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Series {
    rings: Vec<Ring>,
}

data! {
    /// The counts at a point in time, for the data folder.
    pub struct Snapshot {
        at: u64,
        wall: WallTime,
        state: State,
    }
}

impl BurnTracker {
    /// Starts to count at `now`.
    pub fn new(now: Time) -> Self {
        Self { state: State::default(), origin: now, start: 0 }
    }

    /// Counts a request, unless it counts as neither good nor bad.
    pub fn record(&mut self, now: Time, policy: &Policy, served: ServedRequest<'_>) {
        let Some(service) = policy.services.get(served.service) else { return };
        let Some(good) = classify(&served, service.latency) else { return };
        let at = self.clock(now);
        let rows: usize = match self.state.has(&served) {
            true => 0,
            false => self.state.series.values().map(BTreeMap::len).sum(),
        };
        if rows >= MAX_ROWS {
            self.state.untracked += 1;
            return;
        }
        self.state.series(&served).record(at, good);
    }

    /// What this instance counted, for the services and customers of the policy.
    pub fn report(&self, now: Time, me: InstanceId, policy: &Policy) -> Report {
        let at = self.clock(now);
        let covered = Window::ALL.iter().map(|window| self.covered(at, *window)).collect();
        let source = Source { covered, untracked: self.state.untracked };
        let mut report = Report { sources: BTreeMap::from([(me, source)]), ..Report::default() };
        for (service, customers) in &self.state.series {
            let Some(facts) = policy.services.get(service) else { continue };
            for (customer, series) in customers {
                let key = RowKey { service: service.clone(), customer: customer.clone() };
                let row = Row {
                    good_ppm: facts.good_ppm,
                    latency: facts.latency,
                    tallies: series.tallies(at),
                };
                report.rows.insert(key, row);
            }
        }
        report
    }

    /// What a restart needs; `wall` is the wall clock at `now`. Rows without a request in the
    /// last three days are forgotten.
    pub fn snapshot(&mut self, now: Time, wall: WallTime) -> Snapshot {
        let at = self.clock(now);
        for customers in self.state.series.values_mut() {
            customers.retain(|_, series| !series.is_expired(at));
        }
        self.state.series.retain(|_, customers| !customers.is_empty());
        Snapshot { at, wall, state: self.state.clone() }
    }

    /// Goes on from a snapshot; the time since it was taken counts as an outage. What was counted
    /// since this process started is lost, so it is to be called before the first request.
    ///
    /// If the wall clock was set back, the outage is taken to be as short as can be.
    pub fn restore(now: Time, wall: WallTime, snapshot: Snapshot) -> Self {
        let gap = Duration::from_millis(wall.0.saturating_sub(snapshot.wall.0));
        let end = (Time::from_nanos(snapshot.at) + gap).as_nanos();
        let mut burn = Self { state: snapshot.state, origin: now, start: end };
        burn.record_outage(snapshot.at, end);
        burn
    }

    fn clock(&self, now: Time) -> u64 {
        (Time::from_nanos(self.start) + now.since(self.origin)).as_nanos()
    }

    fn record_outage(&mut self, from: u64, to: u64) {
        let outages = &mut self.state.outages;
        outages.push((from, to));
        if outages.len() > MAX_OUTAGES {
            let (_, end) = outages.remove(1);
            outages[0].1 = end;
        }
    }

    /// How much of a window was counted.
    fn covered(&self, at: u64, window: Window) -> Duration {
        let span = u64::try_from(window.span().as_nanos()).unwrap_or(u64::MAX);
        let start = at.saturating_sub(span).max(self.state.since);
        let out = |(from, to): &(u64, u64)| to.saturating_sub((*from).max(start));
        let lost: u64 = self.state.outages.iter().map(out).sum();
        Duration::from_nanos(at.saturating_sub(start).saturating_sub(lost))
    }
}

impl State {
    fn has(&self, served: &ServedRequest<'_>) -> bool {
        self.series
            .get(served.service)
            .is_some_and(|customers| customers.contains_key(served.customer))
    }

    fn series(&mut self, served: &ServedRequest<'_>) -> &mut Series {
        let customers = self.series.entry(served.service.clone()).or_default();
        customers.entry(served.customer.clone()).or_default()
    }
}

impl Series {
    fn record(&mut self, at: u64, good: bool) {
        self.rings.resize_with(Window::ALL.len(), Ring::default);
        for (ring, window) in self.rings.iter_mut().zip(Window::ALL) {
            ring.record(at, *window, good);
        }
    }

    fn tallies(&self, at: u64) -> Vec<Tally> {
        let rings = self.rings.iter().zip(Window::ALL);
        rings.map(|(ring, window)| ring.total(at, *window)).collect()
    }

    fn is_expired(&self, at: u64) -> bool {
        self.rings.iter().zip(Window::ALL).all(|(ring, window)| ring.is_expired(at, *window))
    }
}

/// Whether a request was good; nothing if it counts as neither.
fn classify(served: &ServedRequest<'_>, latency: Duration) -> Option<bool> {
    let within = served.long_lived || served.elapsed <= latency;
    if served.disconnected && within {
        return None;
    }
    match served.outcome {
        RequestOutcome::Ran(_) | RequestOutcome::RanEarlier { .. } => Some(within),
        RequestOutcome::Unknown { .. } => Some(false),
        RequestOutcome::NotRun { reason } => match reason {
            NotRun::NotAllowed | NotRun::KeyReused | NotRun::MissingKey | NotRun::InProgress => {
                None
            }
            NotRun::Deadline if served.timeout < latency => None,
            NotRun::Deadline
            | NotRun::NoTarget
            | NotRun::Overloaded
            | NotRun::Draining
            | NotRun::ConsensusUnavailable
            | NotRun::TargetsUnavailable
            | NotRun::CallerGone => Some(false),
        },
    }
}
