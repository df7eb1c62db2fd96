//! What is learned of latencies: a peak-sensitive average of a target, quantiles of a service.

use std::time::Duration;

use crate::time::Time;

/// The time in which the weight of a latency falls to 1/e.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// The latency that a target without answers is taken to have.
const INITIAL_LATENCY: Duration = Duration::from_millis(1);

/// An average that jumps up to a higher sample at once and comes down slowly.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeakEwma {
    seconds: f64,
    updated: Time,
}

impl PeakEwma {
    pub(super) fn new(now: Time) -> Self {
        Self { seconds: INITIAL_LATENCY.as_secs_f64(), updated: now }
    }

    pub(super) fn observe(&mut self, now: Time, sample: Duration) {
        let sample = sample.as_secs_f64();
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        let weight = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        if sample >= self.seconds * weight {
            self.seconds = sample;
            return;
        }
        self.seconds = self.seconds * weight + sample * (1.0 - weight);
    }

    /// The average at the last sample.
    pub(super) fn last_seconds(&self) -> f64 {
        self.seconds
    }

    /// The average, less what has been forgotten since the last sample: a target that was slow
    /// and therefore gets no requests is tried again after a while.
    pub(super) fn seconds(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        let weight = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        (self.seconds * weight).max(INITIAL_LATENCY.as_secs_f64())
    }
}

/// Steps of the histogram in each doubling of the latency.
const BUCKETS_PER_DOUBLING: u32 = 8;

/// The lowest latency that is told apart, in microseconds.
const MIN_LATENCY_US: f64 = 10.0;

/// Doublings from the lowest latency to the highest, about 3 hours.
const DOUBLINGS: u32 = 30;

/// When this many samples are retained, all counts are halved.
const MAX_SAMPLES: u64 = 4_096;

/// An estimate halves for each such span without a sample, so that a bad spell is forgotten
/// although it makes every request look hopeless.
const MEDIAN_HALF_LIFE: Duration = Duration::from_secs(1);

/// Recent latencies of a service.
#[derive(Clone, Debug)]
pub(super) struct LatencyHistogram {
    counts: Vec<u32>,
    retained: u64,
    total: u64,
    updated: Time,
    median: Duration,
    p95: Duration,
}

impl LatencyHistogram {
    pub(super) fn new() -> Self {
        Self {
            counts: vec![0; (BUCKETS_PER_DOUBLING * DOUBLINGS) as usize],
            retained: 0,
            total: 0,
            updated: Time::default(),
            median: Duration::ZERO,
            p95: Duration::ZERO,
        }
    }

    pub(super) fn observe(&mut self, now: Time, sample: Duration) {
        let micros = (sample.as_secs_f64() * 1e6).max(MIN_LATENCY_US);
        let bucket = ((micros / MIN_LATENCY_US).log2() * f64::from(BUCKETS_PER_DOUBLING)) as usize;
        let last = self.counts.len() - 1;
        self.counts[bucket.min(last)] += 1;
        self.retained += 1;
        self.total += 1;
        self.updated = now;
        if self.retained >= MAX_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.retained = self.counts.iter().map(|count| u64::from(*count)).sum();
        }
        if self.total.is_power_of_two() || self.total.is_multiple_of(REFRESH_SAMPLES) {
            self.median = self.quantile(0.5);
            self.p95 = self.quantile(0.95);
        }
    }

    /// Samples ever seen.
    pub(super) fn total(&self) -> u64 {
        self.total
    }

    /// The time that half the requests take, less what has been forgotten since the last sample.
    pub(super) fn median(&self, now: Time) -> Duration {
        let spans = now.since(self.updated).as_secs_f64() / MEDIAN_HALF_LIFE.as_secs_f64();
        self.median.mul_f64((-spans.floor()).exp2())
    }

    /// The time that 95% of the requests stay under.
    pub(super) fn p95(&self) -> Duration {
        self.p95
    }

    fn quantile(&self, fraction: f64) -> Duration {
        let wanted = (self.retained as f64 * fraction).ceil();
        let mut seen = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += f64::from(*count);
            if seen >= wanted {
                let upper = (bucket + 1) as f64 / f64::from(BUCKETS_PER_DOUBLING);
                return Duration::from_secs_f64(MIN_LATENCY_US * upper.exp2() / 1e6);
            }
        }
        Duration::ZERO
    }
}

/// The quantiles are read off again after this many samples.
const REFRESH_SAMPLES: u64 = 32;
