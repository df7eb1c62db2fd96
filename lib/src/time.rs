//! Points in time, which are passed as arguments: the decision logic reads no clock.

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

    /// The time elapsed since `earlier`; zero if `earlier` is in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// The time remaining until `later`; zero if `later` has passed.
    pub fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)))
    }
}

/// The earlier of two optional deadlines.
pub fn earliest(a: Option<Time>, b: Option<Time>) -> Option<Time> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// It is shown to operators and bounds how long records are kept; no lease or timeout relies on it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);
