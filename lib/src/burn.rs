//! Burn rates: how fast the error budget of each customer at each service is used up.
//!
//! A request is good if it ran within the service's latency objective. A request is bad if it took
//! longer, if it is unknown whether it ran, or if the system failed to run it. These requests count
//! as neither: requests that were not allowed or had no usable idempotency key, requests whose
//! timeout was shorter than the latency objective and ran out, and requests whose caller
//! disconnected before the objective was missed.

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

/// The maximum number of rows in an instance. Of the requests that would need another row, only the
/// number is kept.
const MAX_ROWS: usize = 10_000;

/// The maximum number of separate outages; beyond it, the oldest are merged.
const MAX_OUTAGES: usize = 64;

/// A request that has been answered.
#[derive(Clone, Copy, Debug)]
pub struct ServedRequest<'a> {
    /// The customer.
    pub customer: &'a CustomerName,
    /// The service.
    pub service: &'a ServiceName,
    /// The outcome that was reported to the caller.
    pub outcome: &'a RequestOutcome,
    /// The time from the arrival of the request to its answer.
    pub elapsed: Duration,
    /// How long the caller was going to wait.
    pub timeout: Duration,
    /// Whether the caller disconnected.
    pub disconnected: bool,
    /// Whether the request is long-lived, so that the latency objective doesn't apply.
    pub long_lived: bool,
}

/// Tracks the good and bad requests of an instance over the last three days.
#[derive(Clone, Debug, Default)]
pub struct BurnTracker {
    state: State,
    /// A point in time on the process's clock.
    origin: Time,
    /// The same point on the clock of the buckets, in nanoseconds. That clock continues after a
    /// restart.
    start: u64,
}

/// The part that is restored after a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct State {
    /// When counting started, on the clock of the buckets, in nanoseconds.
    since: u64,
    /// Intervals since then in which nothing was counted, as start and end on the same clock.
    outages: Vec<(u64, u64)>,
    series: BTreeMap<ServiceName, BTreeMap<CustomerName, Series>>,
    /// The number of requests that are in no row because of [`MAX_ROWS`].
    untracked: u64,
}

/// The rings of one row, in the order of [`Window::ALL`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Series {
    rings: Vec<Ring>,
}

data! {
    /// A snapshot of the counts, which is stored in the data folder.
    pub struct Snapshot {
        /// When it was taken, on the clock of the buckets, in nanoseconds.
        at: u64,
        /// The wall clock at that time.
        wall: WallTime,
        state: State,
    }
}

impl BurnTracker {
    /// Creates a tracker that starts counting at `now`.
    pub fn new(now: Time) -> Self {
        Self { state: State::default(), origin: now, start: 0 }
    }

    /// Counts a request, unless it is neither good nor bad.
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

    /// Reports the counts of this instance for the services of the policy.
    pub fn report(&self, now: Time, me: InstanceId, policy: &Policy) -> Report {
        let at = self.clock(now);
        let covered = Window::ALL.iter().map(|window| self.covered(at, *window)).collect();
        let source = Source { covered, untracked: self.state.untracked };
        let mut report = Report { sources: BTreeMap::from([(me, source)]), ..Report::default() };
        for (service, customers) in &self.state.series {
            let Some(settings) = policy.services.get(service) else { continue };
            for (customer, series) in customers {
                let key = RowKey { service: service.clone(), customer: customer.clone() };
                let row = Row {
                    good_ppm: settings.good_ppm,
                    latency: settings.latency,
                    tallies: series.tallies(at),
                };
                report.rows.insert(key, row);
            }
        }
        report
    }

    /// Takes a snapshot for a restart, where `wall` is the wall clock at `now`. Drops the rows
    /// without a request in the last three days.
    pub fn snapshot(&mut self, now: Time, wall: WallTime) -> Snapshot {
        let at = self.clock(now);
        for customers in self.state.series.values_mut() {
            customers.retain(|_, series| !series.is_expired(at));
        }
        self.state.series.retain(|_, customers| !customers.is_empty());
        Snapshot { at, wall, state: self.state.clone() }
    }

    /// Restores a snapshot; the time since it was taken counts as an outage. Requests that were
    /// already counted in this process are lost, so call this before the first request.
    ///
    /// If the wall clock was set back, the outage is assumed to have no duration.
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

    /// The part of a window in which requests were counted.
    fn covered(&self, at: u64, window: Window) -> Duration {
        let span = u64::try_from(window.span().as_nanos()).unwrap_or(u64::MAX);
        let start = at.saturating_sub(span).max(self.state.since);
        let outage = |(from, to): &(u64, u64)| to.saturating_sub((*from).max(start));
        let uncounted: u64 = self.state.outages.iter().map(outage).sum();
        Duration::from_nanos(at.saturating_sub(start).saturating_sub(uncounted))
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

/// Whether a request is good; `None` if it is neither good nor bad.
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
