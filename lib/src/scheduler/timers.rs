//! What is due when.

use std::collections::BTreeSet;

use crate::{ids::TaskId, scheduler::index::WorkerSlot, time::Time};

/// Something that is due at a time. A timer that comes too early is set again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A worker may be overdue, lapsed or out of quarantine.
    Worker(WorkerSlot),
    /// A record may have got no answer.
    Record(TaskId),
    /// A failed task waits no longer.
    Requeue(TaskId),
    /// Leases of the holder before this one have surely run out.
    Cleared,
    /// The workers that were heard of count as all there are.
    Census,
    /// Tasks that found no room are tried again.
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

    /// The first time at which something is due.
    pub(super) fn next(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Takes out a timer that is due.
    pub(super) fn take(&mut self, now: Time) -> Option<Timer> {
        let (at, _) = *self.due.first()?;
        if at > now {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }
}
