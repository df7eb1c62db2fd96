//! The daemon's duties, a thread each.

use std::{io, thread, time::Duration};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use hickorylink_lib::{instance::port::Output, time::Time};

use crate::{clock::Clock, outboxes::Outboxes};

pub mod counts;
pub mod dispatch;
pub mod front;
pub mod log_events;
pub mod peers;
pub mod replicated_log;
pub mod router;
pub mod scheduler;
pub mod storage;

/// How long a duty waits before it tries again to pass on what waits in its outboxes.
const RETRY_DELAY: Duration = Duration::from_millis(1);

/// The longest wait of a duty without a deadline.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// How many items a duty takes from its ring before it passes its outputs on.
const MAX_BATCH: usize = 64;

/// Starts a duty's thread.
///
/// # Errors
///
/// The system starts no more threads.
pub fn spawn(
    name: &str,
    duty: impl FnOnce() + Send + 'static,
) -> io::Result<thread::JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(duty)
}

/// Runs a machine behind a ring until every sender is gone.
///
/// `turn` takes the items that came, lets the machine act on them and on its deadline if that
/// has passed, and gives the next deadline.
pub fn run<T>(
    ring: &Receiver<T>,
    clock: Clock,
    mut outboxes: Outboxes,
    mut turn: impl FnMut(Time, Vec<T>, &mut Outboxes) -> Option<Time>,
) {
    let mut deadline = turn(clock.now(), Vec::new(), &mut outboxes);
    loop {
        let waiting = outboxes.flush();
        let now = clock.now();
        let wait = match waiting {
            0 => deadline.map_or(MAX_WAIT, |at| now.until(at).min(MAX_WAIT)),
            _ => RETRY_DELAY,
        };
        let mut items = Vec::new();
        match ring.recv_timeout(wait) {
            Ok(item) => items.push(item),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        items.extend(ring.try_iter().take(MAX_BATCH - 1));
        deadline = turn(clock.now(), items, &mut outboxes);
    }
}

/// Passes on all outputs of a turn.
pub fn send_all(out: &mut Vec<Output>, outboxes: &mut Outboxes) {
    for output in out.drain(..) {
        outboxes.send(output);
    }
}
