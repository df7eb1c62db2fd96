//! What the ranks of an occurrence's steps have in common: the objective of its job and the work that is
//! left.

use std::collections::BTreeMap;

use crate::jobs::{config::Queue, model::JobId, progress::RemainingWork, state::Job};

/// The objective and the remaining work of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// The time from the begin of the occurrence until it should be done, in milliseconds.
    pub objective: u64,
    /// The work that is left.
    pub remaining: RemainingWork,
}

impl Outlook {
    /// The outlook of an occurrence. This walks over all steps of the job.
    pub fn new(job: &Job, queue: &Queue, occurrence: u32) -> Self {
        let objective = queue.objective(job.spec.critical_path());
        Self { objective, remaining: job.remaining(occurrence) }
    }
}

/// The outlooks that were computed.
#[derive(Debug, Default)]
pub struct Outlooks {
    known: BTreeMap<(JobId, u32), Known>,
    /// Increases with each change that affects all outlooks.
    version: u64,
}

#[derive(Debug)]
struct Known {
    outlook: Outlook,
    /// The version of all outlooks that it was computed in; `None` if the occurrence has changed since.
    version: Option<u64>,
}

impl Outlooks {
    /// The last outlook of an occurrence and whether it is up to date; `None` if none was computed.
    pub fn get(&self, id: JobId, occurrence: u32) -> Option<(Outlook, bool)> {
        let known = self.known.get(&(id, occurrence))?;
        Some((known.outlook, known.version == Some(self.version)))
    }

    /// Adds an outlook that was computed now.
    pub fn insert(&mut self, id: JobId, occurrence: u32, outlook: Outlook) {
        let version = Some(self.version);
        self.known.insert((id, occurrence), Known { outlook, version });
    }

    /// Records that the remaining work of an occurrence has changed.
    pub fn invalidate(&mut self, id: JobId, occurrence: u32) {
        if let Some(known) = self.known.get_mut(&(id, occurrence)) {
            known.version = None;
        }
    }

    /// Records that the objectives of all jobs may have changed.
    pub fn invalidate_all(&mut self) {
        self.version += 1;
    }

    /// Forgets an occurrence.
    pub fn remove(&mut self, id: JobId, occurrence: u32) {
        self.known.remove(&(id, occurrence));
    }

    /// Forgets a job.
    pub fn remove_job(&mut self, id: JobId) {
        let occurrences: Vec<_> =
            self.known.range((id, 0)..=(id, u32::MAX)).map(|(key, _)| *key).collect();
        for key in occurrences {
            self.known.remove(&key);
        }
    }
}
