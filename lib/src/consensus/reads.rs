//! Reads that see everything committed before them: a leader confirms by a round of heartbeats
//! that it still leads; others pass their reads to it.

use std::collections::VecDeque;

use crate::{
    consensus::{
        Consensus,
        actions::Turn,
        follower::Following,
        message::Body,
        port::{Effect, Event},
    },
    ids::{Index, InstanceId, Ticket},
    time::Time,
};

/// The part of an election timeout that a leader's lease lasts: the rest allows for clocks that
/// run at different speeds.
const LEASE_NUMERATOR: u32 = 4;
const LEASE_DENOMINATOR: u32 = 5;

/// Who waits for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Asker {
    /// This instance.
    Local(Ticket),
    /// An instance that passed its read on.
    Remote { from: InstanceId, ticket: u64 },
}

/// Reads at a leader, in the order in which they came.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ReadQueue {
    /// Reads that wait for a quorum's answers to a round.
    asked: VecDeque<AskedRead>,
    /// Reads that came after the newest round was sent.
    waiting: Vec<Asker>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AskedRead {
    round: u64,
    asker: Asker,
}

impl ReadQueue {
    fn len(&self) -> usize {
        self.asked.len() + self.waiting.len()
    }

    /// Whether reads wait and no round is on its way for others.
    fn needs_round(&self) -> bool {
        self.asked.is_empty() && !self.waiting.is_empty()
    }

    /// A round was sent: the reads that came before it wait for its answers.
    pub(super) fn assign(&mut self, round: u64) {
        let asked = self.waiting.drain(..).map(|asker| AskedRead { round, asker });
        self.asked.extend(asked);
    }

    /// Takes out all reads.
    pub(super) fn drain(&mut self) -> Vec<Asker> {
        let asked = self.asked.drain(..).map(|read| read.asker);
        asked.chain(self.waiting.drain(..)).collect()
    }

    /// Takes out the reads whose round a quorum has answered.
    fn confirmed(&mut self, round: u64) -> Vec<Asker> {
        let done = self.asked.iter().take_while(|read| read.round <= round).count();
        self.asked.drain(..done).map(|read| read.asker).collect()
    }
}

/// A read on its way to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Forwarded {
    ticket: Ticket,
    /// When it fails without an answer.
    until: Time,
}

impl Following {
    /// When the oldest forwarded read fails.
    pub(super) fn read_deadline(&self) -> Option<Time> {
        self.reads.front().map(|read| read.until)
    }
}

impl Consensus {
    pub(super) fn queue_read(&mut self, turn: &mut Turn<'_>) {
        let Some(asker) = asker(turn) else { return };
        let limit = self.config.max_pending;
        match &mut self.leading {
            Some(leading) if leading.reads.len() < limit => leading.reads.waiting.push(asker),
            Some(_) | None => self.answer_read(turn, asker, None),
        }
    }

    pub(super) fn refuse_read(&mut self, turn: &mut Turn<'_>) {
        if let Some(asker) = asker(turn) {
            self.answer_read(turn, asker, None);
        }
    }

    /// Answers the reads whose round a quorum has answered, and sends a new round for the others
    /// if none is on its way.
    pub(super) fn finish_reads(&mut self, turn: &mut Turn<'_>) {
        loop {
            let round = self.confirmed_round();
            let Some(leading) = &mut self.leading else { return };
            if self.commit < leading.first {
                return;
            }
            let confirmed = leading.reads.confirmed(round);
            let needs_round = leading.reads.needs_round();
            for asker in confirmed {
                self.answer_read(turn, asker, Some(self.commit));
            }
            if !needs_round {
                return;
            }
            self.start_round(turn.now);
        }
    }

    /// Until when no other member can lead; nothing if this one doesn't, or hasn't committed an
    /// entry of its term.
    ///
    /// A quorum that answered a round votes for nobody else within an election timeout after it
    /// heard that round, which was after the round was sent.
    pub fn lease_until(&self) -> Option<Time> {
        let leading = self.leading.as_ref()?;
        if self.commit < leading.first {
            return None;
        }
        let round = self.confirmed_round();
        let (_, sent) = leading.sent.iter().rev().find(|(sent, _)| *sent <= round)?;
        Some(*sent + self.config.election_timeout * LEASE_NUMERATOR / LEASE_DENOMINATOR)
    }

    fn confirmed_round(&self) -> u64 {
        let Some(leading) = &self.leading else { return 0 };
        let round = |voter| match leading.peers.get(&voter) {
            Some(peer) => peer.round,
            None if voter == self.config.me => leading.round,
            None => 0,
        };
        self.members().quorum_value(round).unwrap_or(0)
    }

    pub(super) fn answer_read(&mut self, turn: &mut Turn<'_>, asker: Asker, index: Option<Index>) {
        match (asker, index) {
            (Asker::Local(ticket), Some(index)) => {
                turn.effects.push(Effect::ReadReady { ticket, index });
            }
            (Asker::Local(ticket), None) => turn.effects.push(Effect::ReadFailed { ticket }),
            (Asker::Remote { from, ticket }, index) => {
                self.send(from, Body::ReadAnswer { ticket, index });
            }
        }
    }

    pub(super) fn forward_read(&mut self, turn: &mut Turn<'_>) {
        let Event::Read { ticket } = turn.event else { return };
        let Some(leader) = self.leader else { return };
        if self.following.reads.len() >= self.config.max_pending {
            turn.effects.push(Effect::ReadFailed { ticket: *ticket });
            return;
        }
        let until = turn.now + self.config.election_timeout;
        self.following.reads.push_back(Forwarded { ticket: *ticket, until });
        self.send(leader, Body::ReadIndex { ticket: ticket.0 });
    }

    pub(super) fn finish_forwarded(&mut self, turn: &mut Turn<'_>) {
        let Some((_, Body::ReadAnswer { ticket, index })) = turn.body() else { return };
        let ticket = Ticket(*ticket);
        let Some(at) = self.following.reads.iter().position(|read| read.ticket == ticket) else {
            return;
        };
        self.following.reads.remove(at);
        self.answer_read(turn, Asker::Local(ticket), *index);
    }

    /// Fails the reads that are on their way to a leader.
    pub(super) fn fail_forwarded(&mut self, turn: &mut Turn<'_>) {
        for read in self.following.reads.drain(..) {
            turn.effects.push(Effect::ReadFailed { ticket: read.ticket });
        }
    }

    /// Fails the reads that were not answered in time.
    pub(super) fn expire_forwarded(&mut self, turn: &mut Turn<'_>) {
        while let Some(read) = self.following.reads.front().filter(|read| read.until <= turn.now) {
            turn.effects.push(Effect::ReadFailed { ticket: read.ticket });
            self.following.reads.pop_front();
        }
    }
}

fn asker(turn: &Turn<'_>) -> Option<Asker> {
    if let Event::Read { ticket } = turn.event {
        return Some(Asker::Local(*ticket));
    }
    match turn.body() {
        Some((from, Body::ReadIndex { ticket })) => Some(Asker::Remote { from, ticket: *ticket }),
        Some(_) | None => None,
    }
}
