//! The duties of an instance; each runs in a thread of its own.

use std::{io, thread, time::Duration};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use hickorylink_lib::{instance::port::Output, time::Time};

use crate::{clock::Clock, outboxes::Outboxes};

pub mod counts;
pub mod dispatch;
pub mod frontend;
pub mod log_events;
pub mod peers;
pub mod replicated_log;
pub mod router;
pub mod scheduler;
pub mod storage;

/// How long a duty waits before it retries sending outputs for which a ring had no room.
const RETRY_DELAY: Duration = Duration::from_millis(1);

/// The longest time that a duty waits for input.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The maximum number of items that a duty takes from its ring before it sends its outputs.
const MAX_BATCH: usize = 64;

/// Starts the thread of a duty.
///
/// # Errors
///
/// The operating system can't create the thread.
pub fn spawn(
    name: &str,
    duty: impl FnOnce() + Send + 'static,
) -> io::Result<thread::JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(duty)
}

/// Runs a component on the items of a ring until every sender has been dropped.
///
/// `turn` lets the component handle the items that it is given, and its deadline if that has
/// passed, and returns the next deadline.
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

/// Sends all outputs of a turn.
pub fn send_all(out: &mut Vec<Output>, outboxes: &mut Outboxes) {
    for output in out.drain(..) {
        outboxes.send(output);
    }
}
