//! The health of a worker, as its runs show it.

use std::time::Duration;

use crate::{jobs::model::JobId, time::Time};

/// The recent outcomes of a worker's runs.
#[derive(Debug, Default)]
pub struct Health {
    /// The number of consecutive failed runs of different jobs.
    pub failures: u32,
    /// The job of the last failed run.
    pub last_failed: Option<JobId>,
    /// No runs are started on the worker before this time.
    pub avoid_until: Option<Time>,
    /// Since when its serving tasks have been slow.
    pub slow_since: Option<Time>,
    /// Whether they have been slow for long enough to move runs away.
    pub slow: bool,
}

/// The number of consecutive failures of different jobs after which a worker is avoided.
const MAX_FAILURES: u32 = 3;

/// How long the serving tasks of a worker must be slow before runs are moved away from it.
const SLOW_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a worker is avoided after too many failures, a stalled run or slow tasks.
const AVOIDANCE: Duration = Duration::from_secs(6);

impl Health {
    /// Records that a run completed its task.
    pub fn record_done(&mut self) {
        self.failures = 0;
        self.last_failed = None;
    }

    /// Records a failed run.
    pub fn record_failure(&mut self, now: Time, job: JobId) {
        if self.last_failed != Some(job) {
            self.failures += 1;
            self.last_failed = Some(job);
        }
        if self.failures >= MAX_FAILURES {
            self.avoid_until = Some(now + AVOIDANCE);
            // After this period, a single further failure is enough to avoid the worker again.
            self.failures = MAX_FAILURES - 1;
        }
    }

    /// Records a stalled run.
    pub fn record_stall(&mut self, now: Time) {
        self.avoid_until = Some(now + AVOIDANCE);
    }

    /// Records whether its serving tasks are slow.
    pub fn record_speed(&mut self, now: Time, slow: bool) {
        self.slow_since = if slow { self.slow_since.or(Some(now)) } else { None };
        self.slow = self.slow_since.is_some_and(|since| now.since(since) >= SLOW_TIMEOUT);
        if self.slow {
            self.avoid_until = Some(now + AVOIDANCE);
        }
    }

    /// Whether runs may be started on the worker.
    pub fn is_healthy(&self, now: Time) -> bool {
        self.avoid_until.is_none_or(|until| until <= now)
    }
}
