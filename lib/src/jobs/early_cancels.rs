//! Jobs that were cancelled before they were submitted.
//!
//! A cancellation may overtake its submission, which may lie in the socket of a suspended gateway. It is
//! acknowledged like any other, so it is remembered for as long as a job that has ended, and the submission is
//! refused.
//!
//! These jobs are part of the replicated state. Both the cancellations in a batch and the set in a snapshot are
//! encoded behind what releases without them read.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::jobs::model::JobId;

/// The maximum number of cancellations that are remembered. Further ones are refused, since forgetting one
/// would let a job run whose cancellation was acknowledged.
pub const MAX_EARLY_CANCELS: usize = 65_536;

/// The jobs that were cancelled before they were submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlyCancels(BTreeSet<JobId>);

impl EarlyCancels {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether there are as many as possible.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_EARLY_CANCELS
    }

    /// Whether the job was cancelled before it was submitted.
    pub fn contains(&self, id: JobId) -> bool {
        self.0.contains(&id)
    }

    /// The jobs.
    pub fn iter(&self) -> impl Iterator<Item = JobId> {
        self.0.iter().copied()
    }

    pub(super) fn insert(&mut self, id: JobId) {
        self.0.insert(id);
    }

    pub(super) fn remove(&mut self, id: JobId) {
        self.0.remove(&id);
    }
}
