//! An instance's replica of the log: consensus, the ledger that the committed entries produce, and
//! the instance's pending commands.
//!
//! Every instance applies the log, so an instance learns the reply to its own command by applying
//! the command's entry; no reply is sent over the network.

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
        voters::VoterWatch,
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
pub mod voters;

/// The settings of the replicated log.
#[derive(Clone, Debug)]
pub struct Config {
    /// This instance's description, sent to others.
    pub me: InstanceInfo,
    /// Whether to start a new consensus group if none is found.
    pub bootstrap: bool,
    /// The number of voters that the group should have.
    pub voters: usize,
    /// The wall-clock time at the monotonic clock's zero.
    pub start: WallTime,
    /// The time after which an unanswered command is sent again.
    pub resend_after: Duration,
    /// How long a claim or a leadership command may take.
    pub claim_timeout: Duration,
    /// How often the holder of an epoch confirms that it still leads the data centre.
    pub confirm_interval: Duration,
    /// How long a data centre must be without a live holder before another instance takes over.
    pub takeover_after: Duration,
    /// The number of applied entries between two snapshots.
    pub snapshot_entries: u64,
    /// The maximum number of commands that await a reply.
    pub max_pending: usize,
    /// The settings of consensus.
    pub consensus: consensus::Config,
    /// The limits of the ledger.
    pub ledger: Limits,
    /// The seed of election timeouts and ticket numbers.
    pub seed: u64,
}

/// How far the instance is with leaving the consensus group before it exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// It stays.
    None,
    /// It drains, and another instance may still have to take over its vote.
    Draining,
    /// It was reported that it may exit.
    Ready,
}

/// An instance's replica of the log.
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
    departure: Departure,
    voter_watch: VoterWatch,
    /// The live instances, including this one.
    alive: Vec<InstanceInfo>,
    /// The status most recently sent to the directory.
    replica_status: ReplicaStatus,
    /// The members most recently sent to the directory.
    published_members: Members,
    /// The index of the last entry that the newest snapshot covers.
    compacted: Index,
    /// Effects of consensus that haven't been carried out yet.
    effects: Vec<consensus::Effect>,
}

impl ReplicatedLog {
    /// Creates the replica from the state that storage recovered.
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
            departure: Departure::None,
            voter_watch: VoterWatch::default(),
            alive: vec![config.me.clone()],
            replica_status: ReplicaStatus::default(),
            published_members: Members::default(),
            effects: Vec::new(),
            compacted,
            ledger,
            consensus,
            config,
        })
    }

    /// The ledger as of the last applied entry.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The status of consensus.
    pub fn status(&self) -> consensus::Status {
        self.consensus.status()
    }

    /// Publishes the recovered state to the other components.
    pub fn start(&mut self, now: Time, out: &mut Vec<Output>) {
        self.publish_all(now, out);
        self.publish_status(out);
    }

    /// Handles an event and appends the outputs to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Output>) {
        match event {
            Event::Timer => self.tick(now, out),
            Event::Consensus { from, message } => {
                self.step_consensus(now, consensus::Event::Receive { from, message });
            }
            Event::Forwarded { origin, ticket, command } => {
                self.propose(now, origin, ticket, &command);
            }
            Event::Stored { sequence } => {
                self.step_consensus(now, consensus::Event::Stored { sequence });
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
            Event::Draining => {
                self.leadership.drain();
                self.departure = Departure::Draining;
            }
        }
        self.run_effects(now, out);
    }

    /// When [`Event::Timer`] is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let own = earliest(self.proposals.next_deadline(), Some(self.leadership.next_deadline()));
        let periodic = self.membership.next_deadline().min(self.spillover.next_deadline());
        let own = earliest(earliest(own, Some(periodic)), self.counts.next_deadline());
        earliest(own, self.consensus.next_deadline())
    }

    fn step_consensus(&mut self, now: Time, event: consensus::Event) {
        self.consensus.handle(now, event, &mut self.effects);
    }

    /// Runs the effects of consensus until none is left.
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
        self.report_departure(out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.consensus.next_deadline().is_some_and(|at| at <= now) {
            self.step_consensus(now, consensus::Event::Timer);
        }
        let status = self.consensus.status();
        for change in self.membership.tick(now, &status, &self.alive) {
            if !matches!(change, consensus::Event::Standbys { .. }) {
                let change = format!("{change:?}");
                out.push(Output::Effect(Effect::Log(LogEvent::Members { change })));
            }
            self.step_consensus(now, change);
        }
        self.report_voters(now, out);
        if let Some(command) = self.leadership.next_command(now, &self.ledger, &self.alive) {
            self.submit(now, Requester::Leadership, command, out);
        }
        if let Some(ticket) = self.leadership.start_confirmation(now, &self.ledger) {
            self.step_consensus(now, consensus::Event::Read { ticket });
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
        let Some(command) = self.proposals.mark_sent(now, ticket) else { return };
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
        self.step_consensus(now, consensus::Event::Propose { ticket, command });
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
            consensus::Effect::Rejected { ticket, .. } => self.proposals.mark_rejected(ticket),
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
            consensus::Effect::SteppedDown(step_down) => {
                out.push(Output::Effect(Effect::Log(LogEvent::SteppedDown(step_down))));
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
        // The reply alone doesn't suffice: it may repeat an epoch that was granted to an earlier
        // process of this instance.
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
            && let Some(pending) = self.proposals.take_answered(envelope.ticket)
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
        self.step_consensus(now, consensus::Event::Compacted { index, state });
    }
}
