//! When jobs that have ended, and cancellations of jobs that weren't known, are forgotten.

use std::collections::{BTreeMap, BTreeSet};

use crate::{jobs::model::JobId, time::Time};

/// What is kept until a time, by the identifiers of the jobs.
#[derive(Debug, Default)]
pub struct Retention {
    until: BTreeMap<JobId, Time>,
    due: BTreeSet<(Time, JobId)>,
}

impl Retention {
    /// Keeps a job until this time, in place of an earlier one.
    pub fn keep(&mut self, id: JobId, until: Time) {
        if let Some(before) = self.until.insert(id, until) {
            self.due.remove(&(before, id));
        }
        self.due.insert((until, id));
    }

    /// Removes and returns the jobs whose time has passed.
    pub fn take_expired(&mut self, now: Time) -> Vec<JobId> {
        let mut expired = Vec::new();
        while let Some((_, id)) = self.due.first().copied().filter(|(until, _)| *until <= now) {
            self.due.pop_first();
            self.until.remove(&id);
            expired.push(id);
        }
        expired
    }
}
