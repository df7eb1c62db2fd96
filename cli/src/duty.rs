//! The daemon's duties, a thread each.

use std::{io, thread, time::Duration};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use hickorylink_lib::{instance::port::Output, time::Time};

use crate::{clock::Clock, mail::Mail};

pub mod counts;
pub mod dispatch;
pub mod front;
pub mod notes;
pub mod peers;
pub mod replicated_log;
pub mod router;
pub mod scheduler;
pub mod storage;

/// How long a duty waits before it tries again to pass on what waits in its outboxes.
const RETRY: Duration = Duration::from_millis(1);

/// The longest wait of a duty without a deadline.
const IDLE: Duration = Duration::from_secs(1);

/// How many items a duty takes from its ring before it passes its outputs on.
const BATCH: usize = 64;

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
    mut mail: Mail,
    mut turn: impl FnMut(Time, Vec<T>, &mut Mail) -> Option<Time>,
) {
    let mut deadline = turn(clock.now(), Vec::new(), &mut mail);
    loop {
        let waiting = mail.flush();
        let now = clock.now();
        let wait = match waiting {
            0 => deadline.map_or(IDLE, |at| now.until(at).min(IDLE)),
            _ => RETRY,
        };
        let mut items = Vec::new();
        match ring.recv_timeout(wait) {
            Ok(item) => items.push(item),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        items.extend(ring.try_iter().take(BATCH - 1));
        deadline = turn(clock.now(), items, &mut mail);
    }
}

/// Passes on all outputs of a turn.
pub fn deliver_all(out: &mut Vec<Output>, mail: &mut Mail) {
    for output in out.drain(..) {
        mail.deliver(output);
    }
}
