//! The bridge between the chart and the code: what its guards ask and what its actions do.

use std::collections::VecDeque;

use crate::{
    consensus::{
        Consensus,
        chart::{Action, Guard, Trigger, chart},
        log::Snapshot,
        message::{Body, Message},
        port::{Effect, Event},
    },
    ids::InstanceId,
    time::Time,
};

/// One event's way through the machine.
pub(super) struct Turn<'t> {
    pub(super) now: Time,
    pub(super) event: &'t Event,
    pub(super) effects: &'t mut Vec<Effect>,
    /// What the actions so far bring about, to be run after them.
    pub(super) raised: VecDeque<Trigger>,
}

impl<'t> Turn<'t> {
    pub(super) fn new(now: Time, event: &'t Event, effects: &'t mut Vec<Effect>) -> Self {
        Self { now, event, effects, raised: VecDeque::new() }
    }

    /// The message and its sender, if the event is one.
    pub(super) fn message(&self) -> Option<(InstanceId, &'t Message)> {
        match self.event {
            Event::Receive { from, message } => Some((*from, message)),
            Event::Timer
            | Event::Propose { .. }
            | Event::Read { .. }
            | Event::Stored { .. }
            | Event::Compacted { .. }
            | Event::AddLearner { .. }
            | Event::Promote { .. }
            | Event::ReplaceVoter { .. }
            | Event::RemoveMember { .. }
            | Event::Standbys { .. } => None,
        }
    }

    /// The message's body and its sender, if the event is a message.
    pub(super) fn body(&self) -> Option<(InstanceId, &'t Body)> {
        self.message().map(|(from, message)| (from, &message.body))
    }
}

impl Consensus {
    /// Takes one step of the chart and does what it names.
    pub(super) fn run(&mut self, turn: &mut Turn<'_>, trigger: Trigger) {
        let now = turn.now;
        let Ok(step) = chart().step(self.role, trigger, |guard| self.holds(now, guard)) else {
            turn.effects.push(Effect::Unhandled { role: self.role, trigger });
            return;
        };
        self.role = step.to;
        for action in step.actions {
            self.act(turn, *action);
        }
    }

    fn holds(&self, now: Time, guard: Guard) -> bool {
        match guard {
            Guard::Voter => self.is_voter(),
            Guard::Due => now >= self.deadline,
            Guard::Won => self.members().is_quorum(|voter| self.votes.contains(&voter)),
            Guard::QuorumHeard => {
                self.quorum_heard(|silence| silence <= self.config.election_timeout, now)
            }
            Guard::Stalled => self.outbox.is_stalled(now, self.config.election_timeout),
            Guard::LeaderAlive => self.leader_alive(now),
            Guard::LeaderKnown => self.leader.is_some(),
            Guard::Room => self.has_room(),
            Guard::MembersCommitted => self.membership.since() <= self.commit,
        }
    }

    fn act(&mut self, turn: &mut Turn<'_>, action: Action) {
        match action {
            Action::Wait => self.wait(turn.now),
            Action::Resign => self.resign(turn),
            Action::AdoptTerm => self.adopt_term(turn),
            Action::RefuseStale => self.refuse_stale(turn),
            Action::AskPreVotes => self.ask_pre_votes(turn),
            Action::AskVotes => self.ask_votes(turn),
            Action::ForgetLeader => self.forget_leader(turn),
            Action::AnswerPreVote => self.answer_pre_vote(turn),
            Action::CountPreVote => self.count_pre_vote(turn),
            Action::AnswerVote => self.answer_vote(turn),
            Action::CountVote => self.count_vote(turn),
            Action::CountOwnVote => self.count_own_vote(turn),
            Action::Lead => self.lead(turn),
            Action::Follow => self.follow(turn),
            Action::Append => self.append(turn),
            Action::ReceiveChunk => self.receive_chunk(turn),
            Action::Acknowledge => self.acknowledge_stored(),
            Action::Heartbeat => self.heartbeat(turn.now),
            Action::AdvancePeer => self.advance_peer(turn),
            Action::AdvanceTransfer => self.advance_transfer(turn),
            Action::Commit => self.commit_quorum(turn),
            Action::FinishReads => self.finish_reads(turn),
            Action::QueueProposal => self.queue_proposal(turn),
            Action::AppendPending => self.append_pending(turn),
            Action::RefuseProposal => self.refuse_proposal(turn),
            Action::QueueRead => self.queue_read(turn),
            Action::ForwardRead => self.forward_read(turn),
            Action::RefuseRead => self.refuse_read(turn),
            Action::FinishForwarded => self.finish_forwarded(turn),
            Action::QueueChange => self.queue_change(turn),
            Action::ChangeMembers => self.change_members(turn),
            Action::FollowMembers => self.follow_members(turn.now),
            Action::Compact => self.compact(turn),
            Action::SetStandbys => self.set_standbys(turn),
        }
    }

    fn compact(&mut self, turn: &mut Turn<'_>) {
        let Event::Compacted { index, state } = turn.event else { return };
        let Some(term) = self.log.term_at(*index) else { return };
        if *index <= self.log.snapshot().index || *index > self.commit {
            return;
        }
        let members = self.membership.at(*index).clone();
        let snapshot = Snapshot { index: *index, term, members, state: state.clone() };
        self.membership.compact(*index);
        self.outbox.write_snapshot(snapshot.clone());
        self.log.compact(snapshot, self.config.catch_up_margin);
    }

    fn set_standbys(&mut self, turn: &mut Turn<'_>) {
        if let Event::Standbys { instances } = turn.event {
            self.standbys.clone_from(instances);
        }
    }
}
