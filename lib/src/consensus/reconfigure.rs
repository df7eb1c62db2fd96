//! Changes of the members, one at a time: learners come and go, and at most one voter.

use std::collections::VecDeque;

use crate::{
    consensus::{
        Consensus,
        actions::Turn,
        leader::Leadership,
        log::{Members, Payload},
        port::Event,
        replication::{Flow, Peer},
    },
    ids::{Index, InstanceId},
    time::Time,
};

/// How many wanted changes a leader remembers.
const MAX_CHANGES: usize = 256;

/// A change of the members that is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Change {
    /// The instance follows.
    AddLearner(InstanceId),
    /// The learner votes once it has caught up.
    Promote(InstanceId),
    /// The member goes.
    Remove(InstanceId),
}

/// What becomes of a wanted change.
enum Verdict {
    /// It can't be carried out, or was.
    Drop,
    /// It must wait.
    Keep,
    /// It gives these members.
    Replace(Members),
}

impl Consensus {
    pub(super) fn queue_change(&mut self, turn: &mut Turn<'_>) {
        match turn.event {
            Event::AddLearner { instance } => self.queue(Change::AddLearner(*instance)),
            Event::Promote { instance } => self.queue(Change::Promote(*instance)),
            Event::RemoveMember { instance } => self.queue(Change::Remove(*instance)),
            Event::ReplaceVoter { lost, by } => {
                self.queue(Change::Promote(*by));
                self.queue(Change::Remove(*lost));
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

    fn queue(&mut self, change: Change) {
        let Some(leading) = &mut self.leading else { return };
        if leading.changes.len() < MAX_CHANGES && !leading.changes.contains(&change) {
            leading.changes.push_back(change);
        }
    }

    /// Proposes the next change of the members, if one is due and none is under way.
    ///
    /// A leader changes nothing before it has committed an entry of its own term: until then,
    /// another leader's change may still be under way.
    pub(super) fn change_members(&mut self, turn: &mut Turn<'_>) {
        let Some(leading) = &mut self.leading else { return };
        if self.commit < leading.first || self.membership.since() > self.commit {
            return;
        }
        let mut changes = std::mem::take(&mut leading.changes);
        let learners = self.next_learners(turn.now, &mut changes);
        let members = self.next_voters(turn.now, &learners, &mut changes);
        if let Some(leading) = &mut self.leading {
            leading.changes = changes;
        }
        if members != *self.members() {
            self.append_own(turn, Payload::Members(members));
            self.follow_members(turn.now);
            self.replicate_all(false);
        }
    }

    /// The members with the learners that were asked for, without those that are silent.
    fn next_learners(&self, now: Time, changes: &mut VecDeque<Change>) -> Members {
        let mut members = self.members().clone();
        for learner in &self.members().learners {
            if self.is_silent(now, *learner) {
                members = members.without(*learner);
            }
        }
        changes.retain(|change| match change {
            Change::AddLearner(instance) => {
                members = members.with_learner(*instance);
                false
            }
            Change::Promote(_) | Change::Remove(_) => true,
        });
        members
    }

    /// The members after the first change of a voter that can be made.
    fn next_voters(&self, now: Time, members: &Members, changes: &mut VecDeque<Change>) -> Members {
        while let Some(change) = changes.front() {
            match self.judge(now, members, *change) {
                Verdict::Drop => {}
                Verdict::Keep => return members.clone(),
                Verdict::Replace(changed) => {
                    changes.pop_front();
                    return changed;
                }
            }
            changes.pop_front();
        }
        self.without_silent_voter(now, members).unwrap_or_else(|| members.clone())
    }

    fn judge(&self, now: Time, members: &Members, change: Change) -> Verdict {
        match change {
            Change::AddLearner(instance) => Verdict::Replace(members.with_learner(instance)),
            Change::Promote(instance) if !members.learners.contains(&instance) => Verdict::Drop,
            Change::Promote(instance) if self.has_caught_up(instance) => {
                Verdict::Replace(members.with_voter(instance))
            }
            Change::Promote(instance) if self.is_silent(now, instance) => Verdict::Drop,
            Change::Promote(_) => Verdict::Keep,
            Change::Remove(instance) if !members.contains(instance) => Verdict::Drop,
            Change::Remove(instance) if members.voters == [instance] => Verdict::Drop,
            Change::Remove(instance) => Verdict::Replace(members.without(instance)),
        }
    }

    /// Replaces a voter that has been silent for too long, in two changes: with an odd number of
    /// voters a standby that has caught up comes, and with an even number the silent voter goes.
    fn without_silent_voter(&self, now: Time, members: &Members) -> Option<Members> {
        let lost = *members.voters.iter().find(|voter| self.is_silent(now, **voter))?;
        if members.voters.len().is_multiple_of(2) {
            return Some(members.without(lost));
        }
        let standby = members.learners.iter().find(|learner| {
            self.standbys.contains(learner)
                && self.has_caught_up(**learner)
                && !self.is_silent(now, **learner)
        })?;
        Some(members.with_voter(*standby))
    }

    fn peer(&self, instance: InstanceId) -> Option<&Peer> {
        self.leading.as_ref().and_then(|leading| leading.peers.get(&instance))
    }

    fn is_silent(&self, now: Time, instance: InstanceId) -> bool {
        self.peer(instance).is_some_and(|peer| now.since(peer.heard) > self.config.replace_after)
    }

    fn has_caught_up(&self, instance: InstanceId) -> bool {
        self.peer(instance).is_some_and(|peer| {
            matches!(peer.flow, Flow::Replicate)
                && peer.matched.0 + self.config.catch_up_margin >= self.log.last().0
        })
    }

    /// Tracks new members at once, and lets go of removed ones once that is committed, with a
    /// last word about it.
    pub(super) fn follow_members(&mut self, now: Time) {
        let members = self.members().clone();
        let next = Index(self.log.last().0 + 1);
        let Some(Leadership { peers, .. }) = &mut self.leading else { return };
        for member in members.all().filter(|member| *member != self.config.me) {
            peers.entry(member).or_insert_with(|| Peer::new(next, now));
        }
        if self.membership.since() > self.commit {
            return;
        }
        for gone in self.peers().into_iter().filter(|peer| !members.contains(*peer)) {
            self.replicate(gone, true);
            if let Some(leading) = &mut self.leading {
                leading.peers.remove(&gone);
            }
        }
    }
}
