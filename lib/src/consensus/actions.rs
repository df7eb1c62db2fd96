//! Maps the chart's guards and actions to their implementations.

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

/// The event being handled, with the effects and triggers it produces.
pub(super) struct EventContext<'t> {
    pub(super) now: Time,
    pub(super) event: &'t Event,
    pub(super) effects: &'t mut Vec<Effect>,
    /// Triggers raised by actions, to be run after the current transition.
    pub(super) queued: VecDeque<Trigger>,
}

impl<'t> EventContext<'t> {
    pub(super) fn new(now: Time, event: &'t Event, effects: &'t mut Vec<Effect>) -> Self {
        Self { now, event, effects, queued: VecDeque::new() }
    }

    /// The sender and the message, if the event is one.
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
            | Event::Demote { .. }
            | Event::RemoveMember { .. }
            | Event::Standbys { .. } => None,
        }
    }

    /// The sender and the message's body, if the event is a message.
    pub(super) fn body(&self) -> Option<(InstanceId, &'t Body)> {
        self.message().map(|(from, message)| (from, &message.body))
    }
}

impl Consensus {
    /// Takes the chart's transition for a trigger and runs its actions.
    pub(super) fn run_transition(&mut self, ctx: &mut EventContext<'_>, trigger: Trigger) {
        let now = ctx.now;
        let Ok(step) = chart().step(self.role, trigger, |guard| self.evaluate_guard(now, guard))
        else {
            ctx.effects.push(Effect::Unhandled { role: self.role, trigger });
            return;
        };
        self.role = step.to;
        for action in step.actions {
            self.run_action(ctx, *action);
        }
    }

    fn evaluate_guard(&self, now: Time, guard: Guard) -> bool {
        match guard {
            Guard::Voter => self.is_voter(),
            Guard::TimerExpired => now >= self.deadline,
            Guard::Won => self.members().is_quorum(|voter| self.votes.contains(&voter)),
            Guard::QuorumActive => {
                self.quorum_active(|silence| silence <= self.config.election_timeout, now)
            }
            Guard::Stalled => self.outbox.is_stalled(now, self.config.election_timeout),
            Guard::LeaderAlive => self.leader_alive(now),
            Guard::LeaderKnown => self.leader.is_some(),
            Guard::HasCapacity => self.has_capacity(),
            Guard::MembersCommitted => self.membership.since() <= self.commit,
        }
    }

    fn run_action(&mut self, ctx: &mut EventContext<'_>, action: Action) {
        match action {
            Action::ResetTimer => self.reset_timer(ctx.now),
            Action::StepDown => self.step_down(ctx),
            Action::AdoptTerm => self.adopt_term(ctx),
            Action::RefuseStale => self.refuse_stale(ctx),
            Action::AskPreVotes => self.ask_pre_votes(ctx),
            Action::AskVotes => self.ask_votes(ctx),
            Action::ForgetLeader => self.forget_leader(ctx),
            Action::AnswerPreVote => self.answer_pre_vote(ctx),
            Action::CountPreVote => self.count_pre_vote(ctx),
            Action::AnswerVote => self.answer_vote(ctx),
            Action::CountVote => self.count_vote(ctx),
            Action::CountOwnVote => self.count_own_vote(ctx),
            Action::BecomeLeader => self.become_leader(ctx),
            Action::RecordLeader => self.record_leader(ctx),
            Action::Append => self.append(ctx),
            Action::ReceiveChunk => self.receive_chunk(ctx),
            Action::Acknowledge => self.acknowledge_stored(),
            Action::Heartbeat => self.heartbeat(ctx.now),
            Action::AdvancePeer => self.advance_peer(ctx),
            Action::AdvanceTransfer => self.advance_transfer(ctx),
            Action::Commit => self.commit_quorum(ctx),
            Action::FinishReads => self.finish_reads(ctx),
            Action::QueueProposal => self.queue_proposal(ctx),
            Action::AppendPending => self.append_pending(ctx),
            Action::RefuseProposal => self.refuse_proposal(ctx),
            Action::QueueRead => self.queue_read(ctx),
            Action::ForwardRead => self.forward_read(ctx),
            Action::RefuseRead => self.refuse_read(ctx),
            Action::FinishForwarded => self.finish_forwarded(ctx),
            Action::QueueChange => self.queue_change(ctx),
            Action::ChangeMembers => self.change_members(ctx),
            Action::TrackMembers => self.track_members(ctx.now),
            Action::Compact => self.compact(ctx),
            Action::SetStandbys => self.set_standbys(ctx),
        }
    }

    fn compact(&mut self, ctx: &mut EventContext<'_>) {
        let Event::Compacted { index, state } = ctx.event else { return };
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

    fn set_standbys(&mut self, ctx: &mut EventContext<'_>) {
        if let Event::Standbys { instances } = ctx.event {
            self.standbys.clone_from(instances);
        }
    }
}
