//! Leading: proposals, their order in the log, and when they are committed.

use std::{
    collections::{BTreeMap, VecDeque},
    mem,
    time::Duration,
};

use bytes::Bytes;

use crate::{
    consensus::{
        Consensus,
        actions::Turn,
        entries::entry_bytes,
        log::{Entry, Payload},
        port::{Effect, Event},
        reads::ReadQueue,
        reconfigure::Change,
        replication::Peer,
    },
    ids::{Index, InstanceId, Ticket},
    time::Time,
};

/// What a leader keeps besides its log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Leadership {
    /// The members but this one, and those whose removal isn't committed.
    pub(super) peers: BTreeMap<InstanceId, Peer>,
    /// The first entry of the term.
    pub(super) first: Index,
    /// The newest round of heartbeats.
    pub(super) round: u64,
    /// When the last rounds were sent, oldest first.
    pub(super) sent: VecDeque<(u64, Time)>,
    /// Reads that wait for a round.
    pub(super) reads: ReadQueue,
    /// Changes of the members that are wanted, in order.
    pub(super) changes: VecDeque<Change>,
    pending: VecDeque<Proposal>,
}

/// A proposal that waits for the write before it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    ticket: Ticket,
    command: Bytes,
}

impl Consensus {
    /// Begins to lead with an entry of its own term; the council's very first entry holds the
    /// members that it starts with.
    pub(super) fn lead(&mut self, turn: &mut Turn<'_>) {
        let me = self.config.me;
        let last = self.log.last();
        let next = Index(last.0 + 1);
        let peer = |id: InstanceId| (id, Peer::new(next, turn.now));
        let peers = self.members().all().filter(|id| *id != me).map(peer).collect();
        self.leading = Some(Leadership {
            peers,
            first: next,
            round: 0,
            sent: VecDeque::new(),
            reads: ReadQueue::default(),
            changes: VecDeque::new(),
            pending: VecDeque::new(),
        });
        self.leader = Some(me);
        let payload = match last {
            Index(0) => Payload::Members(self.members().clone()),
            Index(_) => Payload::Empty,
        };
        self.deadline = turn.now + self.config.heartbeat_interval;
        self.append_own(turn, payload);
        self.replicate_all(false);
    }

    /// Appends an entry of the own term and gives its index.
    pub(super) fn append_own(&mut self, turn: &mut Turn<'_>, payload: Payload) -> Index {
        let index = Index(self.log.last().0 + 1);
        self.push_entry(turn, Entry { index, term: self.hard.term, payload });
        index
    }

    /// Fails what waits for this leader: nobody leads as far as this instance knows.
    pub(super) fn resign(&mut self, turn: &mut Turn<'_>) {
        self.leader = None;
        let Some(mut leading) = self.leading.take() else { return };
        for proposal in leading.pending {
            turn.effects.push(Effect::Rejected { ticket: proposal.ticket, leader: None });
        }
        for asker in leading.reads.drain() {
            self.answer_read(turn, asker, None);
        }
    }

    /// Whether a quorum was heard, where `recent` says which silence is short enough.
    pub(super) fn quorum_heard(&self, recent: impl Fn(Duration) -> bool, now: Time) -> bool {
        let Some(leading) = &self.leading else { return false };
        self.members().is_quorum(|voter| {
            voter == self.config.me
                || leading.peers.get(&voter).is_some_and(|peer| recent(now.since(peer.heard)))
        })
    }

    /// Until when a quorum counts as heard.
    pub(super) fn quorum_until(&self) -> Option<Time> {
        let leading = self.leading.as_ref()?;
        let heard = self.members().quorum_value(|voter| match leading.peers.get(&voter) {
            Some(peer) => peer.heard,
            None => Time::from_nanos(u64::MAX),
        })?;
        Some(heard + self.config.election_timeout)
    }

    /// Whether one more proposal may wait, beside those in the log that aren't committed.
    pub(super) fn has_room(&self) -> bool {
        let waiting = self.leading.as_ref().map_or(0, |leading| leading.pending.len());
        waiting + self.uncommitted() < self.config.max_pending
    }

    fn uncommitted(&self) -> usize {
        usize::try_from(self.log.last().0 - self.commit.0).unwrap_or(usize::MAX)
    }

    pub(super) fn queue_proposal(&mut self, turn: &mut Turn<'_>) {
        let Event::Propose { ticket, command } = turn.event else { return };
        let Some(leading) = &mut self.leading else { return };
        leading.pending.push_back(Proposal { ticket: *ticket, command: command.clone() });
    }

    pub(super) fn refuse_proposal(&mut self, turn: &mut Turn<'_>) {
        let Event::Propose { ticket, .. } = turn.event else { return };
        turn.effects.push(Effect::Rejected { ticket: *ticket, leader: self.leader });
    }

    /// Appends queued proposals in one write, unless the last ones are still being written.
    pub(super) fn append_pending(&mut self, turn: &mut Turn<'_>) {
        if self.outbox.is_appending() {
            return;
        }
        let Some(leading) = &mut self.leading else { return };
        let mut pending = mem::take(&mut leading.pending);
        let mut size = 0;
        while let Some(Proposal { ticket, command }) = pending.pop_front() {
            let index = self.append_own(turn, Payload::Command(command));
            let term = self.hard.term;
            turn.effects.push(Effect::Accepted { ticket, index, term });
            size += self.log.get(index).map_or(0, entry_bytes);
            if size >= self.config.max_batch_bytes {
                break;
            }
        }
        if let Some(leading) = &mut self.leading {
            leading.pending = pending;
        }
        if size > 0 {
            self.replicate_all(false);
        }
    }

    /// Commits what a quorum has synced, if it ends with an entry of the own term.
    pub(super) fn commit_quorum(&mut self, turn: &mut Turn<'_>) {
        let Some(leading) = &self.leading else { return };
        let synced = self.members().quorum_value(|voter| {
            if voter == self.config.me {
                return self.outbox.durable();
            }
            leading.peers.get(&voter).map_or(Index(0), |peer| peer.matched)
        });
        let Some(index) = synced else { return };
        if index > self.commit && self.log.term_at(index) == Some(self.hard.term) {
            self.advance_commit(turn, index);
            self.replicate_all(true);
        }
    }
}
