//! Pauses of the process, in which it or its machine was suspended.
//!
//! A request that is read just after a pause may have waited in its socket from the beginning of the pause on.

use std::time::Duration;

use crate::time::Time;

/// The shortest gap that counts as a pause. Some thread of an instance that runs wakes more often.
const MIN_PAUSE: Duration = Duration::from_millis(1500);

/// How long after a pause the requests are read that have arrived during it.
const READ_TIME: Duration = Duration::from_millis(250);

/// The latest pause of the process.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    /// When the process was last known to run.
    running: Time,
    latest: Option<Pause>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    from: Time,
    to: Time,
}

impl Pauses {
    /// No pause yet.
    pub fn new(now: Time) -> Self {
        Self { running: now, latest: None }
    }

    /// Records that the process runs. It has to be called more often than a pause lasts.
    pub fn record(&mut self, now: Time) {
        if now.since(self.running) >= MIN_PAUSE {
            self.latest = Some(Pause { from: self.running, to: now });
        }
        self.running = self.running.max(now);
    }

    /// The earliest time at which a request that is read now may have arrived.
    pub fn arrival(&mut self, now: Time) -> Time {
        self.record(now);
        let pause = self.latest.filter(|pause| now.since(pause.to) < READ_TIME);
        pause.map_or(now, |pause| pause.from)
    }
}
