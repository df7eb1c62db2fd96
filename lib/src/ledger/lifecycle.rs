//! The life of a task: the vocabulary of its chart, and what the chart's actions do.

use std::sync::LazyLock;

use crate::{
    chart::{Chart, Vocabulary},
    command::{Refusal, Reply, YieldCause},
    ids::{CustomerName, DataCentre, TaskAttempt, TaskId},
    ledger::{
        Limits,
        change::Change,
        intern::Interner,
        replicas::refresh,
        tasks::{Placement, Record, Tasks},
    },
    policy::Policy,
    symbols,
    task::{Checkpoint, TaskOutcome},
    time::WallTime,
};

symbols! {
    /// Where a task stands.
    pub enum Phase {
        /// It waits for a place.
        Queued = "queued",
        /// A try was recorded; it may be running.
        Running = "running",
        /// It ended.
        Ended = "ended",
    }

    /// What happens to a task.
    pub enum Event {
        /// A try is to start.
        Start = "start",
        /// A try has surely stopped.
        Yield = "yield",
        /// The task is over.
        End = "end",
        /// Its customer cancels it, or its replica is surplus.
        Cancel = "cancel",
    }

    /// What decides between two transitions.
    pub enum Guard {
        /// The start is of the next try, in a data centre where the task may run.
        NextAttempt = "next_attempt",
        /// The start is the one that was recorded last.
        SameStart = "same_start",
        /// The event is about the last try, and from a data centre that may speak of it.
        CurrentAttempt = "current_attempt",
        /// The event is about a try that is known to have stopped.
        StoppedAttempt = "stopped_attempt",
        /// The task ended as the event says.
        SameOutcome = "same_outcome",
        /// The task was cancelled.
        Cancelled = "cancelled",
        /// The task may have no further try after this failure.
        AttemptsExhausted = "attempts_exhausted",
        /// The try may have run, and running it again would double its work.
        MayHaveRun = "may_have_run",
        /// The task ended as one that may have run, and now it is known what became of it.
        ResolvesUnknown = "resolves_unknown",
    }

    /// What a transition does.
    pub enum Action {
        /// Records the try.
        RecordStart = "record_start",
        /// Counts the eviction or the failure.
        CountStop = "count_stop",
        /// Keeps the checkpoint if it is the newest.
        KeepCheckpoint = "keep_checkpoint",
        /// Lets the task wait for a place again.
        Requeue = "requeue",
        /// Ends the task with the outcome that was reported.
        EndReported = "end_reported",
        /// Ends the task as cancelled.
        EndCancelled = "end_cancelled",
        /// Ends the task as failed.
        EndFailed = "end_failed",
        /// Ends the task as one that may have run.
        EndUnknown = "end_unknown",
        /// Remembers the cancellation and passes it on.
        RequestCancel = "request_cancel",
        /// Answers that the try isn't the one that may start or end now.
        RefuseAttempt = "refuse_attempt",
        /// Answers that the task has ended.
        RefuseEnded = "refuse_ended",
    }
}

/// The chart of a task.
pub type TaskChart = Chart<Phase, Event, Guard, Action>;

const VOCABULARY: Vocabulary<'_, Phase, Event, Guard, Action> = Vocabulary {
    states: (Phase::ALL, Phase::NAMES),
    events: (Event::ALL, Event::NAMES),
    guards: (Guard::ALL, Guard::NAMES),
    actions: (Action::ALL, Action::NAMES),
};

/// The chart that ships.
///
/// # Panics
///
/// On its first use, with the findings, if the file that was built in isn't whole.
pub static TASK_CHART: LazyLock<TaskChart> = LazyLock::new(|| {
    let text = include_str!("../../../charts/task.jsonc");
    Chart::parse("charts/task.jsonc", text, &VOCABULARY)
        .unwrap_or_else(|findings| panic!("{findings}"))
});

/// What a command says about a task.
#[derive(Clone, Copy, Debug)]
pub(super) enum Input<'a> {
    /// See [`Event::Start`].
    Start(&'a Placement),
    /// See [`Event::Yield`].
    Yield {
        attempt: TaskAttempt,
        centre: &'a DataCentre,
        checkpoint: Option<&'a Checkpoint>,
        cause: &'a YieldCause,
    },
    /// See [`Event::End`].
    End { attempt: TaskAttempt, centre: &'a DataCentre, outcome: &'a TaskOutcome },
    /// See [`Event::Cancel`].
    Cancel,
}

impl Input<'_> {
    fn event(&self) -> Event {
        match self {
            Self::Start(_) => Event::Start,
            Self::Yield { .. } => Event::Yield,
            Self::End { .. } => Event::End,
            Self::Cancel => Event::Cancel,
        }
    }
}

/// What the actions need besides the task.
pub(super) struct Context<'a> {
    pub(super) limits: &'a Limits,
    pub(super) policy: &'a Policy,
    pub(super) now: WallTime,
    pub(super) names: &'a mut Interner,
    pub(super) changes: &'a mut Vec<Change>,
}

/// What became of a command about a task.
pub(super) struct StepResult {
    /// The answer.
    pub(super) reply: Reply,
    /// The customer for whom a completed task is to be counted.
    pub(super) counted: Option<CustomerName>,
}

impl Tasks {
    /// Does what the chart says about `input`.
    pub(super) fn step(
        &mut self,
        task: TaskId,
        input: Input<'_>,
        context: &mut Context<'_>,
    ) -> StepResult {
        let found = self.open.get(&task).or_else(|| self.ended.get(&task));
        let Some(record) = found else {
            return StepResult { reply: Reply::Refused(Refusal::NoSuchTask), counted: None };
        };
        let step = TASK_CHART
            .step(record.phase, input.event(), |guard| holds(guard, record, &input, context.limits))
            .expect("the chart handles every event in every state");
        let mut result = StepResult { reply: Reply::Done, counted: None };
        for action in step.actions {
            self.run_action(*action, task, input, context, &mut result);
        }
        if let Some(record) = self.open.get_mut(&task) {
            record.phase = step.to;
        }
        result
    }

    fn run_action(
        &mut self,
        action: Action,
        task: TaskId,
        input: Input<'_>,
        context: &mut Context<'_>,
        result: &mut StepResult,
    ) {
        match action {
            Action::RefuseAttempt => result.reply = Reply::Refused(Refusal::StaleAttempt),
            Action::RefuseEnded => result.reply = Reply::Refused(Refusal::Ended),
            Action::EndReported => result.counted = self.end_reported(task, input, context),
            Action::EndCancelled => {
                self.end(task, TaskOutcome::Cancelled, context.now, context.changes);
            }
            Action::EndFailed => {
                let reason = stop_reason(input);
                self.end(task, TaskOutcome::Failed { reason }, context.now, context.changes);
            }
            Action::EndUnknown => {
                let reason = format!("it isn't idempotent and stopped: {}", stop_reason(input));
                self.end(task, TaskOutcome::Unknown { reason }, context.now, context.changes);
            }
            Action::RecordStart
            | Action::CountStop
            | Action::KeepCheckpoint
            | Action::Requeue
            | Action::RequestCancel => {
                if let Some(record) = self.open.get_mut(&task) {
                    update_record(action, task, record, input, context);
                }
            }
        }
    }

    /// Ends the task as reported; gives the customer if that counts as a completed task.
    fn end_reported(
        &mut self,
        task: TaskId,
        input: Input<'_>,
        context: &mut Context<'_>,
    ) -> Option<CustomerName> {
        let Input::End { outcome, .. } = input else { return None };
        let view = self.get(task)?;
        let counts = matches!(outcome, TaskOutcome::Completed { .. });
        let counted = (counts && view.spec().service.is_none()).then(|| view.customer().clone());
        self.end(task, outcome.clone(), context.now, context.changes);
        counted
    }
}

/// Does an action that touches only an open task's record.
fn update_record(
    action: Action,
    task: TaskId,
    record: &mut Record,
    input: Input<'_>,
    context: &mut Context<'_>,
) {
    match (action, input) {
        (Action::RecordStart, Input::Start(placement)) => {
            let centre = context.names.centre(&placement.centre);
            let worker = context.names.worker(&placement.worker);
            let attempt = TaskAttempt { task, attempt: placement.attempt };
            let (c, w) = (centre.clone(), worker.clone());
            context.changes.push(Change::Started { attempt, centre: c, worker: w });
            record.last = Some(Placement { centre, worker, ..placement.clone() });
        }
        (Action::CountStop, Input::Yield { cause, .. }) => match cause {
            YieldCause::Evicted(_) => record.evictions = record.evictions.saturating_add(1),
            YieldCause::Failed { .. } => record.failures = record.failures.saturating_add(1),
            YieldCause::NotStarted => {}
        },
        (Action::KeepCheckpoint, Input::Yield { checkpoint: Some(new), .. }) => {
            let kept = record.checkpoint.as_deref();
            if kept.is_none_or(|kept| kept.attempt <= new.attempt) {
                record.checkpoint = Some(Box::new(new.clone()));
            }
        }
        (Action::Requeue, Input::Yield { attempt, .. }) => {
            record.phase = Phase::Queued;
            refresh(record, context.policy, context.names);
            context.changes.push(Change::Yielded { attempt });
            context.changes.push(Change::Queued(Box::new(record.to_open(task))));
        }
        (Action::RequestCancel, _) => {
            record.cancelled = true;
            context.changes.push(Change::CancelRequested { task });
        }
        (_, Input::Start(_) | Input::Yield { .. } | Input::End { .. } | Input::Cancel) => {}
    }
}

fn stop_reason(input: Input<'_>) -> String {
    match input {
        Input::Yield { cause: YieldCause::Evicted(why), .. } => format!("evicted: {why}"),
        Input::Yield { cause: YieldCause::Failed { reason }, .. } => reason.clone(),
        Input::Yield { cause: YieldCause::NotStarted, .. }
        | Input::Start(_)
        | Input::End { .. }
        | Input::Cancel => String::new(),
    }
}

fn holds(guard: Guard, record: &Record, input: &Input<'_>, limits: &Limits) -> bool {
    match guard {
        Guard::NextAttempt => match input {
            Input::Start(new) => new.attempt == record.next() && may_run_in(record, &new.centre),
            Input::Yield { .. } | Input::End { .. } | Input::Cancel => false,
        },
        Guard::SameStart => match input {
            Input::Start(new) => record.last.as_ref() == Some(*new),
            Input::Yield { .. } | Input::End { .. } | Input::Cancel => false,
        },
        Guard::CurrentAttempt => subject(input).is_some_and(|(attempt, centre)| {
            attempt.attempt == record.attempt() && is_authoritative(record, input, centre)
        }),
        Guard::StoppedAttempt => subject(input).is_some_and(|(attempt, _)| {
            attempt.attempt.0 > 0
                && (attempt.attempt < record.attempt()
                    || attempt.attempt == record.attempt() && record.phase != Phase::Running)
        }),
        Guard::SameOutcome => match input {
            Input::End { outcome, .. } => record.outcome() == Some(*outcome),
            Input::Start(_) | Input::Yield { .. } | Input::Cancel => false,
        },
        Guard::Cancelled => record.cancelled,
        Guard::AttemptsExhausted => attempts_exhausted(record, input, limits),
        Guard::MayHaveRun => may_have_run(record, input),
        Guard::ResolvesUnknown => {
            record.is_unknown()
                && matches!(input, Input::End { outcome, .. }
                    if !matches!(outcome, TaskOutcome::Unknown { .. }))
        }
    }
}

/// The try and the data centre that an event is about.
fn subject<'a>(input: &Input<'a>) -> Option<(TaskAttempt, &'a DataCentre)> {
    match input {
        Input::Yield { attempt, centre, .. } | Input::End { attempt, centre, .. } => {
            Some((*attempt, centre))
        }
        Input::Start(_) | Input::Cancel => None,
    }
}

fn may_run_in(record: &Record, centre: &DataCentre) -> bool {
    record.spec.centre.as_ref().is_none_or(|pinned| pinned == centre)
}

/// Whether a data centre may say this of the last try: what came of running it, only the one
/// where it ran; that the task is cancelled or can't run, also another one while it doesn't run.
fn is_authoritative(record: &Record, input: &Input<'_>, centre: &DataCentre) -> bool {
    let ran_here = record.last.as_ref().is_some_and(|last| last.centre == *centre);
    match input {
        Input::End { outcome: TaskOutcome::Cancelled | TaskOutcome::Impossible { .. }, .. } => {
            ran_here || record.phase != Phase::Running && may_run_in(record, centre)
        }
        Input::End {
            outcome:
                TaskOutcome::Completed { .. } | TaskOutcome::Failed { .. } | TaskOutcome::Unknown { .. },
            ..
        }
        | Input::Yield { .. } => ran_here,
        Input::Start(_) | Input::Cancel => false,
    }
}

/// Whether a failure was the last that is allowed: the bound is reached, or the try ran and must
/// not run again. A replica of a service has no bound.
fn attempts_exhausted(record: &Record, input: &Input<'_>, limits: &Limits) -> bool {
    let Input::Yield { cause: YieldCause::Failed { .. }, .. } = input else { return false };
    record.spec.service.is_none()
        && (!record.spec.idempotent || record.failures + 1 >= limits.failures_max)
}

/// Whether a try may have run and left nothing to resume from, though running it again would
/// double its work. Only a checkpoint of this very try says how far it came.
fn may_have_run(record: &Record, input: &Input<'_>) -> bool {
    let Input::Yield { attempt, checkpoint, cause, .. } = input else { return false };
    let resumes = checkpoint.is_some_and(|checkpoint| checkpoint.attempt == attempt.attempt);
    let ran = match cause {
        YieldCause::Evicted(_) | YieldCause::Failed { .. } => true,
        YieldCause::NotStarted => false,
    };
    ran && !resumes && !record.spec.idempotent
}
