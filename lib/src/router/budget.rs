//! Retry budgets: they limit retries and hedges to a fraction of a customer's requests.

use std::time::Duration;

use crate::time::Time;

/// The number of retries that a customer may have within two windows however few its requests are,
/// if its plan allows retries.
const MIN_RETRIES: u64 = 3;

const PERMILLE: u64 = 1_000;

/// One customer's requests and retries in the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Budget {
    /// The start of the current window.
    start: Time,
    current: Counts,
    previous: Counts,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u64,
    retries: u64,
}

impl Budget {
    pub(super) fn count_request(&mut self, now: Time, window: Duration) {
        self.roll(now, window);
        self.current.requests += 1;
    }

    pub(super) fn count_retry(&mut self, now: Time, window: Duration) {
        self.roll(now, window);
        self.current.retries += 1;
    }

    /// Whether one more retry keeps the retries within `permille` of the requests.
    pub(super) fn allows(&self, now: Time, window: Duration, permille: u32) -> bool {
        let mut counts = *self;
        counts.roll(now, window);
        let requests = counts.current.requests + counts.previous.requests;
        let retries = counts.current.retries + counts.previous.retries;
        let allowed = (requests * u64::from(permille) / PERMILLE).max(MIN_RETRIES);
        permille > 0 && retries < allowed
    }

    fn roll(&mut self, now: Time, window: Duration) {
        let passed = now.since(self.start);
        if passed < window {
            return;
        }
        let adjoins = passed < window * 2;
        self.previous = if adjoins { self.current } else { Counts::default() };
        self.current = Counts::default();
        self.start = if adjoins { self.start + window } else { now };
    }
}
