//! Linearizable reads: a leader confirms its leadership by a heartbeat round (the read index
//! protocol); other members forward their reads to the leader.

use std::collections::VecDeque;

use crate::{
    consensus::{
        Consensus,
        actions::EventContext,
        follower::FollowerState,
        message::Body,
        port::{Effect, Event},
    },
    ids::{Index, InstanceId, Ticket},
    time::Time,
};

/// A leader's lease lasts this fraction of the election timeout; the rest allows for clocks that
/// run at different rates.
const LEASE_NUMERATOR: u32 = 4;
const LEASE_DENOMINATOR: u32 = 5;

/// Where a read came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ReadOrigin {
    /// This instance.
    Local(Ticket),
    /// An instance that forwarded its read.
    Remote { from: InstanceId, ticket: u64 },
}

/// A leader's pending reads, in the order of arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ReadQueue {
    /// Reads that await a quorum's answers to a round.
    assigned: VecDeque<AssignedRead>,
    /// Reads that arrived after the newest round was sent.
    waiting: Vec<ReadOrigin>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AssignedRead {
    round: u64,
    origin: ReadOrigin,
}

impl ReadQueue {
    fn len(&self) -> usize {
        self.assigned.len() + self.waiting.len()
    }

    /// Whether reads are waiting for a new round and none is in flight for earlier reads.
    fn needs_round(&self) -> bool {
        self.assigned.is_empty() && !self.waiting.is_empty()
    }

    /// Assigns the waiting reads to a round that is being sent.
    pub(super) fn assign(&mut self, round: u64) {
        let assigned = self.waiting.drain(..).map(|origin| AssignedRead { round, origin });
        self.assigned.extend(assigned);
    }

    /// Removes and returns all reads.
    pub(super) fn drain(&mut self) -> Vec<ReadOrigin> {
        let assigned = self.assigned.drain(..).map(|read| read.origin);
        assigned.chain(self.waiting.drain(..)).collect()
    }

    /// Removes and returns the reads whose round a quorum has answered.
    fn confirmed(&mut self, round: u64) -> Vec<ReadOrigin> {
        let done = self.assigned.iter().take_while(|read| read.round <= round).count();
        self.assigned.drain(..done).map(|read| read.origin).collect()
    }
}

/// A read that was forwarded to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ForwardedRead {
    ticket: Ticket,
    /// When it fails if no answer arrives.
    deadline: Time,
}

impl FollowerState {
    /// When the oldest forwarded read times out.
    pub(super) fn read_deadline(&self) -> Option<Time> {
        self.reads.front().map(|read| read.deadline)
    }
}

impl Consensus {
    pub(super) fn queue_read(&mut self, ctx: &mut EventContext<'_>) {
        let Some(origin) = origin(ctx) else { return };
        let limit = self.config.max_pending;
        match &mut self.leader_state {
            Some(leader_state) if leader_state.reads.len() < limit => {
                leader_state.reads.waiting.push(origin)
            }
            Some(_) | None => self.answer_read(ctx, origin, None),
        }
    }

    pub(super) fn refuse_read(&mut self, ctx: &mut EventContext<'_>) {
        if let Some(origin) = origin(ctx) {
            self.answer_read(ctx, origin, None);
        }
    }

    /// Answers the reads whose round a quorum has answered, and sends a new round for the waiting
    /// ones if none is in flight.
    pub(super) fn finish_reads(&mut self, ctx: &mut EventContext<'_>) {
        loop {
            let round = self.confirmed_round();
            let Some(leader_state) = &mut self.leader_state else { return };
            if self.commit < leader_state.first_index {
                return;
            }
            let confirmed = leader_state.reads.confirmed(round);
            let needs_round = leader_state.reads.needs_round();
            for origin in confirmed {
                self.answer_read(ctx, origin, Some(self.commit));
            }
            if !needs_round {
                return;
            }
            self.start_round(ctx.now);
        }
    }

    /// Until when no other member can be elected; `None` unless this member leads and has committed
    /// an entry of its term.
    ///
    /// Each member of a quorum that answered a round grants no vote to another for an election
    /// timeout after receiving the round, which was later than the time at which it was sent.
    pub fn lease_until(&self) -> Option<Time> {
        let leader_state = self.leader_state.as_ref()?;
        if self.commit < leader_state.first_index {
            return None;
        }
        let round = self.confirmed_round();
        let (_, sent) = leader_state.sent_rounds.iter().rev().find(|(sent, _)| *sent <= round)?;
        Some(*sent + self.config.election_timeout * LEASE_NUMERATOR / LEASE_DENOMINATOR)
    }

    fn confirmed_round(&self) -> u64 {
        let Some(leader_state) = &self.leader_state else { return 0 };
        let round = |voter| match leader_state.peers.get(&voter) {
            Some(peer) => peer.round,
            None if voter == self.config.me => leader_state.round,
            None => 0,
        };
        self.members().quorum_value(round).unwrap_or(0)
    }

    pub(super) fn answer_read(
        &mut self,
        ctx: &mut EventContext<'_>,
        origin: ReadOrigin,
        index: Option<Index>,
    ) {
        match (origin, index) {
            (ReadOrigin::Local(ticket), Some(index)) => {
                ctx.effects.push(Effect::ReadReady { ticket, index });
            }
            (ReadOrigin::Local(ticket), None) => ctx.effects.push(Effect::ReadFailed { ticket }),
            (ReadOrigin::Remote { from, ticket }, index) => {
                self.send(from, Body::ReadAnswer { ticket, index });
            }
        }
    }

    pub(super) fn forward_read(&mut self, ctx: &mut EventContext<'_>) {
        let Event::Read { ticket } = ctx.event else { return };
        let Some(leader) = self.leader else { return };
        if self.follower_state.reads.len() >= self.config.max_pending {
            ctx.effects.push(Effect::ReadFailed { ticket: *ticket });
            return;
        }
        let deadline = ctx.now + self.config.election_timeout;
        self.follower_state.reads.push_back(ForwardedRead { ticket: *ticket, deadline });
        self.send(leader, Body::ReadIndex { ticket: ticket.0 });
    }

    pub(super) fn finish_forwarded(&mut self, ctx: &mut EventContext<'_>) {
        let Some((_, Body::ReadAnswer { ticket, index })) = ctx.body() else { return };
        let ticket = Ticket(*ticket);
        let Some(at) = self.follower_state.reads.iter().position(|read| read.ticket == ticket)
        else {
            return;
        };
        self.follower_state.reads.remove(at);
        self.answer_read(ctx, ReadOrigin::Local(ticket), *index);
    }

    /// Fails the reads that were forwarded to a leader.
    pub(super) fn fail_forwarded(&mut self, ctx: &mut EventContext<'_>) {
        for read in self.follower_state.reads.drain(..) {
            ctx.effects.push(Effect::ReadFailed { ticket: read.ticket });
        }
    }

    /// Fails the forwarded reads whose deadline has passed.
    pub(super) fn expire_forwarded(&mut self, ctx: &mut EventContext<'_>) {
        while let Some(read) =
            self.follower_state.reads.front().filter(|read| read.deadline <= ctx.now)
        {
            ctx.effects.push(Effect::ReadFailed { ticket: read.ticket });
            self.follower_state.reads.pop_front();
        }
    }
}

fn origin(ctx: &EventContext<'_>) -> Option<ReadOrigin> {
    if let Event::Read { ticket } = ctx.event {
        return Some(ReadOrigin::Local(*ticket));
    }
    match ctx.body() {
        Some((from, Body::ReadIndex { ticket })) => {
            Some(ReadOrigin::Remote { from, ticket: *ticket })
        }
        Some(_) | None => None,
    }
}
