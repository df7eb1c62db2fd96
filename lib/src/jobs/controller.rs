//! A controller: a replica of the replicated state, and the leader while it is elected.
//!
//! The leader makes its decisions on a working copy of the state that is ahead of the log. It sends
//! an answer only after the records that the answer depends on are committed. A leader that loses
//! its term drops the working copy and all uncommitted decisions.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use crate::{
    consensus::{
        Consensus,
        chart::Role,
        log::{Entry, Members, Payload, Recovered, Snapshot},
        port as consensus,
    },
    ids::{DataCentre, Epoch, Index, InstanceId},
    jobs::{
        contacts::Contacts,
        controller::{
            handover::Shutdown, leader::Leader, turn::PendingProposal, watch::Leaderless,
        },
        link::LinkMessage,
        members::{Membership, recorded_peers},
        record::{Batch, Node},
        state::State,
    },
    time::{Time, WallTime, earliest},
};

mod admission;
mod calls;
mod capacity;
pub mod config;
pub mod evacuate;
mod handover;
mod heartbeat;
mod hellos;
mod hold;
pub mod leader;
mod leaving;
mod near;
mod near_gang;
mod occurrences;
pub mod port;
mod probation;
mod proposal;
mod relieve;
mod relocate;
mod respond;
mod round;
mod schedule;
mod stragglers;
mod stranded;
mod turn;
mod unlisted;
mod unqueued;
mod vacancy;
pub mod wait_reports;
mod watch;
mod withheld;

pub use self::{
    config::{Config, Timing},
    port::{Answer, Effect, Event, LogEvent, Ticket, UnknownEnd},
};

/// A controller.
#[derive(Debug)]
pub struct Controller {
    config: Config,
    consensus: Consensus,
    committed: State,
    applied: Index,
    compacted: Index,
    /// The size of the commands that were applied since the last snapshot, in bytes.
    logged_bytes: usize,
    /// The size of the last snapshot, in bytes.
    snapshot_bytes: usize,
    addresses: BTreeMap<InstanceId, SocketAddr>,
    leader: Option<Leader>,
    pending: VecDeque<PendingProposal>,
    proposals: u64,
    membership: Membership,
    contacts: Contacts,
    next_hello: Time,
    shutdown: Shutdown,
    leaderless: Leaderless,
    effects: Vec<consensus::Effect>,
}

impl Controller {
    /// Creates a controller from what was recovered from storage.
    ///
    /// # Errors
    ///
    /// The snapshot can't be decoded.
    pub fn new(
        config: Config,
        recovered: Recovered,
        now: Time,
    ) -> Result<Self, crate::codec::DecodeError> {
        let (committed, applied) = match &recovered.snapshot {
            Some(snapshot) => (State::decode(&snapshot.state)?, snapshot.index),
            None => (State::default(), Index(0)),
        };
        let snapshot_bytes = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.state.len());
        let mut addresses: BTreeMap<_, _> = config.founders.iter().copied().collect();
        addresses.extend(committed.nodes.values().map(|node| (node.id, node.peer)));
        addresses.extend(recorded_peers(&recovered.entries));
        let mut voters: Vec<_> = config.founders.iter().map(|(id, _)| *id).collect();
        voters.sort_unstable();
        let founders = Members { voters, learners: Vec::new() };
        let consensus =
            Consensus::new(config.consensus.clone(), recovered, &founders, now, config.seed);
        Ok(Self {
            membership: Membership::new(config.voters, now),
            contacts: Contacts::new(config.me.peer, &config.seeds),
            next_hello: now,
            shutdown: Shutdown::None,
            leaderless: Leaderless::Since(now),
            leader: None,
            pending: VecDeque::new(),
            proposals: 0,
            compacted: applied,
            logged_bytes: 0,
            snapshot_bytes,
            effects: Vec::new(),
            committed,
            applied,
            addresses,
            consensus,
            config,
        })
    }

    /// The committed state.
    pub fn committed(&self) -> &State {
        &self.committed
    }

    /// The leader's working copy of the state and its workers; `None` while this controller doesn't
    /// lead.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// The data centres that may be evacuated; empty if those with any valid name may be.
    pub fn centres(&self) -> &[DataCentre] {
        &self.config.centres
    }

    /// The status of the consensus module.
    pub fn status(&self) -> consensus::Status {
        self.consensus.status()
    }

    /// When [`Event::Timer`] is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let own = match &self.leader {
            Some(leader) => earliest(leader.next_deadline(), Some(self.membership.next_deadline())),
            None => None,
        };
        earliest(earliest(own, Some(self.next_hello)), self.consensus.next_deadline())
    }

    /// Handles events and appends the resulting effects to `out`.
    ///
    /// `wall` is the wall clock, which decides when repeated jobs are due. The records of all
    /// events of one call, which is a turn, are proposed as one log entry.
    pub fn handle(
        &mut self,
        now: Time,
        wall: WallTime,
        events: impl IntoIterator<Item = Event>,
        out: &mut Vec<Effect>,
    ) {
        for event in events {
            self.handle_event(now, wall, event, out);
        }
        self.tick(now, out);
        self.run_effects(now, wall, out);
        self.finish_turn(now, wall, out);
        self.run_effects(now, wall, out);
        self.compact(now);
        self.run_effects(now, wall, out);
        self.check_handover(now, out);
    }

    fn handle_event(&mut self, now: Time, wall: WallTime, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Timer => {}
            Event::Hello(hello) => self.receive_hello(now, &hello, out),
            Event::Seeds(seeds) => {
                self.contacts.set_seeds(&seeds);
                self.next_hello = now;
            }
            Event::ShutDown => self.shut_down(now),
            Event::Consensus { from, message } => {
                self.step_consensus(now, consensus::Event::Receive { from, message });
                self.run_effects(now, wall, out);
            }
            Event::Stored { sequence } => {
                self.step_consensus(now, consensus::Event::Stored { sequence });
                self.run_effects(now, wall, out);
            }
            Event::Call { ticket, call } => self.call(now, wall, ticket, call, out),
            Event::Operator { ticket, request } => {
                self.operator_request(now, ticket, request, out);
            }
            Event::Heartbeat { ticket, report } => {
                let leads = self.leads(now);
                match &mut self.leader {
                    Some(leader) if leads => leader.heartbeat(now, ticket, &report),
                    Some(_) | None => self.redirect(ticket, out),
                }
            }
            Event::Leave { ticket, name, incarnation, ended } => {
                let leads = self.leads(now);
                match &mut self.leader {
                    Some(leader) if leads => {
                        leader.handle_leave(now, ticket, (&name, incarnation), &ended)
                    }
                    Some(_) | None => self.redirect(ticket, out),
                }
            }
            Event::Probe { ticket } => {
                let answer = Answer::Status(self.probe_status(now));
                out.push(Effect::Answer { ticket, answer, until: None });
            }
        }
    }

    /// Whether this controller leads and holds a valid leader lease, so that no other controller
    /// can lead.
    fn leads(&self, now: Time) -> bool {
        self.leader.is_some() && self.consensus.lease_until().is_some_and(|until| now < until)
    }

    fn leader_node(&self) -> Option<&Node> {
        let leader = self.consensus.status().leader.filter(|id| *id != self.config.me.id)?;
        self.committed.nodes.get(&leader)
    }

    fn redirect(&self, ticket: Ticket, out: &mut Vec<Effect>) {
        let answer = Answer::Redirect(self.leader_node().cloned());
        out.push(Effect::Answer { ticket, answer, until: None });
    }

    fn step_consensus(&mut self, now: Time, event: consensus::Event) {
        self.consensus.handle(now, event, &mut self.effects);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.consensus.next_deadline().is_some_and(|at| at <= now) {
            self.step_consensus(now, consensus::Event::Timer);
        }
        if self.next_hello <= now {
            self.send_hellos(now, out);
        }
        self.report_leaderless(now, out);
        if self.leader.is_some() {
            self.membership.record_hello(now, &self.config.me);
            let (status, due) = (self.consensus.status(), self.membership.next_deadline() <= now);
            if due {
                self.watch_voters(now, &status, out);
            }
            for event in self.membership.tick(now, &status, &self.committed.nodes) {
                if !matches!(event, consensus::Event::Standbys { .. }) {
                    let change = format!("{event:?}");
                    out.push(Effect::LogEvent(LogEvent::Members { change }));
                }
                self.step_consensus(now, event);
            }
        }
    }

    /// Executes the effects of the consensus module until none is left.
    fn run_effects(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        while !self.effects.is_empty() {
            for effect in std::mem::take(&mut self.effects) {
                self.run_effect(now, wall, effect, out);
            }
        }
    }

    fn run_effect(
        &mut self,
        now: Time,
        wall: WallTime,
        effect: consensus::Effect,
        out: &mut Vec<Effect>,
    ) {
        match effect {
            consensus::Effect::Send { to, message } => {
                if let Some(to) = self.addresses.get(&to).copied() {
                    let from = self.config.me.id;
                    let message = LinkMessage::Consensus { from, message };
                    out.push(Effect::Send { to, message });
                }
            }
            consensus::Effect::Store(write) => out.push(Effect::Store(write)),
            consensus::Effect::Apply(entries) => {
                for entry in entries {
                    self.apply(now, wall, &entry, out);
                }
            }
            consensus::Effect::Restore(snapshot) => self.restore(&snapshot, out),
            consensus::Effect::Rejected { .. } => self.step_down(out),
            consensus::Effect::RoleChanged { role, term, leader } => {
                self.record_leader(now, leader.is_some());
                out.push(Effect::LogEvent(LogEvent::Role { role, term, leader }));
                if role != Role::Leader {
                    self.step_down(out);
                }
            }
            consensus::Effect::SteppedDown(step_down) => {
                out.push(Effect::LogEvent(LogEvent::SteppedDown(step_down)));
            }
            consensus::Effect::Unhandled { role, trigger } => {
                let reason = format!("{trigger} in role {role}");
                out.push(Effect::LogEvent(LogEvent::Unhandled { reason }));
            }
            consensus::Effect::Accepted { .. }
            | consensus::Effect::ReadReady { .. }
            | consensus::Effect::ReadFailed { .. } => {}
        }
    }

    fn apply(&mut self, now: Time, wall: WallTime, entry: &Entry, out: &mut Vec<Effect>) {
        self.applied = entry.index;
        match &entry.payload {
            Payload::Command(bytes) => {
                self.logged_bytes += bytes.len();
                match Batch::decode(bytes) {
                    Ok(batch) => self.apply_batch(now, &batch, out),
                    Err(error) => {
                        let (index, reason) = (entry.index, error.to_string());
                        out.push(Effect::LogEvent(LogEvent::Unreadable { index, reason }));
                    }
                }
            }
            Payload::Members(members) => {
                let (voters, learners) = (members.voters.clone(), members.learners.clone());
                out.push(Effect::LogEvent(LogEvent::MembersCommitted { voters, learners }));
            }
            Payload::Empty => {}
        }
        // A new leader has applied all earlier entries once it applies the first entry of its own
        // term.
        let status = self.consensus.status();
        if self.leader.is_none() && status.role == Role::Leader && entry.term == status.term {
            let epoch = Epoch(status.term.0);
            let state = self.committed.clone();
            let mut leader = Leader::new(state, epoch, &self.config, now, wall, out);
            leader.record_node(now, &self.config.me);
            self.leader = Some(leader);
        }
    }

    fn apply_batch(&mut self, now: Time, batch: &Batch, out: &mut Vec<Effect>) {
        let version = self.committed.config.as_ref().map(|config| config.version);
        let mut changes = Vec::new();
        self.committed.apply_batch(batch, &mut changes);
        if let Some(config) = &self.committed.config
            && version != Some(config.version)
        {
            let (version, queues) = (config.version, config.queues.len());
            out.push(Effect::LogEvent(LogEvent::Configured { version, queues }));
        }
        for node in self.committed.nodes.values() {
            self.addresses.entry(node.id).or_insert(node.peer);
        }
        if batch.origin != self.config.me.id {
            return;
        }
        while self.pending.front().is_some_and(|pending| pending.number <= batch.number) {
            let Some(pending) = self.pending.pop_front() else { return };
            let (records, took) = (pending.records, now.since(pending.since));
            out.push(Effect::LogEvent(LogEvent::Committed { records, took }));
            for (ticket, answer) in pending.answers {
                self.answer(now, ticket, answer, out);
            }
        }
    }

    /// Sends an answer. One that grants a lease must not be sent after the leader lease has
    /// expired.
    fn answer(&self, now: Time, ticket: Ticket, answer: Answer, out: &mut Vec<Effect>) {
        let until = match &answer {
            Answer::Heartbeat(_) => Some(self.consensus.lease_until().unwrap_or(now)),
            Answer::Reply(_)
            | Answer::Operator(_)
            | Answer::Acknowledged
            | Answer::Redirect(_)
            | Answer::Status(_) => None,
        };
        out.push(Effect::Answer { ticket, answer, until });
    }

    fn restore(&mut self, snapshot: &Snapshot, out: &mut Vec<Effect>) {
        match State::decode(&snapshot.state) {
            Ok(state) => {
                self.addresses.extend(state.nodes.values().map(|node| (node.id, node.peer)));
                self.committed = state;
                self.applied = snapshot.index;
                self.compacted = snapshot.index;
                (self.logged_bytes, self.snapshot_bytes) = (0, snapshot.state.len());
            }
            Err(error) => {
                let (index, reason) = (snapshot.index, error.to_string());
                out.push(Effect::LogEvent(LogEvent::Unreadable { index, reason }));
            }
        }
    }
}
