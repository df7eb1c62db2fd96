//! Saves the burn report's counts on the instance's disk, so that they survive a restart.

use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use hickorylink_lib::{burn::Snapshot, time::Time};
use slog::{Logger, warn};
use tokio::sync::mpsc;

use crate::{
    clock::Clock,
    duty::router::Input as RouterInput,
    ring::RingSender,
    storage::{counts::CountsFile, disk::Disk},
};

/// How often the counts are saved.
const SAVE_INTERVAL: Duration = Duration::from_secs(10);

/// What the ring of this duty carries.
#[derive(Debug)]
pub enum Input {
    /// The router's counts, in answer to a request.
    Counts(Box<Snapshot>),
    /// The instance shuts down: save once more and report when that is done.
    Shutdown,
}

/// The dependencies of the duty.
#[derive(Debug)]
pub struct Setup<D> {
    /// The file that holds the counts.
    pub file: CountsFile<D>,
    /// The process's clock.
    pub clock: Clock,
    /// The ring to the router, for requests of its counts.
    pub router: RingSender<RouterInput>,
    /// Signalled when the counts are saved for the last time.
    pub saved: mpsc::Sender<()>,
    /// The log.
    pub log: Logger,
}

/// Runs until the ring is closed.
pub fn counts<D: Disk>(ring: &Receiver<Input>, setup: Setup<D>) {
    let next = setup.clock.now() + SAVE_INTERVAL;
    let mut saver = Saver { setup, next, outstanding: 0, shutting_down: false };
    loop {
        let wait = saver.setup.clock.now().until(saver.next);
        match ring.recv_timeout(wait) {
            Ok(input) => saver.handle(input),
            Err(RecvTimeoutError::Timeout) => saver.request_snapshot(),
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

struct Saver<D> {
    setup: Setup<D>,
    /// When the counts are requested next.
    next: Time,
    /// Requests that the router hasn't answered yet.
    outstanding: u32,
    shutting_down: bool,
}

impl<D: Disk> Saver<D> {
    /// Requests the router's counts. If its ring is full, the next attempt is a save interval later.
    fn request_snapshot(&mut self) {
        self.next = self.setup.clock.now() + SAVE_INTERVAL;
        self.outstanding += u32::from(self.setup.router.push(RouterInput::Snapshot).is_ok());
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Counts(snapshot) => {
                self.outstanding = self.outstanding.saturating_sub(1);
                if let Err(error) = self.setup.file.save(&snapshot) {
                    warn!(self.setup.log, "the counts of the burn report weren't saved";
                        "error" => %error);
                }
            }
            Input::Shutdown => {
                self.shutting_down = true;
                self.request_snapshot();
            }
        }
        if self.shutting_down && self.outstanding == 0 {
            // It is harmless if this fails: either a signal is already in the channel, or the
            // receiver has stopped waiting.
            let _ = self.setup.saved.try_send(());
        }
    }
}
