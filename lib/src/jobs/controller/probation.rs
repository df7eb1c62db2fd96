//! Blame for crashed workers, and probation: a task that may have crashed a worker starts next on a
//! worker without other unsettled runs, and nothing else starts there until it has settled.

use std::collections::BTreeSet;

use crate::{
    ids::ServiceName,
    jobs::{
        controller::{
            LogEvent,
            leader::{Leader, Removal},
            round::Round,
        },
        crash::{CrashRecord, MAX_CRASHES},
        fleet::{RunView, Worker},
        lifecycle::TaskPhase,
        model::{Run, Step, TaskKey, WorkerNumber},
        placement::{Request, SpeedRequirement, may_run},
        pool::Room,
        report::Report,
        suspects::SETTLING,
        waiting::{Demand, WaitingStep},
    },
    time::Time,
};

/// The maximum percentage of workers that may be on probation at the same time, or reserved for it.
/// The others take the starts of all other tasks.
const MAX_PROBATION_PERCENT: usize = 50;

/// The maximum number of long-running tasks with one crash each that start on a worker on probation
/// together. If it crashes again, each of them starts alone.
const MAX_SHARED: usize = 4;

impl Leader {
    /// The runs that may have crashed the worker, if it has crashed. The age of a run that an
    /// earlier leader started isn't known, so it is a suspect only if its task is one or has run
    /// before: otherwise a task whose crashes all fall into changes of the leader would never be
    /// one.
    fn suspect_runs(&self, number: WorkerNumber, worker: &Worker) -> Vec<(TaskKey, Run)> {
        let unsettled = worker.runs.iter().filter(|(task, view)| {
            !view.settled
                && (!view.restored || view.run > Run(1) || self.is_suspect(task))
                && self.is_current(number, task, view.run)
        });
        unsettled.map(|(task, view)| (*task, view.run)).collect()
    }

    /// Counts the removal of a worker against its suspects if it has crashed, or remembers them
    /// until that is known.
    pub(super) fn record_suspects(
        &mut self,
        now: Time,
        number: WorkerNumber,
        worker: &Worker,
        removal: Removal,
    ) {
        let runs = self.suspect_runs(number, worker);
        match removal {
            Removal::Reborn | Removal::Replaced if !worker.is_leaving() => {
                let tasks: Vec<_> = runs.into_iter().map(|(task, _)| task).collect();
                self.blame(now, worker.name.as_str(), &tasks);
            }
            Removal::Lapsed if !worker.is_leaving() => self.suspects.lapse(now, worker, runs),
            Removal::Reborn | Removal::Replaced | Removal::Lapsed | Removal::Left => {}
        }
    }

    /// Whether the task may have crashed a worker.
    pub(super) fn is_suspect(&self, task: &TaskKey) -> bool {
        self.state.crashes.of(task) > 0
    }

    /// Counts a crash of the worker for each of the tasks.
    pub(super) fn blame(&mut self, now: Time, worker: &str, tasks: &[TaskKey]) {
        if tasks.is_empty() {
            return;
        }
        let counts: Vec<_> = tasks.iter().map(|task| self.state.crashes.of(task) + 1).collect();
        let names = tasks.iter().map(TaskKey::to_string);
        let suspects = names.zip(counts.iter().copied()).collect();
        self.log_events.push(LogEvent::Crash { worker: worker.to_owned(), suspects });
        self.record_crash(now, CrashRecord::Blame { tasks: tasks.to_vec() });
        for (task, crashes) in tasks.iter().zip(counts) {
            let long_running =
                self.state.step(&task.step_key()).is_some_and(|step| step.options.long_running);
            if long_running {
                self.suspects.delay(now, *task, crashes);
            } else if crashes >= MAX_CRASHES && !self.is_open(task) {
                self.schedule_forget(now, task.job);
                self.log_events.push(LogEvent::GivenUp { task: task.to_string(), crashes });
            }
        }
    }

    /// Delays the tasks that an earlier leader has counted too many crashes for. Only long-running
    /// ones are still open.
    pub(super) fn restore_delays(&mut self, now: Time) {
        for (task, crashes) in self.state.crashes.iter() {
            self.suspects.delay(now, *task, crashes);
        }
    }

    fn is_open(&self, task: &TaskKey) -> bool {
        self.state.jobs.get(&task.job).is_some_and(|job| job.phase.is_open())
    }

    /// Counts the crashes of workers whose lease had run out before a new incarnation of them
    /// sent this report.
    pub(super) fn blame_lapsed(&mut self, now: Time, report: &Report) {
        for lapsed in self.suspects.identify(now, report) {
            let tasks = lapsed.runs.iter().filter(|(task, run)| self.may_have_crashed(task, *run));
            let tasks: Vec<_> = tasks.map(|(task, _)| *task).collect();
            self.blame(now, lapsed.name.as_str(), &tasks);
        }
    }

    /// Whether no later run of the task shows that it doesn't crash workers.
    fn may_have_crashed(&self, key: &TaskKey, run: Run) -> bool {
        let Some(task) = self.state.task(key) else { return false };
        let worker = self.fleet.workers.get(&task.worker);
        let view = worker.and_then(|worker| worker.runs.get(key));
        let settled = view.is_some_and(|view| view.run == task.run && view.settled);
        self.is_open(key) && task.phase != TaskPhase::Done && !(task.run > run && settled)
    }

    /// Marks the runs as settled that the worker has listed for long enough. A task that was a
    /// suspect is none any more.
    pub(super) fn settle_runs(
        &mut self,
        now: Time,
        number: WorkerNumber,
        listed: &BTreeSet<TaskKey>,
    ) {
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        let mut settled = Vec::new();
        for (task, view) in worker.runs.iter_mut().filter(|(task, _)| listed.contains(task)) {
            let since = *view.listed_at.get_or_insert(now);
            if !view.settled && now.since(since) >= SETTLING {
                view.settled = true;
                settled.push((*task, view.run));
            }
        }
        for (task, run) in settled {
            let worker = self.fleet.workers.get_mut(&number);
            if let Some(worker) = worker.filter(|worker| worker.probation == Some(task)) {
                worker.probation = None;
            }
            if self.is_suspect(&task) && self.is_current(number, &task, run) {
                self.record_crash(now, CrashRecord::Absolve { task });
                self.suspects.absolve(&task);
            }
        }
    }

    /// Whether the next run of the task has to settle before others start on its worker. The members of
    /// a gang start at the same time, so none of them can.
    pub(super) fn needs_probation(&self, task: &TaskKey, step: &Step) -> bool {
        self.is_suspect(task) && !step.options.gang
    }

    /// The view of a run that is about to start.
    pub(super) fn new_view(&self, now: Time, task: &TaskKey, run: Run, step: &Step) -> RunView {
        let probation = self.needs_probation(task, step);
        RunView { probation, ..RunView::new(step, run, now) }
    }

    /// The best worker for a task. For a suspect, it has no unsettled runs; if there is no such
    /// worker, one is reserved for the task.
    pub(super) fn find_worker(
        &mut self,
        now: Time,
        waiting: &WaitingStep,
        (task, speed): (TaskKey, SpeedRequirement),
        (step, service): (&Step, &ServiceName),
        round: &mut Round,
    ) -> Option<WorkerNumber> {
        if self.suspects.is_delayed(now, &task) {
            return None;
        }
        let probation = self.needs_probation(&task, step);
        if probation {
            if let Some(number) = self.suspects.reserved(&task) {
                return self.is_ready(now, number, &waiting.demand).then_some(number);
            }
            if let Some(number) = self.shared_probation(now, waiting, &task, (step, service)) {
                return Some(number);
            }
            if self.is_probation_full() {
                return None;
            }
        }
        let failed_on = self.failed_on.get(&task).filter(|_| !step.options.gang);
        let avoid = failed_on.map_or(&[][..], Vec::as_slice);
        let (key, interference) = (waiting.key, &self.interference);
        let request = Request { service, step, key, avoid, interference, speed, probation };
        let number = round.choose(&self.fleet, now, waiting, &request)?;
        if !probation || self.fleet.workers.get(&number)?.is_settled() {
            return Some(number);
        }
        self.fleet.workers.get_mut(&number)?.probation = Some(task);
        self.suspects.reserve(now, task, number);
        round.update(&self.fleet, number);
        None
    }

    /// A worker on probation whose unsettled runs are still to be sent, and on which the task may start
    /// together with them.
    fn shared_probation(
        &self,
        now: Time,
        waiting: &WaitingStep,
        task: &TaskKey,
        (step, service): (&Step, &ServiceName),
    ) -> Option<WorkerNumber> {
        if !step.options.long_running || self.state.crashes.of(task) != 1 {
            return None;
        }
        let (key, interference, speed) = (waiting.key, &self.interference, SpeedRequirement::Any);
        let request =
            Request { service, step, key, avoid: &[], interference, speed, probation: true };
        let mut shared = self.fleet.present().filter(|(_, worker)| {
            let mut unsettled = worker.runs.iter().filter(|(_, view)| !view.settled);
            let shares = |(task, view): (&TaskKey, &RunView)| {
                !view.sent && view.long_running && self.state.crashes.of(task) == 1
            };
            worker.probation.is_some()
                && (1..MAX_SHARED).contains(&unsettled.clone().count())
                && unsettled.all(shares)
                && worker.held.is_some()
                && worker.is_usable(now)
                && Room::left(worker).fits(&waiting.demand)
                && may_run(worker, &request)
        });
        shared.next().map(|(number, _)| number)
    }

    /// Whether the reserved worker can start the task that it is reserved for.
    fn is_ready(&self, now: Time, number: WorkerNumber, demand: &Demand) -> bool {
        let worker = self.fleet.workers.get(&number);
        worker.is_some_and(|worker| {
            worker.held.is_some()
                && worker.is_usable(now)
                && worker.is_settled()
                && Room::left(worker).fits(demand)
        })
    }

    fn is_probation_full(&self) -> bool {
        let (mut workers, mut on_probation) = (0, 0);
        for (_, worker) in self.fleet.present() {
            workers += 1;
            on_probation += usize::from(worker.probation.is_some());
        }
        on_probation * 100 >= workers * MAX_PROBATION_PERCENT
    }

    /// Ends the reservations that have expired or aren't needed any more.
    pub(super) fn expire_reservations(&mut self, now: Time) {
        let (state, fleet) = (&self.state, &self.fleet);
        let ended = self.suspects.expire(now, |task, number| {
            let job = state.jobs.get(&task.job);
            let waits = state.task(task).is_some_and(|task| task.phase == TaskPhase::Waiting);
            let usable = fleet.workers.get(&number).is_some_and(|worker| worker.is_usable(now));
            waits && usable && job.is_some_and(|job| job.phase.is_open())
        });
        for (task, number) in ended {
            let worker = self.fleet.workers.get_mut(&number);
            if let Some(worker) = worker.filter(|worker| worker.probation == Some(task)) {
                worker.probation = None;
                self.changed.insert(number);
            }
        }
    }
}
