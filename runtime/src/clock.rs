//! The process's clocks, read at the edge only.

use std::time::{SystemTime, UNIX_EPOCH};

use hickorylink_lib::time::{Time, WallTime};
use nix::time::{ClockId, clock_gettime};

/// Nanoseconds in a second and in a millisecond.
const NANOS_PER_SECOND: u64 = 1_000_000_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// The monotonic clock, counted from the start of the process.
///
/// It also counts while the machine is suspended: a lease must not look valid to a process that
/// slept through its end.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: u64,
    wall: WallTime,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: boot_nanos(), wall: wall_now() }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        Time::from_nanos(boot_nanos().saturating_sub(self.start))
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

/// The wall clock.
pub fn wall_now() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// # Panics
///
/// If the system has no boot-time clock, which every supported kernel has.
fn boot_nanos() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has a boot-time clock");
    let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
    seconds * NANOS_PER_SECOND + u64::try_from(time.tv_nsec()).unwrap_or(0)
}
