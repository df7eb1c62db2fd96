//! A leader's state, its proposals and the commit index.

use std::{
    collections::{BTreeMap, VecDeque},
    mem,
    time::Duration,
};

use bytes::Bytes;

use crate::{
    consensus::{
        Consensus,
        actions::EventContext,
        entries::entry_bytes,
        log::{Entry, Payload},
        port::{Effect, Event, StepDown, StepDownCause},
        reads::ReadQueue,
        reconfigure::MemberChange,
        replication::Peer,
    },
    ids::{Index, InstanceId, Ticket},
    time::Time,
};

/// The volatile state of a leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeaderState {
    /// The other members, including those whose removal isn't committed.
    pub(super) peers: BTreeMap<InstanceId, Peer>,
    /// The index of the first entry of the leader's term.
    pub(super) first_index: Index,
    /// The newest heartbeat round.
    pub(super) round: u64,
    /// The latest rounds and when each was sent, oldest first.
    pub(super) sent_rounds: VecDeque<(u64, Time)>,
    /// Reads that await the confirmation of a round.
    pub(super) reads: ReadQueue,
    /// Requested membership changes, in order.
    pub(super) changes: VecDeque<MemberChange>,
    /// Proposals that aren't appended yet.
    pending: VecDeque<Proposal>,
}

/// A proposal that awaits the completion of the current write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    ticket: Ticket,
    command: Bytes,
}

impl Consensus {
    /// Starts to lead by appending an entry of the new term. The first entry of the whole log
    /// contains the initial members.
    pub(super) fn become_leader(&mut self, ctx: &mut EventContext<'_>) {
        let me = self.config.me;
        let last = self.log.last();
        let next = Index(last.0 + 1);
        let peer = |id: InstanceId| (id, Peer::new(next, ctx.now));
        let peers = self.members().all().filter(|id| *id != me).map(peer).collect();
        self.leader_state = Some(LeaderState {
            peers,
            first_index: next,
            round: 0,
            sent_rounds: VecDeque::new(),
            reads: ReadQueue::default(),
            changes: VecDeque::new(),
            pending: VecDeque::new(),
        });
        self.leader = Some(me);
        let payload = match last {
            Index(0) => Payload::Members(self.members().clone()),
            Index(_) => Payload::Empty,
        };
        self.deadline = ctx.now + self.config.heartbeat_interval;
        self.append_own(ctx, payload);
        self.replicate_all(false);
    }

    /// Appends an entry with the current term and returns its index.
    pub(super) fn append_own(&mut self, ctx: &mut EventContext<'_>, payload: Payload) -> Index {
        let index = Index(self.log.last().0 + 1);
        self.push_entry(ctx, Entry { index, term: self.hard_state.term, payload });
        index
    }

    /// Gives up leadership and fails the pending proposals and reads.
    pub(super) fn step_down(&mut self, ctx: &mut EventContext<'_>) {
        if let Some(heard) = self.quorum_heard() {
            let report = self.explain_step_down(ctx, heard);
            ctx.effects.push(Effect::SteppedDown(report));
        }
        self.leader = None;
        let Some(mut leader_state) = self.leader_state.take() else { return };
        for proposal in leader_state.pending {
            ctx.effects.push(Effect::Rejected { ticket: proposal.ticket, leader: None });
        }
        for origin in leader_state.reads.drain() {
            self.answer_read(ctx, origin, None);
        }
    }

    fn explain_step_down(&self, ctx: &EventContext<'_>, heard: Time) -> StepDown {
        let timeout = self.config.election_timeout;
        let (term, quorum_silence) = (self.hard_state.term, ctx.now.since(heard));
        let newer_term = ctx.message().is_some_and(|(_, message)| message.term > term);
        let cause = if newer_term {
            StepDownCause::NewerTerm
        } else if !self.is_voter() {
            StepDownCause::Removed
        } else if self.outbox.is_stalled(ctx.now, timeout) {
            StepDownCause::DiskStalled
        } else {
            StepDownCause::QuorumSilent
        };
        let delay = match ctx.event {
            Event::Timer => ctx.now.since(self.deadline),
            Event::Receive { .. }
            | Event::Propose { .. }
            | Event::Read { .. }
            | Event::Stored { .. }
            | Event::Compacted { .. }
            | Event::AddLearner { .. }
            | Event::Promote { .. }
            | Event::ReplaceVoter { .. }
            | Event::Demote { .. }
            | Event::RemoveMember { .. }
            | Event::Standbys { .. } => Duration::ZERO,
        };
        let disk_wait = self.outbox.wait(ctx.now);
        StepDown { cause, term, quorum_silence, disk_wait, delay }
    }

    /// Whether a quorum was heard recently; `recent` decides from the time since a member was last
    /// heard.
    pub(super) fn quorum_active(&self, recent: impl Fn(Duration) -> bool, now: Time) -> bool {
        let Some(leader_state) = &self.leader_state else { return false };
        self.members().is_quorum(|voter| {
            voter == self.config.me
                || leader_state.peers.get(&voter).is_some_and(|peer| recent(now.since(peer.heard)))
        })
    }

    /// When the most recent contact with a quorum becomes too old to keep leading.
    pub(super) fn quorum_until(&self) -> Option<Time> {
        Some(self.quorum_heard()? + self.config.election_timeout)
    }

    /// When this leader last had contact with a quorum.
    fn quorum_heard(&self) -> Option<Time> {
        let leader_state = self.leader_state.as_ref()?;
        self.members().quorum_value(|voter| match leader_state.peers.get(&voter) {
            Some(peer) => peer.heard,
            None => Time::from_nanos(u64::MAX),
        })
    }

    /// Whether another proposal fits; queued and uncommitted ones count together.
    pub(super) fn has_capacity(&self) -> bool {
        let waiting =
            self.leader_state.as_ref().map_or(0, |leader_state| leader_state.pending.len());
        waiting + self.uncommitted() < self.config.max_pending
    }

    fn uncommitted(&self) -> usize {
        usize::try_from(self.log.last().0 - self.commit.0).unwrap_or(usize::MAX)
    }

    pub(super) fn queue_proposal(&mut self, ctx: &mut EventContext<'_>) {
        let Event::Propose { ticket, command } = ctx.event else { return };
        let Some(leader_state) = &mut self.leader_state else { return };
        leader_state.pending.push_back(Proposal { ticket: *ticket, command: command.clone() });
    }

    pub(super) fn refuse_proposal(&mut self, ctx: &mut EventContext<'_>) {
        let Event::Propose { ticket, .. } = ctx.event else { return };
        ctx.effects.push(Effect::Rejected { ticket: *ticket, leader: self.leader });
    }

    /// Appends queued proposals in one write, unless an earlier append is still being written.
    pub(super) fn append_pending(&mut self, ctx: &mut EventContext<'_>) {
        if self.outbox.is_appending() {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        let mut pending = mem::take(&mut leader_state.pending);
        let mut size = 0;
        while let Some(Proposal { ticket, command }) = pending.pop_front() {
            let index = self.append_own(ctx, Payload::Command(command));
            let term = self.hard_state.term;
            ctx.effects.push(Effect::Accepted { ticket, index, term });
            size += self.log.get(index).map_or(0, entry_bytes);
            if size >= self.config.max_batch_bytes {
                break;
            }
        }
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.pending = pending;
        }
        if size > 0 {
            self.replicate_all(false);
        }
    }

    /// Commits the entries that a quorum has synced, if the last of them is of the current term.
    pub(super) fn commit_quorum(&mut self, ctx: &mut EventContext<'_>) {
        let Some(leader_state) = &self.leader_state else { return };
        let synced = self.members().quorum_value(|voter| {
            if voter == self.config.me {
                return self.outbox.durable();
            }
            leader_state.peers.get(&voter).map_or(Index(0), |peer| peer.matched)
        });
        let Some(index) = synced else { return };
        if index > self.commit && self.log.term_at(index) == Some(self.hard_state.term) {
            self.advance_commit(ctx, index);
            self.replicate_all(true);
        }
    }
}
