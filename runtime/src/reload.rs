//! Applies changes of the settings file to a running instance.
//!
//! Only the seeds change while it runs; other settings take effect at its next start.

use std::{convert::Infallible, io, net::SocketAddr, time::Duration};

use slog::{Logger, info, warn};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{Instant, MissedTickBehavior, interval_at},
};

use crate::settings::Settings;

/// The interval between two reads of the settings file, which may change without a signal.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings of a controller or a gateway again on SIGHUP and at regular intervals. When
/// their seeds change, hands the peer addresses of the new ones to `send`, which returns whether it
/// took them. `settings` are those in force.
///
/// # Errors
///
/// The handler of SIGHUP can't be installed.
pub async fn watch_seeds(
    settings: &Settings,
    read: impl Fn() -> Option<Settings>,
    send: impl Fn(Vec<SocketAddr>) -> bool,
    log: &Logger,
) -> io::Result<Infallible> {
    let read = || read().map(|settings| settings.seed_peers());
    watch_addresses(settings.seed_peers(), read, send, log).await
}

/// Reads the peer addresses of the seeds again on SIGHUP and at regular intervals. When they change,
/// hands the new ones to `send`, which returns whether it took them. `seeds` are those in force.
///
/// # Errors
///
/// The handler of SIGHUP can't be installed.
pub async fn watch_addresses(
    mut seeds: Vec<SocketAddr>,
    read: impl Fn() -> Option<Vec<SocketAddr>>,
    send: impl Fn(Vec<SocketAddr>) -> bool,
    log: &Logger,
) -> io::Result<Infallible> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut interval = interval_at(Instant::now() + READ_INTERVAL, READ_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut readable = true;
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            _ = interval.tick() => false,
        };
        let was_readable = std::mem::replace(&mut readable, false);
        let Some(new) = read() else {
            if signalled || was_readable {
                warn!(log, "the settings can't be read; the previous ones stay in force");
            }
            continue;
        };
        readable = true;
        let changed = new != seeds;
        if signalled || changed {
            info!(log, "the settings were reloaded"; "seeds" => new.len(), "changed" => changed);
        }
        // If they aren't taken, the next read sends them again.
        if changed && send(new.clone()) {
            seeds = new;
        }
    }
}
