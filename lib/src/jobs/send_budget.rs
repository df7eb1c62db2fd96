//! A limit on the rate at which bytes are sent.

use std::time::Duration;

use crate::time::Time;

/// The time for which unused budget accumulates.
const BURST: Duration = Duration::from_millis(100);

/// A token bucket of bytes. What exceeds the budget at once is paid off before more is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendBudget {
    bytes_per_second: u64,
    /// The bytes that may be sent now; negative while a debt is paid off.
    available: i64,
    refilled: Time,
}

impl SendBudget {
    /// A full budget that is refilled at this rate.
    pub fn new(bytes_per_second: u64, now: Time) -> Self {
        let budget = Self { bytes_per_second, available: 0, refilled: now };
        Self { available: budget.accrued(BURST), ..budget }
    }

    /// Adds what has accrued since the last refill.
    pub fn refill(&mut self, now: Time) {
        let accrued = self.accrued(now.since(self.refilled));
        if accrued > 0 {
            self.available = self.available.saturating_add(accrued).min(self.accrued(BURST));
            self.refilled = now;
        }
    }

    /// Whether nothing may be sent until the budget is refilled.
    pub fn is_spent(&self) -> bool {
        self.available <= 0
    }

    /// Takes the bytes of a message from the budget.
    pub fn spend(&mut self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.available = self.available.saturating_sub(bytes);
    }

    fn accrued(&self, span: Duration) -> i64 {
        let bytes = u128::from(self.bytes_per_second) * span.as_millis() / 1000;
        i64::try_from(bytes).unwrap_or(i64::MAX)
    }
}
