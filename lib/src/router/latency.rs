//! Latency statistics: a peak-sensitive moving average per target, quantiles per service.

use std::time::Duration;

use crate::time::Time;

/// The time in which the weight of a sample decays to 1/e.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// The assumed latency of a target without samples.
const INITIAL_LATENCY: Duration = Duration::from_millis(1);

/// An exponentially weighted moving average that rises to a higher sample immediately and decays
/// slowly.
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

    /// The average as of the last sample.
    pub(super) fn last_seconds(&self) -> f64 {
        self.seconds
    }

    /// The average, decayed by the time since the last sample. The decay lets a slow target that
    /// receives no requests be used again after a while.
    pub(super) fn seconds(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        let weight = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        (self.seconds * weight).max(INITIAL_LATENCY.as_secs_f64())
    }
}

/// The number of histogram buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: u32 = 8;

/// The lowest latency that the histogram distinguishes, in microseconds.
const MIN_LATENCY_US: f64 = 10.0;

/// The number of doublings covered by the histogram, up to about 3 hours.
const DOUBLINGS: u32 = 30;

/// All counts are halved when this many samples are retained, so that recent samples weigh more.
const MAX_SAMPLES: u64 = 4_096;

/// The median estimate halves for each such period without a sample. Without this, a period of
/// high latency would lead to the refusal of all further requests, and the estimate would never
/// be corrected.
const MEDIAN_HALF_LIFE: Duration = Duration::from_secs(1);

/// A histogram of a service's recent latencies.
#[derive(Clone, Debug)]
pub(super) struct LatencyHistogram {
    counts: Vec<u32>,
    /// The sum of the counts.
    retained: u64,
    /// The number of samples ever observed.
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

    /// The number of samples ever observed.
    pub(super) fn total(&self) -> u64 {
        self.total
    }

    /// The median latency, halved for each [`MEDIAN_HALF_LIFE`] since the last sample.
    pub(super) fn median(&self, now: Time) -> Duration {
        let half_lives = now.since(self.updated).as_secs_f64() / MEDIAN_HALF_LIFE.as_secs_f64();
        self.median.mul_f64((-half_lives.floor()).exp2())
    }

    /// The 95th percentile of the latency.
    pub(super) fn p95(&self) -> Duration {
        self.p95
    }

    fn quantile(&self, fraction: f64) -> Duration {
        let rank = (self.retained as f64 * fraction).ceil();
        let mut cumulative = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            cumulative += f64::from(*count);
            if cumulative >= rank {
                let upper = (bucket + 1) as f64 / f64::from(BUCKETS_PER_DOUBLING);
                return Duration::from_secs_f64(MIN_LATENCY_US * upper.exp2() / 1e6);
            }
        }
        Duration::ZERO
    }
}

/// The number of samples after which the quantiles are recomputed.
const REFRESH_SAMPLES: u64 = 32;
