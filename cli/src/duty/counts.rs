//! The counts' duty: it keeps the burn report's counts on the instance's disk.

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

/// What the counts' ring carries.
#[derive(Debug)]
pub enum Input {
    /// The router's counts, as it was asked for.
    Counts(Box<Snapshot>),
    /// The instance leaves: save once more and say so.
    Leave,
}

/// What the duty is given.
#[derive(Debug)]
pub struct Setup<D> {
    /// The file.
    pub file: CountsFile<D>,
    /// The process's clock.
    pub clock: Clock,
    /// Where the router is asked for its counts.
    pub router: RingSender<RouterInput>,
    /// Told when the last counts are saved.
    pub saved: mpsc::Sender<()>,
    /// The log.
    pub log: Logger,
}

/// Runs until the ring is closed.
pub fn counts<D: Disk>(ring: &Receiver<Input>, setup: Setup<D>) {
    let next = setup.clock.now() + SAVE_INTERVAL;
    let mut saver = Saver { setup, next, outstanding: 0, leaving: false };
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
    next: Time,
    /// Counts that the router was asked for and hasn't given yet.
    outstanding: u32,
    leaving: bool,
}

impl<D: Disk> Saver<D> {
    /// Asks the router; one that has no room is asked again after the usual time.
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
            Input::Leave => {
                self.leaving = true;
                self.request_snapshot();
            }
        }
        if self.leaving && self.outstanding == 0 {
            // Nobody may wait any longer, and once is enough.
            let _ = self.setup.saved.try_send(());
        }
    }
}
