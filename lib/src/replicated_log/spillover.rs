//! Spillover of tasks that may run anywhere: a task that its home data centre hasn't placed for
//! some time is offered to all other data centres.
//!
//! The ledger grants the task to the first data centre that records an attempt; the others drop it.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::TaskId, time::Time};

/// How long a task waits in its home data centre before it is offered to others.
const SPILLOVER_DELAY: Duration = Duration::from_secs(5);

/// How often the waiting tasks are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The waiting tasks whose home is another data centre, and since when each has been waiting.
#[derive(Clone, Debug)]
pub struct Spillover {
    waiting: BTreeMap<TaskId, Time>,
    next_check: Time,
}

impl Spillover {
    /// Creates an empty set.
    pub fn new(now: Time) -> Self {
        Self { waiting: BTreeMap::new(), next_check: now }
    }

    /// Adds a task that waits in its home data centre.
    pub fn add(&mut self, now: Time, task: TaskId) {
        self.waiting.entry(task).or_insert(now);
    }

    /// Removes a task that was placed or has ended.
    pub fn remove(&mut self, task: TaskId) {
        self.waiting.remove(&task);
    }

    /// Removes and returns the tasks that have waited long enough.
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

    /// When [`Self::due`] next has an effect.
    pub fn next_deadline(&self) -> Time {
        self.next_check
    }
}
