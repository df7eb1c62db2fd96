//! Progress of jobs, steps and tasks, driven by their state charts.

use crate::jobs::{
    lifecycle::{
        JOB_CHART, JobEvent, JobGuard, TASK_CHART, TaskAction, TaskEvent, TaskGuard, TaskPhase,
    },
    model::{JobId, Run, Step, StepKey, TaskKey, WorkerNumber},
    state::{Job, Occurrence, Progress, Task},
};

/// The remaining work of an occurrence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemainingWork {
    /// The length of the critical path of the unfinished steps, in milliseconds.
    pub critical_path: u64,
    /// The work of all unfinished tasks, in milliseconds of one processor.
    pub work: u64,
}

/// Millicores per processor.
const MILLICORES_PER_CORE: u64 = 1000;

/// What a record says about a task.
pub(super) struct TaskInput<'a> {
    pub(super) event: TaskEvent,
    pub(super) run: Run,
    pub(super) worker: WorkerNumber,
    pub(super) checkpoint: &'a str,
}

/// What a record says about a job.
#[derive(Clone, Copy)]
pub(super) struct JobInput {
    pub(super) event: JobEvent,
    /// Whether a task that ends by itself has reached the maximum number of crashes.
    pub(super) crash_loop: bool,
}

impl From<JobEvent> for JobInput {
    fn from(event: JobEvent) -> Self {
        Self { event, crash_loop: false }
    }
}

impl Task {
    /// Applies an event to the task's chart. Returns whether the phase changed.
    pub(super) fn transition(&mut self, input: &TaskInput<'_>) -> bool {
        let holds = |guard| match guard {
            TaskGuard::NextRun => input.run > self.run,
            TaskGuard::CurrentRun => input.run == self.run,
        };
        let step = TASK_CHART.step(self.phase, input.event, holds);
        let step = step.expect("the chart handles every event in every state");
        let changed = step.to != self.phase;
        for action in step.actions {
            match action {
                TaskAction::RecordStart => (self.run, self.worker) = (input.run, input.worker),
                TaskAction::KeepCheckpoint if input.checkpoint.is_empty() => {}
                TaskAction::KeepCheckpoint => self.checkpoint = input.checkpoint.into(),
                TaskAction::CountFailure => self.failures += 1,
                TaskAction::CountDone => self.checkpoint = Box::default(),
            }
        }
        self.phase = step.to;
        changed
    }
}

impl Progress {
    pub(super) fn new(step: &Step) -> Self {
        let tasks = vec![Task::default(); usize::try_from(step.count).unwrap_or(0)];
        Self { tasks, done: 0 }
    }

    /// Ends the runs on a lost worker. Returns whether there were any.
    pub(super) fn interrupt_runs(&mut self, worker: WorkerNumber) -> bool {
        let mut any = false;
        if usize::try_from(self.done).is_ok_and(|done| done >= self.tasks.len()) {
            return any;
        }
        for task in &mut self.tasks {
            if task.phase == TaskPhase::Running && task.worker == worker {
                let (event, run) = (TaskEvent::Interrupted, task.run);
                any |= task.transition(&TaskInput { event, run, worker, checkpoint: "" });
            }
        }
        any
    }
}

impl Job {
    pub(super) fn transition(&mut self, input: impl Into<JobInput>) {
        let input = input.into();
        let holds = |guard| match guard {
            JobGuard::CrashLoop => input.crash_loop,
        };
        let step = JOB_CHART.step(self.phase, input.event, holds);
        self.phase = step.expect("the chart handles every event in every state").to;
    }

    pub(super) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut Task> {
        if key.occurrence >= self.spec.occurrences() {
            return None;
        }
        let spec = &self.spec;
        let occurrence = self.occurrences.entry(key.occurrence).or_insert_with(|| Occurrence {
            steps: spec.steps.iter().map(Progress::new).collect(),
        });
        let progress = occurrence.steps.get_mut(usize::from(key.step))?;
        progress.tasks.get_mut(usize::try_from(key.index).ok()?)
    }

    /// The tasks with a current run, given the job's identifier.
    pub fn runs(&self, id: JobId) -> impl Iterator<Item = (TaskKey, &Task)> {
        self.occurrences.iter().flat_map(move |(occurrence, progress)| {
            let steps = (0..).zip(&progress.steps);
            steps.flat_map(move |(step, progress)| {
                let key = StepKey { job: id, occurrence: *occurrence, step };
                let tasks = (0..).zip(&progress.tasks);
                tasks
                    .filter(|(_, task)| task.phase == TaskPhase::Running)
                    .map(move |(index, task)| (key.task(index), task))
            })
        })
    }

    pub(super) fn progress(&self, key: &StepKey) -> Option<&Progress> {
        self.occurrences.get(&key.occurrence)?.steps.get(usize::from(key.step))
    }

    /// Counts tasks of a step that have just been done.
    pub(super) fn add_done(&mut self, key: &StepKey, count: u32) {
        let occurrence = self.occurrences.get_mut(&key.occurrence);
        let progress =
            occurrence.and_then(|occurrence| occurrence.steps.get_mut(usize::from(key.step)));
        if let Some(progress) = progress {
            progress.done = progress.done.saturating_add(count);
        }
    }

    /// Whether all tasks of a step are done.
    pub(super) fn is_done(&self, key: &StepKey) -> bool {
        let count = self.spec.steps.get(usize::from(key.step)).map_or(0, |step| step.count);
        self.progress(key).is_some_and(|progress| progress.done >= count)
    }

    /// The remaining work of an occurrence by the customer's estimates.
    pub fn remaining(&self, occurrence: u32) -> RemainingWork {
        let mut ends: Vec<u64> = Vec::with_capacity(self.spec.steps.len());
        let mut work: u64 = 0;
        for (at, step) in self.spec.steps.iter().enumerate() {
            let progress =
                self.occurrences.get(&occurrence).and_then(|occurrence| occurrence.steps.get(at));
            let done = progress.map_or(0, |progress| progress.done);
            let tasks = u64::from(step.count.saturating_sub(done));
            let begin = step.after.iter().filter_map(|at| ends.get(usize::from(*at))).max();
            let own = if tasks > 0 { step.estimate } else { 0 };
            ends.push(begin.copied().unwrap_or(0).saturating_add(own));
            let each = step.estimate.saturating_mul(step.needs.millicores);
            work = work.saturating_add(tasks.saturating_mul(each) / MILLICORES_PER_CORE);
        }
        RemainingWork { critical_path: ends.into_iter().max().unwrap_or(0), work }
    }

    /// Whether any task of the occurrence has a current run.
    pub fn is_running(&self, occurrence: u32) -> bool {
        let steps =
            self.occurrences.get(&occurrence).map_or(&[][..], |occurrence| &occurrence.steps);
        steps.iter().flat_map(|step| &step.tasks).any(|task| task.phase == TaskPhase::Running)
    }

    /// Whether any task of the step has had a run.
    pub fn has_run(&self, key: &StepKey) -> bool {
        self.progress(key).is_some_and(|step| step.tasks.iter().any(|task| task.run.0 > 0))
    }

    /// Whether all steps that this one depends on are done, and it has tasks without a run.
    pub fn is_ready(&self, key: &StepKey) -> bool {
        let Some(step) = self.spec.steps.get(usize::from(key.step)) else { return false };
        let before = step.after.iter().all(|at| self.is_done(&StepKey { step: *at, ..*key }));
        let waits = self.progress(key).is_none_or(|progress| {
            progress.tasks.iter().any(|task| task.phase == TaskPhase::Waiting)
        });
        before && waits
    }

    /// Whether an occurrence that is due may begin, or has to wait until earlier ones are finished.
    pub fn may_begin(&self, occurrence: u32) -> bool {
        occurrence.saturating_sub(self.done) < self.spec.max_unfinished()
    }

    /// Counts an occurrence as completed if all its steps are done. Returns whether it was the
    /// last.
    pub(super) fn finish_occurrence(&mut self, occurrence: u32) -> bool {
        let steps = 0..self.spec.steps.len();
        let key = |step| StepKey {
            job: JobId(0),
            occurrence,
            step: u16::try_from(step).unwrap_or(u16::MAX),
        };
        // The last steps are usually done last.
        if !steps.rev().map(key).all(|key| self.is_done(&key)) {
            return false;
        }
        self.done += 1;
        self.done >= self.spec.occurrences()
    }
}
