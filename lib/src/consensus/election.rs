//! Terms, elections and election timeouts.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    consensus::{
        Consensus,
        actions::EventContext,
        chart::Trigger,
        follower::FollowerState,
        log::HardState,
        message::{Body, Message},
    },
    ids::{Index, InstanceId, Term},
    time::Time,
};

/// The answer to an append of an older term. Its round is 0, because the sender may become leader
/// of the current term and start again with round 1; the old number would then confirm a round that
/// was never answered.
const STALE_APPEND_ANSWER: Body =
    Body::AppendAnswer { matched: Index(0), rejected: true, round: 0 };

impl Consensus {
    /// Restarts the timer with a new random election timeout.
    pub(super) fn reset_timer(&mut self, now: Time) {
        self.timeout = self.random_election_timeout(now);
        self.deadline = now + self.timeout;
    }

    /// Between one and two times the configured timeout; deterministic for the same time, member
    /// and seed.
    fn random_election_timeout(&self, now: Time) -> Duration {
        let base = u64::try_from(self.config.election_timeout.as_nanos()).unwrap_or(u64::MAX);
        let seed = self.seed ^ now.as_nanos().rotate_left(32) ^ self.config.me.0;
        let extra = ChaCha8Rng::seed_from_u64(seed).random_range(0..=base);
        self.config.election_timeout + Duration::from_nanos(extra)
    }

    /// Whether a leader was heard within the election timeout, so that an election would only
    /// disrupt it.
    pub(super) fn leader_alive(&self, now: Time) -> bool {
        let recent = |silence| silence < self.config.election_timeout;
        if now < self.vote_after {
            return true;
        }
        match self.leader {
            Some(leader) if leader == self.config.me => self.quorum_active(recent, now),
            Some(_) => recent(now.since(self.follower_state.heard)),
            None => false,
        }
    }

    pub(super) fn adopt_term(&mut self, ctx: &mut EventContext<'_>) {
        let Some((_, message)) = ctx.message() else { return };
        self.enter_term(ctx, message.term, None);
    }

    fn enter_term(&mut self, ctx: &mut EventContext<'_>, term: Term, vote: Option<InstanceId>) {
        self.forget_leader(ctx);
        self.hard_state = HardState { term, vote };
        self.outbox.write_hard(self.hard_state);
        self.votes.clear();
        self.follower_state = FollowerState::new(self.commit);
    }

    /// Forgets the leader and fails the reads that were forwarded to it.
    pub(super) fn forget_leader(&mut self, ctx: &mut EventContext<'_>) {
        self.leader = None;
        self.fail_forwarded(ctx);
    }

    /// Answers a message of an older term, so that its sender learns of the current one.
    pub(super) fn refuse_stale(&mut self, ctx: &mut EventContext<'_>) {
        let Some((from, body)) = ctx.body() else { return };
        match body {
            Body::PreVote { .. } => self.send(from, Body::PreVoteAnswer { granted: false }),
            Body::Vote { .. } => self.send(from, Body::VoteAnswer { granted: false }),
            Body::Append { .. } | Body::SnapshotChunk { .. } => {
                self.send(from, STALE_APPEND_ANSWER)
            }
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

    pub(super) fn ask_pre_votes(&mut self, ctx: &mut EventContext<'_>) {
        self.forget_leader(ctx);
        self.reset_timer(ctx.now);
        self.votes.clear();
        self.votes.insert(self.config.me);
        let (last, last_term) = (self.log.last(), self.log.last_term());
        let term = Term(self.hard_state.term.0 + 1);
        self.ask_voters(&Message { term, body: Body::PreVote { last, last_term } });
        ctx.queued.push_back(Trigger::Tally);
    }

    /// Starts a new term as a candidate. The candidate's own vote counts once it is synced.
    pub(super) fn ask_votes(&mut self, ctx: &mut EventContext<'_>) {
        let term = Term(self.hard_state.term.0 + 1);
        self.enter_term(ctx, term, Some(self.config.me));
        self.reset_timer(ctx.now);
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

    pub(super) fn answer_pre_vote(&mut self, ctx: &mut EventContext<'_>) {
        let Some((from, message)) = ctx.message() else { return };
        let Body::PreVote { last, last_term } = message.body else { return };
        let granted = message.term > self.hard_state.term
            && self.is_up_to_date(last, last_term)
            && !self.leader_alive(ctx.now);
        self.send(from, Body::PreVoteAnswer { granted });
    }

    /// Learners answer too: a candidate asks only the voters of its own configuration, and this
    /// instance may not know yet that it was promoted.
    pub(super) fn answer_vote(&mut self, ctx: &mut EventContext<'_>) {
        let Some((from, Body::Vote { last, last_term })) = ctx.body() else { return };
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = free && self.is_up_to_date(*last, *last_term);
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.outbox.write_hard(self.hard_state);
            self.reset_timer(ctx.now);
        }
        self.send(from, Body::VoteAnswer { granted });
    }

    /// Whether a candidate's log is at least as up to date as this member's.
    fn is_up_to_date(&self, last: Index, last_term: Term) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    pub(super) fn count_pre_vote(&mut self, ctx: &mut EventContext<'_>) {
        if let Some((from, Body::PreVoteAnswer { granted: true })) = ctx.body() {
            self.record_vote(ctx, from);
        }
    }

    pub(super) fn count_vote(&mut self, ctx: &mut EventContext<'_>) {
        if let Some((from, Body::VoteAnswer { granted: true })) = ctx.body() {
            self.record_vote(ctx, from);
        }
    }

    pub(super) fn count_own_vote(&mut self, ctx: &mut EventContext<'_>) {
        if self.outbox.hard_synced() {
            self.record_vote(ctx, self.config.me);
        }
    }

    fn record_vote(&mut self, ctx: &mut EventContext<'_>, voter: InstanceId) {
        self.votes.insert(voter);
        ctx.queued.push_back(Trigger::Tally);
    }
}
