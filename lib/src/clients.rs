//! Admission of clients: a budget of connections and one of bytes, and who is closed when one is full.
//!
//! Every connection of a process belongs to the share of its listener. A new connection is admitted
//! while the share has a free slot. The last slots of a share are spare: using one closes a connection
//! that makes no progress, so that a slot is free again for the next. Bytes work in the same way, and
//! large requests can't use the spare ones. A connection that is to be closed keeps its slot and its
//! bytes until [`Admission::close`], so the budgets hold at any time.

use std::time::Duration;

use crate::time::{Time, earliest};

pub mod cause;
pub mod limits;
pub mod pauses;

pub use self::{
    cause::Cause,
    limits::{Limits, Share, Timeouts},
    pauses::Pauses,
};

/// The share of the bytes that is spare, as a divisor.
const SPARE_DIVISOR: usize = 8;

/// The share of the connections that is spare, as a divisor. A controller with 4,096 descriptors has to
/// keep the connections of 3,000 workers.
const SPARE_CONNECTIONS_DIVISOR: usize = 16;

/// The most bytes that a connection may hold if it uses spare bytes.
const SMALL_BYTES: u64 = 64 << 10;

/// How long a connection that is in the middle of a head, a body or a response must have been behind
/// before it is closed to make room. A client on a fast network sends the rest sooner.
const SLOW_AFTER: Duration = Duration::from_millis(250);

/// How much time each byte of a head, a body or a response gives a connection: one that moves fewer than
/// 4,000 bytes a second on average is slow. 60 transfers at a time on a link of 2 Mbit/s are faster,
/// and a body of 256 KiB at this rate misses its deadline.
const BYTE_TIME: Duration = Duration::from_micros(250);

/// The longest time for a frame of a peer. The largest, of 16 MiB, takes 67 s on a link of 2 Mbit/s.
const FRAME_TIMEOUT: Duration = Duration::from_secs(120);

/// A listener of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Listener {
    /// Calls (gateway), or workers and operators (controller).
    Calls,
    /// Readiness checks.
    Readiness,
    /// Metrics.
    Metrics,
    /// Other instances of the deployment.
    Peers,
}

impl Listener {
    /// All listeners.
    pub const ALL: [Self; 4] = [Self::Calls, Self::Readiness, Self::Metrics, Self::Peers];

    /// The name in metrics and in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Calls => "calls",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
            Self::Peers => "peers",
        }
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits for the first byte of a request.
    Idle,
    /// Receives the head of a request, or a part of a frame.
    Head,
    /// Receives the body of a request.
    Body,
    /// Waits for the answer of the instance.
    Calling,
    /// Sends the response.
    Writing,
}

/// Identifies a connection. An identifier isn't reused, so one of a closed connection has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId {
    slot: usize,
    serial: u64,
}

/// A connection.
#[derive(Clone, Copy, Debug)]
struct Connection {
    serial: u64,
    listener: Listener,
    phase: Phase,
    /// When the phase began.
    since: Time,
    /// When bytes were last received or sent in this phase.
    progress: Time,
    /// The bytes that were received or sent in this phase.
    moved: u32,
    /// The bytes that its request, the decoded form and the response hold together.
    bytes: u64,
    /// Whether a request on it has been answered, or a whole frame received.
    served: bool,
    /// Whether it is to be closed.
    closing: bool,
}

/// What the connections of a listener hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The number of connections.
    pub connections: usize,
    /// The bytes held for them.
    pub bytes: u64,
    /// How many of the connections are to be closed.
    pub closing: usize,
    /// The bytes of those.
    pub closing_bytes: u64,
}

/// A connection that is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closing {
    /// The connection.
    pub id: ConnectionId,
    /// Its listener.
    pub listener: Listener,
    /// Why it is closed.
    pub cause: Cause,
}

/// The connections of a process, and the budgets that they share.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    connections: Vec<Option<Connection>>,
    free: Vec<usize>,
    serial: u64,
    usage: [Usage; Listener::ALL.len()],
}

impl Admission {
    /// An admission without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: Vec::new(),
            free: Vec::new(),
            serial: 0,
            usage: [Usage::default(); Listener::ALL.len()],
        }
    }

    /// The limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// What the connections of a listener hold.
    pub fn usage(&self, listener: Listener) -> Usage {
        self.usage[listener as usize]
    }

    /// The most bytes that a single connection of a listener may hold, where `bytes` are asked for: large
    /// requests don't get the spare ones.
    pub fn usable(&self, listener: Listener, bytes: u64) -> u64 {
        let limit = self.limits.share(listener).bytes;
        if bytes <= SMALL_BYTES { limit } else { limit - limit / SPARE_DIVISOR as u64 }
    }

    /// Admits a new connection, or returns `None` if its listener has no slot left. Appends the
    /// connections that are to be closed to make room to `out`.
    pub fn open(
        &mut self,
        now: Time,
        listener: Listener,
        out: &mut Vec<Closing>,
    ) -> Option<ConnectionId> {
        let limit = self.limits.share(listener).connections;
        let usage = self.usage(listener);
        let usable = limit - limit.div_ceil(SPARE_CONNECTIONS_DIVISOR);
        if usage.connections - usage.closing >= usable
            && let Some(slot) = self.least_useful(now, listener)
        {
            out.push(self.mark(slot, Cause::Connections));
        }
        if usage.connections >= limit {
            return None;
        }
        self.serial += 1;
        let connection = Connection {
            serial: self.serial,
            listener,
            phase: Phase::Idle,
            since: now,
            progress: now,
            moved: 0,
            bytes: 0,
            served: false,
            closing: false,
        };
        let slot = match self.free.pop() {
            Some(slot) => slot,
            None => {
                self.connections.push(None);
                self.connections.len() - 1
            }
        };
        self.connections[slot] = Some(connection);
        self.usage[listener as usize].connections += 1;
        Some(ConnectionId { slot, serial: self.serial })
    }

    /// Removes a connection and returns what it held to the budgets.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.find(id).copied() else { return };
        self.connections[id.slot] = None;
        self.free.push(id.slot);
        let usage = &mut self.usage[connection.listener as usize];
        usage.connections -= 1;
        usage.bytes -= connection.bytes;
        if connection.closing {
            usage.closing -= 1;
            usage.closing_bytes -= connection.bytes;
        }
    }

    /// A connection enters a phase. One that becomes idle again has been served, and holds no bytes.
    pub fn enter(&mut self, now: Time, id: ConnectionId, phase: Phase) {
        let Some(connection) = self.find(id) else { return };
        connection.served |= phase == Phase::Idle;
        (connection.phase, connection.since, connection.progress) = (phase, now, now);
        connection.moved = 0;
        if phase == Phase::Idle {
            let bytes = std::mem::take(&mut connection.bytes);
            let (listener, closing) = (connection.listener, connection.closing);
            let usage = &mut self.usage[listener as usize];
            usage.bytes -= bytes;
            usage.closing_bytes -= if closing { bytes } else { 0 };
        }
    }

    /// `bytes` of a connection were received or sent.
    pub fn progress(&mut self, now: Time, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.find(id) {
            connection.progress = now;
            let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
            connection.moved = connection.moved.saturating_add(bytes);
        }
    }

    /// Sets the bytes that a connection holds, and returns whether they fit into the budget. If they
    /// don't, it holds as many as before. Appends the connections that are to be closed to make room
    /// to `out`.
    pub fn hold(
        &mut self,
        now: Time,
        id: ConnectionId,
        bytes: u64,
        out: &mut Vec<Closing>,
    ) -> bool {
        let Some(connection) = self.find(id).copied() else { return false };
        let limit = self.limits.share(connection.listener).bytes;
        let usable = limit - limit / SPARE_DIVISOR as u64;
        let usage = self.usage(connection.listener);
        let used = usage.bytes - connection.bytes + bytes;
        if bytes > connection.bytes {
            let mut excess = (used - usage.closing_bytes).saturating_sub(usable);
            while excess > 0
                && let Some(slot) = self.slowest_holder(now, id, connection.listener)
            {
                let held = self.connections[slot].map_or(0, |connection| connection.bytes);
                out.push(self.mark(slot, Cause::Bytes));
                excess = excess.saturating_sub(held);
            }
            if used > self.usable(connection.listener, bytes) {
                return false;
            }
        }
        let usage = &mut self.usage[connection.listener as usize];
        usage.bytes = used;
        if connection.closing {
            usage.closing_bytes = usage.closing_bytes - connection.bytes + bytes;
        }
        if let Some(connection) = self.find(id) {
            connection.bytes = bytes;
        }
        true
    }

    /// Appends the connections whose deadline has passed to `out`, which are to be closed. Returns
    /// when to call this again; `None` while no connection is open.
    ///
    /// A deadline that begins later isn't earlier than the returned time, so the caller needs one timer
    /// for all connections.
    pub fn expire(&mut self, now: Time, out: &mut Vec<Closing>) -> Option<Time> {
        let mut next = None;
        for slot in 0..self.connections.len() {
            let Some(connection) = self.connections[slot].filter(|connection| !connection.closing)
            else {
                continue;
            };
            match connection.deadline(&self.limits.timeouts) {
                Some((at, cause)) if at <= now => out.push(self.mark(slot, cause)),
                Some((at, _)) => next = earliest(next, Some(at)),
                None => {}
            }
        }
        let open = self.free.len() < self.connections.len();
        earliest(next, open.then(|| now + self.limits.timeouts.shortest()))
    }

    fn find(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        let connection = self.connections.get_mut(id.slot)?.as_mut()?;
        (connection.serial == id.serial).then_some(connection)
    }

    /// Marks a connection as one that is to be closed.
    fn mark(&mut self, slot: usize, cause: Cause) -> Closing {
        let connection = self.connections[slot].as_mut().expect("the slot is in use");
        connection.closing = true;
        let (serial, listener) = (connection.serial, connection.listener);
        let usage = &mut self.usage[listener as usize];
        usage.closing += 1;
        usage.closing_bytes += connection.bytes;
        Closing { id: ConnectionId { slot, serial }, listener, cause }
    }

    /// The connection that is closed first if a listener has no free slot.
    fn least_useful(&self, now: Time, listener: Listener) -> Option<usize> {
        let ranked = self.candidates(listener).filter_map(|(slot, connection)| {
            connection.usefulness(now).map(|usefulness| (usefulness, slot))
        });
        ranked.min().map(|(_, slot)| slot)
    }

    /// The connection with bytes that is closed first if a listener has no bytes left: the one that
    /// has been slow for the longest time, those that were served after the others.
    fn slowest_holder(&self, now: Time, but: ConnectionId, listener: Listener) -> Option<usize> {
        let holders = self.candidates(listener).filter(|(_, connection)| {
            connection.bytes > 0 && connection.serial != but.serial && connection.is_slow(now)
        });
        let slowest =
            holders.min_by_key(|(_, connection)| (connection.served, connection.on_time()));
        slowest.map(|(slot, _)| slot)
    }

    fn candidates(&self, listener: Listener) -> impl Iterator<Item = (usize, &Connection)> {
        let used = self.connections.iter().enumerate();
        let open = used.filter_map(|(slot, connection)| Some((slot, connection.as_ref()?)));
        open.filter(move |(_, connection)| connection.listener == listener && !connection.closing)
    }
}

impl Connection {
    /// Until when it moved bytes at no less than the minimum rate, on average over its phase.
    fn on_time(&self) -> Time {
        self.progress.min(self.since + BYTE_TIME.saturating_mul(self.moved))
    }

    /// Whether it is in the middle of a request or a response and has stopped or is below the minimum
    /// rate. One that waits for the instance isn't slow: it is nearly served.
    fn is_slow(&self, now: Time) -> bool {
        let transfers = matches!(self.phase, Phase::Head | Phase::Body | Phase::Writing);
        transfers && now.since(self.on_time()) >= SLOW_AFTER
    }

    /// The order in which connections are closed, least useful first; `None` for one that is served at
    /// the moment. Of slow ones the slowest is first, and of idle ones the newest. One on which a
    /// request has been answered is kept longer, but a slow one of these isn't kept in place of one
    /// whose first request may be on its way.
    fn usefulness(&self, now: Time) -> Option<(u8, u64)> {
        let newest = u64::MAX - self.serial;
        if self.is_slow(now) {
            return Some((if self.served { 2 } else { 0 }, self.on_time().as_nanos()));
        }
        match (self.phase, self.served) {
            (Phase::Idle, false) if now.since(self.since) >= SLOW_AFTER => Some((1, newest)),
            (Phase::Idle, false) => Some((3, newest)),
            (Phase::Idle, true) => Some((4, newest)),
            (Phase::Head | Phase::Body | Phase::Calling | Phase::Writing, _) => None,
        }
    }

    /// When it is closed unless it makes progress, and why.
    fn deadline(&self, timeouts: &Timeouts) -> Option<(Time, Cause)> {
        match self.phase {
            Phase::Idle if self.listener == Listener::Peers => None,
            Phase::Idle => Some((self.since + timeouts.idle, Cause::Idle)),
            Phase::Head if self.listener == Listener::Peers => {
                let whole = self.since + FRAME_TIMEOUT.max(timeouts.progress);
                Some((whole.min(self.on_time() + timeouts.progress), Cause::Head))
            }
            Phase::Head => Some((self.since + timeouts.head, Cause::Head)),
            Phase::Body => {
                let whole = self.since + timeouts.body;
                Some((whole.min(self.progress + timeouts.progress), Cause::Body))
            }
            Phase::Calling => None,
            Phase::Writing => Some((self.since + timeouts.write, Cause::Write)),
        }
    }
}
