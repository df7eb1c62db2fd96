//! Quorums, and the history of members that snapshots need.

use crate::{
    consensus::log::Members,
    ids::{Index, InstanceId},
};

impl Members {
    /// Whether an instance is a voter.
    pub fn is_voter(&self, instance: InstanceId) -> bool {
        self.voters.contains(&instance)
    }

    /// Whether an instance is a voter or a learner.
    pub fn contains(&self, instance: InstanceId) -> bool {
        self.is_voter(instance) || self.learners.contains(&instance)
    }

    /// All members, voters first.
    pub fn all(&self) -> impl Iterator<Item = InstanceId> {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// The number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters that satisfy `predicate` form a quorum; false without voters.
    pub fn is_quorum(&self, predicate: impl Fn(InstanceId) -> bool) -> bool {
        self.voters.iter().filter(|voter| predicate(**voter)).count() >= self.quorum()
    }

    /// The largest value that a quorum has reached; `None` without voters.
    pub fn quorum_value<T: Ord>(&self, value: impl Fn(InstanceId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(|voter| value(*voter)).collect();
        values.sort_unstable();
        let at = values.len().checked_sub(self.quorum())?;
        values.into_iter().nth(at)
    }

    /// These members with `instance` as a learner; unchanged if it is already a member.
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

    /// These members without `instance`.
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

/// The members by the entry that set them; the last ones are effective.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Membership {
    /// The members before the first of the changes.
    base: Members,
    changes: Vec<(Index, Members)>,
}

impl Membership {
    pub(super) fn new(base: Members) -> Self {
        Self { base, changes: Vec::new() }
    }

    /// The effective members.
    pub(super) fn current(&self) -> &Members {
        self.changes.last().map_or(&self.base, |(_, members)| members)
    }

    /// The index of the entry that set the effective members; 0 if a snapshot covers it.
    pub(super) fn since(&self) -> Index {
        self.changes.last().map_or(Index(0), |(index, _)| *index)
    }

    /// The members as of an entry, which must not precede the last compaction.
    pub(super) fn at(&self, index: Index) -> &Members {
        self.changes
            .iter()
            .rev()
            .find(|(since, _)| *since <= index)
            .map_or(&self.base, |(_, members)| members)
    }

    /// Makes members effective with the entry at `index`.
    pub(super) fn push(&mut self, index: Index, members: Members) {
        self.changes.push((index, members));
    }

    /// Reverts the members that were set by the entry at `from` or later ones.
    pub(super) fn truncate(&mut self, from: Index) {
        self.changes.retain(|(since, _)| *since < from);
    }

    /// Drops the members that were replaced at or before `index`.
    pub(super) fn compact(&mut self, index: Index) {
        self.base = self.at(index).clone();
        self.changes.retain(|(since, _)| *since > index);
    }
}
