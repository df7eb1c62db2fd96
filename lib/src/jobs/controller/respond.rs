//! Responses to heartbeats and their content.
//!
//! The size of a response is limited, and so is the rate at which starts are sent. What doesn't fit is
//! sent with a later response, in the same order.

use std::collections::BTreeSet;

use crate::{
    jobs::{
        controller::{Answer, hold::FREE_INTERVAL, leader::Leader},
        fleet::{RunView, Worker},
        model::{Run, TaskKey, WorkerNumber},
        response::{HeartbeatResponse, RunStart},
        state::State,
    },
    time::Time,
};

impl Leader {
    /// Answers the held heartbeats that are due or for which there is something to send.
    pub(super) fn answer_held(&mut self, now: Time) {
        self.start_budget.refill(now);
        let mut due: BTreeSet<_> = self.fleet.due(now).collect();
        for number in std::mem::take(&mut self.changed) {
            let worker = self.fleet.workers.get(&number);
            if worker.is_some_and(|worker| has_updates(worker) || self.is_unheld(worker)) {
                due.insert(number);
            }
        }
        due.retain(|number| self.is_held(*number));
        for number in due {
            self.answer_worker(now, number);
        }
        self.send_starts(now);
    }

    /// Answers the held heartbeats of workers with pending starts, in turn, until the budget is spent.
    fn send_starts(&mut self, now: Time) {
        let from = self.pending_starts.range(self.next_served..).map(|(number, _)| *number);
        let others = self.pending_starts.range(..self.next_served).map(|(number, _)| *number);
        let numbers: Vec<_> = from.chain(others).filter(|number| self.is_held(*number)).collect();
        for number in numbers {
            if self.start_budget.is_spent() {
                self.next_served = number;
                return;
            }
            self.answer_worker(now, number);
        }
    }

    fn is_held(&self, number: WorkerNumber) -> bool {
        self.fleet.workers.get(&number).is_some_and(|worker| worker.held.is_some())
    }

    fn answer_worker(&mut self, now: Time, number: WorkerNumber) {
        let (timing, epoch) = (self.timing, self.epoch);
        let Some(held) = self.fleet.release(number) else { return };
        let Some(worker) = self.fleet.workers.get(&number) else { return };
        let interval = self.heartbeat_interval(worker, now);
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        // A worker that may be gone must not keep its runs for another lease.
        let lease = worker.renews_lease().then_some(timing.lease);
        if let Some(lease) = lease {
            let until = held.since + lease + timing.lease_margin;
            worker.lease_until = worker.lease_until.max(until);
            worker.searching = false;
        }
        let sizes = &self.responses.sizes;
        let mut room = self.responses.max_bytes.saturating_sub(sizes.envelope);
        let stops: Vec<_> = stops(worker).take(room / sizes.stop).collect();
        room -= stops.len() * sizes.stop;
        let mut paces = Vec::new();
        let paced = worker.runs.iter_mut().filter(|(_, view)| needs_pace(view));
        for (task, view) in paced.take(room / sizes.pace) {
            view.sent_pace = Some(view.pace);
            paces.push((*task, view.run, view.pace));
        }
        room -= paces.len() * sizes.pace;
        let mut response = HeartbeatResponse {
            epoch,
            lease,
            stops,
            paces,
            acknowledged: worker.acknowledged(),
            next_heartbeat: interval,
            starts: Vec::new(),
        };
        if lease.is_some() {
            response.starts = self.take_starts(number, room);
        }
        if self.pending_starts.contains_key(&number) {
            response.next_heartbeat = response.next_heartbeat.min(FREE_INTERVAL);
        }
        self.answers.push((held.ticket, Answer::Heartbeat(response)));
    }

    /// Takes the pending starts of a worker that a response has room for, in order.
    fn take_starts(&mut self, number: WorkerNumber, room: usize) -> Vec<RunStart> {
        let mut starts = Vec::new();
        let Some(pending) = self.pending_starts.remove(&number) else { return starts };
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return starts };
        let window = worker.delivery.bytes(self.responses.max_bytes);
        let mut bytes = 0;
        let mut taken = 0;
        for key in &pending {
            if self.start_budget.is_spent() {
                break;
            }
            if let Some(start) = new_start(&self.state, key)
                && let Some(view) = worker.runs.get_mut(key)
            {
                let size = self.responses.sizes.start(&start);
                // A start that exceeds the window by itself is sent alone.
                let fits = starts.is_empty() || bytes + size <= window;
                if !fits || bytes + size > room {
                    break;
                }
                bytes += size;
                self.start_budget.spend(size);
                (view.sent, view.missing) = (true, false);
                starts.push(start);
            }
            taken += 1;
        }
        if !starts.is_empty() {
            worker.delivery.record_sent();
        }
        if let Some(left) = pending.get(taken..).filter(|left| !left.is_empty()) {
            self.pending_starts.insert(number, left.to_vec());
        }
        starts
    }
}

/// The start of a task's current run.
fn new_start(state: &State, key: &TaskKey) -> Option<RunStart> {
    let (job, task) = (state.jobs.get(&key.job)?, state.task(key)?);
    let (spec, checkpoint) = (job.spec.clone(), state.checkpoint(key).into());
    Some(RunStart { task: *key, run: task.run, spec, checkpoint })
}

/// The runs that the worker has to stop.
fn stops(worker: &Worker) -> impl Iterator<Item = (TaskKey, Run)> {
    let stopping = worker.runs.iter().filter(|(_, view)| needs_stop(view));
    worker.orphans.keys().copied().chain(stopping.map(|(task, view)| (*task, view.run)))
}

/// Whether the worker has to be told to stop a run.
fn needs_stop(view: &RunView) -> bool {
    view.listed && view.stopping
}

/// Whether the worker has to be told the pace of a run.
fn needs_pace(view: &RunView) -> bool {
    view.listed && !view.stopping && view.is_opportunistic() && view.sent_pace != Some(view.pace)
}

/// Whether a run on the worker has to be stopped or needs a new pace.
fn has_updates(worker: &Worker) -> bool {
    !worker.orphans.is_empty()
        || worker.runs.values().any(|view| needs_stop(view) || needs_pace(view))
}
