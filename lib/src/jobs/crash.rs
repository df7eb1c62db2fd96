//! Crashes of workers, counted by the tasks that may have caused them.
//!
//! The counts are part of the replicated state. They are encoded behind the encoding of the state
//! and of a batch, so that releases without them read both.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    data,
    jobs::{
        lifecycle::{JobEvent, TaskPhase},
        model::{JobId, TaskKey},
        progress::JobInput,
        state::{Change, State},
    },
};

/// The number of crashes after which a task that ends by itself is given up, and its job fails.
/// From this number on, a long-running task is started less and less often.
pub const MAX_CRASHES: u32 = 3;

data! {
    /// A change of the crash counts.
    pub enum CrashRecord {
        /// A worker has crashed, and each of these tasks may have caused it.
        Blame {
            /// The tasks.
            tasks: Vec<TaskKey>,
        },
        /// A run of the task has settled, so the task doesn't crash workers.
        Absolve {
            /// The task.
            task: TaskKey,
        },
    }

    /// A change of the crash counts and its place among the records of a batch.
    pub struct CrashEntry {
        /// The number of records that come before it.
        pub after: u32,
        /// The change.
        pub record: CrashRecord,
    }
}

/// The number of crashes of each task that may have caused any.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCounts(BTreeMap<TaskKey, u32>);

impl CrashCounts {
    /// Whether no task has caused a crash.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The number of crashes that the task may have caused.
    pub fn of(&self, task: &TaskKey) -> u32 {
        self.0.get(task).copied().unwrap_or(0)
    }

    /// All tasks with at least one crash.
    pub fn iter(&self) -> impl Iterator<Item = (&TaskKey, u32)> {
        self.0.iter().map(|(task, count)| (task, *count))
    }

    fn add(&mut self, task: TaskKey) -> u32 {
        let count = self.0.entry(task).or_default();
        *count = count.saturating_add(1);
        *count
    }

    pub(super) fn remove(&mut self, task: &TaskKey) {
        self.0.remove(task);
    }

    pub(super) fn remove_job(&mut self, id: JobId) {
        let tasks: Vec<_> = self.0.range(id.tasks()).map(|(task, _)| *task).collect();
        for task in tasks {
            self.0.remove(&task);
        }
    }
}

impl State {
    /// Applies a change of the crash counts and appends its effects to `changes`.
    pub fn apply_crash(&mut self, record: &CrashRecord, changes: &mut Vec<Change>) {
        match record {
            CrashRecord::Blame { tasks } => {
                for task in tasks {
                    self.blame(task, changes);
                }
            }
            CrashRecord::Absolve { task } => self.crashes.remove(task),
        }
    }

    fn blame(&mut self, key: &TaskKey, changes: &mut Vec<Change>) {
        let open = self.jobs.get(&key.job).is_some_and(|job| job.phase.is_open());
        let done = self.task(key).is_none_or(|task| task.phase == TaskPhase::Done);
        let Some(step) = self.step(&key.step_key()) else { return };
        if !open || done {
            return;
        }
        let long_running = step.options.long_running;
        let crash_loop = self.crashes.add(*key) >= MAX_CRASHES && !long_running;
        let input = JobInput { event: JobEvent::Crash, crash_loop };
        self.end_job(key.job, input, changes);
    }
}
