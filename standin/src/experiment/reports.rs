//! Samples on their way: late, out of order, twice or never.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{time::Time, worker::Sample};

use crate::experiment::draw::Draw;

/// The part of samples that are lost, delivered twice, and very late.
const LOST: f64 = 0.01;
const TWICE: f64 = 0.02;
const STRAGGLING: f64 = 0.05;
/// How late a sample is, in seconds, usually and when it straggles.
const LAG: (f64, f64) = (0.5, 6.0);
const STRAGGLER_LAG: (f64, f64) = (6.0, 25.0);

/// A sample that was taken on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    /// When it was taken.
    pub(crate) taken: Time,
    /// The worker's number.
    pub(crate) host: usize,
    /// The sample; its age is filled in when it is delivered.
    pub(crate) sample: Sample,
}

/// The samples on their way.
#[derive(Clone, Debug)]
pub(crate) struct Reports {
    flying: BTreeMap<(Time, u64), Report>,
    next: u64,
    draw: Draw,
}

impl Reports {
    /// Nothing on its way.
    pub(crate) fn new(seed: u64) -> Self {
        Self { flying: BTreeMap::new(), next: 0, draw: Draw::new(seed, 3) }
    }

    /// Sends a sample.
    pub(crate) fn send(&mut self, report: &Report) {
        if self.draw.chance(LOST) {
            return;
        }
        let copies = if self.draw.chance(TWICE) { 2 } else { 1 };
        for _ in 0..copies {
            let (least, most) = if self.draw.chance(STRAGGLING) { STRAGGLER_LAG } else { LAG };
            let lag = Duration::from_secs_f64(self.draw.between(least, most));
            self.next += 1;
            self.flying.insert((report.taken + lag, self.next), report.clone());
        }
    }

    /// Takes out the next sample that has arrived by `now`.
    pub(crate) fn deliver(&mut self, now: Time) -> Option<Report> {
        let entry = self.flying.first_entry()?;
        let (due, _) = *entry.key();
        if due > now {
            return None;
        }
        let mut report = entry.remove();
        report.sample.age = now.since(report.taken);
        Some(report)
    }
}
