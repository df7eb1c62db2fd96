//! A gateway: it forwards customers' calls to the leading controller.
//!
//! The only state of a gateway is its pending calls. It answers `NotRun` only if the call can't
//! have had an effect: no controller received it, or every controller that did reported that it had
//! no effect. Calls are idempotent, so a call without an answer is sent again to the next leader.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    jobs::{
        call::{Call, Reply},
        link::{ControllerStatus, LinkMessage},
    },
    time::{Time, earliest},
};

/// The interval between status probes to the leader.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The interval between status probes to all controllers while no leader is known.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);

/// The time without a message after which the leader is considered lost; it spans two missed
/// probes.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1100);

/// How long a call that no controller can have received waits for a leader. An election takes
/// longer, so the caller is told soon to retry later.
const UNSENT_WAIT: Duration = Duration::from_millis(400);

/// How long a call that a controller may have received waits for an answer.
const SENT_WAIT: Duration = Duration::from_millis(2400);

/// The maximum number of controllers that are probed beside the seeds; a deployment has far fewer.
const MAX_CONTROLLERS: usize = 64;

/// The maximum number of pending calls.
const MAX_CALLS: usize = 4096;

/// The default for the most bytes of pending calls.
const MAX_BYTES: u64 = 32 << 20;

/// An input of the gateway.
#[derive(Debug)]
pub enum Event {
    /// The deadline given by [`Gateway::next_deadline`] has passed.
    Timer,
    /// A customer's call.
    Call {
        /// Identifies the call in its [`Effect::Reply`].
        ticket: u64,
        /// The call.
        call: Call,
        /// Until when the caller is willing to wait.
        deadline: Time,
    },
    /// A message from a controller.
    Received {
        /// The controller.
        from: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// The connection to a controller was closed. Messages sent on it may have arrived.
    Disconnected(SocketAddr),
    /// Controllers named in the settings.
    Seeds(Vec<SocketAddr>),
}

/// An output of the gateway.
#[derive(Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a controller.
    Send {
        /// The controller.
        to: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// Close the connection to a controller that timed out.
    Close(SocketAddr),
    /// Answer a call.
    Reply {
        /// The ticket of the call.
        ticket: u64,
        /// The answer.
        reply: Reply,
    },
    /// Whether new callers should be sent to this gateway.
    Ready(bool),
    /// Write a log event.
    LogEvent(LogEvent),
}

/// An event for the log and the metrics.
#[derive(Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A leader was found.
    LeaderFound(SocketAddr),
    /// The leader is lost.
    LeaderLost {
        /// The address of the lost leader.
        leader: SocketAddr,
        /// Why it is considered lost.
        reason: &'static str,
        /// The number of calls with an unknown outcome.
        calls: usize,
    },
    /// A call reached its deadline without an answer.
    CallTimedOut {
        /// The path of the call.
        path: String,
        /// The outcome that the caller was told.
        told: &'static str,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
    },
}

/// A call without an answer yet.
#[derive(Debug)]
struct Pending {
    ticket: u64,
    call: Call,
    /// The bytes of the call.
    bytes: u64,
    since: Time,
    until: Time,
    /// Until when it waits for an answer once it is sent.
    answer_until: Time,
    /// Whether a controller may have received it.
    maybe_received: bool,
    /// The controller that it was last sent to, until that one answers or is lost.
    sent: Option<SocketAddr>,
}

impl Pending {
    /// Whether a controller that didn't say otherwise may have run it.
    fn maybe_run(&self) -> bool {
        self.maybe_received && self.call.action.changes()
    }
}

/// A gateway.
#[derive(Debug)]
pub struct Gateway {
    /// The controllers named in the settings.
    seeds: Vec<SocketAddr>,
    /// The controllers that others have named. The list of a leader replaces it, so that those that
    /// are gone are forgotten.
    controllers: BTreeSet<SocketAddr>,
    leader: Option<SocketAddr>,
    last_contact: Time,
    next_probe: Time,
    configured: bool,
    ready: bool,
    next: u64,
    pending: BTreeMap<u64, Pending>,
    /// The bytes of the pending calls, and the most that they may have.
    bytes: u64,
    max_bytes: u64,
}

impl Gateway {
    /// A gateway that first probes the controllers in `seeds`.
    pub fn new(seeds: Vec<SocketAddr>, now: Time) -> Self {
        Self {
            seeds,
            controllers: BTreeSet::new(),
            leader: None,
            last_contact: now,
            next_probe: now,
            configured: false,
            ready: false,
            next: 0,
            pending: BTreeMap::new(),
            bytes: 0,
            max_bytes: MAX_BYTES,
        }
    }

    /// Sets the most bytes of pending calls. A single call may have more.
    pub fn with_max_bytes(self, max_bytes: u64) -> Self {
        Self { max_bytes, ..self }
    }

    /// When [`Event::Timer`] is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let calls = self.pending.values().map(|pending| pending.until).min();
        earliest(calls, Some(self.next_probe))
    }

    /// The bytes of the pending calls.
    pub fn pending_bytes(&self) -> u64 {
        self.bytes
    }

    /// The number of pending calls.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Timer => {}
            Event::Call { ticket, call, deadline } => self.call(now, ticket, call, deadline, out),
            Event::Received { from, message } => self.receive(now, from, message, out),
            Event::Disconnected(at) if self.leader == Some(at) => {
                self.lose_leader(now, "disconnected", out)
            }
            Event::Disconnected(_) => {}
            Event::Seeds(seeds) => self.seeds = seeds,
        }
        self.tick(now, out);
        let ready = self.leader.is_some() && self.configured;
        if ready != self.ready {
            self.ready = ready;
            out.push(Effect::Ready(ready));
        }
    }

    fn call(&mut self, now: Time, ticket: u64, call: Call, deadline: Time, out: &mut Vec<Effect>) {
        let bytes = call.memory_bytes();
        let full = self.bytes > 0 && self.bytes + bytes > self.max_bytes;
        if self.pending.len() >= MAX_CALLS || full {
            out.push(Effect::Reply { ticket, reply: Reply::NotRun });
            return;
        }
        self.next += 1;
        self.bytes += bytes;
        let pending = Pending {
            ticket,
            call,
            bytes,
            since: now,
            until: deadline.min(now + UNSENT_WAIT),
            answer_until: deadline.min(now + SENT_WAIT),
            maybe_received: false,
            sent: None,
        };
        self.pending.insert(self.next, pending);
        self.send(now, self.next, out);
    }

    /// Removes a pending call.
    fn take(&mut self, number: u64) -> Option<Pending> {
        let pending = self.pending.remove(&number)?;
        self.bytes -= pending.bytes;
        Some(pending)
    }

    /// Sends a call to the leader, if one is known, unless its caller no longer waits for the answer. The time
    /// for it may have passed while this process was suspended.
    fn send(&mut self, now: Time, number: u64, out: &mut Vec<Effect>) {
        let (Some(to), Some(pending)) = (self.leader, self.pending.get_mut(&number)) else {
            return;
        };
        if pending.answer_until <= now {
            return;
        }
        pending.sent = Some(to);
        pending.until = pending.answer_until;
        let message = LinkMessage::Forward { number, call: pending.call.clone() };
        out.push(Effect::Send { to, message });
    }

    fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: LinkMessage,
        out: &mut Vec<Effect>,
    ) {
        if self.leader == Some(from) {
            self.last_contact = now;
        }
        match message {
            LinkMessage::Answer { number, reply: Reply::Unknown } => {
                if let Some(pending) = self.pending.get_mut(&number) {
                    pending.maybe_received = true;
                    pending.sent = None;
                }
                self.follow_redirect(now, from, None, out);
            }
            LinkMessage::Answer { number, reply } => {
                if let Some(pending) = self.take(number) {
                    // What this controller refuses, an earlier one may have run.
                    let told = match reply {
                        Reply::NotRun if pending.maybe_run() => Reply::Unknown,
                        reply => reply,
                    };
                    out.push(Effect::Reply { ticket: pending.ticket, reply: told });
                }
            }
            LinkMessage::Redirect { number, leader } => {
                if let Some(pending) = self.pending.get_mut(&number) {
                    pending.sent = None;
                }
                self.follow_redirect(now, from, leader, out);
            }
            LinkMessage::Status(status) => self.handle_status(now, from, &status, out),
            LinkMessage::Hello(_)
            | LinkMessage::Consensus { .. }
            | LinkMessage::Forward { .. }
            | LinkMessage::Probe => {}
        }
    }

    /// Handles a message by which a controller says that it doesn't lead, and probes the leader
    /// that the message names.
    fn follow_redirect(
        &mut self,
        now: Time,
        from: SocketAddr,
        hint: Option<SocketAddr>,
        out: &mut Vec<Effect>,
    ) {
        if self.leader == Some(from) {
            self.lose_leader(now, "stepped down", out);
        }
        if let Some(hint) = hint {
            self.add_controller(hint);
            out.push(Effect::Send { to: hint, message: LinkMessage::Probe });
        }
    }

    fn handle_status(
        &mut self,
        now: Time,
        from: SocketAddr,
        status: &ControllerStatus,
        out: &mut Vec<Effect>,
    ) {
        if status.leads {
            self.controllers.clear();
        }
        for at in status.controllers.iter().chain([&from]) {
            self.add_controller(*at);
        }
        if !status.leads {
            return self.follow_redirect(now, from, status.leader, out);
        }
        self.configured = status.configured;
        if self.leader == Some(from) {
            return;
        }
        if self.leader.is_some() {
            self.lose_leader(now, "was replaced", out);
        }
        out.push(Effect::LogEvent(LogEvent::LeaderFound(from)));
        (self.leader, self.last_contact) = (Some(from), now);
        self.next_probe = now + PROBE_INTERVAL;
        let numbers: Vec<u64> = self.pending.keys().copied().collect();
        for number in numbers {
            self.send(now, number, out);
        }
    }

    fn add_controller(&mut self, at: SocketAddr) {
        if self.controllers.len() < MAX_CONTROLLERS {
            self.controllers.insert(at);
        }
    }

    /// Forgets the leader. Calls that were sent to it may have been executed.
    fn lose_leader(&mut self, now: Time, reason: &'static str, out: &mut Vec<Effect>) {
        let Some(leader) = self.leader.take() else { return };
        let mut calls = 0;
        for pending in self.pending.values_mut() {
            if pending.sent.take().is_some() {
                pending.maybe_received = true;
                calls += 1;
            } else if !pending.maybe_received {
                pending.until = pending.until.min(now + UNSENT_WAIT);
            }
        }
        self.next_probe = now;
        out.push(Effect::LogEvent(LogEvent::LeaderLost { leader, reason, calls }));
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        if let Some(leader) = self.leader
            && now.since(self.last_contact) > LEADER_TIMEOUT
        {
            out.push(Effect::Close(leader));
            self.lose_leader(now, "is silent", out);
        }
        if self.next_probe <= now {
            match self.leader {
                Some(to) => {
                    out.push(Effect::Send { to, message: LinkMessage::Probe });
                    self.next_probe = now + PROBE_INTERVAL;
                }
                None => {
                    let all: BTreeSet<_> = self.controllers.iter().chain(&self.seeds).collect();
                    for to in all {
                        out.push(Effect::Send { to: *to, message: LinkMessage::Probe });
                    }
                    self.next_probe = now + SEARCH_INTERVAL;
                }
            }
        }
        let late = self.pending.iter().filter(|(_, pending)| pending.until <= now);
        let late: Vec<u64> = late.map(|(number, _)| *number).collect();
        for number in late {
            self.time_out_call(now, number, out);
        }
    }

    fn time_out_call(&mut self, now: Time, number: u64, out: &mut Vec<Effect>) {
        let Some(pending) = self.take(number) else { return };
        let maybe_sent = pending.sent.is_some() && pending.call.action.changes();
        let (reply, told) = match pending.maybe_run() || maybe_sent {
            true => (Reply::Unknown, "unknown"),
            false => (Reply::NotRun, "not run"),
        };
        let waited_ms = u64::try_from(now.since(pending.since).as_millis()).unwrap_or(u64::MAX);
        let path = pending.call.path.to_string();
        out.push(Effect::LogEvent(LogEvent::CallTimedOut { path, told, waited_ms }));
        out.push(Effect::Reply { ticket: pending.ticket, reply });
    }
}
