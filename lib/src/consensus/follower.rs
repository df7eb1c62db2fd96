//! A follower's side of replication: appending entries and acknowledging them.

use std::collections::VecDeque;

use crate::{
    consensus::{
        Consensus,
        actions::EventContext,
        chart::Trigger,
        log::{Entry, Payload},
        message::Body,
        reads::ForwardedRead,
        transfer::IncomingSnapshot,
    },
    ids::Index,
    time::Time,
};

/// The state of a member that follows a leader, reset with each term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct FollowerState {
    /// When the leader was last heard.
    pub(super) heard: Time,
    /// The last index up to which the log is known to match the leader's.
    pub(super) verified: Index,
    /// The last index that was acknowledged to the leader.
    pub(super) acked: Index,
    /// The newest heartbeat round received.
    pub(super) round: u64,
    /// A partly received snapshot.
    pub(super) incoming: Option<IncomingSnapshot>,
    /// Reads forwarded to the leader, in the order of their deadlines.
    pub(super) reads: VecDeque<ForwardedRead>,
}

impl FollowerState {
    /// The state at the start of a term. Committed entries match the log of any leader.
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
    pub(super) fn record_leader(&mut self, ctx: &mut EventContext<'_>) {
        let Some((from, _)) = ctx.message() else { return };
        self.leader = Some(from);
        self.follower_state.heard = ctx.now;
        self.deadline = ctx.now + self.timeout;
    }

    pub(super) fn append(&mut self, ctx: &mut EventContext<'_>) {
        let Some((from, body)) = ctx.body() else { return };
        let Body::Append { previous, previous_term, entries, commit, round } = body else { return };
        self.follower_state.round = self.follower_state.round.max(*round);
        if *previous > self.commit && self.log.term_at(*previous) != Some(*previous_term) {
            let matched = self.log.before_conflict(*previous).max(self.commit);
            self.send(from, Body::AppendAnswer { matched, rejected: true, round: *round });
            return;
        }
        let matched = Index(previous.0 + entries.len() as u64);
        let mut appended = false;
        for entry in entries {
            appended |= self.replace_or_append(ctx, entry);
        }
        self.follower_state.verified = self.follower_state.verified.max(matched);
        self.advance_commit(ctx, matched.min(*commit));
        if !appended {
            self.acknowledge();
        }
    }

    /// Appends an entry after removing entries that conflict with it; returns false if the log
    /// already contains it.
    fn replace_or_append(&mut self, ctx: &mut EventContext<'_>, entry: &Entry) -> bool {
        if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
            return false;
        }
        if entry.index <= self.log.last() {
            self.truncate(ctx, entry.index);
        }
        self.push_entry(ctx, entry.clone());
        true
    }

    fn truncate(&mut self, ctx: &mut EventContext<'_>, from: Index) {
        self.log.truncate(from);
        self.membership.truncate(from);
        self.outbox.truncate(from);
        ctx.queued.push_back(Trigger::Members);
    }

    /// Appends an entry to the log and to the next write. Members in it become effective at once.
    pub(super) fn push_entry(&mut self, ctx: &mut EventContext<'_>, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.membership.push(entry.index, members.clone());
            ctx.queued.push_back(Trigger::Members);
        }
        self.outbox.write_entry(entry.clone());
        self.log.append(entry);
    }

    /// Tells the leader up to which index the log matches its own and is synced.
    pub(super) fn acknowledge(&mut self) {
        let Some(leader) = self.leader else { return };
        let matched = self.follower_state.verified.min(self.outbox.durable());
        self.follower_state.acked = matched;
        let round = self.follower_state.round;
        self.send(leader, Body::AppendAnswer { matched, rejected: false, round });
    }

    /// Acknowledges the entries that a completed write made durable, if any.
    pub(super) fn acknowledge_stored(&mut self) {
        if self.follower_state.verified.min(self.outbox.durable()) > self.follower_state.acked {
            self.acknowledge();
        }
    }
}
