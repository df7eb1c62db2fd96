//! The measurements of an experiment.

use hdrhistogram::Histogram;
use hickorylink_lib::interference::port::Counters;

use crate::experiment::{setup::Setup, strategy::Strategy};

/// The upper bound of the histograms: a latency of 10 s, or 10,000 times the latency objective.
/// Larger values count as this one.
const MAX_VALUE: u64 = 10_000_000;

/// The measurements of one run of a strategy, without the warm-up.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The strategy that placed the batch tasks.
    pub strategy: Strategy,
    /// The seed of the load and the interference.
    pub seed: u64,
    /// Latencies of all requests, in microseconds.
    pub latencies: Histogram<u64>,
    /// Latencies of all requests, in thousandths of the latency objective of their service.
    pub ratios: Histogram<u64>,
    /// Requests served within the latency objective.
    pub good: u64,
    /// Completed batch tasks.
    pub done: u64,
    /// Evictions of batch tasks.
    pub evictions: u64,
    /// Changes of a task's throttle, up and down.
    pub throttles: u64,
    /// The length of the queue, summed over the seconds.
    pub queued: u64,
    /// Tasks that were queued at the end.
    pub unfinished: u64,
    /// The policy's counters of samples.
    pub counters: Counters,
    /// The measured time, without the warm-up.
    seconds: u64,
}

/// The summary of a run.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Summary {
    /// The median latency, in milliseconds.
    pub p50: f64,
    /// The 99th percentile, in milliseconds.
    pub p99: f64,
    /// The 99.9th percentile, in milliseconds.
    pub p999: f64,
    /// The 99th percentile of the ratio of a request's latency to its service's objective.
    pub p99_ratio: f64,
    /// Requests that missed the latency objective, in thousandths.
    pub bad_permille: f64,
    /// Completed batch tasks per hour.
    pub hourly_done: f64,
    /// Evictions per hour.
    pub hourly_evictions: f64,
    /// Changes of throttles per hour.
    pub hourly_throttles: f64,
    /// The mean queue length.
    pub mean_queue: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_VALUE, 3).expect("the bounds are in order")
}

impl Outcome {
    /// An outcome without measurements.
    pub(crate) fn new(setup: &Setup, strategy: Strategy, seed: u64) -> Self {
        Self {
            strategy,
            seed,
            latencies: histogram(),
            ratios: histogram(),
            good: 0,
            done: 0,
            evictions: 0,
            throttles: 0,
            queued: 0,
            unfinished: 0,
            counters: Counters::default(),
            seconds: setup.seconds.saturating_sub(setup.warmup).max(1),
        }
    }

    /// Records requests with these latencies, in seconds, of a service with this objective.
    pub(crate) fn record(&mut self, latencies: &[f64], objective: f64) {
        for latency in latencies {
            self.latencies.saturating_record((latency * 1e6) as u64);
            self.ratios.saturating_record((latency / objective * 1e3) as u64);
            self.good += u64::from(*latency <= objective);
        }
    }

    /// Adds the measurements of another data centre over the same period.
    pub(crate) fn add(&mut self, other: &Self) {
        self.latencies.add(&other.latencies).expect("the bounds are the same");
        self.ratios.add(&other.ratios).expect("the bounds are the same");
        self.good += other.good;
        self.done += other.done;
        self.evictions += other.evictions;
        self.throttles += other.throttles;
        self.queued += other.queued;
        self.unfinished += other.unfinished;
        self.counters.counted += other.counters.counted;
        self.counters.unknown += other.counters.unknown;
        self.counters.old += other.counters.old;
        self.counters.duplicate += other.counters.duplicate;
        self.counters.overflow += other.counters.overflow;
    }

    /// The summary of the measurements.
    pub fn summary(&self) -> Summary {
        let hours = self.seconds as f64 / 3_600.0;
        let millis = |quantile| self.latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        let requests = self.latencies.len().max(1) as f64;
        Summary {
            p50: millis(0.5),
            p99: millis(0.99),
            p999: millis(0.999),
            p99_ratio: self.ratios.value_at_quantile(0.99) as f64 / 1_000.0,
            bad_permille: 1_000.0 * (1.0 - self.good as f64 / requests),
            hourly_done: self.done as f64 / hours,
            hourly_evictions: self.evictions as f64 / hours,
            hourly_throttles: self.throttles as f64 / hours,
            mean_queue: self.queued as f64 / self.seconds as f64,
        }
    }
}
