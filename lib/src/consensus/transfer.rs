//! Transfer of snapshots to followers that lack entries which the leader has dropped.

use crate::{
    consensus::{
        Consensus,
        actions::EventContext,
        chart::Trigger,
        log::{Members, Snapshot},
        membership::Membership,
        message::Body,
        port::Effect,
        replication::ReplicationState,
    },
    ids::{Index, InstanceId, Term},
};

/// An outgoing snapshot, sent one chunk at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SnapshotTransfer {
    /// Kept here, so that a newer snapshot doesn't restart the transfer.
    snapshot: Snapshot,
    /// How much the follower has received, in bytes.
    offset: usize,
    /// Whether a heartbeat has passed since the last chunk was sent.
    stalled: bool,
}

impl SnapshotTransfer {
    /// The index of the last entry that the snapshot covers.
    pub(super) fn index(&self) -> Index {
        self.snapshot.index
    }
}

/// A partly received snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IncomingSnapshot {
    index: Index,
    term: Term,
    members: Members,
    total: u64,
    state: Vec<u8>,
}

impl Consensus {
    pub(super) fn start_transfer(&mut self, to: InstanceId) {
        let snapshot = self.log.snapshot().clone();
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(peer) = leader_state.peers.get_mut(&to) else { return };
        peer.next = Index(snapshot.index.0 + 1);
        peer.state =
            ReplicationState::Snapshot(SnapshotTransfer { snapshot, offset: 0, stalled: false });
        self.send_chunk(to);
    }

    fn send_chunk(&mut self, to: InstanceId) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(peer) = leader_state.peers.get_mut(&to) else { return };
        let ReplicationState::Snapshot(SnapshotTransfer { snapshot, offset, stalled }) =
            &mut peer.state
        else {
            return;
        };
        *stalled = false;
        let end = snapshot.state.len().min(*offset + self.config.chunk_bytes);
        let body = Body::SnapshotChunk {
            index: snapshot.index,
            index_term: snapshot.term,
            members: snapshot.members.clone(),
            offset: *offset as u64,
            total: snapshot.state.len() as u64,
            data: snapshot.state.slice(*offset..end),
        };
        self.send(to, body);
    }

    /// Resends the chunks that were not acknowledged for a whole heartbeat interval.
    pub(super) fn resend_stalled(&mut self) {
        for to in self.peers() {
            let Some(leader_state) = &mut self.leader_state else { return };
            let Some(peer) = leader_state.peers.get_mut(&to) else { continue };
            let ReplicationState::Snapshot(transfer) = &mut peer.state else { continue };
            if transfer.stalled {
                self.send_chunk(to);
            } else {
                transfer.stalled = true;
            }
        }
    }

    /// Continues a snapshot from the offset up to which the follower has it without gaps.
    pub(super) fn advance_transfer(&mut self, ctx: &mut EventContext<'_>) {
        let Some((from, Body::SnapshotAnswer { index, received })) = ctx.body() else { return };
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(peer) = leader_state.peers.get_mut(&from) else { return };
        peer.heard = ctx.now;
        let ReplicationState::Snapshot(transfer) = &mut peer.state else { return };
        let received = usize::try_from(*received).unwrap_or(usize::MAX);
        if transfer.index() != *index || received > transfer.snapshot.state.len() {
            return;
        }
        if received != transfer.offset {
            transfer.offset = received;
            self.send_chunk(from);
        }
    }

    pub(super) fn receive_chunk(&mut self, ctx: &mut EventContext<'_>) {
        let Some((from, body)) = ctx.body() else { return };
        let Body::SnapshotChunk { index, index_term, members, offset, total, data } = body else {
            return;
        };
        if *index <= self.commit || self.log.term_at(*index) == Some(*index_term) {
            self.follower_state.verified = self.follower_state.verified.max(*index);
            self.advance_commit(ctx, *index);
            self.acknowledge();
            return;
        }
        let key = (*index, *index_term, *total);
        let incoming = self.follower_state.incoming.take();
        let mut incoming = incoming
            .filter(|known| (known.index, known.term, known.total) == key)
            .unwrap_or_else(|| IncomingSnapshot {
                index: *index,
                term: *index_term,
                members: members.clone(),
                total: *total,
                state: Vec::new(),
            });
        if incoming.state.len() as u64 == *offset {
            incoming.state.extend_from_slice(data);
        }
        let received = incoming.state.len() as u64;
        if received == *total {
            self.install(ctx, incoming);
        } else {
            self.follower_state.incoming = Some(incoming);
            self.send(from, Body::SnapshotAnswer { index: *index, received });
        }
    }

    /// Replaces the log with a snapshot. Later entries are removed too: the snapshot's last entry
    /// isn't in this log, so they conflict with it.
    fn install(&mut self, ctx: &mut EventContext<'_>, incoming: IncomingSnapshot) {
        let IncomingSnapshot { index, term, members, state, .. } = incoming;
        let snapshot = Snapshot { index, term, members, state: state.into() };
        if self.log.last() > index {
            self.outbox.truncate(Index(index.0 + 1));
        }
        self.outbox.write_snapshot(snapshot.clone());
        self.membership = Membership::new(snapshot.members.clone());
        self.log.reset(snapshot.clone());
        self.commit = index;
        self.follower_state.verified = index;
        ctx.effects.push(Effect::Restore(snapshot));
        ctx.queued.push_back(Trigger::Members);
    }
}
