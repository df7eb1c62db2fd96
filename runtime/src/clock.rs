//! The clocks of the process. Only this crate reads them; the library is given the time.

use std::time::{SystemTime, UNIX_EPOCH};

use hickorylink_lib::time::{Time, WallTime};
use nix::time::{ClockId, clock_gettime};

const NANOS_PER_SECOND: u64 = 1_000_000_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// A monotonic clock that counts from the start of the process.
///
/// It includes the time during which the machine is suspended. Otherwise a lease that expired
/// during a suspension would still look valid afterwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: u64,
    wall: WallTime,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { start: boot_nanos(), wall: wall_now() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Time {
        Time::from_nanos(boot_nanos().saturating_sub(self.start))
    }

    /// Returns the wall-clock time at the start.
    pub fn wall(&self) -> WallTime {
        self.wall
    }

    /// Returns the wall-clock time at `now`, assuming that the wall clock hasn't been adjusted since
    /// the start.
    pub fn wall_at(&self, now: Time) -> WallTime {
        WallTime(self.wall.0.saturating_add(now.as_nanos() / NANOS_PER_MILLI))
    }
}

/// Reads the wall clock.
pub fn wall_now() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Reads the boot-time clock, in nanoseconds.
///
/// # Panics
///
/// If the system has no boot-time clock; every supported kernel has one.
fn boot_nanos() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has a boot-time clock");
    let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
    seconds * NANOS_PER_SECOND + u64::try_from(time.tv_nsec()).unwrap_or(0)
}
