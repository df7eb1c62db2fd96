//! Sending the log: how far each follower is, and what it is sent next.

use std::collections::VecDeque;

use crate::{
    consensus::{Consensus, actions::Turn, message::Body, transfer::Transfer},
    ids::{Index, InstanceId, Term},
    time::Time,
};

/// Rounds of heartbeats whose times a leader remembers for its lease.
const ROUNDS_KEPT: usize = 64;

/// A follower, as its leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Peer {
    /// How far its log is the leader's and synced.
    pub(super) matched: Index,
    /// The entry it is sent next.
    pub(super) next: Index,
    /// When it was heard last.
    pub(super) heard: Time,
    /// The newest round of heartbeats that it answered.
    pub(super) round: u64,
    /// The commit index that it was sent last.
    sent_commit: Index,
    /// The last entries of the appends that are on their way.
    inflight: VecDeque<Index>,
    pub(super) flow: Flow,
}

/// How a follower is brought up to date.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Flow {
    /// One append at a time, until it is known where the logs match.
    Probe {
        /// Whether one is on its way.
        asked: bool,
    },
    /// Several appends at a time.
    Replicate,
    /// A snapshot, for it lacks entries that the leader no longer holds.
    Transfer(Transfer),
}

impl Peer {
    pub(super) fn new(next: Index, now: Time) -> Self {
        Self {
            matched: Index(0),
            next,
            heard: now,
            round: 0,
            sent_commit: Index(0),
            inflight: VecDeque::new(),
            flow: Flow::Probe { asked: false },
        }
    }

    /// Notes that its log matches and is synced up to `matched`.
    fn advance(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
        let arrived = self.inflight.iter().take_while(|last| **last <= self.matched).count();
        self.inflight.drain(..arrived);
        match &self.flow {
            Flow::Probe { .. } => self.flow = Flow::Replicate,
            Flow::Replicate => {
                self.next = self.next.max(Index(self.matched.0 + 1));
                return;
            }
            Flow::Transfer(transfer) if self.matched < transfer.index() => return,
            Flow::Transfer(_) => self.flow = Flow::Replicate,
        }
        self.next = Index(self.matched.0 + 1);
    }

    /// Notes that the entry before an append didn't match, and that the follower's log may match
    /// at `hint`. False if the answer is to an older append.
    fn back_off(&mut self, hint: Index) -> bool {
        let before = hint.max(self.matched);
        if matches!(self.flow, Flow::Transfer(_)) || before.0 + 1 >= self.next.0 {
            return false;
        }
        self.next = Index(before.0 + 1);
        self.inflight.clear();
        self.flow = Flow::Probe { asked: false };
        true
    }
}

impl Consensus {
    /// Starts a new round of heartbeats to all followers.
    pub(super) fn heartbeat(&mut self, now: Time) {
        self.deadline = now + self.config.heartbeat_interval;
        self.start_round(now);
        self.resend_stalled();
    }

    /// Sends every follower an empty append that carries a new round.
    pub(super) fn start_round(&mut self, now: Time) {
        let Some(leading) = &mut self.leading else { return };
        leading.round += 1;
        leading.sent.push_back((leading.round, now));
        if leading.sent.len() > ROUNDS_KEPT {
            leading.sent.pop_front();
        }
        let round = leading.round;
        leading.reads.assign(round);
        for to in self.peers() {
            self.send_empty(to);
        }
    }

    /// The followers, voters first.
    pub(super) fn peers(&self) -> Vec<InstanceId> {
        let Some(leading) = &self.leading else { return Vec::new() };
        let (mut peers, others): (Vec<_>, Vec<_>) =
            leading.peers.keys().copied().partition(|id| self.members().is_voter(*id));
        peers.extend(others);
        peers
    }

    /// Sends all followers what they lack; with `notify` also a new commit index alone.
    pub(super) fn replicate_all(&mut self, notify: bool) {
        for to in self.peers() {
            self.replicate(to, notify);
        }
    }

    /// Sends a follower what it lacks, as far as its window allows. Learners are sent only what
    /// is committed.
    pub(super) fn replicate(&mut self, to: InstanceId, notify: bool) {
        let limit = if self.members().is_voter(to) { self.log.last() } else { self.commit };
        loop {
            let Some(peer) = self.leading.as_ref().and_then(|leading| leading.peers.get(&to))
            else {
                return;
            };
            let open = match peer.flow {
                Flow::Probe { asked } => !asked,
                Flow::Replicate => peer.inflight.len() < self.config.max_inflight,
                Flow::Transfer(_) => false,
            };
            if !open {
                return;
            }
            if peer.next <= limit {
                self.send_entries(to, limit);
            } else if notify && peer.sent_commit < self.commit {
                self.send_empty(to);
                return;
            } else {
                return;
            }
        }
    }

    fn send_entries(&mut self, to: InstanceId, limit: Index) {
        let Some(leading) = &mut self.leading else { return };
        let round = leading.round;
        let Some(peer) = leading.peers.get_mut(&to) else { return };
        let previous = Index(peer.next.0 - 1);
        let Some(previous_term) = self.log.term_at(previous) else {
            self.start_transfer(to);
            return;
        };
        let entries = self.log.batch(previous, limit, self.config.max_batch_bytes);
        let last = Index(previous.0 + entries.len() as u64);
        match &mut peer.flow {
            Flow::Probe { asked } => *asked = true,
            Flow::Replicate => {
                peer.inflight.push_back(last);
                peer.next = Index(last.0 + 1);
            }
            Flow::Transfer(_) => return,
        }
        peer.sent_commit = self.commit;
        let commit = self.commit;
        self.send(to, Body::Append { previous, previous_term, entries, commit, round });
    }

    /// Sends an append without entries: a heartbeat, a probe, a new commit index.
    ///
    /// It names the entry before the next one, so that the follower's answer shows whether an
    /// append was lost; an entry that is no longer held can't show that, and the follower gets a
    /// snapshot.
    fn send_empty(&mut self, to: InstanceId) {
        let Some(leading) = &mut self.leading else { return };
        let round = leading.round;
        let Some(peer) = leading.peers.get_mut(&to) else { return };
        peer.sent_commit = self.commit;
        let before = match peer.flow {
            Flow::Probe { .. } | Flow::Replicate => Some(Index(peer.next.0 - 1)),
            Flow::Transfer(_) => None,
        };
        let term = before.and_then(|before| self.log.term_at(before));
        if before.is_some() && term.is_none() {
            self.start_transfer(to);
        }
        let (previous, previous_term) = before.zip(term).unwrap_or((Index(0), Term(0)));
        let (entries, commit) = (Vec::new(), self.commit);
        self.send(to, Body::Append { previous, previous_term, entries, commit, round });
    }

    pub(super) fn advance_peer(&mut self, turn: &mut Turn<'_>) {
        let Some((from, Body::AppendAnswer { matched, rejected, round })) = turn.body() else {
            return;
        };
        let Some(leading) = &mut self.leading else { return };
        let Some(peer) = leading.peers.get_mut(&from) else { return };
        peer.heard = turn.now;
        peer.round = peer.round.max(*round);
        if !rejected {
            peer.advance(*matched);
        } else if !peer.back_off(*matched) {
            return;
        }
        self.replicate(from, false);
    }
}
