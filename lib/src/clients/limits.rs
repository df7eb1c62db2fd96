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
    /// Without a byte in the middle of a body or a frame.
    pub progress: Duration,
    /// Without a byte that the client reads of a response.
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

/// The descriptors for files, event queues and connections that the process itself opens.
const OWN_DESCRIPTORS: usize = 128;

/// The bytes of the responses at the readiness and the metrics address.
const SMALL_SHARE_BYTES: u64 = 4 << 20;

/// What a connection costs besides the bytes that are counted: its task, and the buffers in which a
/// head is received and a response is sent.
const CONNECTION_BYTES: u64 = 40 << 10;

impl Limits {
    /// The limits that follow from those of a machine. Connections may use the half of the
    /// descriptors that the other listeners leave, and a third of the memory; the bytes that are
    /// counted may use a fifth of it, since freed memory isn't always returned to the system. The rest
    /// is for the process itself.
    pub fn of_machine(memory: u64, descriptors: usize, timeouts: Timeouts) -> Self {
        let [connections, bytes] = Self::of_calls(memory, descriptors);
        let small = |connections| Share { connections, bytes: SMALL_SHARE_BYTES };
        // A small machine gives the other listeners less, but never nothing.
        let bounded = |connections: usize| connections.min(descriptors / 16).max(1);
        Self {
            calls: Share { connections: usize::try_from(connections).unwrap_or(1), bytes },
            readiness: small(bounded(READINESS_CONNECTIONS)),
            metrics: small(bounded(METRICS_CONNECTIONS)),
            peers: Share { connections: bounded(PEER_CONNECTIONS), bytes: memory / 8 },
            timeouts,
        }
    }

    /// The connections and the bytes of calls on a machine.
    fn of_calls(memory: u64, descriptors: usize) -> [u64; 2] {
        let others = READINESS_CONNECTIONS + METRICS_CONNECTIONS + PEER_CONNECTIONS;
        let left = descriptors.saturating_sub(others + OWN_DESCRIPTORS).max(descriptors / 2);
        let by_memory = memory / 3 / CONNECTION_BYTES;
        [(left as u64 / 2).min(by_memory).max(1), memory / 5]
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
