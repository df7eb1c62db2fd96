//! Terms and elections: pre-votes, votes and election timeouts.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    consensus::{
        Consensus,
        actions::Turn,
        chart::Trigger,
        follower::Following,
        log::HardState,
        message::{Body, Message},
    },
    ids::{Index, InstanceId, Term},
    time::Time,
};

/// The answer to an append of an older term. It names no round: the sender may lead again in this
/// term, and count its rounds anew.
const REFUSAL: Body = Body::AppendAnswer { matched: Index(0), rejected: true, round: 0 };

impl Consensus {
    /// Draws an election timeout and waits for it from now on.
    pub(super) fn wait(&mut self, now: Time) {
        self.timeout = self.draw(now);
        self.deadline = now + self.timeout;
    }

    /// Between one and two base timeouts; the same for the same time, member and seed.
    fn draw(&self, now: Time) -> Duration {
        let base = u64::try_from(self.config.election_timeout.as_nanos()).unwrap_or(u64::MAX);
        let seed = self.seed ^ now.as_nanos().rotate_left(32) ^ self.config.me.0;
        let extra = ChaCha8Rng::seed_from_u64(seed).random_range(0..=base);
        self.config.election_timeout + Duration::from_nanos(extra)
    }

    /// Whether a leader was heard so lately that an election would only disturb it.
    pub(super) fn leader_alive(&self, now: Time) -> bool {
        let recent = |silence| silence < self.config.election_timeout;
        if now < self.quiet_until {
            return true;
        }
        match self.leader {
            Some(leader) if leader == self.config.me => self.quorum_heard(recent, now),
            Some(_) => recent(now.since(self.following.heard)),
            None => false,
        }
    }

    pub(super) fn adopt_term(&mut self, turn: &mut Turn<'_>) {
        let Some((_, message)) = turn.message() else { return };
        self.enter_term(turn, message.term, None);
    }

    fn enter_term(&mut self, turn: &mut Turn<'_>, term: Term, vote: Option<InstanceId>) {
        self.forget_leader(turn);
        self.hard = HardState { term, vote };
        self.outbox.write_hard(self.hard);
        self.votes.clear();
        self.following = Following::new(self.commit);
    }

    /// Nobody leads as far as this instance knows; reads on their way to a leader fail.
    pub(super) fn forget_leader(&mut self, turn: &mut Turn<'_>) {
        self.leader = None;
        self.fail_forwarded(turn);
    }

    /// Answers a message of an older term, so that its sender learns of this one.
    pub(super) fn refuse_stale(&mut self, turn: &mut Turn<'_>) {
        let Some((from, body)) = turn.body() else { return };
        match body {
            Body::PreVote { .. } => self.send(from, Body::PreVoteAnswer { granted: false }),
            Body::Vote { .. } => self.send(from, Body::VoteAnswer { granted: false }),
            Body::Append { .. } | Body::SnapshotChunk { .. } => self.send(from, REFUSAL),
            Body::ReadIndex { ticket } => {
                self.send(from, Body::ReadAnswer { ticket: *ticket, index: None });
            }
            Body::PreVoteAnswer { .. }
            | Body::VoteAnswer { .. }
            | Body::AppendAnswer { .. }
            | Body::SnapshotAnswer { .. }
            | Body::ReadAnswer { .. } => {}
        }
    }

    pub(super) fn ask_pre_votes(&mut self, turn: &mut Turn<'_>) {
        self.forget_leader(turn);
        self.wait(turn.now);
        self.votes.clear();
        self.votes.insert(self.config.me);
        let (last, last_term) = (self.log.last(), self.log.last_term());
        let term = Term(self.hard.term.0 + 1);
        self.ask_voters(&Message { term, body: Body::PreVote { last, last_term } });
        turn.raised.push_back(Trigger::Tally);
    }

    /// The own vote counts once it is synced.
    pub(super) fn ask_votes(&mut self, turn: &mut Turn<'_>) {
        let term = Term(self.hard.term.0 + 1);
        self.enter_term(turn, term, Some(self.config.me));
        self.wait(turn.now);
        let (last, last_term) = (self.log.last(), self.log.last_term());
        self.ask_voters(&Message { term, body: Body::Vote { last, last_term } });
    }

    fn ask_voters(&mut self, message: &Message) {
        for voter in self.members().voters.clone() {
            if voter != self.config.me {
                self.outbox.send(voter, message.clone());
            }
        }
    }

    pub(super) fn answer_pre_vote(&mut self, turn: &mut Turn<'_>) {
        let Some((from, message)) = turn.message() else { return };
        let Body::PreVote { last, last_term } = message.body else { return };
        let granted = message.term > self.hard.term
            && self.is_current(last, last_term)
            && !self.leader_alive(turn.now);
        self.send(from, Body::PreVoteAnswer { granted });
    }

    /// Whoever is asked answers: a candidate asks only those that its members let vote, and an
    /// instance may not know yet that it was promoted.
    pub(super) fn answer_vote(&mut self, turn: &mut Turn<'_>) {
        let Some((from, Body::Vote { last, last_term })) = turn.body() else { return };
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = free && self.is_current(*last, *last_term);
        if granted && self.hard.vote.is_none() {
            self.hard.vote = Some(from);
            self.outbox.write_hard(self.hard);
            self.wait(turn.now);
        }
        self.send(from, Body::VoteAnswer { granted });
    }

    /// Whether a candidate's log holds at least what this one's does.
    fn is_current(&self, last: Index, last_term: Term) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    pub(super) fn count_pre_vote(&mut self, turn: &mut Turn<'_>) {
        if let Some((from, Body::PreVoteAnswer { granted: true })) = turn.body() {
            self.count(turn, from);
        }
    }

    pub(super) fn count_vote(&mut self, turn: &mut Turn<'_>) {
        if let Some((from, Body::VoteAnswer { granted: true })) = turn.body() {
            self.count(turn, from);
        }
    }

    pub(super) fn count_own_vote(&mut self, turn: &mut Turn<'_>) {
        if self.outbox.hard_synced() {
            self.count(turn, self.config.me);
        }
    }

    fn count(&mut self, turn: &mut Turn<'_>, voter: InstanceId) {
        self.votes.insert(voter);
        turn.raised.push_back(Trigger::Tally);
    }
}
