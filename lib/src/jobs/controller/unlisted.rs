//! Starts that their worker hasn't listed. Their tasks don't count as waiting.

use std::time::Duration;

use crate::{
    jobs::{
        controller::{LogEvent, leader::Leader},
        fleet::{RunView, Worker},
        model::TaskKey,
    },
    time::Time,
};

/// The age from which a start that its worker hasn't listed is reported.
const UNLISTED_AGE: Duration = Duration::from_secs(1);

/// The starts that a worker hasn't listed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UnlistedStarts<'a> {
    /// The number of starts.
    pub(super) count: usize,
    /// The oldest of them, with its age.
    pub(super) oldest: Option<(TaskKey, &'a RunView, Duration)>,
}

impl<'a> UnlistedStarts<'a> {
    /// All starts that the worker hasn't listed.
    pub(super) fn of(worker: &'a Worker, now: Time) -> Self {
        Self::older(worker, now, Duration::ZERO)
    }

    /// Those that are at least as old as `min`.
    fn older(worker: &'a Worker, now: Time, min: Duration) -> Self {
        let mut starts = Self::default();
        for (task, view) in worker.unlisted() {
            let age = now.since(view.since);
            if age < min {
                continue;
            }
            starts.count += 1;
            if starts.oldest.is_none_or(|(_, _, oldest)| age > oldest) {
                starts.oldest = Some((*task, view, age));
            }
        }
        starts
    }
}

impl Leader {
    /// Reports the starts that their workers haven't listed for long.
    pub(super) fn unlisted(&self, now: Time) -> Option<LogEvent> {
        let workers = self.fleet.workers.values();
        let overdue: Vec<_> = workers
            .filter_map(|worker| {
                let starts = UnlistedStarts::older(worker, now, UNLISTED_AGE);
                Some((worker, starts.count, starts.oldest?))
            })
            .collect();
        let (worker, _, (task, view, age)) = overdue.iter().max_by_key(|(_, _, (.., age))| *age)?;
        Some(LogEvent::Unlisted {
            starts: overdue.iter().map(|(_, count, _)| count).sum(),
            workers: overdue.len(),
            task: task.to_string(),
            worker: worker.name.to_string(),
            age: *age,
            sent: view.sent,
            held: worker.held.is_some(),
        })
    }
}
