//! The limits of an admission, and how they follow from the limits of the machine.

use std::time::Duration;

use crate::clients::Listener;

/// What the connections of one listener may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The number of connections; at least 1.
    pub connections: usize,
    /// The bytes of heads, bodies, decoded forms and responses.
    pub bytes: u64,
}

/// After which time a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// From the first byte of a head to its last.
    pub head: Duration,
    /// From the end of a head to the last byte of its body.
    pub body: Duration,
    /// Without a byte in the middle of a body or a frame, or below the minimum rate in a frame.
    pub progress: Duration,
    /// For a client to read a response.
    pub write: Duration,
    /// Without a request.
    pub idle: Duration,
}

impl Timeouts {
    /// The shortest of them.
    pub fn shortest(&self) -> Duration {
        let times = [self.head, self.body, self.progress, self.write, self.idle];
        times.into_iter().min().unwrap_or_default()
    }
}

/// The limits of an admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The share of [`Listener::Calls`].
    pub calls: Share,
    /// The share of [`Listener::Readiness`].
    pub readiness: Share,
    /// The share of [`Listener::Metrics`].
    pub metrics: Share,
    /// The share of [`Listener::Peers`].
    pub peers: Share,
    /// The timeouts of all listeners.
    pub timeouts: Timeouts,
}

/// The connections of the readiness address, which only the platform uses.
const READINESS_CONNECTIONS: usize = 64;

/// The connections of the metrics address.
const METRICS_CONNECTIONS: usize = 32;

/// The connections of the peers' port. A deployment has up to 8 controllers and 50 gateways, and one
/// that has lost its network may leave its earlier connection behind.
const PEER_CONNECTIONS: usize = 256;

/// The descriptors for files, event queues and connections that the process itself opens. The users'
/// platform reserves 200 of them for files.
const OWN_DESCRIPTORS: usize = 320;

/// The bytes of the responses at the readiness and the metrics address.
const SMALL_BYTES: u64 = 4 << 20;

/// The share of the memory for incomplete frames of peers, as a divisor.
const PEERS_DIVISOR: u64 = 12;

/// The least bytes for incomplete frames of peers: one of the largest, of 16 MiB, doesn't use the spare
/// bytes.
const MIN_PEER_BYTES: u64 = 19 << 20;

/// What a connection costs besides the bytes that are counted: its task, and the smallest buffers in
/// which a head is received and a response is sent.
const CONNECTION_BYTES: u64 = 20 << 10;

impl Limits {
    /// The limits on a machine with `memory` bytes and `descriptors`, where calls may use `calls`. The
    /// connections of calls are fewer if the machine can't hold them: they may use a third of the
    /// memory, and no descriptor that the other listeners need.
    pub fn of_machine(memory: u64, descriptors: usize, calls: Share, timeouts: Timeouts) -> Self {
        // A small machine gives the other listeners less, but never nothing.
        let bounded = |connections: usize| connections.min(descriptors / 16).max(1);
        let small = |connections| Share { connections: bounded(connections), bytes: SMALL_BYTES };
        let (readiness, metrics) = (small(READINESS_CONNECTIONS), small(METRICS_CONNECTIONS));
        let frames = (memory / PEERS_DIVISOR).max(MIN_PEER_BYTES);
        let peers = Share { connections: bounded(PEER_CONNECTIONS), bytes: frames };
        let others = readiness.connections + metrics.connections + peers.connections;
        let left = descriptors.saturating_sub(others + OWN_DESCRIPTORS.min(descriptors / 4));
        let held = usize::try_from(memory / 3 / CONNECTION_BYTES).unwrap_or(usize::MAX);
        let connections = calls.connections.min(left).min(held).max(1);
        Self { calls: Share { connections, ..calls }, readiness, metrics, peers, timeouts }
    }

    /// The share of a listener.
    pub fn share(&self, listener: Listener) -> Share {
        match listener {
            Listener::Calls => self.calls,
            Listener::Readiness => self.readiness,
            Listener::Metrics => self.metrics,
            Listener::Peers => self.peers,
        }
    }
}
