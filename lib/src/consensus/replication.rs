//! Log replication: each follower's progress and the entries it is sent next.

use std::collections::VecDeque;

use crate::{
    consensus::{Consensus, actions::EventContext, message::Body, transfer::SnapshotTransfer},
    ids::{Index, InstanceId, Term},
    time::Time,
};

/// The number of heartbeat rounds whose send times a leader keeps for its lease.
const MAX_SENT_ROUNDS: usize = 64;

/// A follower's progress, tracked by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Peer {
    /// The last index up to which its log matches the leader's and is synced.
    pub(super) matched: Index,
    /// The index of the next entry to send.
    pub(super) next: Index,
    /// When it was last heard.
    pub(super) heard: Time,
    /// The newest heartbeat round that it answered.
    pub(super) round: u64,
    /// The last commit index sent to it.
    sent_commit: Index,
    /// The last index of each unacknowledged append.
    in_flight: VecDeque<Index>,
    pub(super) state: ReplicationState,
}

/// The mode in which a follower is sent the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum ReplicationState {
    /// One append at a time, until it is known where the logs match.
    Probe {
        /// Whether an append is in flight.
        in_flight: bool,
    },
    /// Several appends in flight.
    Replicate,
    /// A snapshot, because the follower lacks entries that the leader has dropped.
    Snapshot(SnapshotTransfer),
}

impl Peer {
    pub(super) fn new(next: Index, now: Time) -> Self {
        Self {
            matched: Index(0),
            next,
            heard: now,
            round: 0,
            sent_commit: Index(0),
            in_flight: VecDeque::new(),
            state: ReplicationState::Probe { in_flight: false },
        }
    }

    /// Records that the follower's log matches and is synced up to `matched`.
    fn advance(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
        let arrived = self.in_flight.iter().take_while(|last| **last <= self.matched).count();
        self.in_flight.drain(..arrived);
        match &self.state {
            ReplicationState::Probe { .. } => self.state = ReplicationState::Replicate,
            ReplicationState::Replicate => {
                self.next = self.next.max(Index(self.matched.0 + 1));
                return;
            }
            ReplicationState::Snapshot(transfer) if self.matched < transfer.index() => {
                return;
            }
            ReplicationState::Snapshot(_) => self.state = ReplicationState::Replicate,
        }
        self.next = Index(self.matched.0 + 1);
    }

    /// Records that the entry before an append didn't match and that the logs may match at `hint`.
    /// Returns false if the answer is stale.
    fn rewind(&mut self, hint: Index) -> bool {
        let before = hint.max(self.matched);
        if matches!(self.state, ReplicationState::Snapshot(_)) || before.0 + 1 >= self.next.0 {
            return false;
        }
        self.next = Index(before.0 + 1);
        self.in_flight.clear();
        self.state = ReplicationState::Probe { in_flight: false };
        true
    }
}

impl Consensus {
    /// Sends a new heartbeat round to all followers and resends stalled snapshot chunks.
    pub(super) fn heartbeat(&mut self, now: Time) {
        self.deadline = now + self.config.heartbeat_interval;
        self.start_round(now);
        self.resend_stalled();
    }

    /// Sends every follower an empty append with a new round number.
    pub(super) fn start_round(&mut self, now: Time) {
        let Some(leader_state) = &mut self.leader_state else { return };
        leader_state.round += 1;
        leader_state.sent_rounds.push_back((leader_state.round, now));
        if leader_state.sent_rounds.len() > MAX_SENT_ROUNDS {
            leader_state.sent_rounds.pop_front();
        }
        let round = leader_state.round;
        leader_state.reads.assign(round);
        for to in self.peers() {
            self.send_empty(to);
        }
    }

    /// The followers, voters first.
    pub(super) fn peers(&self) -> Vec<InstanceId> {
        let Some(leader_state) = &self.leader_state else { return Vec::new() };
        let (mut peers, others): (Vec<_>, Vec<_>) =
            leader_state.peers.keys().copied().partition(|id| self.members().is_voter(*id));
        peers.extend(others);
        peers
    }

    /// Sends all followers the entries they lack; with `notify`, also a commit index that is new to
    /// them when there is no entry to send.
    pub(super) fn replicate_all(&mut self, notify: bool) {
        for to in self.peers() {
            self.replicate(to, notify);
        }
    }

    /// Sends a follower the entries it lacks, within the limit of appends in flight. Learners are
    /// sent committed entries only.
    pub(super) fn replicate(&mut self, to: InstanceId, notify: bool) {
        let limit = if self.members().is_voter(to) { self.log.last() } else { self.commit };
        loop {
            let Some(peer) =
                self.leader_state.as_ref().and_then(|leader_state| leader_state.peers.get(&to))
            else {
                return;
            };
            let can_send = match peer.state {
                ReplicationState::Probe { in_flight } => !in_flight,
                ReplicationState::Replicate => peer.in_flight.len() < self.config.max_inflight,
                ReplicationState::Snapshot(_) => false,
            };
            if !can_send {
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
        let Some(leader_state) = &mut self.leader_state else { return };
        let round = leader_state.round;
        let Some(peer) = leader_state.peers.get_mut(&to) else { return };
        let previous = Index(peer.next.0 - 1);
        let Some(previous_term) = self.log.term_at(previous) else {
            self.start_transfer(to);
            return;
        };
        let entries = self.log.batch(previous, limit, self.config.max_batch_bytes);
        let last = Index(previous.0 + entries.len() as u64);
        match &mut peer.state {
            ReplicationState::Probe { in_flight } => *in_flight = true,
            ReplicationState::Replicate => {
                peer.in_flight.push_back(last);
                peer.next = Index(last.0 + 1);
            }
            ReplicationState::Snapshot(_) => return,
        }
        peer.sent_commit = self.commit;
        let commit = self.commit;
        self.send(to, Body::Append { previous, previous_term, entries, commit, round });
    }

    /// Sends an append without entries: a heartbeat, a probe or a new commit index.
    ///
    /// It refers to the entry before the next one to send, so that a rejection reveals a lost
    /// append. If the leader has dropped that entry, the follower is sent a snapshot.
    fn send_empty(&mut self, to: InstanceId) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let round = leader_state.round;
        let Some(peer) = leader_state.peers.get_mut(&to) else { return };
        peer.sent_commit = self.commit;
        let before = match peer.state {
            ReplicationState::Probe { .. } | ReplicationState::Replicate => {
                Some(Index(peer.next.0 - 1))
            }
            ReplicationState::Snapshot(_) => None,
        };
        let term = before.and_then(|before| self.log.term_at(before));
        if before.is_some() && term.is_none() {
            self.start_transfer(to);
        }
        let (previous, previous_term) = before.zip(term).unwrap_or((Index(0), Term(0)));
        let (entries, commit) = (Vec::new(), self.commit);
        self.send(to, Body::Append { previous, previous_term, entries, commit, round });
    }

    pub(super) fn advance_peer(&mut self, ctx: &mut EventContext<'_>) {
        let Some((from, Body::AppendAnswer { matched, rejected, round })) = ctx.body() else {
            return;
        };
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(peer) = leader_state.peers.get_mut(&from) else { return };
        peer.heard = ctx.now;
        peer.round = peer.round.max(*round);
        if !rejected {
            peer.advance(*matched);
        } else if !peer.rewind(*matched) {
            return;
        }
        self.replicate(from, false);
    }
}
