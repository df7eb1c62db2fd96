//! Answers to heartbeats: when a worker is answered, and with what.

use std::time::Duration;

use crate::{
    jobs::{
        controller::{Answer, leader::Leader},
        fleet::Worker,
        model::WorkerNumber,
        response::{HeartbeatResponse, RunStart},
    },
    time::Time,
};

/// The time after which a worker without room sends its next heartbeat; an end brings one sooner.
const AGAIN_FULL: Duration = Duration::from_millis(900);

/// The time after which a worker sends its next heartbeat on which tasks fill beside tasks that
/// serve.
const AGAIN_MIXED: Duration = Duration::from_millis(150);

/// The time after which a worker with room sends its next heartbeat.
const AGAIN_SOON: Duration = Duration::from_millis(25);

/// The time after which a worker that is leaving sends its next heartbeat: what ends there must be
/// heard before it is gone.
const AGAIN_LEAVING: Duration = Duration::from_millis(200);

/// A run that is expected to end within this time keeps a heartbeat from being held: the worker
/// reports the end with its next one.
const END_NEAR: Duration = Duration::from_millis(120);

/// How long a heartbeat is held at most from a worker on which tasks fill beside tasks that serve:
/// its next figures tell whether the paces are right.
const POLL_MIXED: Duration = Duration::from_millis(300);

/// How long a heartbeat is held at most while a run is past its estimate: it may end any time.
const POLL_OVERDUE: Duration = Duration::from_millis(250);

/// Less free than this part of a worker's processors, and it counts as full, in percent.
const ROOM: u64 = 5;

impl Leader {
    /// How long a worker's heartbeat is held open if nothing is to be told.
    pub(super) fn poll_wait(&self, number: WorkerNumber, now: Time) -> Duration {
        let Some(worker) = self.fleet.workers.get(&number) else { return Duration::ZERO };
        let most = if worker.serving > 0 && worker.wished > 0 {
            self.timing.poll_wait.min(POLL_MIXED)
        } else {
            self.timing.poll_wait
        };
        if worker.profile.as_ref().is_some_and(|profile| profile.leaves.is_some()) {
            return Duration::ZERO;
        }
        let ends = worker.runs.values().filter_map(|view| view.expected_end());
        let most = if ends.clone().any(|end| end <= now) { most.min(POLL_OVERDUE) } else { most };
        let Some(next) = ends.filter(|end| *end > now).min() else {
            return most;
        };
        let until = now.until(next);
        if until < END_NEAR { Duration::ZERO } else { until.min(most) }
    }

    /// Answers the heartbeats that wait no longer.
    pub(super) fn answer_open(&mut self, now: Time) {
        let due = self.fleet.workers.iter().filter(|(number, worker)| {
            worker.open.is_some_and(|open| open.until <= now)
                || self.outgoing.contains_key(number) && worker.open.is_some()
                || worker.open.is_some() && has_orders(worker)
        });
        let due: Vec<_> = due.map(|(number, _)| *number).collect();
        for number in due {
            self.answer_worker(now, number);
        }
    }

    fn answer_worker(&mut self, now: Time, number: WorkerNumber) {
        let starts = self.outgoing.remove(&number).unwrap_or_default();
        let (timing, epoch) = (self.timing, self.epoch);
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        let Some(open) = worker.open.take() else { return };
        let lease_until = open.since + timing.lease + timing.lease_margin;
        worker.lease_until = worker.lease_until.max(lease_until);
        let mut stops = worker.strays.clone();
        let mut paces = Vec::new();
        for (task, view) in &mut worker.runs {
            if view.stopping && view.listed {
                stops.push((*task, view.run));
            } else if view.fills() && view.listed && view.told_pace != view.pace {
                view.told_pace = view.pace;
                paces.push((*task, view.run, view.pace));
            }
        }
        let orders = HeartbeatResponse {
            epoch,
            lease: timing.lease,
            stops,
            paces,
            acknowledged: worker.acknowledged(),
            next_heartbeat: next_heartbeat(worker, now),
            starts: Vec::new(),
        };
        let mut orders = orders;
        for key in starts {
            let Some(job) = self.state.jobs.get(&key.job) else { continue };
            let Some(task) = self.state.task(&key) else { continue };
            let (spec, checkpoint) = (job.spec.clone(), task.checkpoint.clone());
            orders.starts.push(RunStart { task: key, run: task.run, spec, checkpoint });
        }
        self.answers.push((open.ticket, Answer::Heartbeat(orders)));
    }
}

/// Whether a worker is to be told to stop or to pace something.
fn has_orders(worker: &Worker) -> bool {
    !worker.strays.is_empty()
        || worker.runs.values().any(|view| {
            view.listed && (view.stopping || (view.fills() && view.told_pace != view.pace))
        })
}

/// When the worker should send its next heartbeat.
fn next_heartbeat(worker: &Worker, now: Time) -> Duration {
    if worker.profile.as_ref().is_some_and(|profile| profile.leaves.is_some()) {
        return AGAIN_LEAVING;
    }
    let capacity = worker.profile.as_ref().map_or(0, |profile| profile.capacity.millicores);
    let unused = worker.unused();
    if worker.serving > 0 && worker.wished > 0 {
        return AGAIN_MIXED;
    }
    if !worker.is_usable(now) || unused * 100 < capacity * ROOM {
        return AGAIN_FULL;
    }
    AGAIN_SOON
}
