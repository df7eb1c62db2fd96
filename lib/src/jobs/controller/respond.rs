//! Responses to heartbeats: their timing and their content.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    jobs::{
        controller::{Answer, leader::Leader},
        fleet::Worker,
        model::WorkerNumber,
        response::{HeartbeatResponse, RunStart},
    },
    time::Time,
};

/// The heartbeat interval of a full worker. A run that ends triggers a heartbeat earlier.
const FULL_INTERVAL: Duration = Duration::from_millis(900);

/// The heartbeat interval of a worker that has both opportunistic and serving tasks.
const MIXED_INTERVAL: Duration = Duration::from_millis(150);

/// The heartbeat interval of a worker with free capacity.
const FREE_INTERVAL: Duration = Duration::from_millis(25);

/// The heartbeat interval of a leaving worker. It is short, since the ends of its runs must be
/// reported before it is gone.
const LEAVING_INTERVAL: Duration = Duration::from_millis(200);

/// A heartbeat isn't held if a run is expected to end within this time, so that the worker can
/// report the end with its next heartbeat.
const END_NEAR: Duration = Duration::from_millis(120);

/// The maximum hold time for a worker that has both opportunistic and serving tasks: its next
/// measurements tell whether the paces are right.
const MAX_HOLD_MIXED: Duration = Duration::from_millis(300);

/// The maximum hold time while a run is past its estimated end, since it may end at any time.
const MAX_HOLD_OVERDUE: Duration = Duration::from_millis(250);

/// The heartbeat interval of a worker on probation, and the maximum hold time of its heartbeats:
/// nothing else starts there until its runs have settled.
const PROBATION_INTERVAL: Duration = Duration::from_millis(100);

/// A worker counts as full if a smaller percentage of its processors than this is unused.
const FULL_BELOW_PERCENT: u64 = 5;

impl Leader {
    /// How long a heartbeat of this worker may be held open.
    pub(super) fn hold_time(&self, number: WorkerNumber, now: Time) -> Duration {
        let Some(worker) = self.fleet.workers.get(&number) else { return Duration::ZERO };
        let max = if worker.probation.is_some() {
            self.timing.max_hold.min(PROBATION_INTERVAL)
        } else if worker.serving > 0 && worker.demand > 0 {
            self.timing.max_hold.min(MAX_HOLD_MIXED)
        } else {
            self.timing.max_hold
        };
        if worker.is_leaving() || !worker.confirmed {
            return Duration::ZERO;
        }
        let ends = worker.runs.values().filter_map(|view| view.expected_end());
        let max = if ends.clone().any(|end| end <= now) { max.min(MAX_HOLD_OVERDUE) } else { max };
        let Some(next) = ends.filter(|end| *end > now).min() else {
            return max;
        };
        let until = now.until(next);
        if until < END_NEAR { Duration::ZERO } else { until.min(max) }
    }

    /// Answers the held heartbeats that are due or for which there is something to send.
    pub(super) fn answer_held(&mut self, now: Time) {
        let changed = std::mem::take(&mut self.changed)
            .into_iter()
            .filter(|number| self.fleet.workers.get(number).is_some_and(has_updates));
        let mut due: BTreeSet<_> = self.fleet.due(now).collect();
        due.extend(changed);
        due.extend(self.pending_starts.keys());
        due.retain(|number| {
            self.fleet.workers.get(number).is_some_and(|worker| worker.held.is_some())
        });
        for number in due {
            self.answer_worker(now, number);
        }
    }

    fn answer_worker(&mut self, now: Time, number: WorkerNumber) {
        let (timing, epoch) = (self.timing, self.epoch);
        let Some(held) = self.fleet.release(number) else { return };
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        let starts = match worker.confirmed {
            true => self.pending_starts.remove(&number).unwrap_or_default(),
            false => Vec::new(),
        };
        // A worker that may be gone must not keep its runs for another lease.
        let lease = worker.confirmed.then_some(timing.lease);
        if let Some(lease) = lease {
            let until = held.since + lease + timing.lease_margin;
            worker.lease_until = worker.lease_until.max(until);
        }
        let mut stops: Vec<_> = worker.orphans.keys().copied().collect();
        let mut paces = Vec::new();
        for (task, view) in &mut worker.runs {
            if view.stopping && view.listed {
                stops.push((*task, view.run));
            } else if view.is_opportunistic() && view.listed && view.sent_pace != view.pace {
                view.sent_pace = view.pace;
                paces.push((*task, view.run, view.pace));
            }
        }
        let mut response = HeartbeatResponse {
            epoch,
            lease,
            stops,
            paces,
            acknowledged: worker.acknowledged(),
            next_heartbeat: next_heartbeat(worker, now),
            starts: Vec::new(),
        };
        for key in starts {
            let Some(job) = self.state.jobs.get(&key.job) else { continue };
            let Some(task) = self.state.task(&key) else { continue };
            let Some(view) = worker.runs.get_mut(&key) else { continue };
            (view.sent, view.missing) = (true, false);
            let (spec, checkpoint) = (job.spec.clone(), task.checkpoint.clone());
            response.starts.push(RunStart { task: key, run: task.run, spec, checkpoint });
        }
        self.answers.push((held.ticket, Answer::Heartbeat(response)));
    }
}

/// Whether a run on the worker has to be stopped or needs a new pace.
fn has_updates(worker: &Worker) -> bool {
    !worker.orphans.is_empty()
        || worker.runs.values().any(|view| {
            view.listed
                && (view.stopping || (view.is_opportunistic() && view.sent_pace != view.pace))
        })
}

/// The time until the worker's next heartbeat.
fn next_heartbeat(worker: &Worker, now: Time) -> Duration {
    if worker.is_leaving() {
        return LEAVING_INTERVAL;
    }
    if worker.probation.is_some() {
        return PROBATION_INTERVAL;
    }
    let capacity = worker.profile.as_ref().map_or(0, |profile| profile.capacity.millicores);
    let unused = worker.unused();
    if worker.serving > 0 && worker.demand > 0 {
        return MIXED_INTERVAL;
    }
    if !worker.confirmed {
        return FREE_INTERVAL;
    }
    if !worker.is_usable(now)
        || unused.saturating_mul(100) < capacity.saturating_mul(FULL_BELOW_PERCENT)
    {
        return FULL_INTERVAL;
    }
    FREE_INTERVAL
}
