//! Snapshots on their way to a follower that lacks entries which the leader no longer holds.

use crate::{
    consensus::{
        Consensus,
        actions::Turn,
        chart::Trigger,
        log::{Members, Snapshot},
        membership::Membership,
        message::Body,
        port::Effect,
        replication::Flow,
    },
    ids::{Index, InstanceId, Term},
};

/// A snapshot on its way out, one part at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Transfer {
    /// Held here, so that a newer snapshot doesn't start the transfer anew.
    snapshot: Snapshot,
    /// How much has arrived, in bytes.
    offset: usize,
    /// Whether nothing arrived since the last heartbeat.
    stalled: bool,
}

impl Transfer {
    /// The last entry in the snapshot.
    pub(super) fn index(&self) -> Index {
        self.snapshot.index
    }
}

/// A snapshot that is arriving.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Incoming {
    index: Index,
    term: Term,
    members: Members,
    total: u64,
    state: Vec<u8>,
}

impl Consensus {
    pub(super) fn start_transfer(&mut self, to: InstanceId) {
        let snapshot = self.log.snapshot().clone();
        let Some(leading) = &mut self.leading else { return };
        let Some(peer) = leading.peers.get_mut(&to) else { return };
        peer.next = Index(snapshot.index.0 + 1);
        peer.flow = Flow::Transfer(Transfer { snapshot, offset: 0, stalled: false });
        self.send_chunk(to);
    }

    fn send_chunk(&mut self, to: InstanceId) {
        let Some(leading) = &mut self.leading else { return };
        let Some(peer) = leading.peers.get_mut(&to) else { return };
        let Flow::Transfer(Transfer { snapshot, offset, stalled }) = &mut peer.flow else { return };
        *stalled = false;
        let end = snapshot.state.len().min(*offset + self.config.chunk_bytes);
        let body = Body::SnapshotChunk {
            index: snapshot.index,
            index_term: snapshot.term,
            members: snapshot.members.clone(),
            offset: *offset as u64,
            total: snapshot.state.len() as u64,
            part: snapshot.state.slice(*offset..end),
        };
        self.send(to, body);
    }

    /// Sends parts again that brought no answer for a whole heartbeat.
    pub(super) fn resend_stalled(&mut self) {
        for to in self.peers() {
            let Some(leading) = &mut self.leading else { return };
            let Some(peer) = leading.peers.get_mut(&to) else { continue };
            let Flow::Transfer(transfer) = &mut peer.flow else { continue };
            if transfer.stalled {
                self.send_chunk(to);
            } else {
                transfer.stalled = true;
            }
        }
    }

    /// Goes on with a snapshot where the follower has it without gaps.
    pub(super) fn advance_transfer(&mut self, turn: &mut Turn<'_>) {
        let Some((from, Body::SnapshotAnswer { index, received })) = turn.body() else { return };
        let Some(leading) = &mut self.leading else { return };
        let Some(peer) = leading.peers.get_mut(&from) else { return };
        peer.heard = turn.now;
        let Flow::Transfer(transfer) = &mut peer.flow else { return };
        let received = usize::try_from(*received).unwrap_or(usize::MAX);
        if transfer.index() != *index || received > transfer.snapshot.state.len() {
            return;
        }
        if received != transfer.offset {
            transfer.offset = received;
            self.send_chunk(from);
        }
    }

    pub(super) fn receive_chunk(&mut self, turn: &mut Turn<'_>) {
        let Some((from, body)) = turn.body() else { return };
        let Body::SnapshotChunk { index, index_term, members, offset, total, part } = body else {
            return;
        };
        if *index <= self.commit || self.log.term_at(*index) == Some(*index_term) {
            self.following.verified = self.following.verified.max(*index);
            self.advance_commit(turn, *index);
            self.acknowledge();
            return;
        }
        let key = (*index, *index_term, *total);
        let incoming = self.following.incoming.take();
        let mut incoming = incoming
            .filter(|known| (known.index, known.term, known.total) == key)
            .unwrap_or_else(|| Incoming {
                index: *index,
                term: *index_term,
                members: members.clone(),
                total: *total,
                state: Vec::new(),
            });
        if incoming.state.len() as u64 == *offset {
            incoming.state.extend_from_slice(part);
        }
        let received = incoming.state.len() as u64;
        if received == *total {
            self.install(turn, incoming);
        } else {
            self.following.incoming = Some(incoming);
            self.send(from, Body::SnapshotAnswer { index: *index, received });
        }
    }

    /// Replaces the log by a snapshot; entries behind it conflict with it, or it wouldn't have
    /// been sent.
    fn install(&mut self, turn: &mut Turn<'_>, incoming: Incoming) {
        let Incoming { index, term, members, state, .. } = incoming;
        let snapshot = Snapshot { index, term, members, state: state.into() };
        if self.log.last() > index {
            self.outbox.truncate(Index(index.0 + 1));
        }
        self.outbox.write_snapshot(snapshot.clone());
        self.membership = Membership::new(snapshot.members.clone());
        self.log.reset(snapshot.clone());
        self.commit = index;
        self.following.verified = index;
        turn.effects.push(Effect::Restore(snapshot));
        turn.raised.push_back(Trigger::Members);
    }
}
