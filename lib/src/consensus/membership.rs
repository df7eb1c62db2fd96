//! The members in force, those before them that a snapshot may still need, and quorums.

use crate::{
    consensus::log::Members,
    ids::{Index, InstanceId},
};

impl Members {
    /// Whether an instance votes.
    pub fn is_voter(&self, instance: InstanceId) -> bool {
        self.voters.contains(&instance)
    }

    /// Whether an instance votes or follows.
    pub fn contains(&self, instance: InstanceId) -> bool {
        self.is_voter(instance) || self.learners.contains(&instance)
    }

    /// All members, voters first.
    pub fn all(&self) -> impl Iterator<Item = InstanceId> {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// How many voters are more than half of them.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters for which `holds` are a quorum; never without voters.
    pub fn is_quorum(&self, holds: impl Fn(InstanceId) -> bool) -> bool {
        self.voters.iter().filter(|voter| holds(**voter)).count() >= self.quorum()
    }

    /// The largest value that a quorum has reached; nothing without voters.
    pub fn quorum_value<T: Ord>(&self, value: impl Fn(InstanceId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(|voter| value(*voter)).collect();
        values.sort_unstable();
        let at = values.len().checked_sub(self.quorum())?;
        values.into_iter().nth(at)
    }

    /// These members with one more learner; unchanged if it is a member.
    pub fn with_learner(&self, instance: InstanceId) -> Self {
        let mut members = self.clone();
        if !members.contains(instance) {
            insert(&mut members.learners, instance);
        }
        members
    }

    /// These members with `instance` as a voter.
    pub fn with_voter(&self, instance: InstanceId) -> Self {
        let mut members = self.without(instance);
        insert(&mut members.voters, instance);
        members
    }

    /// These members but for `instance`.
    pub fn without(&self, instance: InstanceId) -> Self {
        let keep = |list: &[InstanceId]| list.iter().copied().filter(|i| *i != instance).collect();
        Self { voters: keep(&self.voters), learners: keep(&self.learners) }
    }
}

fn insert(list: &mut Vec<InstanceId>, instance: InstanceId) {
    if let Err(at) = list.binary_search(&instance) {
        list.insert(at, instance);
    }
}

/// The members by the entry that set them; the last are in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Membership {
    first: Members,
    later: Vec<(Index, Members)>,
}

impl Membership {
    pub(super) fn new(first: Members) -> Self {
        Self { first, later: Vec::new() }
    }

    /// The members in force.
    pub(super) fn current(&self) -> &Members {
        self.later.last().map_or(&self.first, |(_, members)| members)
    }

    /// The entry that set the members in force; 0 or a snapshot's past if it is not held.
    pub(super) fn since(&self) -> Index {
        self.later.last().map_or(Index(0), |(index, _)| *index)
    }

    /// The members at an entry, not before the last compaction.
    pub(super) fn at(&self, index: Index) -> &Members {
        self.later
            .iter()
            .rev()
            .find(|(since, _)| *since <= index)
            .map_or(&self.first, |(_, members)| members)
    }

    /// Takes members into force with the entry at `index`.
    pub(super) fn push(&mut self, index: Index, members: Members) {
        self.later.push((index, members));
    }

    /// Takes back the members that entries from `from` on had set.
    pub(super) fn truncate(&mut self, from: Index) {
        self.later.retain(|(since, _)| *since < from);
    }

    /// Forgets the members that were in force only before `index`.
    pub(super) fn compact(&mut self, index: Index) {
        self.first = self.at(index).clone();
        self.later.retain(|(since, _)| *since > index);
    }
}
