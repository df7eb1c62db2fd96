//! The delivery of samples: delayed, reordered, duplicated or lost.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{time::Time, worker::Sample};

use crate::experiment::random::Random;

/// The probability that a sample is lost.
const LOSS_PROBABILITY: f64 = 0.01;
/// The probability that a sample is delivered twice.
const DUPLICATE_PROBABILITY: f64 = 0.02;
/// The probability that a copy of a sample is a straggler.
const STRAGGLER_PROBABILITY: f64 = 0.05;
/// The bounds of the delay of a sample, in seconds.
const DELAY_S: (f64, f64) = (0.5, 6.0);
/// The bounds of the delay of a straggler, in seconds.
const STRAGGLER_DELAY_S: (f64, f64) = (6.0, 25.0);

/// A sample that was taken on a worker.
#[derive(Clone, Debug)]
pub(crate) struct SampleReport {
    /// When it was taken.
    pub(crate) taken: Time,
    /// The index of the worker.
    pub(crate) host: usize,
    /// The sample; its age is set on delivery.
    pub(crate) sample: Sample,
}

/// The samples in flight.
#[derive(Clone, Debug)]
pub(crate) struct Delivery {
    in_flight: BTreeMap<(Time, u64), SampleReport>,
    next: u64,
    random: Random,
}

impl Delivery {
    /// A channel without samples.
    pub(crate) fn new(seed: u64) -> Self {
        Self { in_flight: BTreeMap::new(), next: 0, random: Random::new(seed, 3) }
    }

    /// Sends a sample; it may be lost or duplicated.
    pub(crate) fn send(&mut self, report: &SampleReport) {
        if self.random.chance(LOSS_PROBABILITY) {
            return;
        }
        let copies = if self.random.chance(DUPLICATE_PROBABILITY) { 2 } else { 1 };
        for _ in 0..copies {
            let (min, max) =
                if self.random.chance(STRAGGLER_PROBABILITY) { STRAGGLER_DELAY_S } else { DELAY_S };
            let delay = Duration::from_secs_f64(self.random.between(min, max));
            self.next += 1;
            self.in_flight.insert((report.taken + delay, self.next), report.clone());
        }
    }

    /// Removes the next sample that is due by `now`.
    pub(crate) fn deliver(&mut self, now: Time) -> Option<SampleReport> {
        let entry = self.in_flight.first_entry()?;
        let (due, _) = *entry.key();
        if due > now {
            return None;
        }
        let mut report = entry.remove();
        report.sample.age = now.since(report.taken);
        Some(report)
    }
}
