//! The records and answers that a turn of the leader produces.

use std::time::Duration;

use crate::{
    jobs::{
        controller::{Answer, Ticket, leader::Leader},
        crash::{CrashEntry, CrashRecord},
        estimates::EstimateRecord,
        evacuation::EvacuationOrder,
        model::JobId,
        record::{Ending, Record},
        state::Change,
    },
    time::Time,
};

/// The minimum interval between two records of estimates. A new leader learns as much in a few seconds.
pub(super) const RECORD_INTERVAL: Duration = Duration::from_secs(5);

/// The interval between two comparisons with the recorded estimates while none has changed.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// Changes of the replicated state.
#[derive(Debug, Default)]
pub(super) struct StateChanges {
    pub(super) records: Vec<Record>,
    pub(super) crashes: Vec<CrashEntry>,
    pub(super) evacuations: Vec<EvacuationOrder>,
    pub(super) estimates: EstimateRecord,
    pub(super) cancels: Vec<JobId>,
}

/// The result of a turn: changes to propose, and answers.
#[derive(Debug, Default)]
pub(super) struct Proposal {
    pub(super) changes: StateChanges,
    /// Answers that may be sent once the records are committed.
    pub(super) answers: Vec<(Ticket, Answer)>,
}

impl Proposal {
    /// The number of changes to commit.
    pub(super) fn len(&self) -> usize {
        let StateChanges { records, crashes, evacuations, estimates, cancels } = &self.changes;
        let estimates = usize::from(!estimates.is_empty());
        records.len() + crashes.len() + evacuations.len() + estimates + cancels.len()
    }

    /// Whether there is nothing to commit.
    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Leader {
    /// Applies a decision to the working copy and adds it to the next proposal.
    pub(super) fn record(&mut self, now: Time, record: Record) {
        let mut changes = std::mem::take(&mut self.changes);
        self.state.apply(&record, &mut changes);
        self.invalidate_outlooks(&record);
        self.records.push(record);
        self.follow(now, changes);
    }

    /// Applies a change of the crash counts to the working copy and adds it to the next proposal.
    pub(super) fn record_crash(&mut self, now: Time, record: CrashRecord) {
        let mut changes = std::mem::take(&mut self.changes);
        self.state.apply_crash(&record, &mut changes);
        let after = u32::try_from(self.records.len()).unwrap_or(u32::MAX);
        self.crashes.push(CrashEntry { after, record });
        self.follow(now, changes);
    }

    /// The estimates of interference to add to the next proposal: those that have changed noticeably since
    /// they were recorded. There are none if nothing else is proposed, so an idle leader writes nothing.
    pub(super) fn take_estimates(&mut self, now: Time) -> EstimateRecord {
        let idle = self.records.is_empty() && self.crashes.is_empty() && self.orders.is_empty();
        if idle || now < self.next_estimates {
            return EstimateRecord::default();
        }
        let estimates = self.interference.changed_estimates(&self.state.estimates, now);
        let interval = if estimates.is_empty() { COMPARE_INTERVAL } else { RECORD_INTERVAL };
        self.next_estimates = now + interval;
        self.state.estimates.apply(&estimates);
        estimates
    }

    /// Marks the outlooks that a record has changed.
    fn invalidate_outlooks(&mut self, record: &Record) {
        match record {
            Record::Configure(_) => self.outlooks.invalidate_all(),
            Record::End { task, ending: Ending::Done, .. } => {
                self.outlooks.invalidate(task.job, task.occurrence);
            }
            Record::End { .. }
            | Record::Submit { .. }
            | Record::Cancel { .. }
            | Record::AddWorker { .. }
            | Record::RemoveWorker { .. }
            | Record::Start { .. }
            | Record::Node(_)
            | Record::Forget { .. } => {}
        }
    }

    /// Acts on the effects of a record.
    fn follow(&mut self, now: Time, mut changes: Vec<Change>) {
        for change in changes.drain(..) {
            match change {
                Change::Accepted(id) => self.admit_job(id),
                Change::Ready(step) => {
                    self.note_ready(step);
                    self.enqueue(now, step);
                }
                Change::Ended(id) => self.close_job(id),
            }
        }
        self.changes = changes;
    }
}
