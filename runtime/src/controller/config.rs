//! The intervals, timeouts and limits of a controller.

use std::{net::SocketAddr, time::Duration};

use hickorylink_lib::{
    consensus::port as consensus,
    ids::InstanceId,
    jobs::{
        controller::{Config, Timing},
        record::Node,
        response_size::ResponseLimits,
    },
};

use crate::settings::Settings;

/// The number of log entries between two snapshots.
const ENTRIES_PER_SNAPSHOT: u64 = 4000;

/// The interval of the leader's heartbeats to the other members of the consensus group.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The shortest time without a leader's heartbeat that triggers an election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(900);

/// How long a voter may be silent before a standby replaces it.
const REPLACE_AFTER: Duration = Duration::from_millis(2500);

/// The share of a lease by which a worker's clock may lag, as a divisor of the lease.
const DRIFT_DIVISOR: u32 = 40;

/// The maximum time by which a timer may fire late.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(150);

/// The lease of a run, unless the settings limit it further. Runs in a data centre that is
/// partitioned for 6 s keep their leases, and a long-running task of a lost worker restarts within
/// the 9 s that the users require.
const MAX_LEASE: Duration = Duration::from_millis(6800);

/// How long the answer to a heartbeat may be delayed until there is something to report. Workers
/// discard an answer that takes 1 s.
const MAX_HOLD: Duration = Duration::from_millis(700);

/// Derives the identity of a founding controller from its address, so that all founders know each
/// other's identities.
pub(super) fn founder_id(peer: SocketAddr) -> InstanceId {
    let text = peer.to_string();
    let low = u64::from(crc32c::crc32c(text.as_bytes()));
    let high = u64::from(crc32c::crc32c_append(!0, text.as_bytes()));
    InstanceId((high << u32::BITS) | low)
}

/// The configuration of a controller with these settings.
pub(super) fn config(settings: &Settings, me: &Node, responses: ResponseLimits) -> Config {
    let founders = if settings.founding { settings.seed_peers() } else { Vec::new() };
    let lease = MAX_LEASE.min(settings.max_lease);
    Config {
        me: me.clone(),
        seeds: settings.seed_peers(),
        founders: founders.into_iter().map(|peer| (founder_id(peer), peer)).collect(),
        voters: 2 * settings.max_losses + 1,
        snapshot_every: ENTRIES_PER_SNAPSHOT,
        timing: Timing {
            lease,
            lease_margin: lease / DRIFT_DIVISOR + MAX_TIMER_DELAY,
            max_hold: MAX_HOLD,
            retain: settings.retain,
            stop: settings.stop,
        },
        centres: settings.centres.iter().map(|centre| centre.as_str().into()).collect(),
        responses,
        locality: settings.locality,
        consensus: consensus::Config {
            me: me.id,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: ELECTION_TIMEOUT,
            max_batch_bytes: 1 << 20,
            max_inflight: 64,
            chunk_bytes: 256 << 10,
            max_pending: 8192,
            catch_up_margin: 1000,
            replace_after: REPLACE_AFTER,
        },
        seed: rand::random(),
    }
}
