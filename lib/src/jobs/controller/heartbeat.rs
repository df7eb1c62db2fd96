//! A worker's heartbeat: what it says is compared with what was decided.

use std::collections::BTreeSet;

use crate::{
    jobs::{
        controller::{Answer, LogEvent, Ticket, leader::Leader},
        fleet::{FULL_PACE, Open, RunView, Worker},
        lifecycle::TaskPhase,
        model::{Run, TaskKey, WorkerNumber},
        pace,
        record::{Ending, Record},
        report::{Ended, Report, Running},
    },
    time::Time,
};

impl Leader {
    /// Takes a heartbeat in; it is answered at the end of this turn or held open.
    pub(super) fn heartbeat(&mut self, now: Time, ticket: Ticket, report: &Report) {
        let Some(number) = self.identify(now, report) else {
            self.answers.push((ticket, Answer::Acknowledged));
            return;
        };
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        if worker.profile.is_some() && report.sequence <= worker.sequence {
            self.answers.push((ticket, Answer::Acknowledged));
            return;
        }
        let left_before = worker.profile.as_ref().is_some_and(|profile| profile.leaves.is_some());
        worker.describe(now, report);
        if let Some(older) = worker.open.take() {
            self.answers.push((older.ticket, Answer::Acknowledged));
        }
        if report.leaving.is_some() && !left_before {
            let (name, runs) = (worker.name.to_string(), worker.runs.len());
            let state = "is leaving";
            self.notes.push(LogEvent::Worker { name, state, silent_ms: 0, runs });
        }
        for ended in &report.ended {
            self.take_end(now, number, ended);
        }
        let listed = self.take_running(now, number, &report.running);
        self.reconcile(number, &listed);
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        self.pressure.learn(worker, now);
        pace::adjust(worker, &self.pressure, now);
        pace::move_paused(worker, now);
        evacuate(worker, now);
        stop_stuck(worker, now);
        let until = now + self.poll_wait(number, now);
        if let Some(worker) = self.fleet.workers.get_mut(&number) {
            worker.open = Some(Open { ticket, since: now, until });
        }
        self.unsettled = true;
    }

    /// The number of the worker's incarnation, a new one if it is new; nothing for an older one.
    fn identify(&mut self, now: Time, report: &Report) -> Option<WorkerNumber> {
        if let Some(number) = self.fleet.find(&report.name) {
            let incarnation = self.fleet.workers.get(&number).map(|worker| worker.incarnation)?;
            if incarnation == report.incarnation {
                return Some(number);
            }
            if incarnation > report.incarnation {
                return None;
            }
            self.lose(now, number, "was born again");
        }
        let workers = self.fleet.workers.iter();
        let replaced = workers.filter(|(_, worker)| {
            let profile = worker.profile.as_ref();
            profile.is_some_and(|profile| profile.address == report.address)
                && worker.incarnation < report.incarnation
        });
        let replaced: Vec<_> = replaced.map(|(number, _)| *number).collect();
        for number in replaced {
            self.lose(now, number, "was replaced at its address");
        }
        let number = WorkerNumber(self.state.last_worker.0 + 1);
        let (name, incarnation) = (report.name.clone(), report.incarnation);
        self.record(Record::AddWorker { number, name: name.clone(), incarnation });
        let (state, runs) = ("was heard first", report.running.len());
        self.notes.push(LogEvent::Worker { name: name.to_string(), state, silent_ms: 0, runs });
        self.fleet.insert(number, Worker::unheard(name, incarnation, now, now));
        Some(number)
    }

    /// Whether the agreed state has this run on this worker, in a job that goes on.
    fn is_current(&self, number: WorkerNumber, task: &TaskKey, run: Run) -> bool {
        let open = self.state.jobs.get(&task.job).is_some_and(|job| job.phase.is_open());
        open && self.state.task(task).is_some_and(|held| {
            held.phase == TaskPhase::Running && held.run == run && held.worker == number
        })
    }

    /// Whether a task needs no further run.
    fn is_settled(&self, task: &TaskKey) -> bool {
        let open = self.state.jobs.get(&task.job).is_some_and(|job| job.phase.is_open());
        !open || self.state.task(task).is_some_and(|held| held.phase == TaskPhase::Done)
    }

    /// Takes a run's end in, once.
    pub(super) fn take_end(&mut self, now: Time, number: WorkerNumber, ended: &Ended) {
        let current = self.is_current(number, &ended.task, ended.run);
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        if ended.number <= worker.ended {
            return;
        }
        worker.ended = ended.number;
        if worker.runs.get(&ended.task).is_some_and(|view| view.run == ended.run) {
            worker.remove(&ended.task);
        }
        if !current {
            let done = ended.ending == Ending::Done && !self.is_settled(&ended.task);
            if let Some(worker) = self.fleet.workers.get_mut(&number)
                && done
            {
                worker.withheld.get_or_insert(ended.number);
            }
            return;
        }
        match ended.ending {
            Ending::Done => worker.health.done(),
            Ending::Failed => {
                worker.health.failed(now, ended.task.job);
                self.failed.entry(ended.task).or_default().push(number);
            }
            Ending::Refused => self.failed.entry(ended.task).or_default().push(number),
            Ending::Stopped
            | Ending::LeaseExpired
            | Ending::GangBroken
            | Ending::GangIncomplete => {}
        }
        if ended.ending != Ending::Done {
            let name = worker.name.to_string();
            let (task, run, ending) = (ended.task.to_string(), ended.run.0, ended.ending.name());
            self.notes.push(LogEvent::Ended { task, run, ending, worker: name });
        }
        self.end(now, ended.task, ended.run, ended.ending, &ended.checkpoint);
    }

    /// Records a run's end, and remembers when its job may be forgotten if that ended it.
    pub(super) fn end(
        &mut self,
        now: Time,
        task: TaskKey,
        run: Run,
        ending: Ending,
        checkpoint: &str,
    ) {
        self.record(Record::End { task, run, ending, checkpoint: checkpoint.into() });
        if self.state.jobs.get(&task.job).is_some_and(|job| !job.phase.is_open()) {
            self.retain(now, task.job);
        }
    }

    /// Notes what the worker lists; gives the tasks that it should run.
    fn take_running(
        &mut self,
        now: Time,
        number: WorkerNumber,
        running: &[Running],
    ) -> BTreeSet<TaskKey> {
        let mut listed = BTreeSet::new();
        let mut strays = Vec::new();
        for row in running {
            let current = self.is_current(number, &row.task, row.run);
            let spec = self.state.step(&row.task.step_key());
            let Some(worker) = self.fleet.workers.get_mut(&number) else { break };
            let known = worker.runs.get(&row.task).map(|view| view.run);
            if known.is_some_and(|run| run != row.run) {
                // An older run of a task that is to start here again: it must not hide the new one.
                strays.push((row.task, row.run));
                continue;
            }
            if known.is_none()
                && let Some(spec) = spec
            {
                // It takes its room until it has ended, whether it should run or not.
                worker.add(row.task, RunView::new(spec, row.run, now));
            }
            let Some(view) = worker.runs.get_mut(&row.task) else {
                strays.push((row.task, row.run));
                continue;
            };
            listed.insert(row.task);
            if !view.listed || view.percent != row.percent {
                view.moved = now;
            }
            view.listed = true;
            view.missing = false;
            view.stopping |= !current;
            view.percent = row.percent;
            view.gauge = row.gauge;
        }
        if let Some(worker) = self.fleet.workers.get_mut(&number) {
            worker.strays = strays;
        }
        listed
    }

    /// Looks at the runs that the worker should list and doesn't: a start that didn't arrive is
    /// sent again, for the answer that carried it was dropped. A run that was listed is given up
    /// once it is missing twice; its end may come with the next heartbeat.
    fn reconcile(&mut self, number: WorkerNumber, listed: &BTreeSet<TaskKey>) {
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        let missing = worker.runs.iter_mut().filter(|(task, _)| !listed.contains(task));
        let missing: Vec<_> = missing
            .map(|(task, view)| {
                let twice = std::mem::replace(&mut view.missing, true);
                (*task, view.run, view.listed, twice)
            })
            .collect();
        let mut again = Vec::new();
        for (task, run, was_listed, twice) in missing {
            let current = self.is_current(number, &task, run);
            if current && !was_listed {
                again.push(task);
                continue;
            }
            if current && !twice {
                continue;
            }
            if let Some(worker) = self.fleet.workers.get_mut(&number) {
                worker.remove(&task);
            }
            if current {
                let ending = Ending::LeaseExpired;
                self.record(Record::End { task, run, ending, checkpoint: Box::default() });
            }
        }
        if again.is_empty() {
            self.outgoing.remove(&number);
        } else {
            self.outgoing.insert(number, again);
        }
    }
}

/// Stops what can go on elsewhere if the worker is leaving: long-running tasks, and tasks that
/// save their progress and won't be done in time.
fn evacuate(worker: &mut Worker, now: Time) {
    let Some(leaves) = worker.profile.as_ref().and_then(|profile| profile.leaves) else { return };
    for view in worker.runs.values_mut().filter(|view| view.listed) {
        let late = view.expected_end().is_some_and(|end| end.max(now) > leaves);
        view.stopping |= view.long_running || (view.checkpoints && late);
    }
}

/// How long a run may stand still at full pace, beside its estimate.
const STILL: std::time::Duration = std::time::Duration::from_millis(2500);

/// Stops runs that stand still, and avoids their worker for a while.
fn stop_stuck(worker: &mut Worker, now: Time) {
    let mut stuck = false;
    for view in worker.runs.values_mut() {
        let runs = view.listed && !view.long_running && !view.stopping;
        if runs && view.told_pace == FULL_PACE && now.since(view.moved) > STILL + view.estimate / 2
        {
            view.stopping = true;
            stuck = true;
        }
    }
    if stuck {
        worker.health.stuck(now);
    }
}
