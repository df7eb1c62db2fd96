//! The scheduler's timers.

use std::collections::BTreeSet;

use crate::{ids::TaskId, scheduler::index::WorkerSlot, time::Time};

/// What to do at a deadline. Timers are never cancelled: when one fires, its handler checks whether
/// there is still something to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A worker may be overdue, without a valid lease or out of quarantine.
    Worker(WorkerSlot),
    /// A proposed record may have got no answer.
    Record(TaskId),
    /// The delay of a failed task is over.
    Requeue(TaskId),
    /// All leases of the previous holder have expired.
    PriorLeasesExpired,
    /// All workers had time to announce themselves; tasks that fit none of them end.
    DiscoveryOver,
    /// Blocked tasks are retried.
    Sweep,
}

/// All timers.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    due: BTreeSet<(Time, Timer)>,
}

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&mut self, at: Time, timer: Timer) {
        self.due.insert((at, timer));
    }

    /// The earliest deadline.
    pub(super) fn next(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Removes and returns a timer that is due.
    pub(super) fn take(&mut self, now: Time) -> Option<Timer> {
        let (at, _) = *self.due.first()?;
        if at > now {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }
}
