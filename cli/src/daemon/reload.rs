//! Reads the settings of a running instance again: on SIGHUP, and when the file has changed.
//!
//! Only the addresses of other instances come into force; the rest needs a restart.

use std::{convert::Infallible, time::Duration};

use hickorylink_lib::{directory::port::Event, settings::Settings};
use slog::{Logger, info, warn};
use snafu::ResultExt;
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{MissedTickBehavior, interval},
};

use crate::{
    daemon::{DaemonError, StartSnafu},
    duty::peers::Input as PeersInput,
    ring::RingSender,
};

/// How often the file is compared with the settings in force.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings again.
pub(super) struct Reloader<R> {
    /// Reads the file; an error names all findings.
    pub(super) read: R,
    /// The settings with which the instance started.
    pub(super) started: Settings,
    /// The settings that were read last and are in force as far as they can be.
    pub(super) current: Settings,
    /// The error of the last attempt to read them.
    pub(super) failure: Option<String>,
    /// The ring to the directory.
    pub(super) peers: RingSender<PeersInput>,
    /// The log.
    pub(super) log: Logger,
}

impl<R: Fn() -> Result<Settings, String>> Reloader<R> {
    /// Runs until it is dropped.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Start`] if the signal can't be received.
    pub(super) async fn run(mut self) -> Result<Infallible, DaemonError> {
        let mut hangup = signal(SignalKind::hangup()).context(StartSnafu)?;
        let mut check = interval(CHECK_INTERVAL);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = hangup.recv() => self.reload(true),
                _ = check.tick() => self.reload(false),
            }
        }
    }

    fn reload(&mut self, requested: bool) {
        let failure = match (self.read)() {
            Ok(settings) => {
                self.apply(settings, requested);
                None
            }
            Err(error) => Some(error),
        };
        if let Some(error) = &failure
            && (requested || failure != self.failure)
        {
            warn!(self.log, "the settings can't be read; the previous ones stay in force";
                "error" => error);
        }
        self.failure = failure;
    }

    fn apply(&mut self, settings: Settings, requested: bool) {
        if settings != self.current || requested {
            let rest = Settings { peers: self.started.peers.clone(), ..settings.clone() };
            info!(self.log, "the settings were reloaded"; "seeds" => settings.peers.len(),
                "restart_needed" => rest != self.started);
        }
        if settings.peers == self.current.peers {
            self.current = settings;
            return;
        }
        let event = Event::Seeds(settings.peers.clone());
        // If the ring is full the next check tries again.
        if self.peers.push(PeersInput::Event(event)).is_ok() {
            self.current = settings;
        }
    }
}
