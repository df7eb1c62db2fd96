//! The time windows of burn rates, and the rings of buckets that cover them.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::symbols;

symbols! {
    /// A time window that ends now.
    pub enum Window {
        /// Five minutes: whether a fast burn is still going on.
        FiveMinutes = "5m",
        /// An hour: detects fast burn.
        Hour = "1h",
        /// Six hours: whether a slow burn is still going on.
        SixHours = "6h",
        /// Three days: detects slow burn; also the period of the error budget.
        ThreeDays = "3d",
    }
}

/// The number of buckets in a window, including the one that is being filled.
const BUCKETS_PER_WINDOW: u64 = 60;

const NANOS_PER_SECOND: u64 = 1_000_000_000;

impl Window {
    /// The length of the window.
    pub const fn span(self) -> Duration {
        Duration::from_nanos(self.bucket_nanos() * BUCKETS_PER_WINDOW)
    }

    /// The length of a bucket, in nanoseconds.
    const fn bucket_nanos(self) -> u64 {
        match self {
            Self::FiveMinutes => 5 * NANOS_PER_SECOND,
            Self::Hour => 60 * NANOS_PER_SECOND,
            Self::SixHours => 6 * 60 * NANOS_PER_SECOND,
            Self::ThreeDays => 72 * 60 * NANOS_PER_SECOND,
        }
    }
}

/// The numbers of good and bad requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that were served within the service's latency objective.
    pub good: u64,
    /// Requests that were served too late or not at all, or whose outcome is unknown.
    pub bad: u64,
}

impl Tally {
    /// Adds another tally.
    pub fn add(&mut self, other: Self) {
        self.good += other.good;
        self.bad += other.bad;
    }

    /// The total number of requests.
    pub fn total(self) -> u64 {
        self.good + self.bad
    }
}

/// The buckets of one window, oldest first; the last is being filled.
///
/// Empty buckets aren't stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Ring {
    /// Each bucket with its number: its start divided by the length of a bucket.
    buckets: VecDeque<(u64, Tally)>,
}

impl Ring {
    pub(super) fn record(&mut self, at: u64, window: Window, good: bool) {
        let number = at / window.bucket_nanos();
        self.trim(number);
        if self.buckets.back().is_none_or(|(newest, _)| *newest < number) {
            self.buckets.push_back((number, Tally::default()));
        }
        if let Some((_, tally)) = self.buckets.back_mut() {
            match good {
                true => tally.good += 1,
                false => tally.bad += 1,
            }
        }
    }

    pub(super) fn total(&self, at: u64, window: Window) -> Tally {
        let newest = at / window.bucket_nanos();
        let mut total = Tally::default();
        for (number, tally) in &self.buckets {
            if number + BUCKETS_PER_WINDOW > newest {
                total.add(*tally);
            }
        }
        total
    }

    /// Whether all buckets have left the window.
    pub(super) fn is_expired(&self, at: u64, window: Window) -> bool {
        self.buckets
            .back()
            .is_none_or(|(number, _)| number + BUCKETS_PER_WINDOW <= at / window.bucket_nanos())
    }

    fn trim(&mut self, number: u64) {
        while self.buckets.front().is_some_and(|(oldest, _)| oldest + BUCKETS_PER_WINDOW <= number)
        {
            self.buckets.pop_front();
        }
    }
}
