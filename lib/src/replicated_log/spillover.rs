//! Tasks that may run anywhere and find no place at home: after a while, every data centre tries.
//!
//! The ledger gives such a task to the first that records a try; the others forget it.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::TaskId, time::Time};

/// How long a task waits at home before others try.
const SPILLOVER_DELAY: Duration = Duration::from_secs(5);

/// How often it is looked after.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Tasks of other data centres' homes that wait, since when.
#[derive(Clone, Debug)]
pub struct Spillover {
    waiting: BTreeMap<TaskId, Time>,
    next_check: Time,
}

impl Spillover {
    /// No task waits.
    pub fn new(now: Time) -> Self {
        Self { waiting: BTreeMap::new(), next_check: now }
    }

    /// A task waits at another data centre.
    pub fn add(&mut self, now: Time, task: TaskId) {
        self.waiting.entry(task).or_insert(now);
    }

    /// A task waits no longer.
    pub fn remove(&mut self, task: TaskId) {
        self.waiting.remove(&task);
    }

    /// The tasks that have waited for long; each is given once.
    pub fn due(&mut self, now: Time) -> Vec<TaskId> {
        if now < self.next_check {
            return Vec::new();
        }
        self.next_check = now + CHECK_INTERVAL;
        let long = |since: &Time| now.since(*since) >= SPILLOVER_DELAY;
        let due: Vec<_> =
            self.waiting.iter().filter(|(_, since)| long(since)).map(|(task, _)| *task).collect();
        for task in &due {
            self.waiting.remove(task);
        }
        due
    }

    /// When [`Self::due`] is to be asked.
    pub fn next_deadline(&self) -> Time {
        self.next_check
    }
}
