//! Workers that leave.
//!
//! A worker says how long it stays at least, and then exits, whatever runs there. If a run is done just before that, no
//! heartbeat lists its end any more, and its task would start again. So all runs are stopped in time.

use std::time::Duration;

use crate::{
    jobs::{
        controller::{LogEvent, UnknownEnd, hold::LEAVING_INTERVAL, leader::Leader},
        fleet::{RunView, Worker},
        locality::forecast::expected_end,
        model::{TaskKey, WorkerNumber},
    },
    time::Time,
};

/// How long a worker needs to list an end and to receive its acknowledgement.
const LISTING_TIME: Duration = Duration::from_millis(250);

/// Stops runs on a leaving worker: long-running ones, those with checkpoints that won't be done in time, and all that
/// are left when a later order to stop would come too late. They continue, or start again, elsewhere.
pub(super) fn stop_before_leaving(worker: &mut Worker, now: Time, stop: Duration) {
    let Some(leaves_at) = worker.profile.as_ref().and_then(|profile| profile.leaves_at) else {
        return;
    };
    let is_last = now.until(leaves_at) <= stop + LEAVING_INTERVAL + LISTING_TIME;
    for view in worker.runs.values_mut().filter(|view| view.listed) {
        let late = expected_end(view, now, 1.0).is_none_or(|end| end > leaves_at);
        view.stopping |= is_last || view.long_running || (view.checkpoints && late);
    }
}

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
