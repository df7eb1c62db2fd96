//! What an experiment measures.

use hdrhistogram::Histogram;
use hickorylink_lib::interference::port::Counters;

use crate::experiment::{setup::Setup, strategy::Strategy};

/// The largest latency that is told apart, in microseconds; larger ones count as this.
const MOST_MICROS: u64 = 10_000_000;

/// What one run of one strategy came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The strategy.
    pub strategy: Strategy,
    /// The seed.
    pub seed: u64,
    /// Latencies of all requests, in microseconds.
    pub latencies: Histogram<u64>,
    /// Latencies of all requests, in thousandths of the good latency of their service.
    pub ratios: Histogram<u64>,
    /// Requests answered within the good latency.
    pub good: u64,
    /// Batch tasks done.
    pub done: u64,
    /// Evictions.
    pub evictions: u64,
    /// Throttles asked for, up and down.
    pub throttles: u64,
    /// Queued tasks, summed over the seconds.
    pub queued: u64,
    /// Tasks that waited at the end.
    pub unfinished: u64,
    /// What became of the samples.
    pub counters: Counters,
    /// Seconds that count.
    seconds: u64,
}

/// The figures of a run.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Figures {
    /// The median latency, in milliseconds.
    pub p50: f64,
    /// The 99th percentile, in milliseconds.
    pub p99: f64,
    /// The 99.9th percentile, in milliseconds.
    pub p999: f64,
    /// The 99th percentile of latencies over the good latency of their service.
    pub p99_ratio: f64,
    /// Requests that were not good, in thousandths.
    pub bad_permille: f64,
    /// Batch tasks done in an hour.
    pub hourly_done: f64,
    /// Evictions in an hour.
    pub hourly_evictions: f64,
    /// Throttles asked for in an hour.
    pub hourly_throttles: f64,
    /// The mean length of the queue.
    pub mean_queue: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MOST_MICROS, 3).expect("the bounds are in order")
}

impl Outcome {
    /// Nothing measured yet.
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

    /// Counts requests with these latencies, in seconds.
    pub(crate) fn record(&mut self, latencies: &[f64], good: f64) {
        for latency in latencies {
            self.latencies.saturating_record((latency * 1e6) as u64);
            self.ratios.saturating_record((latency / good * 1e3) as u64);
            self.good += u64::from(*latency <= good);
        }
    }

    /// Adds what another data centre measured at the same time.
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

    /// The figures.
    pub fn figures(&self) -> Figures {
        let hours = self.seconds as f64 / 3_600.0;
        let millis = |quantile| self.latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        let requests = self.latencies.len().max(1) as f64;
        Figures {
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
