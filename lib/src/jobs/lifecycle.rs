//! The state charts of jobs and tasks, and their vocabularies.

use std::sync::LazyLock;

use crate::{
    chart::{Chart, Vocabulary},
    symbols,
};

symbols! {
    /// The state of a job.
    pub enum JobPhase {
        /// No task has started.
        Queued = "queued",
        /// A task has started.
        Active = "active",
        /// All tasks are done.
        Completed = "completed",
        /// A task has failed or crashed its workers too many times.
        Failed = "failed",
        /// The customer has cancelled the job.
        Cancelled = "cancelled",
    }

    /// An event of a job.
    pub enum JobEvent {
        /// A task was started.
        Start = "start",
        /// The last task is done.
        Finish = "finish",
        /// A task has reached the maximum number of failures.
        Exhaust = "exhaust",
        /// A worker has crashed, and a task may be the cause.
        Crash = "crash",
        /// The customer cancels the job.
        Cancel = "cancel",
    }

    /// A guard of the job chart.
    pub enum JobGuard {
        /// The task ends by itself and has reached the maximum number of crashes.
        CrashLoop = "crash_loop",
    }

    /// The actions of the job chart. It needs none.
    pub enum JobAction {
        /// Does nothing; a placeholder, since a vocabulary can't be empty.
        Nothing = "nothing",
    }

    /// The state of a task.
    #[derive(Default)]
    pub enum TaskPhase {
        /// The task has no current run.
        #[default]
        Waiting = "waiting",
        /// A run was recorded and may be in progress.
        Running = "running",
        /// The task is done.
        Done = "done",
    }

    /// An event of a task.
    pub enum TaskEvent {
        /// A run was recorded.
        Start = "start",
        /// A run has completed the task.
        Done = "done",
        /// A run has failed.
        Failed = "failed",
        /// A run has ended without completing its task, and doesn't count as a failure.
        Interrupted = "interrupted",
    }

    /// A guard of the task chart.
    pub enum TaskGuard {
        /// The run has a larger number than all earlier runs of the task.
        NextRun = "next_run",
        /// The event concerns the latest recorded run.
        CurrentRun = "current_run",
    }

    /// An action of the task chart.
    pub enum TaskAction {
        /// Sets the current run and its worker.
        RecordStart = "record_start",
        /// Keeps the checkpoint that the run saved.
        KeepCheckpoint = "keep_checkpoint",
        /// Counts a failed run.
        CountFailure = "count_failure",
        /// Drops the checkpoint of a task that is done.
        CountDone = "count_done",
    }
}

/// A state chart for jobs.
pub type JobChart = Chart<JobPhase, JobEvent, JobGuard, JobAction>;

/// A state chart for tasks.
pub type TaskChart = Chart<TaskPhase, TaskEvent, TaskGuard, TaskAction>;

const JOB: Vocabulary<'_, JobPhase, JobEvent, JobGuard, JobAction> = Vocabulary {
    states: (JobPhase::ALL, JobPhase::NAMES),
    events: (JobEvent::ALL, JobEvent::NAMES),
    guards: (JobGuard::ALL, JobGuard::NAMES),
    actions: (JobAction::ALL, JobAction::NAMES),
};

const TASK: Vocabulary<'_, TaskPhase, TaskEvent, TaskGuard, TaskAction> = Vocabulary {
    states: (TaskPhase::ALL, TaskPhase::NAMES),
    events: (TaskEvent::ALL, TaskEvent::NAMES),
    guards: (TaskGuard::ALL, TaskGuard::NAMES),
    actions: (TaskAction::ALL, TaskAction::NAMES),
};

/// The built-in chart of a job.
///
/// # Panics
///
/// On first use, if the built-in file has findings.
pub static JOB_CHART: LazyLock<JobChart> = LazyLock::new(|| {
    let text = include_str!("../../../charts/job.jsonc");
    Chart::parse("charts/job.jsonc", text, &JOB).unwrap_or_else(|findings| panic!("{findings}"))
});

/// The built-in chart of a task.
///
/// # Panics
///
/// On first use, if the built-in file has findings.
pub static TASK_CHART: LazyLock<TaskChart> = LazyLock::new(|| {
    let text = include_str!("../../../charts/run.jsonc");
    Chart::parse("charts/run.jsonc", text, &TASK).unwrap_or_else(|findings| panic!("{findings}"))
});

impl JobPhase {
    /// Whether the job can still make progress.
    pub fn is_open(self) -> bool {
        match self {
            Self::Queued | Self::Active => true,
            Self::Completed | Self::Failed | Self::Cancelled => false,
        }
    }
}
