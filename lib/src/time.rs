//! Time as the decisions see it: an argument, never a clock that is read.

use std::{ops::Add, time::Duration};

use serde::{Deserialize, Serialize};

/// A point on a process's monotonic clock, in nanoseconds since an arbitrary start.
///
/// Times of two processes can't be compared: only durations cross the network.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(u64);

impl Time {
    /// The time `nanos` nanoseconds after the start.
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// The time `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }

    /// Nanoseconds since the start.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// How long ago `earlier` was; zero if it is still to come.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// How long it is until `later`; zero if it has passed.
    pub fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

/// The earlier of two optional deadlines.
pub fn earliest(a: Option<Time>, b: Option<Time>) -> Option<Time> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Wall-clock time in milliseconds since the Unix epoch, for operators to read.
///
/// No lease or timeout counts on it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);
