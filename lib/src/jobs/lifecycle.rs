//! The lives of jobs and of tasks: the vocabularies of their charts, and the charts.

use std::sync::LazyLock;

use crate::{
    chart::{Chart, Vocabulary},
    symbols,
};

symbols! {
    /// Where a job stands.
    pub enum JobPhase {
        /// No task has started.
        Queued = "queued",
        /// A task has started.
        Active = "active",
        /// All tasks are done.
        Completed = "completed",
        /// A task has failed too often.
        Failed = "failed",
        /// Its customer has cancelled it.
        Cancelled = "cancelled",
    }

    /// What happens to a job.
    pub enum JobEvent {
        /// A task was started.
        Start = "start",
        /// The last task was done.
        Finish = "finish",
        /// A task has failed as often as it may.
        Exhaust = "exhaust",
        /// Its customer cancels it.
        Cancel = "cancel",
    }

    /// Jobs' transitions ask nothing.
    pub enum JobGuard {
        /// Holds always; a vocabulary needs a member.
        Always = "always",
    }

    /// Jobs' transitions do nothing besides.
    pub enum JobAction {
        /// Does nothing; a vocabulary needs a member.
        Nothing = "nothing",
    }

    /// Where a task stands.
    #[derive(Default)]
    pub enum TaskPhase {
        /// It has no run.
        #[default]
        Waiting = "waiting",
        /// A run was recorded; it may be running.
        Running = "running",
        /// It is done.
        Done = "done",
    }

    /// What happens to a task.
    pub enum TaskEvent {
        /// A run is recorded.
        Start = "start",
        /// A run has done the task.
        Done = "done",
        /// A run has failed.
        Failed = "failed",
        /// A run has ended without a failure of its own.
        Interrupted = "interrupted",
    }

    /// What decides between two transitions of a task.
    pub enum TaskGuard {
        /// The start has a larger number than all before it.
        NextRun = "next_run",
        /// The event is about the run that was recorded last.
        CurrentRun = "current_run",
    }

    /// What a transition of a task does.
    pub enum TaskAction {
        /// Notes the run and its worker.
        RecordStart = "record_start",
        /// Keeps the progress that the run saved.
        KeepCheckpoint = "keep_checkpoint",
        /// Counts a failed run.
        CountFailure = "count_failure",
        /// Counts a task that is done.
        CountDone = "count_done",
    }
}

/// The chart of a job.
pub type JobChart = Chart<JobPhase, JobEvent, JobGuard, JobAction>;

/// The chart of a task.
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

/// The chart of a job that ships.
///
/// # Panics
///
/// On its first use, with the findings, if the file that was built in isn't whole.
pub static JOB_CHART: LazyLock<JobChart> = LazyLock::new(|| {
    let text = include_str!("../../../charts/job.jsonc");
    Chart::parse("charts/job.jsonc", text, &JOB).unwrap_or_else(|findings| panic!("{findings}"))
});

/// The chart of a task that ships.
///
/// # Panics
///
/// On its first use, with the findings, if the file that was built in isn't whole.
pub static TASK_CHART: LazyLock<TaskChart> = LazyLock::new(|| {
    let text = include_str!("../../../charts/run.jsonc");
    Chart::parse("charts/run.jsonc", text, &TASK).unwrap_or_else(|findings| panic!("{findings}"))
});

impl JobPhase {
    /// Whether the job goes on.
    pub fn is_open(self) -> bool {
        match self {
            Self::Queued | Self::Active => true,
            Self::Completed | Self::Failed | Self::Cancelled => false,
        }
    }
}
