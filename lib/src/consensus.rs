//! Consensus on one replicated log, after Raft. Instances with a disk may vote; the others follow as
//! learners.
//!
//! The state machine takes messages, proposals and completed writes, and returns messages to send,
//! writes to make durable and entries to apply. No message leaves before the write that it depends
//! on is synced. The transitions of each role are defined in `charts/consensus.jsonc`; the modules
//! here implement the actions that the chart names.

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
        actions::EventContext,
        chart::{Role, Trigger},
        entries::Log,
        follower::FollowerState,
        leader::LeaderState,
        log::{HardState, Members, Payload, Recovered, Snapshot},
        membership::Membership,
        message::{Body, Message},
        outbox::Outbox,
        port::{Config, Effect, Event, Status},
    },
    ids::{Index, InstanceId, Term},
    time::{Time, earliest},
};

/// The consensus state machine of one member, without I/O, clock or thread.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Consensus {
    config: Config,
    seed: u64,
    role: Role,
    hard_state: HardState,
    leader: Option<InstanceId>,
    log: Log,
    membership: Membership,
    commit: Index,
    /// When the role's timer expires: the election timeout, or the leader's next heartbeat.
    deadline: Time,
    /// The most recent randomised election timeout.
    timeout: Duration,
    /// Until when a restarted member grants no vote: it may have answered a leader just before the
    /// restart, and that leader's lease relies on this member not voting for another.
    vote_after: Time,
    votes: BTreeSet<InstanceId>,
    follower_state: FollowerState,
    leader_state: Option<LeaderState>,
    standbys: Vec<InstanceId>,
    outbox: Outbox,
    /// The contents of the most recent [`Effect::RoleChanged`].
    published_role: Option<PublishedRole>,
    /// The recovered snapshot, until it is handed to the ledger.
    pending_restore: Option<Snapshot>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PublishedRole {
    role: Role,
    term: Term,
    leader: Option<InstanceId>,
}

impl Consensus {
    /// Creates a member from the state that storage recovered.
    ///
    /// `bootstrap` names the first members of a group whose storage is still empty; they are
    /// written into the log's first entry and read from there afterwards. An instance that is not
    /// among them, or is given none, waits as a learner until a leader contacts it. `seed` seeds
    /// the election timeouts. The first call of [`handle`](Self::handle) restores the recovered
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
        let vote_after = if hard.term.0 > 0 { now + config.election_timeout } else { now };
        let commit = snapshot.as_ref().map_or(Index(0), |snapshot| snapshot.index);
        let log = Log::new(snapshot.clone(), entries);
        let mut machine = Self {
            config,
            seed,
            role: chart::chart().initial(),
            hard_state: hard,
            leader: None,
            outbox: Outbox::new(log.last()),
            log,
            membership,
            commit,
            deadline: now,
            timeout: Duration::ZERO,
            vote_after,
            votes: BTreeSet::new(),
            follower_state: FollowerState::new(commit),
            leader_state: None,
            standbys: Vec::new(),
            published_role: None,
            pending_restore: snapshot,
        };
        let mut effects = Vec::new();
        machine.run_transition(
            &mut EventContext::new(now, &Event::Timer, &mut effects),
            Trigger::Start,
        );
        machine
    }

    /// Handles an event at the time `now` and appends the resulting effects in order.
    pub fn handle(&mut self, now: Time, event: impl Borrow<Event>, effects: &mut Vec<Effect>) {
        if let Some(snapshot) = self.pending_restore.take() {
            effects.push(Effect::Restore(snapshot));
        }
        let mut ctx = EventContext::new(now, event.borrow(), effects);
        self.expire_forwarded(&mut ctx);
        self.dispatch(&mut ctx);
        while let Some(trigger) = ctx.queued.pop_front() {
            self.run_transition(&mut ctx, trigger);
        }
        self.publish_role(ctx.effects);
        self.outbox.flush(now, self.log.last(), self.config.max_pending, ctx.effects);
    }

    /// When the next [`Event::Timer`] is due.
    pub fn next_deadline(&self) -> Option<Time> {
        earliest(Some(self.deadline), self.follower_state.read_deadline())
    }

    /// The member's current status.
    pub fn status(&self) -> Status {
        Status {
            role: self.role,
            term: self.hard_state.term,
            leader: self.leader,
            commit: self.commit,
            last: self.log.last(),
            snapshot: self.log.snapshot().index,
            members: self.members().clone(),
            caught_up: self.caught_up(),
            quorum_until: self.quorum_until(),
        }
    }

    fn members(&self) -> &Members {
        self.membership.current()
    }

    fn is_voter(&self) -> bool {
        self.members().is_voter(self.config.me)
    }

    /// Compares a message's term with the current one, then runs the event's transition.
    fn dispatch(&mut self, ctx: &mut EventContext<'_>) {
        match ctx.event {
            Event::Receive { message, .. } => {
                if !self.check_term(ctx, message) {
                    return;
                }
            }
            Event::Stored { sequence } => self.outbox.stored(ctx.now, *sequence),
            Event::Timer
            | Event::Propose { .. }
            | Event::Read { .. }
            | Event::Compacted { .. }
            | Event::AddLearner { .. }
            | Event::Promote { .. }
            | Event::ReplaceVoter { .. }
            | Event::Demote { .. }
            | Event::RemoveMember { .. }
            | Event::Standbys { .. } => {}
        }
        self.run_transition(ctx, Trigger::of(ctx.event));
    }

    /// Compares a message's term with the current one; returns whether the message itself is to be
    /// handled.
    ///
    /// A pre-vote request carries the term that the candidate would start, and its answer may come
    /// from an older term.
    fn check_term(&mut self, ctx: &mut EventContext<'_>, message: &Message) -> bool {
        let term = self.hard_state.term;
        match message.body {
            Body::PreVote { .. } if message.term > term => return true,
            Body::PreVoteAnswer { .. } if message.term <= term => return true,
            Body::Vote { .. } if message.term > term => {
                self.run_transition(ctx, Trigger::HigherVote)
            }
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
                    self.run_transition(ctx, Trigger::HigherTerm);
                } else if message.term < term {
                    self.run_transition(ctx, Trigger::StaleTerm);
                }
            }
        }
        message.term == self.hard_state.term
    }

    fn publish_role(&mut self, effects: &mut Vec<Effect>) {
        let (role, term, leader) = (self.role, self.hard_state.term, self.leader);
        let current = PublishedRole { role, term, leader };
        if self.published_role != Some(current) {
            self.published_role = Some(current);
            effects.push(Effect::RoleChanged { role, term, leader });
        }
    }

    fn send(&mut self, to: InstanceId, body: Body) {
        let message = Message { term: self.hard_state.term, body };
        self.outbox.send(to, message);
    }

    /// Advances the commit index and emits the newly committed entries.
    fn advance_commit(&mut self, ctx: &mut EventContext<'_>, index: Index) {
        if index <= self.commit {
            return;
        }
        let entries = self.log.batch(self.commit, index, usize::MAX);
        if self.membership.since() > self.commit && self.membership.since() <= index {
            ctx.queued.push_back(Trigger::Members);
        }
        self.commit = index;
        ctx.effects.push(Effect::Apply(entries));
    }
}
