//! The limits for clients outside the deployment's control: callers, and whoever else connects.

use std::time::Duration;

use hickorylink_lib::document::{ObjectView, ValueView};

const FIELDS: &[&str] = &[
    "connections",
    "buffer_bytes",
    "head_timeout_ms",
    "body_timeout_ms",
    "idle_timeout_ms",
    "write_timeout_ms",
];

/// The bytes of a megabyte in `memory_mb`.
const MEGABYTE: u64 = 1_000_000;

/// The smallest number of connections.
const MIN_CONNECTIONS: u64 = 16;

/// The smallest byte budget: the largest legal body of a controller (4 MiB) and its decoded form.
const MIN_BUFFER_BYTES: u64 = 8 << 20;

/// The default share of the memory for clients' bytes, in percent. The rest is for the state of the
/// process and for what the allocator retains.
const BUFFER_PERCENT: u64 = 25;

/// The bounds of all timeouts, in milliseconds.
const MIN_TIMEOUT_MS: u64 = 100;
const MAX_TIMEOUT_MS: u64 = 600_000;

/// The default time for a head. Legal clients send one within 3 s.
const DEFAULT_HEAD_MS: u64 = 5_000;

/// The default time for a body. The largest legal body of a gateway takes 1.1 s of its 2 Mbit/s, so
/// that up to 18 of them fit into it.
const DEFAULT_BODY_MS: u64 = 20_000;

/// The default time between two requests on a connection. Legal clients are idle for up to 15 s.
const DEFAULT_IDLE_MS: u64 = 20_000;

/// The default time for a client to read a response. Workers discard a response after 1 s.
const DEFAULT_WRITE_MS: u64 = 10_000;

/// The limits for clients, from the object `clients` of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The most open connections of clients: 16 to `max_fds`; by default as many as
    /// the other listeners, files and the memory leave.
    pub connections: usize,
    /// The most bytes of heads, bodies, decoded forms and unread responses together: 8 MiB to
    /// `memory_mb`; by default a quarter of it, and at least 8 MiB.
    pub buffer_bytes: usize,
    /// The longest time for a head: 0.1 to 600 s, by default 5 s.
    pub head_timeout: Duration,
    /// The longest time for a body: 0.1 to 600 s, by default 20 s.
    pub body_timeout: Duration,
    /// The longest time between two requests on a connection: 0.1 to 600 s, by default 20 s.
    pub idle_timeout: Duration,
    /// The longest time for a client to read a response: 0.1 to 600 s, by default 10 s.
    pub write_timeout: Duration,
}

impl ClientLimits {
    /// The defaults on a machine with this memory, in megabytes, and this many descriptors.
    pub fn new(memory_mb: u64, max_fds: u64) -> Self {
        let bytes = memory_mb.saturating_mul(MEGABYTE) / 100 * BUFFER_PERCENT;
        Self {
            connections: saturating_usize(max_fds),
            buffer_bytes: saturating_usize(bytes.max(MIN_BUFFER_BYTES)),
            head_timeout: Duration::from_millis(DEFAULT_HEAD_MS),
            body_timeout: Duration::from_millis(DEFAULT_BODY_MS),
            idle_timeout: Duration::from_millis(DEFAULT_IDLE_MS),
            write_timeout: Duration::from_millis(DEFAULT_WRITE_MS),
        }
    }

    /// Reads the object `clients` of a machine with this memory, in megabytes, and this many
    /// descriptors. Fields that are absent or invalid have their defaults.
    pub(super) fn read(object: ObjectView<'_, '_>, memory_mb: u64, max_fds: u64) -> Self {
        let object = object.allow_only(FIELDS);
        let default = Self::new(memory_mb, max_fds);
        let count = |field, default, min, max| {
            let value: Option<ValueView<'_, '_>> = object.get(field);
            value.and_then(|value| value.integer(min..=max)).map_or(default, saturating_usize)
        };
        let time = |field, default| {
            let value = object.get(field);
            let millis = value.and_then(|value| value.integer(MIN_TIMEOUT_MS..=MAX_TIMEOUT_MS));
            millis.map_or(default, Duration::from_millis)
        };
        let memory = memory_mb.saturating_mul(MEGABYTE);
        Self {
            connections: count("connections", default.connections, MIN_CONNECTIONS, max_fds),
            buffer_bytes: count("buffer_bytes", default.buffer_bytes, MIN_BUFFER_BYTES, memory),
            head_timeout: time("head_timeout_ms", default.head_timeout),
            body_timeout: time("body_timeout_ms", default.body_timeout),
            idle_timeout: time("idle_timeout_ms", default.idle_timeout),
            write_timeout: time("write_timeout_ms", default.write_timeout),
        }
    }
}

fn saturating_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
