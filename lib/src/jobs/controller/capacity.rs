//! Keeps the starts on a worker within the capacity that it reported last.

use std::collections::BTreeSet;

use crate::{
    jobs::{
        controller::{LogEvent, leader::Leader},
        fleet::Worker,
        lifecycle::TaskPhase,
        model::{StepKey, TaskKey, WorkerNumber},
        record::Ending,
    },
    time::Time,
};

/// A start that the worker hasn't listed.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnlistedStart {
    /// The task.
    pub(super) task: TaskKey,
    /// Its place in the order of the leader's decisions.
    pub(super) order: u64,
    /// Whether the heartbeat before this one didn't list it either, although it was sent.
    pub(super) was_missing: bool,
}

/// Starts that a worker hasn't listed, by what becomes of them.
#[derive(Debug, Default)]
struct Selection {
    /// Starts to send.
    fitting: Vec<TaskKey>,
    /// Starts to withdraw.
    withdrawn: Vec<TaskKey>,
    /// The gangs of which a start isn't sent.
    gangs: BTreeSet<StepKey>,
}

impl Leader {
    /// The starts to send to a worker, of those that it hasn't listed. The others are withdrawn, since
    /// they no longer fit the capacity that it reports, it leaves or it is evacuated, and their tasks wait
    /// again.
    pub(super) fn select_starts(
        &mut self,
        now: Time,
        number: WorkerNumber,
        unlisted: &[UnlistedStart],
    ) -> Vec<TaskKey> {
        let Some(worker) = self.fleet.workers.get(&number) else { return Vec::new() };
        let mut selection = self.partition(worker, unlisted);
        for task in &selection.withdrawn {
            self.withdraw_start(now, number, task);
        }
        for gang in &selection.gangs {
            self.stop_gang(now, gang);
        }
        if let Some(worker) = self.fleet.workers.get(&number) {
            let runs = &worker.runs;
            selection.fitting.retain(|task| runs.get(task).is_some_and(|view| !view.stopping));
        }
        selection.fitting
    }

    fn partition(&self, worker: &Worker, unlisted: &[UnlistedStart]) -> Selection {
        let views = unlisted.iter().filter_map(|start| worker.runs.get(&start.task));
        let mut reserved =
            views.fold(worker.reserved, |sum, view| sum.saturating_sub(&view.reserved));
        let mut selection = Selection::default();
        for start in unlisted {
            let Some(view) = worker.runs.get(&start.task) else { continue };
            let total = reserved.saturating_add(&view.reserved);
            if !view.stopping && worker.takes_starts() && worker.capacity().fits(&total) {
                reserved = total;
                selection.fitting.push(start.task);
                continue;
            }
            let key = start.task.step_key();
            if self.state.step(&key).is_some_and(|step| step.options.gang) {
                selection.gangs.insert(key);
            }
            // A run that was sent may have ended already, and its end may come with the next
            // heartbeat.
            if !view.sent || start.was_missing {
                selection.withdrawn.push(start.task);
            }
        }
        selection
    }

    /// Ends a run that its worker hasn't started.
    pub(super) fn withdraw_start(&mut self, now: Time, number: WorkerNumber, task: &TaskKey) {
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        let Some(view) = worker.remove(task) else { return };
        let worker = worker.name.to_string();
        if let Some(starts) = self.pending_starts.get_mut(&number) {
            starts.retain(|start| start != task);
        }
        self.changed.insert(number);
        if self.is_current(number, task, view.run) {
            let (task, run, ending) = (*task, view.run, "withdrawn");
            let name = task.to_string();
            self.log_events.push(LogEvent::Ended { task: name, run: run.0, ending, worker });
            self.record_end(now, task, run, Ending::Stopped, "");
        }
    }

    /// Notes that the run of a task has ended without being done, if it was a member of a gang.
    pub(super) fn note_broken(&mut self, task: &TaskKey) {
        let key = task.step_key();
        if self.state.step(&key).is_some_and(|step| step.options.gang) {
            self.broken_gangs.insert(key);
        }
    }

    /// Stops the other members of the gangs of which a member's run has ended: they would wait for it in
    /// vain, or with another checkpoint.
    pub(super) fn stop_broken_gangs(&mut self, now: Time) {
        for key in std::mem::take(&mut self.broken_gangs) {
            self.stop_gang(now, &key);
        }
    }

    /// Stops the members of a gang of which one doesn't start: they would wait for it in vain.
    pub(super) fn stop_gang(&mut self, now: Time, key: &StepKey) {
        let Some(progress) = self.state.progress(key) else { return };
        let members = (0..).zip(&progress.tasks);
        let running = members.filter(|(_, task)| task.phase == TaskPhase::Running);
        let running: Vec<_> = running.map(|(index, task)| (key.task(index), task.worker)).collect();
        for (task, number) in running {
            let Some(worker) = self.fleet.workers.get_mut(&number) else { continue };
            let Some(view) = worker.runs.get_mut(&task) else { continue };
            if view.sent {
                view.stopping = true;
                self.changed.insert(number);
            } else {
                self.withdraw_start(now, number, &task);
            }
        }
    }
}
