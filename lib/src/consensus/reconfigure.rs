//! Membership changes, one at a time: each may add or remove learners and at most one voter.

use std::collections::VecDeque;

use crate::{
    consensus::{
        Consensus,
        actions::EventContext,
        leader::LeaderState,
        log::{Members, Payload},
        port::Event,
        replication::{Peer, ReplicationState},
    },
    ids::{Index, InstanceId},
    time::Time,
};

/// The maximum number of queued membership changes.
const MAX_QUEUED_CHANGES: usize = 256;

/// A requested membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum MemberChange {
    /// Add the instance as a learner.
    AddLearner(InstanceId),
    /// Make the learner a voter once it has caught up.
    Promote(InstanceId),
    /// Make the voter a learner.
    Demote(InstanceId),
    /// Remove the member.
    Remove(InstanceId),
}

/// What to do with a requested change.
enum ChangeDecision {
    /// Discard it: it is impossible or already done.
    Drop,
    /// Keep it queued: it can't be made yet.
    Keep,
    /// Make it, with these members as the result.
    Replace(Members),
}

impl Consensus {
    pub(super) fn queue_change(&mut self, ctx: &mut EventContext<'_>) {
        match ctx.event {
            Event::AddLearner { instance } => self.queue(MemberChange::AddLearner(*instance)),
            Event::Promote { instance } => {
                self.drop_voter_changes();
                self.queue(MemberChange::Promote(*instance));
            }
            Event::Demote { instance } => {
                self.drop_voter_changes();
                self.queue(MemberChange::Demote(*instance));
            }
            Event::RemoveMember { instance } => {
                self.drop_voter_changes();
                self.queue(MemberChange::Remove(*instance));
            }
            Event::ReplaceVoter { lost, by } => {
                self.drop_voter_changes();
                self.queue(MemberChange::Promote(*by));
                self.queue(MemberChange::Remove(*lost));
            }
            Event::Timer
            | Event::Receive { .. }
            | Event::Propose { .. }
            | Event::Read { .. }
            | Event::Stored { .. }
            | Event::Compacted { .. }
            | Event::Standbys { .. } => {}
        }
    }

    /// Drops the queued changes of voters: the last request is the one that fits the members.
    fn drop_voter_changes(&mut self) {
        let Some(leader_state) = &mut self.leader_state else { return };
        leader_state.changes.retain(|change| match change {
            MemberChange::AddLearner(_) => true,
            MemberChange::Promote(_) | MemberChange::Demote(_) | MemberChange::Remove(_) => false,
        });
    }

    fn queue(&mut self, change: MemberChange) {
        let Some(leader_state) = &mut self.leader_state else { return };
        if leader_state.changes.len() < MAX_QUEUED_CHANGES
            && !leader_state.changes.contains(&change)
        {
            leader_state.changes.push_back(change);
        }
    }

    /// Proposes the next membership change, if one is possible and none is in progress.
    ///
    /// A leader makes no change before it has committed an entry of its own term: until then, a
    /// change by an earlier leader may still be in progress.
    pub(super) fn change_members(&mut self, ctx: &mut EventContext<'_>) {
        let Some(leader_state) = &mut self.leader_state else { return };
        if self.commit < leader_state.first_index || self.membership.since() > self.commit {
            return;
        }
        let mut changes = std::mem::take(&mut leader_state.changes);
        let learners = self.next_learners(ctx.now, &mut changes);
        let members = self.next_voters(ctx.now, &learners, &mut changes);
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.changes = changes;
        }
        if members != *self.members() {
            self.append_own(ctx, Payload::Members(members));
            self.track_members(ctx.now);
            self.replicate_all(false);
        }
    }

    /// The members with the requested learners added and the silent ones removed.
    fn next_learners(&self, now: Time, changes: &mut VecDeque<MemberChange>) -> Members {
        let mut members = self.members().clone();
        for learner in &self.members().learners {
            if self.is_silent(now, *learner) {
                members = members.without(*learner);
            }
        }
        changes.retain(|change| match change {
            MemberChange::AddLearner(instance) => {
                members = members.with_learner(*instance);
                false
            }
            MemberChange::Promote(_) | MemberChange::Demote(_) | MemberChange::Remove(_) => true,
        });
        members
    }

    /// The members after the first possible change of a voter.
    fn next_voters(
        &self,
        now: Time,
        members: &Members,
        changes: &mut VecDeque<MemberChange>,
    ) -> Members {
        while let Some(change) = changes.front() {
            match self.decide_change(now, members, *change) {
                ChangeDecision::Drop => {}
                ChangeDecision::Keep => break,
                ChangeDecision::Replace(changed) => {
                    changes.pop_front();
                    return changed;
                }
            }
            changes.pop_front();
        }
        self.without_silent_voter(now, members).unwrap_or_else(|| members.clone())
    }

    fn decide_change(&self, now: Time, members: &Members, change: MemberChange) -> ChangeDecision {
        match change {
            MemberChange::AddLearner(instance) => {
                ChangeDecision::Replace(members.with_learner(instance))
            }
            MemberChange::Promote(instance) if !members.learners.contains(&instance) => {
                ChangeDecision::Drop
            }
            MemberChange::Promote(instance) if self.is_ready(now, instance) => {
                ChangeDecision::Replace(members.with_voter(instance))
            }
            MemberChange::Promote(instance) if self.is_silent(now, instance) => {
                ChangeDecision::Drop
            }
            MemberChange::Promote(_) => ChangeDecision::Keep,
            MemberChange::Demote(instance) if !members.is_voter(instance) => ChangeDecision::Drop,
            MemberChange::Remove(instance) if !members.contains(instance) => ChangeDecision::Drop,
            MemberChange::Demote(instance) | MemberChange::Remove(instance)
                if members.voters == [instance] =>
            {
                ChangeDecision::Drop
            }
            MemberChange::Demote(instance) => {
                ChangeDecision::Replace(members.without(instance).with_learner(instance))
            }
            MemberChange::Remove(instance) => ChangeDecision::Replace(members.without(instance)),
        }
    }

    /// Replaces a voter that has been silent for too long, in two changes: while the number of
    /// voters is odd, a standby that has caught up is promoted; while it is even, the silent voter
    /// is removed.
    fn without_silent_voter(&self, now: Time, members: &Members) -> Option<Members> {
        let lost = *members.voters.iter().find(|voter| self.is_silent(now, **voter))?;
        if members.voters.len().is_multiple_of(2) {
            return Some(members.without(lost));
        }
        let standby = members
            .learners
            .iter()
            .find(|learner| self.standbys.contains(learner) && self.is_ready(now, **learner))?;
        Some(members.with_voter(*standby))
    }

    fn peer(&self, instance: InstanceId) -> Option<&Peer> {
        self.leader_state.as_ref().and_then(|leader_state| leader_state.peers.get(&instance))
    }

    fn is_silent(&self, now: Time, instance: InstanceId) -> bool {
        self.peer(instance).is_some_and(|peer| now.since(peer.heard) > self.config.replace_after)
    }

    /// The learners that could be promoted when a member was last heard; only a leader knows of any.
    pub(super) fn caught_up(&self) -> Vec<InstanceId> {
        let peers = self.leader_state.iter().flat_map(|leader_state| leader_state.peers.values());
        let Some(heard) = peers.map(|peer| peer.heard).max() else { return Vec::new() };
        let learners = self.members().learners.iter().copied();
        learners.filter(|learner| self.is_ready(heard, *learner)).collect()
    }

    /// Whether a learner can vote at once: it has caught up and answers. With the vote of one that
    /// is gone, a quorum would need one live voter more.
    fn is_ready(&self, now: Time, learner: InstanceId) -> bool {
        let answers = |peer: &Peer| now.since(peer.heard) <= self.config.election_timeout;
        self.has_caught_up(learner) && self.peer(learner).is_some_and(answers)
    }

    fn has_caught_up(&self, instance: InstanceId) -> bool {
        self.peer(instance).is_some_and(|peer| {
            matches!(peer.state, ReplicationState::Replicate)
                && peer.matched.0 + self.config.catch_up_margin >= self.log.last().0
        })
    }

    /// Tracks new members at once. Stops tracking removed ones once the removal is committed, after
    /// sending them the commit index so that they learn of it.
    pub(super) fn track_members(&mut self, now: Time) {
        let members = self.members().clone();
        let next = Index(self.log.last().0 + 1);
        let Some(LeaderState { peers, .. }) = &mut self.leader_state else { return };
        for member in members.all().filter(|member| *member != self.config.me) {
            peers.entry(member).or_insert_with(|| Peer::new(next, now));
        }
        if self.membership.since() > self.commit {
            return;
        }
        for removed in self.peers().into_iter().filter(|peer| !members.contains(*peer)) {
            self.replicate(removed, true);
            if let Some(leader_state) = &mut self.leader_state {
                leader_state.peers.remove(&removed);
            }
        }
    }
}
