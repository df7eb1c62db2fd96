//! Workers that leave.

use std::time::Duration;

use crate::{
    jobs::{
        controller::{LogEvent, UnknownEnd, leader::Leader},
        fleet::RunView,
        model::{TaskKey, WorkerNumber},
    },
    time::Time,
};

impl Leader {
    /// Reports that a worker leaves, and what isn't known of its runs.
    pub(super) fn log_leave(&mut self, now: Time, number: WorkerNumber) {
        let Some(worker) = self.fleet.workers.get(&number) else { return };
        if worker.departure.is_some() {
            return;
        }
        let last = worker.runs.iter().max_by_key(|(_, view)| view.percent);
        self.log_events.push(LogEvent::Leave {
            worker: worker.name.to_string(),
            silent: now.since(worker.last_heartbeat),
            notice: worker.leaving_since.map_or(Duration::ZERO, |since| now.since(since)),
            runs: worker.runs.len(),
            last: last.map(|(task, view)| unknown_end(now, task, view)),
        });
    }
}

fn unknown_end(now: Time, task: &TaskKey, view: &RunView) -> UnknownEnd {
    UnknownEnd {
        task: task.to_string(),
        run: view.run.0,
        percent: view.percent,
        age: now.since(view.since),
        estimate: if view.long_running { Duration::ZERO } else { view.estimate },
        stopping: view.stopping,
    }
}
