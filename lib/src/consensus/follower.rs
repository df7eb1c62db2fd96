//! Following a leader: its entries, and what is acknowledged of them.

use std::collections::VecDeque;

use crate::{
    consensus::{
        Consensus,
        actions::Turn,
        chart::Trigger,
        log::{Entry, Payload},
        message::Body,
        reads::Forwarded,
        transfer::Incoming,
    },
    ids::Index,
    time::Time,
};

/// What a member knows of the leader that it follows in this term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Following {
    /// When the leader was heard last.
    pub(super) heard: Time,
    /// How far the log is known to be the leader's.
    pub(super) verified: Index,
    /// How far the leader was told that the log is synced.
    pub(super) acked: Index,
    /// The newest round of heartbeats that was heard.
    pub(super) round: u64,
    /// The snapshot that is arriving.
    pub(super) incoming: Option<Incoming>,
    /// Reads on their way to the leader, in the order of their deadlines.
    pub(super) reads: VecDeque<Forwarded>,
}

impl Following {
    /// A new term begins; what is committed is any leader's log.
    pub(super) fn new(commit: Index) -> Self {
        Self {
            heard: Time::default(),
            verified: commit,
            acked: Index(0),
            round: 0,
            incoming: None,
            reads: VecDeque::new(),
        }
    }
}

impl Consensus {
    pub(super) fn follow(&mut self, turn: &mut Turn<'_>) {
        let Some((from, _)) = turn.message() else { return };
        self.leader = Some(from);
        self.following.heard = turn.now;
        self.deadline = turn.now + self.timeout;
    }

    pub(super) fn append(&mut self, turn: &mut Turn<'_>) {
        let Some((from, body)) = turn.body() else { return };
        let Body::Append { previous, previous_term, entries, commit, round } = body else { return };
        self.following.round = self.following.round.max(*round);
        if *previous > self.commit && self.log.term_at(*previous) != Some(*previous_term) {
            let matched = self.log.before_conflict(*previous).max(self.commit);
            self.send(from, Body::AppendAnswer { matched, rejected: true, round: *round });
            return;
        }
        let matched = Index(previous.0 + entries.len() as u64);
        let mut fresh = false;
        for entry in entries {
            fresh |= self.take_entry(turn, entry);
        }
        self.following.verified = self.following.verified.max(matched);
        self.advance_commit(turn, matched.min(*commit));
        if !fresh {
            self.acknowledge();
        }
    }

    /// Appends an entry in place of entries that conflict with it; false if it is held already.
    fn take_entry(&mut self, turn: &mut Turn<'_>, entry: &Entry) -> bool {
        if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
            return false;
        }
        if entry.index <= self.log.last() {
            self.truncate(turn, entry.index);
        }
        self.push_entry(turn, entry.clone());
        true
    }

    fn truncate(&mut self, turn: &mut Turn<'_>, from: Index) {
        self.log.truncate(from);
        self.membership.truncate(from);
        self.outbox.truncate(from);
        turn.raised.push_back(Trigger::Members);
    }

    /// Appends an entry to the log and to the write; members take effect with it.
    pub(super) fn push_entry(&mut self, turn: &mut Turn<'_>, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.membership.push(entry.index, members.clone());
            turn.raised.push_back(Trigger::Members);
        }
        self.outbox.write_entry(entry.clone());
        self.log.append(entry);
    }

    /// Tells the leader how far the log is its own and synced.
    pub(super) fn acknowledge(&mut self) {
        let Some(leader) = self.leader else { return };
        let matched = self.following.verified.min(self.outbox.durable());
        self.following.acked = matched;
        let round = self.following.round;
        self.send(leader, Body::AppendAnswer { matched, rejected: false, round });
    }

    /// Acknowledges what a finished write made durable, if it did.
    pub(super) fn acknowledge_stored(&mut self) {
        if self.following.verified.min(self.outbox.durable()) > self.following.acked {
            self.acknowledge();
        }
    }
}
