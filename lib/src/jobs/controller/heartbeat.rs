//! Heartbeats: reconciles what a worker reports with the leader's decisions.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    jobs::{
        controller::{
            Answer, LogEvent, Ticket,
            capacity::UnlistedStart,
            leader::{Leader, Removal},
            leaving::stop_before_leaving,
        },
        fleet::{FULL_PACE_PERCENT, HeldHeartbeat, Orphan, RunView, Worker},
        lifecycle::TaskPhase,
        model::{Run, Step, TaskKey, WorkerNumber},
        pace,
        record::{Ending, Record},
        report::{Ended, Report, Running, keepable},
    },
    time::Time,
    transit::Arrival,
};

impl Leader {
    /// Handles a heartbeat. It is answered at the end of this turn or held open.
    pub(super) fn heartbeat(&mut self, now: Time, ticket: Ticket, report: &Report) {
        if let Some(refusal) = self.refusal(now, report) {
            self.answers.push((ticket, Answer::Acknowledged));
            let (name, reason) = (report.name.to_string(), refusal.name());
            return self.log_events.push(LogEvent::Ignored { name, reason });
        }
        let arrival = self.fleet.arrive(now, report);
        if arrival == Arrival::Late {
            return self.late_heartbeat(now, ticket, report);
        }
        let Some(number) = self.identify(now, report) else {
            self.answers.push((ticket, Answer::Acknowledged));
            return;
        };
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        if worker.profile.is_some() && report.sequence <= worker.sequence {
            self.answers.push((ticket, Answer::Acknowledged));
            return;
        }
        let more_before = worker.more_ends;
        self.update_profile(now, number, report);
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        worker.confirmed = arrival == Arrival::Timely;
        let withheld = worker.withheld.len();
        for ended in &report.ended {
            self.process_end(now, number, ended);
        }
        self.release_ends(now, number, report);
        self.log_withheld(number, withheld);
        let listed = self.process_running(now, number, &report.running);
        self.settle_runs(now, number, &listed);
        self.reconcile(now, number, &listed, more_before);
        self.adjust_runs(now, number);
        let until = now + self.hold_time(number, now);
        if let Some(older) = self.fleet.hold(number, HeldHeartbeat { ticket, since: now, until }) {
            self.answers.push((older.ticket, Answer::Acknowledged));
        }
        self.changed.insert(number);
    }

    /// Learns from the worker's measurements, and changes the paces of its runs or stops them.
    fn adjust_runs(&mut self, now: Time, number: WorkerNumber) {
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        let slow = self.interference.is_slow(worker, now);
        self.interference.learn(worker, now);
        self.interference.summarize(worker);
        pace::adjust_paces(worker, &self.interference, now);
        // Runs on evacuated workers are stopped only by the drain, which knows a place for them.
        let stays = worker.evacuated;
        if !stays {
            pace::stop_paused(worker, now);
        }
        stop_before_leaving(worker, now, self.timing.stop);
        stop_stalled(worker, now);
        let was_slow = worker.health.slow;
        worker.health.record_speed(now, slow);
        if worker.health.slow && !stays {
            self.relocate(now, number, was_slow);
        }
        self.relieve(now, number);
    }

    /// Handles a heartbeat whose response would be dropped. Its ends count, but it doesn't show that
    /// the worker is still up.
    fn late_heartbeat(&mut self, now: Time, ticket: Ticket, report: &Report) {
        self.answers.push((ticket, Answer::Acknowledged));
        let known = self.fleet.find(&report.name).and_then(|number| {
            let worker = self.fleet.workers.get(&number)?;
            let newer = worker.incarnation == report.incarnation
                && (worker.profile.is_none() || report.sequence > worker.sequence);
            newer.then(|| (number, now.since(worker.last_heartbeat)))
        });
        let silent = known.map_or(Duration::ZERO, |(_, silent)| silent);
        self.log_events.push(LogEvent::Worker {
            name: report.name.to_string(),
            state: "sent a heartbeat that arrived too late",
            silent_ms: u64::try_from(silent.as_millis()).unwrap_or(u64::MAX),
            runs: report.running.len(),
        });
        if let Some((number, _)) = known {
            for ended in &report.ended {
                self.process_end(now, number, ended);
            }
        }
    }

    /// Updates the properties of a worker. A change of its capacity and its leaving are logged.
    fn update_profile(&mut self, now: Time, number: WorkerNumber, report: &Report) {
        self.fleet.add_capacity(&report.service, &report.capacity);
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        let was_leaving = worker.is_leaving();
        if let Some(profile) = &worker.profile
            && profile.capacity != report.capacity
        {
            self.log_events.push(LogEvent::Resized {
                name: worker.name.to_string(),
                before: profile.capacity,
                after: report.capacity,
                reserved: worker.reserved,
                runs: worker.runs.len(),
            });
        }
        worker.update_profile(now, report);
        worker.evacuated = self.state.evacuations.contains(&report.centre);
        if report.leaving.is_some() && !was_leaving {
            let (name, runs) = (worker.name.to_string(), worker.runs.len());
            let state = "is leaving";
            self.log_events.push(LogEvent::Worker { name, state, silent_ms: 0, runs });
        }
    }

    /// The number of the worker's incarnation, assigned if the incarnation is new; `None` for an
    /// outdated incarnation.
    fn identify(&mut self, now: Time, report: &Report) -> Option<WorkerNumber> {
        if let Some(number) = self.fleet.find(&report.name) {
            let newest = self.fleet.workers.get(&number)?;
            if newest.incarnation >= report.incarnation {
                return self.fleet.find_incarnation(&report.name, report.incarnation);
            }
            // The last heartbeat of a worker that has left may still arrive.
            if newest.departure.is_none() {
                self.remove_worker(now, number, Removal::Reborn);
            }
        }
        let workers = self.fleet.workers.iter();
        let neighbours = workers.filter(|(_, worker)| {
            let profile = worker.profile.as_ref();
            profile.is_some_and(|profile| profile.address == report.address)
        });
        let (replaced, heirs): (Vec<_>, Vec<_>) =
            neighbours.partition(|(_, worker)| worker.incarnation < report.incarnation);
        if !heirs.is_empty() {
            return None;
        }
        let replaced = replaced.into_iter().filter(|(_, worker)| worker.departure.is_none());
        let replaced: Vec<_> = replaced.map(|(number, _)| *number).collect();
        for number in replaced {
            self.remove_worker(now, number, Removal::Replaced);
        }
        self.blame_lapsed(now, report);
        let number = WorkerNumber(self.state.last_worker.0 + 1);
        let (name, incarnation) = (report.name.clone(), report.incarnation);
        self.record(now, Record::AddWorker { number, name: name.clone(), incarnation });
        let (state, runs) = ("was heard first", report.running.len());
        self.log_events.push(LogEvent::Worker {
            name: name.to_string(),
            state,
            silent_ms: 0,
            runs,
        });
        self.fleet.insert(number, Worker::new(name, incarnation, now, now));
        Some(number)
    }

    /// Whether this is the recorded run of the task, on this worker, in a job that hasn't ended.
    pub(super) fn is_current(&self, number: WorkerNumber, task: &TaskKey, run: Run) -> bool {
        let open = self.state.jobs.get(&task.job).is_some_and(|job| job.phase.is_open());
        open && self.state.task(task).is_some_and(|recorded| {
            recorded.phase == TaskPhase::Running && recorded.run == run && recorded.worker == number
        })
    }

    /// Processes the end of a run. An end that was already processed is ignored.
    pub(super) fn process_end(&mut self, now: Time, number: WorkerNumber, ended: &Ended) {
        let current = self.is_current(number, &ended.task, ended.run);
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        if ended.number <= worker.last_end {
            return;
        }
        worker.last_end = ended.number;
        if worker.runs.get(&ended.task).is_some_and(|view| view.run == ended.run) {
            worker.remove(&ended.task);
        }
        worker.remove_orphan(&ended.task, ended.run);
        if !current {
            return self.withhold_end(number, ended);
        }
        match ended.ending {
            Ending::Done => worker.health.record_done(),
            Ending::Failed => {
                worker.health.record_failure(now, ended.task.job);
                self.failed_on.entry(ended.task).or_default().push(number);
            }
            Ending::Refused => self.failed_on.entry(ended.task).or_default().push(number),
            Ending::Stopped
            | Ending::LeaseExpired
            | Ending::GangBroken
            | Ending::GangIncomplete => {}
        }
        if ended.ending != Ending::Done {
            let name = worker.name.to_string();
            let (task, run, ending) = (ended.task.to_string(), ended.run.0, ended.ending.name());
            self.log_events.push(LogEvent::Ended { task, run, ending, worker: name });
        }
        let checkpoint = keepable(&ended.checkpoint);
        self.record_end(now, ended.task, ended.run, ended.ending, checkpoint);
        if ended.ending != Ending::Done {
            self.note_broken(&ended.task);
        }
    }

    /// Records the end of a run. If that ends the job, schedules its removal.
    pub(super) fn record_end(
        &mut self,
        now: Time,
        task: TaskKey,
        run: Run,
        ending: Ending,
        checkpoint: &str,
    ) {
        self.record(now, Record::End { task, run, ending, checkpoint: checkpoint.into() });
        self.note_stopped(now, task);
        if self.state.jobs.get(&task.job).is_some_and(|job| !job.phase.is_open()) {
            self.schedule_forget(now, task.job);
        }
    }

    /// Records that a run was lost. Its task continues from the latest checkpoint that was listed.
    pub(super) fn record_lost_run(
        &mut self,
        now: Time,
        task: TaskKey,
        run: Run,
        checkpoint: Box<str>,
    ) {
        self.note_broken(&task);
        self.record(now, Record::End { task, run, ending: Ending::LeaseExpired, checkpoint });
        self.note_stopped(now, task);
    }

    /// Notes when the last run of a long-running task has ended.
    fn note_stopped(&mut self, now: Time, task: TaskKey) {
        let step = self.state.step(&task.step_key());
        let waits = self.state.task(&task).is_some_and(|task| task.phase == TaskPhase::Waiting);
        if waits && step.is_some_and(|step| step.options.long_running) {
            self.stopped.insert(task, now);
        }
    }

    /// Updates the runs that the worker lists and returns their tasks.
    fn process_running(
        &mut self,
        now: Time,
        number: WorkerNumber,
        running: &[Running],
    ) -> BTreeSet<TaskKey> {
        let mut listed = BTreeSet::new();
        let mut orphans = BTreeSet::new();
        for row in running {
            let current = self.is_current(number, &row.task, row.run);
            let spec = self.state.step(&row.task.step_key());
            let Some(worker) = self.fleet.workers.get_mut(&number) else { break };
            let known = worker.runs.get(&row.task).map(|view| view.run);
            if known.is_some_and(|run| run != row.run) {
                // An older run of a task that is to start on this worker again must not mask the
                // new run.
                let reserved = spec.map_or(worker.capacity(), Step::reserved);
                worker.add_orphan(row.task, row.run, Orphan { reserved, missing: false });
                orphans.insert((row.task, row.run));
                continue;
            }
            if known.is_none()
                && let Some(spec) = spec
            {
                // The run occupies resources until it ends, even if it has to be stopped.
                worker.add(row.task, RunView::new(spec, row.run, now));
            }
            let reserved = worker.capacity();
            let Some(view) = worker.runs.get_mut(&row.task) else {
                // What a run of an unknown job reserves isn't known.
                worker.add_orphan(row.task, row.run, Orphan { reserved, missing: false });
                orphans.insert((row.task, row.run));
                continue;
            };
            listed.insert(row.task);
            if !view.listed || view.percent != row.percent {
                view.progressed_at = now;
            }
            (view.sent, view.listed) = (true, true);
            view.missing = false;
            view.stopping |= !current;
            view.percent = row.percent;
            let checkpoint = keepable(&row.checkpoint);
            if &*view.checkpoint != checkpoint {
                view.checkpoint = checkpoint.into();
            }
            view.gauge = row.gauge;
        }
        if let Some(worker) = self.fleet.workers.get_mut(&number)
            && !worker.more_ends
        {
            worker.expire_orphans(&orphans);
        }
        listed
    }

    /// Handles runs that are missing from the worker's list. A start that never appeared was lost
    /// with its answer and is sent again if it still fits. A run that was listed before is given up if it is missing
    /// from two heartbeats in a row, since its end may still come with the next one and its room is
    /// free only then.
    ///
    /// Heartbeats with a full list of ends don't count: a run that they lack has probably ended, and its
    /// end follows. `more_before` tells whether the last list was full.
    fn reconcile(
        &mut self,
        now: Time,
        number: WorkerNumber,
        listed: &BTreeSet<TaskKey>,
        more_before: bool,
    ) {
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        let more_ends = worker.more_ends;
        let mut missing = Vec::new();
        for (task, view) in worker.runs.iter_mut().filter(|(task, _)| !listed.contains(task)) {
            if more_ends && view.sent {
                // It isn't at work any more, but doesn't stand still either.
                (view.missing, view.progressed_at) = (true, now);
            } else {
                missing.push(MissingRun::new(*task, view, more_before));
            }
        }
        let mut unlisted = Vec::new();
        let mut arrived = true;
        for MissingRun { start, run, was_listed, was_sent } in missing {
            let task = start.task;
            let current = self.is_current(number, &task, run);
            if current && !was_listed {
                unlisted.push(start);
                arrived &= !was_sent;
                continue;
            }
            if was_listed && !start.was_missing {
                continue;
            }
            let worker = self.fleet.workers.get_mut(&number);
            let view = worker.and_then(|worker| worker.remove(&task));
            if current {
                let checkpoint = view.map(|view| view.checkpoint).unwrap_or_default();
                self.record_lost_run(now, task, run, checkpoint);
            }
        }
        if let Some(worker) = self.fleet.workers.get_mut(&number)
            && !more_ends
        {
            worker.delivery.record_outcome(arrived, self.responses.max_bytes);
        }
        unlisted.sort_by_key(|start| start.order);
        let starts = self.select_starts(now, number, &unlisted);
        if starts.is_empty() {
            self.pending_starts.remove(&number);
        } else {
            self.pending_starts.insert(number, starts);
        }
    }
}

/// A run that is absent from its worker's list.
struct MissingRun {
    start: UnlistedStart,
    run: Run,
    was_listed: bool,
    was_sent: bool,
}

impl MissingRun {
    /// Marks the run as missing. `more_before` tells whether its end may have been left out of the last
    /// list.
    fn new(task: TaskKey, view: &mut RunView, more_before: bool) -> Self {
        let was_missing = std::mem::replace(&mut view.missing, true) && !more_before;
        let start = UnlistedStart { task, order: view.order, was_missing };
        Self { start, run: view.run, was_listed: view.listed, was_sent: view.sent }
    }
}

/// How long a run at full pace may go without progress, in addition to half its estimate.
const STALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// Stops runs without progress and avoids their worker for a while.
fn stop_stalled(worker: &mut Worker, now: Time) {
    let mut stalled = false;
    for view in worker.runs.values_mut() {
        let active = view.listed && !view.long_running && !view.stopping;
        if active
            && view.sent_pace == Some(FULL_PACE_PERCENT)
            && now.since(view.progressed_at) > STALL_TIMEOUT + view.estimate / 2
        {
            view.stopping = true;
            stalled = true;
        }
    }
    if stalled {
        worker.health.record_stall(now);
    }
}
