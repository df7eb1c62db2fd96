//! The counts' duty: it keeps the burn report's counts on the instance's disk.

use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use hickorylink_lib::{burn::Snapshot, time::Time};
use slog::{Logger, warn};
use tokio::sync::mpsc;

use crate::{
    clock::Clock,
    duty::router::Job,
    ring::RingSender,
    storage::{counts::CountsFile, disk::Disk},
};

/// How often the counts are saved.
const SAVE: Duration = Duration::from_secs(10);

/// What the counts' ring carries.
#[derive(Debug)]
pub enum Save {
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
    pub router: RingSender<Job>,
    /// Told when the last counts are saved.
    pub saved: mpsc::Sender<()>,
    /// The log.
    pub log: Logger,
}

/// Runs until the ring is closed.
pub fn counts<D: Disk>(ring: &Receiver<Save>, setup: Setup<D>) {
    let next = setup.clock.now() + SAVE;
    let mut keeper = Keeper { setup, next, asked: 0, leaving: false };
    loop {
        let wait = keeper.setup.clock.now().until(keeper.next);
        match ring.recv_timeout(wait) {
            Ok(save) => keeper.take(save),
            Err(RecvTimeoutError::Timeout) => keeper.ask(),
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

struct Keeper<D> {
    setup: Setup<D>,
    next: Time,
    /// Counts that the router was asked for and hasn't given yet.
    asked: u32,
    leaving: bool,
}

impl<D: Disk> Keeper<D> {
    /// Asks the router; one that has no room is asked again after the usual time.
    fn ask(&mut self) {
        self.next = self.setup.clock.now() + SAVE;
        self.asked += u32::from(self.setup.router.push(Job::Snapshot).is_ok());
    }

    fn take(&mut self, save: Save) {
        match save {
            Save::Counts(snapshot) => {
                self.asked = self.asked.saturating_sub(1);
                if let Err(error) = self.setup.file.save(&snapshot) {
                    warn!(self.setup.log, "the counts of the burn report weren't saved";
                        "error" => %error);
                }
            }
            Save::Leave => {
                self.leaving = true;
                self.ask();
            }
        }
        if self.leaving && self.asked == 0 {
            // Nobody may wait any longer, and once is enough.
            let _ = self.setup.saved.try_send(());
        }
    }
}
