//! A gateway: it passes customers' calls on to the controller that leads.
//!
//! A gateway holds no state but the calls that wait. It tells a caller "not run" only while no
//! controller that may have taken the call has been sent it, or one that was has said that it had
//! no effect. Calls are idempotent, so a call whose answer is missing is sent again.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    jobs::{
        call::{Action, Call, Reply},
        link::{ControllerStatus, LinkMessage},
    },
    time::{Time, earliest},
};

/// How often the leader is asked how it stands.
const PROBE: Duration = Duration::from_millis(500);

/// How often all controllers are asked while none is known to lead.
const SEARCH: Duration = Duration::from_millis(150);

/// How long the leader may be silent before another one is looked for; two probes are missed then.
const SILENCE: Duration = Duration::from_millis(1100);

/// How long a call that no controller may have taken waits for a leader. An election takes longer;
/// the caller is told at once when to come back.
const UNSENT_WAIT: Duration = Duration::from_millis(400);

/// How long a call that a controller may have taken waits for the truth.
const SENT_WAIT: Duration = Duration::from_millis(2400);

/// Calls that may wait at a time.
const CALLS: usize = 4096;

/// Something that happened.
#[derive(Debug)]
pub enum Event {
    /// The deadline that was asked for has come.
    Timer,
    /// A customer's call.
    Call {
        /// Matches the answer.
        ticket: u64,
        /// The call.
        call: Call,
        /// How long the caller waits.
        timeout: Duration,
    },
    /// A message from a controller.
    Received {
        /// The controller.
        from: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// The connection to a controller ended; what was sent may have arrived.
    Disconnected(SocketAddr),
    /// The settings name these controllers.
    Seeds(Vec<SocketAddr>),
}

/// Something to do.
#[derive(Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a controller.
    Send {
        /// The controller.
        to: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// Close the connection to a controller that is silent.
    Close(SocketAddr),
    /// Tell the caller.
    Reply {
        /// The call.
        ticket: u64,
        /// The answer.
        reply: Reply,
    },
    /// Whether new callers should be sent here.
    Ready(bool),
    /// Write a line to the log.
    LogEvent(LogEvent),
}

/// A line for the log.
#[derive(Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A leader was found.
    LeaderFound(SocketAddr),
    /// The leader is lost.
    LeaderLost {
        /// Who it was.
        leader: SocketAddr,
        /// Why.
        reason: &'static str,
        /// Calls whose fate isn't known.
        calls: usize,
    },
    /// A call was given up.
    CallTimedOut {
        /// The path that was called.
        path: String,
        /// What the caller was told.
        told: &'static str,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
    },
}

/// A call that waits.
#[derive(Debug)]
struct Pending {
    ticket: u64,
    call: Call,
    since: Time,
    until: Time,
    /// Whether a controller may have taken it.
    exposed: bool,
    /// The controller that was sent it last and hasn't answered.
    sent: Option<SocketAddr>,
}

/// One gateway.
#[derive(Debug)]
pub struct Gateway {
    controllers: Vec<SocketAddr>,
    leader: Option<SocketAddr>,
    heard: Time,
    probe: Time,
    configured: bool,
    ready: bool,
    next: u64,
    pending: BTreeMap<u64, Pending>,
}

impl Gateway {
    /// A gateway that asks `seeds` first.
    pub fn new(seeds: Vec<SocketAddr>, now: Time) -> Self {
        Self {
            controllers: seeds,
            leader: None,
            heard: now,
            probe: now,
            configured: false,
            ready: false,
            next: 0,
            pending: BTreeMap::new(),
        }
    }

    /// When [`Event::Timer`] is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let calls = self.pending.values().map(|pending| pending.until).min();
        earliest(calls, Some(self.probe))
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// Takes an event in and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Timer => {}
            Event::Call { ticket, call, timeout } => self.call(now, ticket, call, timeout, out),
            Event::Received { from, message } => self.receive(now, from, message, out),
            Event::Disconnected(at) if self.leader == Some(at) => {
                self.lose(now, "disconnected", out)
            }
            Event::Disconnected(_) => {}
            Event::Seeds(seeds) => {
                for seed in seeds {
                    self.learn(seed);
                }
            }
        }
        self.tick(now, out);
        let ready = self.leader.is_some() && self.configured;
        if ready != self.ready {
            self.ready = ready;
            out.push(Effect::Ready(ready));
        }
    }

    fn call(
        &mut self,
        now: Time,
        ticket: u64,
        call: Call,
        timeout: Duration,
        out: &mut Vec<Effect>,
    ) {
        if self.pending.len() >= CALLS {
            out.push(Effect::Reply { ticket, reply: Reply::NotRun });
            return;
        }
        self.next += 1;
        let wait = if self.leader.is_some() { SENT_WAIT } else { UNSENT_WAIT };
        let until = now + timeout.min(wait);
        let pending = Pending { ticket, call, since: now, until, exposed: false, sent: None };
        self.pending.insert(self.next, pending);
        self.send(self.next, out);
    }

    /// Sends a call to the leader, if one is known.
    fn send(&mut self, number: u64, out: &mut Vec<Effect>) {
        let (Some(to), Some(pending)) = (self.leader, self.pending.get_mut(&number)) else {
            return;
        };
        pending.sent = Some(to);
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
            self.heard = now;
        }
        match message {
            LinkMessage::Answer { number, reply: Reply::Unknown } => {
                if let Some(pending) = self.pending.get_mut(&number) {
                    pending.exposed = true;
                    pending.sent = None;
                }
                self.step_back(now, from, None, out);
            }
            LinkMessage::Answer { number, reply } => {
                if let Some(pending) = self.pending.remove(&number) {
                    out.push(Effect::Reply { ticket: pending.ticket, reply });
                }
            }
            LinkMessage::Redirect { number, leader } => {
                if let Some(pending) = self.pending.get_mut(&number) {
                    pending.sent = None;
                }
                self.step_back(now, from, leader, out);
            }
            LinkMessage::Status(standing) => self.stand(now, from, &standing, out),
            LinkMessage::Hello(_)
            | LinkMessage::Consensus { .. }
            | LinkMessage::Forward { .. }
            | LinkMessage::Probe => {}
        }
    }

    /// A controller says that it doesn't lead.
    fn step_back(
        &mut self,
        now: Time,
        from: SocketAddr,
        hint: Option<SocketAddr>,
        out: &mut Vec<Effect>,
    ) {
        if self.leader == Some(from) {
            self.lose(now, "stepped down", out);
        }
        if let Some(hint) = hint {
            self.learn(hint);
            out.push(Effect::Send { to: hint, message: LinkMessage::Probe });
        }
    }

    fn stand(
        &mut self,
        now: Time,
        from: SocketAddr,
        standing: &ControllerStatus,
        out: &mut Vec<Effect>,
    ) {
        for at in &standing.controllers {
            self.learn(*at);
        }
        if !standing.leads {
            return self.step_back(now, from, standing.leader, out);
        }
        self.configured = standing.configured;
        if self.leader == Some(from) {
            return;
        }
        if self.leader.is_some() {
            self.lose(now, "was replaced", out);
        }
        out.push(Effect::LogEvent(LogEvent::LeaderFound(from)));
        (self.leader, self.heard) = (Some(from), now);
        self.probe = now + PROBE;
        let numbers: Vec<u64> = self.pending.keys().copied().collect();
        for number in numbers {
            self.send(number, out);
        }
    }

    fn learn(&mut self, at: SocketAddr) {
        if !self.controllers.contains(&at) {
            self.controllers.push(at);
        }
    }

    /// Forgets the leader; calls that it was sent may have been taken.
    fn lose(&mut self, now: Time, reason: &'static str, out: &mut Vec<Effect>) {
        let Some(leader) = self.leader.take() else { return };
        let mut calls = 0;
        for pending in self.pending.values_mut() {
            if pending.sent.take().is_some() {
                pending.exposed = true;
                calls += 1;
            } else if !pending.exposed {
                pending.until = pending.until.min(now + UNSENT_WAIT);
            }
        }
        self.probe = now;
        out.push(Effect::LogEvent(LogEvent::LeaderLost { leader, reason, calls }));
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        if let Some(leader) = self.leader
            && now.since(self.heard) > SILENCE
        {
            out.push(Effect::Close(leader));
            self.lose(now, "is silent", out);
        }
        if self.probe <= now {
            match self.leader {
                Some(to) => {
                    out.push(Effect::Send { to, message: LinkMessage::Probe });
                    self.probe = now + PROBE;
                }
                None => {
                    for to in &self.controllers {
                        out.push(Effect::Send { to: *to, message: LinkMessage::Probe });
                    }
                    self.probe = now + SEARCH;
                }
            }
        }
        let late = self.pending.iter().filter(|(_, pending)| pending.until <= now);
        let late: Vec<u64> = late.map(|(number, _)| *number).collect();
        for number in late {
            self.give_up(now, number, out);
        }
    }

    fn give_up(&mut self, now: Time, number: u64, out: &mut Vec<Effect>) {
        let Some(pending) = self.pending.remove(&number) else { return };
        let exposed = pending.exposed || pending.sent.is_some();
        let changes = match pending.call.action {
            Action::Submit(_) | Action::Cancel => true,
            Action::Show => false,
        };
        let (reply, told) = match exposed && changes {
            true => (Reply::Unknown, "unknown"),
            false => (Reply::NotRun, "not run"),
        };
        let waited_ms = u64::try_from(now.since(pending.since).as_millis()).unwrap_or(u64::MAX);
        let path = pending.call.path.to_string();
        out.push(Effect::LogEvent(LogEvent::CallTimedOut { path, told, waited_ms }));
        out.push(Effect::Reply { ticket: pending.ticket, reply });
    }
}
