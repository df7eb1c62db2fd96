//! Placement of waiting tasks at the end of each turn.

use std::time::Duration;

use crate::{
    ids::ServiceName,
    jobs::{
        controller::{
            Effect, LogEvent,
            leader::Leader,
            proposal::{Proposal, StateChanges},
            round::Round,
        },
        fleet::RunView,
        lifecycle::TaskPhase,
        model::{Run, Step, StepKey, TaskKey, WorkerNumber},
        placement::SpeedRequirement,
        rank::Lateness,
        record::Record,
        state::Job,
        waiting::WaitingStep,
    },
    time::{Time, WallTime},
};

/// How long a step waits for a place at full speed while its service is idle. Users give a job up if
/// it doesn't run within 3 s.
const STARVATION_TIMEOUT: Duration = Duration::from_secs(2);

/// What became of the waiting tasks of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placed {
    /// None waits any more.
    All,
    /// For those that wait there is no worker.
    Waiting,
    /// The turn has done enough work. Those that wait are placed in the next one.
    Interrupted,
}

impl Leader {
    /// Ends a turn: places waiting tasks and answers heartbeats. Returns the records to propose.
    pub(super) fn finish_turn(
        &mut self,
        now: Time,
        wall: WallTime,
        out: &mut Vec<Effect>,
    ) -> Proposal {
        self.wall = wall;
        self.start_due_occurrences();
        self.queue_steps(now);
        self.expire_leases(now);
        self.stop_broken_gangs(now);
        self.expire_near_waits(now);
        self.place_waiting(now);
        self.drain_centres(now);
        self.answer_held(now);
        out.extend(self.log_events.drain(..).map(Effect::LogEvent));
        let estimates = self.take_estimates(now);
        let changes = StateChanges {
            records: std::mem::take(&mut self.records),
            crashes: std::mem::take(&mut self.crashes),
            evacuations: std::mem::take(&mut self.orders),
            estimates,
            cancels: std::mem::take(&mut self.cancels),
        };
        let answers = std::mem::take(&mut self.answers);
        self.last_work = std::mem::take(&mut self.work);
        Proposal { changes, answers }
    }

    /// Rebuilds the queue after a change of the queues' priorities or services. A step keeps the time
    /// for which it has waited.
    pub(super) fn requeue(&mut self) {
        let open = self.state.jobs.iter().filter(|(_, job)| job.phase.is_open());
        let open: Vec<_> = open.map(|(id, _)| *id).collect();
        let before = std::mem::take(&mut self.waiting);
        self.unqueued.restart(before.iter().map(|step| (step.key, step.since)));
        self.upcoming.clear();
        for id in open {
            self.admit_job(id);
        }
    }

    fn place_waiting(&mut self, now: Time) {
        let mut round = Round::new(&self.fleet, now, &self.changed);
        let startable = self.suspects.startable(&self.fleet);
        let may_fit = |step: &WaitingStep| round.may_fit(step) || startable.contains(&step.key);
        let window = self.waiting.next_window(may_fit);
        self.work.considered += window.considered;
        let mut finished = true;
        for step in &window.steps {
            if round.is_exhausted() {
                finished = false;
                break;
            }
            let may_fit = round.may_fit(step) || startable.contains(&step.key);
            let placed =
                if may_fit { self.place_step(now, step, &mut round) } else { Placed::Waiting };
            match placed {
                Placed::All => {
                    self.end_near_wait(now, &step.key);
                    self.dequeue(&step.key);
                }
                Placed::Waiting if step.tried => {}
                Placed::Waiting => self.waiting.mark_tried(&step.key),
                Placed::Interrupted => {}
            }
        }
        self.work.evaluated += round.evaluated();
        if !finished {
            self.waiting.repeat_window(&window);
        }
        self.search_ended |= finished && window.complete;
    }

    /// Places as many tasks of a step as possible.
    fn place_step(&mut self, now: Time, waiting: &WaitingStep, round: &mut Round) -> Placed {
        let key = waiting.key;
        let Some(job) = self.state.jobs.get(&key.job).filter(|job| job.phase.is_open()) else {
            return Placed::All;
        };
        let Some(service) = self.state.queue_of(job).map(|queue| queue.service.clone()) else {
            return Placed::All;
        };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(usize::from(key.step)) else { return Placed::All };
        let indexes = self.waiting_tasks(&key, step);
        round.add_tasks(indexes.len());
        if step.options.gang {
            return self.place_gang(now, waiting, (step, &service), &indexes, round);
        }
        let starving = self.starving_tasks(now, job, step, &key, &service, round);
        let mut started = 0;
        let mut last = None;
        let mut interrupted = false;
        let mut deferral = None;
        for (before, task) in self.placement_order(&key, step, &indexes).into_iter().enumerate() {
            if round.is_exhausted() {
                interrupted = true;
                break;
            }
            let speed = if started < starving {
                SpeedRequirement::Any
            } else {
                SpeedRequirement::FullSpeed
            };
            let found = self.find_worker(now, waiting, (task, speed), (step, &service), round);
            let Some(number) = found else {
                if self.is_suspect(&task) {
                    continue;
                }
                break;
            };
            let left = indexes.len() - before;
            let choice = (task, speed, number, left);
            if self.waits_near(now, waiting, step, choice, (&mut deferral, round)) {
                continue;
            }
            let run = self.next_run(&task);
            self.start(now, task, run, number, step);
            round.update(&self.fleet, number);
            round.record_start(&self.fleet, &key, number);
            started += 1;
            last = Some(number);
        }
        let still_waiting = indexes.len() - started;
        self.log_started(&key, started, still_waiting, last);
        match still_waiting {
            0 => Placed::All,
            _ if interrupted => Placed::Interrupted,
            _ => Placed::Waiting,
        }
    }

    /// The order in which a step's waiting tasks are placed. Long-running ones that have waited longest come
    /// first, those that haven't run yet last. The suspects come behind all others: that one of them finds
    /// no worker says nothing about these.
    fn placement_order(&self, key: &StepKey, step: &Step, indexes: &[u32]) -> Vec<TaskKey> {
        let mut tasks: Vec<_> = indexes.iter().map(|index| key.task(*index)).collect();
        if step.options.long_running {
            tasks.sort_by_cached_key(|task| {
                let stopped = self.stopped.get(task);
                (stopped.is_none(), stopped.copied())
            });
        }
        let (mut tasks, suspects): (Vec<_>, Vec<_>) =
            tasks.into_iter().partition(|task| !self.is_suspect(task));
        tasks.extend(suspects);
        tasks
    }

    /// The number of tasks that may start at any speed: one, if the step is overdue or has waited
    /// longer than `STARVATION_TIMEOUT` while its service has free capacity, and no task of its occurrence
    /// runs. Each task that lasts has users of its own, so all of them may after that time.
    fn starving_tasks(
        &self,
        now: Time,
        job: &Job,
        step: &Step,
        key: &StepKey,
        service: &ServiceName,
        round: &mut Round,
    ) -> usize {
        let Some((rank, waiting)) = self.waiting.get(key) else { return 0 };
        let waited = is_starving(now, &waiting);
        if step.options.long_running {
            return if waited { usize::MAX } else { 0 };
        }
        let starving =
            rank.lateness == Lateness::Overdue || waited && self.idle_services.contains(service);
        usize::from(starving && !round.is_running(job, key))
    }

    /// The indexes of the step's tasks without a current run.
    pub(super) fn waiting_tasks(&self, key: &StepKey, step: &Step) -> Vec<u32> {
        match self.state.progress(key) {
            None => (0..step.count).collect(),
            Some(progress) => (0..)
                .zip(&progress.tasks)
                .filter(|(_, task)| task.phase == TaskPhase::Waiting)
                .map(|(index, _)| index)
                .collect(),
        }
    }

    fn next_run(&self, task: &TaskKey) -> Run {
        Run(self.state.task(task).map_or(0, |task| task.run.0) + 1)
    }

    /// Starts all members of a gang or none. Each start is sent with the next answer to its worker.
    /// Returns what is left to place.
    fn place_gang(
        &mut self,
        now: Time,
        waiting: &WaitingStep,
        (step, service): (&Step, &ServiceName),
        indexes: &[u32],
        round: &mut Round,
    ) -> Placed {
        let key = &waiting.key;
        // A member is still running from the gang's previous start and has yet to be stopped.
        if indexes.len() != usize::try_from(step.count).unwrap_or(usize::MAX) {
            return Placed::Waiting;
        }
        let runs = indexes.iter().map(|index| self.next_run(&key.task(*index)));
        let Some(run) = runs.max() else { return Placed::All };
        let starving = step.options.long_running && is_starving(now, waiting);
        let speed = if starving { SpeedRequirement::Any } else { SpeedRequirement::FullSpeed };
        let gathered = self.gathered(now, key, step, round);
        let (preferred, searched) = match &gathered {
            Some(gathered) => (gathered, &WaitingStep { tried: false, ..*waiting }),
            None => (step, waiting),
        };
        let mut chosen: Vec<(TaskKey, WorkerNumber)> = Vec::new();
        for index in indexes {
            let task = key.task(*index);
            let member = (task, speed);
            let found = self.find_worker(now, searched, member, (preferred, service), round);
            let Some(number) = found else { break };
            let view = self.new_view(now, &task, run, step);
            if let Some(worker) = self.fleet.workers.get_mut(&number) {
                worker.add(task, view);
            }
            round.update(&self.fleet, number);
            chosen.push((task, number));
        }
        let complete =
            chosen.len() == indexes.len() && !self.gang_waits(now, key, step, &chosen, round);
        for (task, number) in &chosen {
            if let Some(worker) = self.fleet.workers.get_mut(number) {
                worker.remove(task);
            }
            if complete {
                self.start(now, *task, run, *number, step);
            }
            round.update(&self.fleet, *number);
        }
        let last = chosen.last().map(|(_, number)| *number);
        self.log_started(key, if complete { chosen.len() } else { 0 }, 0, last);
        if complete {
            self.places.clear_forecasts();
            chosen.iter().for_each(|(_, number)| round.record_start(&self.fleet, key, *number));
            return Placed::All;
        }
        Placed::Waiting
    }

    fn start(&mut self, now: Time, task: TaskKey, run: Run, worker: WorkerNumber, step: &Step) {
        self.record(now, Record::Start { task, run, worker });
        self.suspects.release(&task);
        self.stopped.remove(&task);
        self.starts += 1;
        let view = RunView { order: self.starts, ..self.new_view(now, &task, run, step) };
        if let Some(worker) = self.fleet.workers.get_mut(&worker) {
            worker.add(task, view);
            // Other runs aren't part of the summary.
            if step.options.opportunistic || step.serves() {
                self.interference.summarize(worker);
            }
        }
        self.pending_starts.entry(worker).or_default().push(task);
    }

    fn log_started(
        &mut self,
        key: &StepKey,
        started: usize,
        still_waiting: usize,
        last: Option<WorkerNumber>,
    ) {
        let Some(worker) = last.and_then(|last| self.fleet.workers.get(&last)) else { return };
        if started == 0 {
            return;
        }
        let job = self.state.jobs.get(&key.job);
        let begun = job.map(|job| job.spec.due(key.occurrence).unwrap_or(job.accepted));
        let age_ms = begun.map_or(0, |begun| self.wall.0.saturating_sub(begun.0));
        self.log_events.push(LogEvent::Started {
            age_ms,
            step: key.to_string(),
            tasks: u32::try_from(started).unwrap_or(u32::MAX),
            waiting: u32::try_from(still_waiting).unwrap_or(u32::MAX),
            worker: worker.name.to_string(),
        });
    }
}

/// Whether the step has waited for so long that its tasks may start at any speed.
fn is_starving(now: Time, waiting: &WaitingStep) -> bool {
    now.since(waiting.since) > STARVATION_TIMEOUT
}
