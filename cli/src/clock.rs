//! The process's clocks, read at the edge only.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use hickorylink_lib::time::{Time, WallTime};

/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: u64 = 1_000_000;

/// The monotonic clock, counted from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall: WallTime,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now(), wall: wall_now() }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        Time::from_nanos(u64::try_from(self.start.elapsed().as_nanos()).unwrap_or(u64::MAX))
    }

    /// The wall clock at the start.
    pub fn wall(&self) -> WallTime {
        self.wall
    }

    /// The wall clock at `now`, if nobody has set it since the start.
    pub fn wall_at(&self, now: Time) -> WallTime {
        WallTime(self.wall.0.saturating_add(now.as_nanos() / NANOS_PER_MILLI))
    }
}

fn wall_now() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
