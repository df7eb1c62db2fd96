//! The size of the starts in a response, adapted to what reaches the worker.

/// The smallest window. It holds several starts of any job.
const MIN_WINDOW_BYTES: usize = 64 << 10;

/// How many bytes of starts a response to a worker may carry.
///
/// A response that takes too long doesn't count for the worker, and neither does the lease in it. The
/// window is halved when starts didn't arrive, so that a slow connection to a worker costs time but
/// not its other runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveryWindow {
    bytes: usize,
    /// Whether the last response carried starts, and the next heartbeat will tell whether they arrived.
    pending: bool,
}

impl Default for DeliveryWindow {
    fn default() -> Self {
        Self { bytes: usize::MAX, pending: false }
    }
}

impl DeliveryWindow {
    /// The size of the window, which is at most `max`.
    pub fn bytes(&self, max: usize) -> usize {
        self.bytes.min(max)
    }

    /// Records that starts were sent.
    pub fn record_sent(&mut self) {
        self.pending = true;
    }

    /// Records whether the starts that were sent have arrived.
    pub fn record_outcome(&mut self, arrived: bool, max: usize) {
        if !std::mem::take(&mut self.pending) {
            return;
        }
        let window = self.bytes(max);
        self.bytes =
            if arrived { window.saturating_mul(2) } else { (window / 2).max(MIN_WINDOW_BYTES) };
    }
}
