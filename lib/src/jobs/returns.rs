//! Workers that were removed and have returned.
//!
//! A worker is removed when its lease has run out or its process is gone, so every run that it was started
//! with before has ended. Whether it has returned decides which of its ends may be acknowledged.
//!
//! The records are part of the replicated state, so that all leaders decide alike. They are encoded behind
//! it, so that releases without them read it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    data,
    ids::{Incarnation, WorkerName},
    jobs::{model::WorkerNumber, state::WorkerIncarnation},
};

/// The maximum number of removed workers that are remembered.
const MAX_REMOVED: usize = 8192;

data! {
    /// A worker that was removed.
    struct Removed {
        /// The latest incarnation that was removed under its name.
        incarnation: Incarnation,
        /// The number that this incarnation had.
        number: WorkerNumber,
    }
}

/// The workers that were removed, and those that have returned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Returns {
    removed: BTreeMap<WorkerName, Removed>,
    returned: BTreeSet<WorkerNumber>,
}

impl Returns {
    /// Whether no worker was removed.
    pub fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.returned.is_empty()
    }

    /// Whether the worker with this number was removed under an earlier number.
    pub fn has_returned(&self, number: WorkerNumber) -> bool {
        self.returned.contains(&number)
    }

    /// Records that a worker is added.
    pub(super) fn add(
        &mut self,
        number: WorkerNumber,
        name: &WorkerName,
        incarnation: Incarnation,
    ) {
        if self.removed.get(name).is_some_and(|removed| removed.incarnation == incarnation) {
            self.returned.insert(number);
        }
    }

    /// Records that a worker is removed. If too many are remembered, the one with the smallest number is
    /// forgotten.
    pub(super) fn remove(&mut self, number: WorkerNumber, worker: WorkerIncarnation) {
        self.returned.remove(&number);
        let WorkerIncarnation { name, incarnation } = worker;
        if self.removed.get(&name).is_none_or(|removed| removed.incarnation <= incarnation) {
            self.removed.insert(name, Removed { incarnation, number });
        }
        if self.removed.len() > MAX_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, removed)| removed.number);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.removed.remove(&name);
            }
        }
    }
}
