//! The council's part of an instance: the agreed log, the ledger it adds up to, and the commands
//! on their way into it.
//!
//! Every instance applies the log, so an instance learns the answer to its own command by
//! applying it; no answer crosses the network.

use std::time::Duration;

use crate::{
    codec::{decode_envelope, encode_envelope},
    command::{Command, Envelope, Reply},
    consensus::{
        Consensus,
        log::{Entry, Members, Payload, Recovered, Snapshot},
        port as consensus,
    },
    directory::port::{self as directory, InstanceInfo, PeerMessage, ReplicaStatus},
    ids::{Index, InstanceId, RequestId, Ticket},
    instance::port::{Answer, Effect, LogEvent, Output},
    ledger::{Ledger, Limits, change::Change},
    replicated_log::{
        counts::Counts,
        leadership::Leadership,
        membership::MembershipManager,
        port::{Event, Requester},
        proposals::{Pending, Proposals},
        spillover::Spillover,
    },
    router::port as router,
    scheduler::port as scheduler,
    time::{Time, WallTime, earliest},
};

mod answers;
pub mod counts;
pub mod leadership;
pub mod membership;
pub mod port;
pub mod proposals;
pub mod spillover;

/// What the council's part is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The instance as it presents itself.
    pub me: InstanceInfo,
    /// Whether it founds the council if none exists.
    pub bootstrap: bool,
    /// How many voters the council aims at.
    pub voters: usize,
    /// The wall clock at the monotonic clock's zero.
    pub start: WallTime,
    /// How often an unanswered command is sent again.
    pub resend_after: Duration,
    /// How long the router waits for a claim.
    pub claim_timeout: Duration,
    /// How often the holder of an epoch confirms it.
    pub confirm_interval: Duration,
    /// How long a holder is silent before another instance takes the epoch.
    pub takeover_after: Duration,
    /// How many entries are applied between two snapshots.
    pub snapshot_entries: u64,
    /// How many commands may wait for an answer.
    pub max_pending: usize,
    /// Settings of the agreement.
    pub consensus: consensus::Config,
    /// Bounds of the ledger.
    pub ledger: Limits,
    /// Seeds what is drawn at random.
    pub seed: u64,
}

/// The council's part of an instance.
#[derive(Clone, Debug)]
pub struct ReplicatedLog {
    config: Config,
    consensus: Consensus,
    ledger: Ledger,
    proposals: Proposals,
    counts: Counts,
    leadership: Leadership,
    membership: MembershipManager,
    spillover: Spillover,
    alive: Vec<InstanceInfo>,
    replica_status: ReplicaStatus,
    compacted: Index,
    effects: Vec<consensus::Effect>,
}

impl ReplicatedLog {
    /// Goes on from what storage found.
    ///
    /// # Errors
    ///
    /// The snapshot can't be decoded.
    pub fn new(
        config: Config,
        recovered: Recovered,
        now: Time,
    ) -> Result<Self, crate::ledger::DecodeError> {
        let (ledger, compacted) = match &recovered.snapshot {
            Some(snapshot) => (Ledger::decode(&snapshot.state)?, snapshot.index),
            None => (Ledger::new(config.ledger.clone()), Index(0)),
        };
        let settings = config.consensus.clone();
        let consensus = Consensus::new(settings, recovered, &Members::default(), now, config.seed);
        Ok(Self {
            proposals: Proposals::new(config.max_pending, config.seed),
            counts: Counts::new(config.start),
            leadership: Leadership::new(&config, now),
            membership: MembershipManager::new(&config, now),
            spillover: Spillover::new(now),
            alive: vec![config.me.clone()],
            replica_status: ReplicaStatus::default(),
            effects: Vec::new(),
            compacted,
            ledger,
            consensus,
            config,
        })
    }

    /// What the log added up to so far.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// How the agreement stands.
    pub fn status(&self) -> consensus::Status {
        self.consensus.status()
    }

    /// Tells the other parts what is known at the start.
    pub fn start(&mut self, now: Time, out: &mut Vec<Output>) {
        self.publish_all(now, out);
        self.publish_status(out);
    }

    /// Takes in an event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Output>) {
        match event {
            Event::Timer => self.tick(now, out),
            Event::Consensus { from, message } => {
                self.consensus(now, consensus::Event::Receive { from, message });
            }
            Event::Forwarded { origin, ticket, command } => {
                self.propose(now, origin, ticket, &command);
            }
            Event::Stored { sequence } => {
                self.consensus(now, consensus::Event::Stored { sequence });
            }
            Event::Instances(alive) => self.alive = alive,
            Event::NoGroupFound => self.bootstrap_group(now, out),
            Event::Propose { requester, command } => self.submit(now, requester, *command, out),
            Event::Count { request, customer } => {
                let plan = self.ledger.policy().plan_of(&customer);
                let awaited = plan.is_some_and(|plan| plan.exact_counts);
                self.counts.add(now, request, customer, awaited);
            }
            Event::Query { ticket, query } => {
                let answer = Box::new(self.answer(&query));
                out.push(Output::Effect(Effect::Answer { ticket, answer }));
            }
            Event::Draining => self.leadership.drain(),
        }
        self.run_effects(now, out);
    }

    /// When [`Event::Timer`] is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let own = earliest(self.proposals.next_deadline(), Some(self.leadership.next_deadline()));
        let care = self.membership.next_deadline().min(self.spillover.next_deadline());
        let own = earliest(earliest(own, Some(care)), self.counts.next_deadline());
        earliest(own, self.consensus.next_deadline())
    }

    fn consensus(&mut self, now: Time, event: consensus::Event) {
        self.consensus.handle(now, event, &mut self.effects);
    }

    /// Carries out what the agreement asked for, until nothing is left to do.
    fn run_effects(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Some(command) = self.counts.next_batch(now, self.config.me.instance) {
            self.submit(now, Requester::Counts, command, out);
        }
        while !self.effects.is_empty() {
            for effect in std::mem::take(&mut self.effects) {
                self.run_effect(now, effect, out);
            }
        }
        self.compact(now);
        self.publish_status(out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.consensus.next_deadline().is_some_and(|at| at <= now) {
            self.consensus(now, consensus::Event::Timer);
        }
        let status = self.consensus.status();
        for change in self.membership.tick(now, &status, &self.alive) {
            if !matches!(change, consensus::Event::Standbys { .. }) {
                let change = format!("{change:?}");
                out.push(Output::Effect(Effect::Log(LogEvent::Members { change })));
            }
            self.consensus(now, change);
        }
        if let Some(command) = self.leadership.next_command(now, &self.ledger, &self.alive) {
            self.submit(now, Requester::Leadership, command, out);
        }
        if let Some(ticket) = self.leadership.start_confirmation(now, &self.ledger) {
            self.consensus(now, consensus::Event::Read { ticket });
        }
        for task in self.spillover.due(now) {
            self.offer_task(task, out);
        }
        for ticket in self.proposals.due(now, self.config.resend_after) {
            self.send(now, ticket, out);
        }
        for (requester, sent) in self.proposals.expire(now) {
            self.report_unavailable(&requester, sent, out);
        }
    }

    fn bootstrap_group(&mut self, now: Time, out: &mut Vec<Output>) {
        let status = self.consensus.status();
        if !std::mem::take(&mut self.config.bootstrap) || status.term.0 > 0 || status.last.0 > 0 {
            return;
        }
        let members = Members { voters: vec![self.config.me.instance], learners: Vec::new() };
        let settings = self.config.consensus.clone();
        self.consensus =
            Consensus::new(settings, Recovered::default(), &members, now, self.config.seed);
        out.push(Output::Effect(Effect::Log(LogEvent::Bootstrapped)));
    }

    fn submit(&mut self, now: Time, requester: Requester, command: Command, out: &mut Vec<Output>) {
        let deadline = match &requester {
            Requester::Front { wait, .. } => Some(now + *wait),
            Requester::Claim { .. } | Requester::Leadership => {
                Some(now + self.config.claim_timeout)
            }
            Requester::Settle { .. }
            | Requester::Start { .. }
            | Requester::Yield { .. }
            | Requester::End { .. }
            | Requester::Counts => None,
        };
        match self.proposals.add(now, Pending::new(requester, command, deadline)) {
            Ok(ticket) => self.send(now, ticket, out),
            Err(requester) => self.report_unavailable(&requester, false, out),
        }
    }

    /// Sends a command to the leader, which may be this instance.
    fn send(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Output>) {
        let me = self.config.me.instance;
        let Some(leader) = self.consensus.status().leader else { return };
        let Some(command) = self.proposals.sent(now, ticket) else { return };
        if leader == me {
            let command = command.clone();
            self.propose(now, me, ticket, &command);
        } else {
            let command = Box::new(command.clone());
            let message = PeerMessage::Forward { origin: me, ticket, command };
            out.push(Output::directory(directory::Event::Post { to: leader, message }));
        }
    }

    fn propose(&mut self, now: Time, origin: InstanceId, ticket: Ticket, command: &Command) {
        let at = WallTime(self.config.start.0 + now.as_nanos() / 1_000_000);
        let envelope = Envelope { origin, ticket, at, command: command.clone() };
        let command = encode_envelope(&envelope);
        self.consensus(now, consensus::Event::Propose { ticket, command });
    }

    fn run_effect(&mut self, now: Time, effect: consensus::Effect, out: &mut Vec<Output>) {
        match effect {
            consensus::Effect::Send { to, message } => {
                let from = self.config.me.instance;
                let message = PeerMessage::Consensus { from, message };
                out.push(Output::directory(directory::Event::Post { to, message }));
            }
            consensus::Effect::Store(write) => out.push(Output::Effect(Effect::Store(write))),
            consensus::Effect::Apply(entries) => {
                for entry in entries {
                    self.apply(now, &entry, out);
                }
            }
            consensus::Effect::Restore(snapshot) => self.restore(now, &snapshot, out),
            consensus::Effect::Accepted { .. } => {}
            consensus::Effect::Rejected { ticket, .. } => self.proposals.rejected(ticket),
            consensus::Effect::ReadReady { ticket, index } => {
                if self.leadership.finish_confirmation(now, ticket, index, &self.ledger) {
                    out.push(Output::scheduler(scheduler::Event::LeadershipConfirmed));
                }
            }
            consensus::Effect::ReadFailed { ticket } => self.leadership.read_failed(ticket),
            consensus::Effect::Unhandled { role, trigger } => {
                let reason = format!("{trigger} in role {role}");
                out.push(Output::Effect(Effect::Log(LogEvent::Unhandled { reason })));
            }
            consensus::Effect::RoleChanged { role, term, leader } => {
                let role = role.to_string();
                out.push(Output::Effect(Effect::Log(LogEvent::Role { role, term, leader })));
                self.proposals.retry_all();
            }
        }
    }

    fn apply(&mut self, now: Time, entry: &Entry, out: &mut Vec<Output>) {
        let bytes = match &entry.payload {
            Payload::Command(bytes) => bytes,
            Payload::Empty | Payload::Members(_) => {
                self.ledger.skip(entry.index);
                return;
            }
        };
        let envelope = match decode_envelope(bytes) {
            Ok(envelope) => envelope,
            Err(error) => {
                let (index, reason) = (entry.index, error.to_string());
                out.push(Output::Effect(Effect::Log(LogEvent::Unreadable { index, reason })));
                return;
            }
        };
        let mut changes = Vec::new();
        let reply = self.ledger.apply(entry.index, &envelope, &mut changes);
        // An answer may also repeat an epoch that an earlier start of this instance was granted.
        let granted = changes.iter().find_map(|change| match change {
            Change::CentreGranted { epoch, .. } => Some(*epoch),
            Change::Policy(_)
            | Change::Queued(_)
            | Change::Started { .. }
            | Change::Yielded { .. }
            | Change::Ended { .. }
            | Change::CancelRequested { .. }
            | Change::CentreReleased { .. } => None,
        });
        for change in changes {
            self.publish_change(now, change, out);
        }
        if envelope.origin == self.config.me.instance
            && let Some(pending) = self.proposals.answered(envelope.ticket)
        {
            self.reply(now, &pending, reply, granted, out);
        }
    }

    fn restore(&mut self, now: Time, snapshot: &Snapshot, out: &mut Vec<Output>) {
        match Ledger::decode(&snapshot.state) {
            Ok(ledger) => {
                self.ledger = ledger;
                self.compacted = snapshot.index;
                out.push(Output::Effect(Effect::Log(LogEvent::Restored { index: snapshot.index })));
                self.publish_all(now, out);
            }
            Err(error) => {
                let (index, reason) = (snapshot.index, error.to_string());
                out.push(Output::Effect(Effect::Log(LogEvent::Unreadable { index, reason })));
            }
        }
    }

    fn compact(&mut self, now: Time) {
        let index = self.ledger.applied();
        if index.0 < self.compacted.0 + self.config.snapshot_entries {
            return;
        }
        self.compacted = index;
        let state = self.ledger.encode();
        self.consensus(now, consensus::Event::Compacted { index, state });
    }
}
