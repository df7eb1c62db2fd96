//! How long the heartbeats and announcements of workers were in transit.
//!
//! The clock of a worker and that of the leader have different origins. The fastest heartbeats tell
//! the offset between them, and how much later than these another one has arrived is the time that it
//! was held up.

use std::time::Duration;

use crate::time::Time;

/// Workers drop a response that arrives later than this after they have sent the heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The clock of a worker may be slower than the leader's by one part in this many.
const MAX_DRIFT_DIVISOR: u32 = 40;

/// The difference between the delays of two heartbeats in a row up to which they confirm each other.
const CONFIRMING_DIFFERENCE: Duration = Duration::from_millis(500);

/// The number of heartbeats in a row without confirmation after which the next one counts as confirmed:
/// the delays on a busy leader may vary for a while.
const MAX_UNCONFIRMED: u32 = 4;

/// Delays that differ by less than this are the same.
const SAME_DELAY: Duration = Duration::from_millis(250);

/// The number of heartbeats in a row with the same delay after which the worker's clock is taken to
/// have stopped for that time, as that of a suspended machine does.
const MAX_DELAYED: u32 = 4;

/// What the arrival of a heartbeat says of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The worker waits for the response.
    Timely,
    /// Not known: the offset of the clocks is that of a single heartbeat, which may have been held up.
    Unconfirmed,
    /// The worker no longer waits for the response, and it may have gone down meanwhile.
    Late,
}

/// The offset between the clocks of a worker and of the leader.
#[derive(Clone, Copy, Debug)]
pub struct Transit {
    /// The leader's time at which a heartbeat arrived that wasn't held up.
    arrived: Time,
    /// The worker's clock in that heartbeat.
    sent: Duration,
    /// The number of heartbeats in a row that haven't confirmed the offset; `None` once it is
    /// confirmed.
    unconfirmed: Option<u32>,
    /// The delay of the last heartbeat that was late, and the number in a row with this delay.
    delayed: Option<(Duration, u32)>,
}

impl Transit {
    /// The offset that the first heartbeat of an incarnation shows.
    pub fn new(now: Time, clock: Duration) -> Self {
        Self { arrived: now, sent: clock, unconfirmed: Some(1), delayed: None }
    }

    /// Classifies a heartbeat that arrives now, with this clock of the worker.
    pub fn arrive(&mut self, now: Time, clock: Duration) -> Arrival {
        let elapsed = now.since(self.arrived);
        if let Some(count) = self.unconfirmed {
            let same = self.sent.saturating_add(elapsed).abs_diff(clock) < CONFIRMING_DIFFERENCE;
            let confirmed = same || count >= MAX_UNCONFIRMED;
            let unconfirmed = (!confirmed).then_some(count + 1);
            *self = Self { unconfirmed, ..Self::new(now, clock) };
            return if confirmed { Arrival::Timely } else { Arrival::Unconfirmed };
        }
        // A heartbeat that others have overtaken tells an earlier clock than theirs.
        let delay = self.sent.saturating_add(elapsed).saturating_sub(clock);
        let drift = elapsed / MAX_DRIFT_DIVISOR;
        if delay <= RESPONSE_TIMEOUT + drift {
            if delay <= drift {
                (self.arrived, self.sent) = (now, clock);
            }
            self.delayed = None;
            return Arrival::Timely;
        }
        let before = self.delayed.filter(|(before, _)| before.abs_diff(delay) < SAME_DELAY);
        let count = before.map_or(1, |(_, count)| count + 1);
        self.delayed = Some((delay, count));
        if count < MAX_DELAYED {
            return Arrival::Late;
        }
        *self = Self { unconfirmed: None, ..Self::new(now, clock) };
        Arrival::Timely
    }
}
