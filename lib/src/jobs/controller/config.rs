//! The settings of a controller.

use std::time::Duration;

use core::net::SocketAddr;

use crate::{
    consensus::port as consensus,
    ids::{DataCentre, InstanceId},
    jobs::{locality::Locality, record::Node, response_size::ResponseLimits},
};

/// The settings of a controller.
#[derive(Clone, Debug)]
pub struct Config {
    /// The identity and the addresses of this controller.
    pub me: Node,
    /// The peer addresses of controllers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The initial voters when a deployment starts for the first time; empty otherwise.
    pub founders: Vec<(InstanceId, SocketAddr)>,
    /// The number of voters to aim at.
    pub voters: usize,
    /// The number of applied entries between two snapshots.
    pub snapshot_every: u64,
    /// The leader's timing.
    pub timing: Timing,
    /// The data centres that may be evacuated; if it is empty, those with any valid name.
    pub centres: Vec<DataCentre>,
    /// The limits on responses to heartbeats.
    pub responses: ResponseLimits,
    /// The settings for waits for better placements.
    pub locality: Locality,
    /// The settings of the consensus module.
    pub consensus: consensus::Config,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// The timing of a leader.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The duration of a lease: how long runs may continue without an answered heartbeat.
    pub lease: Duration,
    /// Added to a lease for a worker's slow clock and late timers.
    pub lease_margin: Duration,
    /// The maximum time that a heartbeat is held open.
    pub max_hold: Duration,
    /// How long ended jobs are retained.
    pub retain: Duration,
    /// How long a worker takes at most to stop a run.
    pub stop: Duration,
}
