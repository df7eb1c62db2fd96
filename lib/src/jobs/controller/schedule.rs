//! Placing what waits, at the end of each turn.

use crate::{
    ids::ServiceName,
    jobs::{
        controller::{
            Effect, LogEvent,
            leader::{Leader, Turn},
        },
        fleet::RunView,
        lifecycle::TaskPhase,
        model::{Run, Step, StepKey, TaskKey, WorkerNumber},
        placement::{Reach, Refusals, Request, Terms, choose},
        rank::Outlook,
        record::Record,
    },
    time::{Time, WallTime},
};

/// How often all workers are looked at in vain in one turn before what is left waits for the next
/// one.
const MISSES: u32 = 200;

/// How long a step may wait for a place at full speed while its service is idle, in milliseconds:
/// users take a job for lost that doesn't run for 3 s.
const STARVES: u64 = 2000;

impl Leader {
    /// Places what waits and answers whom it concerns; gives what is to be agreed on.
    pub(super) fn finish_turn(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) -> Turn {
        self.wall = wall;
        self.start_due_occurrences();
        self.expire(now);
        if std::mem::take(&mut self.unsettled) {
            self.place(now);
        }
        self.answer_open(now);
        out.extend(self.notes.drain(..).map(Effect::LogEvent));
        let records = std::mem::take(&mut self.records);
        let answers = std::mem::take(&mut self.answers);
        Turn { records, answers }
    }

    /// Queues all steps anew, since the queues' ranks or services have changed.
    pub(super) fn requeue(&mut self) {
        let open = self.state.jobs.iter().filter(|(_, job)| job.phase.is_open());
        let open: Vec<_> = open.map(|(id, _)| *id).collect();
        self.ready.clear();
        self.queued.clear();
        self.upcoming.clear();
        for id in open {
            self.admit(id);
        }
    }

    fn place(&mut self, now: Time) {
        let mut refusals = Refusals::default();
        let ready: Vec<StepKey> = self.ready.iter().map(|(_, step)| *step).collect();
        for key in ready {
            if self.place_step(now, key, &mut refusals) {
                self.dequeue(&key);
            }
            if refusals.looks() > MISSES {
                return;
            }
        }
    }

    /// Places what it can of a step; whether nothing of it waits any more.
    fn place_step(&mut self, now: Time, key: StepKey, refusals: &mut Refusals) -> bool {
        let Some(job) = self.state.jobs.get(&key.job).filter(|job| job.phase.is_open()) else {
            return true;
        };
        let Some(service) = self.state.queue_of(job).map(|queue| queue.service.clone()) else {
            return true;
        };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(usize::from(key.step)) else { return true };
        let waiting = self.waiting(&key, step);
        if step.options.gang {
            let placed = self.place_gang(now, &key, step, &service, &waiting);
            if !placed {
                refusals.count();
            }
            return placed;
        }
        let starves = !job.runs(key.occurrence) && self.starves(&key, &service);
        // What runs for long is worth the best place, also if its worker must be waited for.
        let reach = if step.options.long_running { Reach::Live } else { Reach::Open };
        let mut started = 0;
        let mut last = None;
        for index in &waiting {
            let task = key.task(*index);
            let avoid = self.failed.get(&task).map_or(&[][..], Vec::as_slice);
            let pressure = &self.pressure;
            let terms = if starves && started == 0 { Terms::Any } else { Terms::FullSpeed };
            let request = Request { service: &service, step, key, avoid, pressure, terms };
            if refusals.covers(&request) {
                break;
            }
            let Some(number) = choose(&self.fleet, now, reach, &request) else {
                refusals.add(&request);
                break;
            };
            let run = self.next_run(&task);
            self.start(now, task, run, number, step);
            started += 1;
            last = Some(number);
        }
        let left = waiting.len() - started;
        self.note_started(&key, started, left, last);
        left == 0
    }

    /// Whether a step of a job that doesn't run may start one task anywhere: it is overdue, or it
    /// has waited while the workers had room for it.
    fn starves(&self, key: &StepKey, service: &ServiceName) -> bool {
        self.queued.get(key).is_some_and(|queued| {
            let waited = self.wall.0.saturating_sub(queued.since.0);
            queued.rank.outlook == Outlook::Overdue
                || waited > STARVES && self.idle.contains(service)
        })
    }

    /// The tasks of a step that have no run.
    fn waiting(&self, key: &StepKey, step: &Step) -> Vec<u32> {
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

    /// Starts all members of a gang, or none: each leaves with its worker's next answer.
    fn place_gang(
        &mut self,
        now: Time,
        key: &StepKey,
        step: &Step,
        service: &ServiceName,
        waiting: &[u32],
    ) -> bool {
        // A member that still runs has yet to be told that its gang has broken.
        if waiting.len() != usize::try_from(step.count).unwrap_or(usize::MAX) {
            return false;
        }
        let runs = waiting.iter().map(|index| self.next_run(&key.task(*index)));
        let Some(run) = runs.max() else { return true };
        let mut chosen: Vec<(TaskKey, WorkerNumber)> = Vec::new();
        for index in waiting {
            let pressure = &self.pressure;
            let terms = Terms::FullSpeed;
            let request = Request { service, step, key: *key, avoid: &[], pressure, terms };
            let Some(number) = choose(&self.fleet, now, Reach::Live, &request) else { break };
            let task = key.task(*index);
            if let Some(worker) = self.fleet.workers.get_mut(&number) {
                worker.add(task, RunView::new(step, run, now));
            }
            chosen.push((task, number));
        }
        let whole = chosen.len() == waiting.len();
        for (task, number) in &chosen {
            if let Some(worker) = self.fleet.workers.get_mut(number) {
                worker.remove(task);
            }
            if whole {
                self.start(now, *task, run, *number, step);
            }
        }
        let last = chosen.last().map(|(_, number)| *number);
        self.note_started(key, if whole { chosen.len() } else { 0 }, 0, last);
        whole
    }

    fn start(&mut self, now: Time, task: TaskKey, run: Run, worker: WorkerNumber, step: &Step) {
        self.record(Record::Start { task, run, worker });
        if let Some(view) = self.fleet.workers.get_mut(&worker) {
            view.add(task, RunView::new(step, run, now));
        }
        self.outgoing.entry(worker).or_default().push(task);
    }

    fn note_started(
        &mut self,
        key: &StepKey,
        started: usize,
        left: usize,
        last: Option<WorkerNumber>,
    ) {
        let Some(worker) = last.and_then(|last| self.fleet.workers.get(&last)) else { return };
        if started == 0 {
            return;
        }
        let job = self.state.jobs.get(&key.job);
        let begun = job.map(|job| job.spec.due(key.occurrence).unwrap_or(job.accepted));
        let age_ms = begun.map_or(0, |begun| self.wall.0.saturating_sub(begun.0));
        self.notes.push(LogEvent::Started {
            age_ms,
            step: key.to_string(),
            tasks: u32::try_from(started).unwrap_or(u32::MAX),
            waiting: u32::try_from(left).unwrap_or(u32::MAX),
            worker: worker.name.to_string(),
        });
    }
}
