//! The intervals, timeouts and limits of an instance's components.

use std::time::Duration;

use hickorylink_lib::{
    consensus::port as consensus,
    directory::{Config as DirectoryConfig, port::InstanceInfo},
    ids::InstanceId,
    instance::Config,
    ledger::Limits,
    replicated_log::Config as ReplicatedLogConfig,
    router::Config as RouterConfig,
    scheduler::config::Config as SchedulerConfig,
    settings::Settings,
    time::WallTime,
};

/// The time between heartbeats to other instances, and the silence after which an instance counts
/// as dead.
const PEER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long an instance waits before it uses a larger share of a target's slots. By then the other
/// instances have learned of the change and use a smaller one.
const SHARE_SETTLE_TIME: Duration = Duration::from_millis(750);

/// How long targets get requests without confirmation from the instance that announces them. A
/// target that leaves must get no new work after two seconds.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1800);

/// How long a worker may go without an announcement before its targets are removed. Its latest
/// announcement may have gone to another instance and have said that it is leaving, so this is no
/// longer than [`CONFIRM_TIMEOUT`].
const TARGET_EXPIRY: Duration = CONFIRM_TIMEOUT;

/// The time between two announcements of a worker, and the length of the lease that each renews.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
const WORKER_LEASE: Duration = Duration::from_secs(6);

/// The time between heartbeats of the consensus leader, and the shortest time without one before
/// an election.
const CONSENSUS_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(700);

/// How long an idempotency claim may take, and the time before an unanswered command is resent.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// How often the holder of an epoch confirms it, and how long to wait before taking over the epoch
/// of a holder that is gone.
const EPOCH_CONFIRM_INTERVAL: Duration = Duration::from_millis(500);
const TAKEOVER_DELAY: Duration = Duration::from_millis(200);

/// How long a voter may be silent before another instance replaces it.
const VOTER_REPLACE_DELAY: Duration = Duration::from_secs(30);

/// Log entries between two snapshots.
const SNAPSHOT_ENTRIES: u64 = 10_000;

/// The maximum number of commands that may wait to be committed.
const MAX_PENDING_COMMANDS: usize = 16_384;

/// The configuration of an instance with these settings.
pub(super) fn config(settings: &Settings, me: InstanceId, start: WallTime) -> Config {
    let seed = rand::random();
    let info = InstanceInfo {
        instance: me,
        name: settings.name.clone(),
        centre: settings.centre.clone(),
        peer: settings.peer_listen,
        front: settings.listen,
        disk: settings.data.is_some(),
        draining: false,
    };
    Config {
        replicated_log: ReplicatedLogConfig {
            me: info.clone(),
            bootstrap: settings.founding,
            voters: settings.council as usize,
            start,
            resend_after: RESEND_INTERVAL,
            claim_timeout: CLAIM_TIMEOUT,
            confirm_interval: EPOCH_CONFIRM_INTERVAL,
            takeover_after: TAKEOVER_DELAY,
            snapshot_entries: SNAPSHOT_ENTRIES,
            max_pending: MAX_PENDING_COMMANDS,
            consensus: consensus(me),
            ledger: Limits::default(),
            seed,
        },
        directory: DirectoryConfig {
            me: info,
            seeds: settings.peers.clone(),
            heartbeat_interval: PEER_HEARTBEAT_INTERVAL,
            dead_after: PEER_TIMEOUT,
            confirm_timeout: CONFIRM_TIMEOUT,
            expire_after: TARGET_EXPIRY,
            announce_interval: ANNOUNCE_INTERVAL,
        },
        router: router(settings, me),
        scheduler: scheduler(settings),
        seed,
    }
}

fn consensus(me: InstanceId) -> consensus::Config {
    consensus::Config {
        me,
        heartbeat_interval: CONSENSUS_HEARTBEAT_INTERVAL,
        election_timeout: ELECTION_TIMEOUT,
        max_batch_bytes: 1 << 20,
        max_inflight: 64,
        chunk_bytes: 256 << 10,
        max_pending: 65_536,
        catch_up_margin: 1000,
        replace_after: VOTER_REPLACE_DELAY,
    }
}

fn router(settings: &Settings, me: InstanceId) -> RouterConfig {
    let mut config = RouterConfig::new(me, settings.centre.clone());
    config.settle_time = SHARE_SETTLE_TIME;
    config
}

fn scheduler(settings: &Settings) -> SchedulerConfig {
    let mut config = SchedulerConfig::new(settings.centre.clone());
    config.lease = WORKER_LEASE;
    config.announce_interval = ANNOUNCE_INTERVAL;
    config
}
