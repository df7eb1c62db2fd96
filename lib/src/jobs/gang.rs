//! What the members of a gang share.
//!
//! The records of gangs are part of the replicated state. They are encoded behind it, so that releases
//! without them read it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    data,
    jobs::{
        model::{JobId, Run, StepKey},
        record::Ending,
    },
};

data! {
    /// What the members of a gang share.
    #[derive(Default)]
    struct Gang {
        /// The checkpoint that all members continue from; empty if there is none.
        checkpoint: Box<str>,
        /// The run that saved it.
        saved: Run,
        /// The number of runs that have failed.
        failures: u32,
        /// The last run that has failed.
        failed: Run,
    }
}

/// The gangs with a checkpoint or a failed run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gangs(BTreeMap<StepKey, Gang>);

impl Gangs {
    /// Whether no gang has a checkpoint or a failed run.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The checkpoint that all members of a gang continue from; empty if there is none.
    pub fn checkpoint(&self, key: &StepKey) -> &str {
        self.0.get(key).map_or("", |gang| &gang.checkpoint)
    }

    /// Records the end of a member's run. Returns the number of runs of the gang that have failed.
    ///
    /// The checkpoint of any member is valid for the gang. That of an end replaces an earlier one. That
    /// of a lost member, which only its last heartbeat has listed, counts unless the run has saved one
    /// before.
    pub(super) fn end(&mut self, key: StepKey, run: Run, ending: Ending, checkpoint: &str) -> u32 {
        let failed = ending == Ending::Failed;
        if checkpoint.is_empty() && !failed {
            return self.0.get(&key).map_or(0, |gang| gang.failures);
        }
        let gang = self.0.entry(key).or_default();
        let listed = ending == Ending::LeaseExpired;
        if !checkpoint.is_empty() && (!listed || gang.saved < run) {
            (gang.checkpoint, gang.saved) = (checkpoint.into(), run);
        }
        if failed && gang.failed < run {
            (gang.failures, gang.failed) = (gang.failures + 1, run);
        }
        gang.failures
    }

    pub(super) fn remove(&mut self, key: &StepKey) {
        self.0.remove(key);
    }

    pub(super) fn remove_job(&mut self, id: JobId) {
        let keys: Vec<_> = self.0.range(id.steps()).map(|(key, _)| *key).collect();
        for key in keys {
            self.0.remove(&key);
        }
    }
}
