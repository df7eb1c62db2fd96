//! Agreement on one log among the instances that have a disk.
//!
//! The machine takes messages, proposals and storage's answers, and gives messages to send,
//! writes to make durable and entries to apply. It promises nothing before the write it rests on
//! was synced. What a role does with an event stands in `charts/consensus.jsonc`; the modules
//! here hold the actions that the chart names.

mod actions;
pub mod chart;
mod election;
mod entries;
mod follower;
mod leader;
pub mod log;
mod membership;
pub mod message;
mod outbox;
pub mod port;
mod reads;
mod reconfigure;
mod replication;
mod transfer;

use std::{borrow::Borrow, collections::BTreeSet, time::Duration};

use crate::{
    consensus::{
        actions::Turn,
        chart::{Role, Trigger},
        entries::Log,
        follower::Following,
        leader::Leadership,
        log::{HardState, Members, Payload, Recovered, Snapshot},
        membership::Membership,
        message::{Body, Message},
        outbox::Outbox,
        port::{Config, Effect, Event, Status},
    },
    ids::{Index, InstanceId, Term},
    time::{Time, earliest},
};

/// One member's part in the agreement: a state machine without I/O, clock or thread.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Consensus {
    config: Config,
    seed: u64,
    role: Role,
    hard: HardState,
    leader: Option<InstanceId>,
    log: Log,
    membership: Membership,
    commit: Index,
    /// When the role's timer fires: the election timeout, or the leader's next heartbeat.
    deadline: Time,
    /// The election timeout that was drawn last.
    timeout: Duration,
    /// Until when a member that has restarted votes for nobody: it may have heard a leader just
    /// before, which counts on its silence.
    quiet_until: Time,
    votes: BTreeSet<InstanceId>,
    following: Following,
    leading: Option<Leadership>,
    standbys: Vec<InstanceId>,
    outbox: Outbox,
    /// What the last [`Effect::RoleChanged`] said.
    announced: Option<Announced>,
    /// The recovered snapshot, until the ledger has it.
    restore: Option<Snapshot>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Announced {
    role: Role,
    term: Term,
    leader: Option<InstanceId>,
}

impl Consensus {
    /// A member that starts with what storage found.
    ///
    /// `bootstrap` are the first members of a council whose storage is still empty; they are
    /// written into the log's first entry and then read from there. An instance that is not
    /// among them, or is given none, waits as a learner until a leader contacts it. `seed` is
    /// for election timeouts. The first call of [`handle`](Self::handle) restores the recovered
    /// snapshot, if there is one.
    pub fn new(
        config: Config,
        recovered: Recovered,
        bootstrap: &Members,
        now: Time,
        seed: u64,
    ) -> Self {
        let Recovered { hard, snapshot, entries } = recovered;
        let mut membership = Membership::new(match &snapshot {
            Some(snapshot) => snapshot.members.clone(),
            None if entries.is_empty() => bootstrap.clone(),
            None => Members::default(),
        });
        for entry in &entries {
            if let Payload::Members(members) = &entry.payload {
                membership.push(entry.index, members.clone());
            }
        }
        let quiet_until = if hard.term.0 > 0 { now + config.election_timeout } else { now };
        let commit = snapshot.as_ref().map_or(Index(0), |snapshot| snapshot.index);
        let log = Log::new(snapshot.clone(), entries);
        let mut machine = Self {
            config,
            seed,
            role: chart::chart().initial(),
            hard,
            leader: None,
            outbox: Outbox::new(log.last()),
            log,
            membership,
            commit,
            deadline: now,
            timeout: Duration::ZERO,
            quiet_until,
            votes: BTreeSet::new(),
            following: Following::new(commit),
            leading: None,
            standbys: Vec::new(),
            announced: None,
            restore: snapshot,
        };
        let mut effects = Vec::new();
        machine.run(&mut Turn::new(now, &Event::Timer, &mut effects), Trigger::Start);
        machine
    }

    /// Takes an event at the time `now` and adds what is to be done to `effects`, in order.
    pub fn handle(&mut self, now: Time, event: impl Borrow<Event>, effects: &mut Vec<Effect>) {
        if let Some(snapshot) = self.restore.take() {
            effects.push(Effect::Restore(snapshot));
        }
        let mut turn = Turn::new(now, event.borrow(), effects);
        self.expire_forwarded(&mut turn);
        self.dispatch(&mut turn);
        while let Some(trigger) = turn.raised.pop_front() {
            self.run(&mut turn, trigger);
        }
        self.announce(turn.effects);
        self.outbox.flush(now, self.log.last(), self.config.max_pending, turn.effects);
    }

    /// When the machine wants [`Event::Timer`] next.
    pub fn next_deadline(&self) -> Option<Time> {
        earliest(Some(self.deadline), self.following.read_deadline())
    }

    /// What the member shows of itself.
    pub fn status(&self) -> Status {
        Status {
            role: self.role,
            term: self.hard.term,
            leader: self.leader,
            commit: self.commit,
            last: self.log.last(),
            snapshot: self.log.snapshot().index,
            members: self.members().clone(),
            quorum_until: self.quorum_until(),
        }
    }

    fn members(&self) -> &Members {
        self.membership.current()
    }

    fn is_voter(&self) -> bool {
        self.members().is_voter(self.config.me)
    }

    /// Compares a message's term, then gives the event to the chart.
    fn dispatch(&mut self, turn: &mut Turn<'_>) {
        match turn.event {
            Event::Receive { message, .. } => {
                if !self.admit(turn, message) {
                    return;
                }
            }
            Event::Stored { sequence } => self.outbox.stored(turn.now, *sequence),
            Event::Timer
            | Event::Propose { .. }
            | Event::Read { .. }
            | Event::Compacted { .. }
            | Event::AddLearner { .. }
            | Event::Promote { .. }
            | Event::ReplaceVoter { .. }
            | Event::RemoveMember { .. }
            | Event::Standbys { .. } => {}
        }
        self.run(turn, Trigger::of(turn.event));
    }

    /// Whether a message's own event goes to the chart, after its term was compared.
    ///
    /// A pre-vote's term is the one asked for, and its answer may come from an older term.
    fn admit(&mut self, turn: &mut Turn<'_>, message: &Message) -> bool {
        let term = self.hard.term;
        match message.body {
            Body::PreVote { .. } if message.term > term => return true,
            Body::PreVoteAnswer { .. } if message.term <= term => return true,
            Body::Vote { .. } if message.term > term => self.run(turn, Trigger::HigherVote),
            Body::PreVote { .. }
            | Body::PreVoteAnswer { .. }
            | Body::Vote { .. }
            | Body::VoteAnswer { .. }
            | Body::Append { .. }
            | Body::AppendAnswer { .. }
            | Body::SnapshotChunk { .. }
            | Body::SnapshotAnswer { .. }
            | Body::ReadIndex { .. }
            | Body::ReadAnswer { .. } => {
                if message.term > term {
                    self.run(turn, Trigger::HigherTerm);
                } else if message.term < term {
                    self.run(turn, Trigger::StaleTerm);
                }
            }
        }
        message.term == self.hard.term
    }

    fn announce(&mut self, effects: &mut Vec<Effect>) {
        let (role, term, leader) = (self.role, self.hard.term, self.leader);
        let now = Announced { role, term, leader };
        if self.announced != Some(now) {
            self.announced = Some(now);
            effects.push(Effect::RoleChanged { role, term, leader });
        }
    }

    fn send(&mut self, to: InstanceId, body: Body) {
        let message = Message { term: self.hard.term, body };
        self.outbox.send(to, message);
    }

    /// Commits up to `index` and hands the entries on.
    fn advance_commit(&mut self, turn: &mut Turn<'_>, index: Index) {
        if index <= self.commit {
            return;
        }
        let entries = self.log.batch(self.commit, index, usize::MAX);
        if self.membership.since() > self.commit && self.membership.since() <= index {
            turn.raised.push_back(Trigger::Members);
        }
        self.commit = index;
        turn.effects.push(Effect::Apply(entries));
    }
}
