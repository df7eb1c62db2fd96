//! What a controller is told at its start.

use std::time::Duration;

use core::net::SocketAddr;

use crate::{consensus::port as consensus, ids::InstanceId, jobs::record::Node};

/// What a controller is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// This controller.
    pub me: Node,
    /// Controllers to call first: their addresses for other instances.
    pub seeds: Vec<SocketAddr>,
    /// The first voters of a deployment that starts for the first time; empty otherwise.
    pub founders: Vec<(InstanceId, SocketAddr)>,
    /// How many voters are aimed at.
    pub voters: usize,
    /// How many entries are applied between two snapshots.
    pub snapshot_every: u64,
    /// The times that the leader works with.
    pub timing: Timing,
    /// Settings of the agreement.
    pub consensus: consensus::Config,
    /// Seeds what is drawn at random.
    pub seed: u64,
}

/// The times that a leader works with.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long runs may go on without a heartbeat that is answered.
    pub lease: Duration,
    /// What a worker's slow clock and a late timer may add to a lease.
    pub lease_margin: Duration,
    /// How long a heartbeat is held open at most.
    pub poll_wait: Duration,
    /// How long the states of jobs that have ended are kept.
    pub retain: Duration,
}
