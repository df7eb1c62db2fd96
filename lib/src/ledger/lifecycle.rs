//! The lifecycle of a task: the symbols of its state chart, and the chart's actions.

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
    /// The state of a task.
    pub enum Phase {
        /// It waits to be placed.
        Queued = "queued",
        /// An attempt was recorded and may be running.
        Running = "running",
        /// It ended.
        Ended = "ended",
    }

    /// An event of a task.
    pub enum Event {
        /// An attempt is about to start.
        Start = "start",
        /// An attempt has certainly stopped.
        Yield = "yield",
        /// The task ends.
        End = "end",
        /// The task is cancelled by its customer, or because it is a surplus replica.
        Cancel = "cancel",
    }

    /// A guard of a transition.
    pub enum Guard {
        /// The start is that of the next attempt, in a data centre where the task may run.
        NextAttempt = "next_attempt",
        /// The start is a resend of the last recorded one.
        SameStart = "same_start",
        /// The event concerns the last attempt, and its data centre is authoritative for it.
        CurrentAttempt = "current_attempt",
        /// The event concerns an attempt that is known to have stopped.
        StoppedAttempt = "stopped_attempt",
        /// The task ended with the outcome in the event.
        SameOutcome = "same_outcome",
        /// Cancellation of the task was requested.
        Cancelled = "cancelled",
        /// No further attempt is allowed after this failure.
        AttemptsExhausted = "attempts_exhausted",
        /// The attempt may have run, and the task is not idempotent and has nothing to resume from.
        MayHaveRun = "may_have_run",
        /// The task ended with an unknown outcome, and the event has the actual one.
        ResolvesUnknown = "resolves_unknown",
    }

    /// An action of a transition.
    pub enum Action {
        /// Records the attempt.
        RecordStart = "record_start",
        /// Counts the eviction or the failure.
        CountStop = "count_stop",
        /// Keeps the checkpoint if it is the newest.
        KeepCheckpoint = "keep_checkpoint",
        /// Queues the task again.
        Requeue = "requeue",
        /// Ends the task with the reported outcome.
        EndReported = "end_reported",
        /// Ends the task as cancelled.
        EndCancelled = "end_cancelled",
        /// Ends the task as failed.
        EndFailed = "end_failed",
        /// Ends the task with an unknown outcome.
        EndUnknown = "end_unknown",
        /// Records the request to cancel and announces it.
        RequestCancel = "request_cancel",
        /// Refuses the command: the attempt isn't the one that may start or end now.
        RefuseAttempt = "refuse_attempt",
        /// Refuses the command: the task has ended.
        RefuseEnded = "refuse_ended",
    }
}

/// The state chart of a task.
pub type TaskChart = Chart<Phase, Event, Guard, Action>;

const VOCABULARY: Vocabulary<'_, Phase, Event, Guard, Action> = Vocabulary {
    states: (Phase::ALL, Phase::NAMES),
    events: (Event::ALL, Event::NAMES),
    guards: (Guard::ALL, Guard::NAMES),
    actions: (Action::ALL, Action::NAMES),
};

/// The state chart of a task, from the file that is built in.
///
/// # Panics
///
/// On first use, with the findings, if the built-in file is invalid.
pub static TASK_CHART: LazyLock<TaskChart> = LazyLock::new(|| {
    let text = include_str!("../../../charts/task.jsonc");
    Chart::parse("charts/task.jsonc", text, &VOCABULARY)
        .unwrap_or_else(|findings| panic!("{findings}"))
});

/// The input of a step: an event and its data.
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

/// The context in which actions run.
pub(super) struct Context<'a> {
    pub(super) limits: &'a Limits,
    pub(super) policy: &'a Policy,
    pub(super) now: WallTime,
    pub(super) interner: &'a mut Interner,
    pub(super) changes: &'a mut Vec<Change>,
}

/// The result of a step.
pub(super) struct StepResult {
    /// The reply to the command.
    pub(super) reply: Reply,
    /// The customer for which a completed task is to be counted.
    pub(super) counted: Option<CustomerName>,
}

impl Tasks {
    /// Runs the transition for `input`.
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

    /// Ends the task with the reported outcome; returns the customer if a completed task is to be
    /// counted.
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

/// Runs an action that changes only the record of an open task.
fn update_record(
    action: Action,
    task: TaskId,
    record: &mut Record,
    input: Input<'_>,
    context: &mut Context<'_>,
) {
    match (action, input) {
        (Action::RecordStart, Input::Start(placement)) => {
            let centre = context.interner.centre(&placement.centre);
            let worker = context.interner.worker(&placement.worker);
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
            refresh(record, context.policy, context.interner);
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

/// The attempt and the data centre that an event concerns.
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

/// Whether a data centre may report this event of the last attempt. Only the one where the attempt
/// ran may report its result. Any in which the task may run may also report, while it isn't
/// running, that it is cancelled or impossible.
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

/// Whether no further attempt is allowed after a failure: the maximum number of failures is
/// reached, or the task isn't idempotent. Replicas of services may fail any number of times.
fn attempts_exhausted(record: &Record, input: &Input<'_>, limits: &Limits) -> bool {
    let Input::Yield { cause: YieldCause::Failed { .. }, .. } = input else { return false };
    record.spec.service.is_none()
        && (!record.spec.idempotent || record.failures + 1 >= limits.max_failures)
}

/// Whether an attempt may have run and left nothing to resume from, although the task isn't
/// idempotent. Only a checkpoint of this same attempt tells how far it got.
fn may_have_run(record: &Record, input: &Input<'_>) -> bool {
    let Input::Yield { attempt, checkpoint, cause, .. } = input else { return false };
    let resumes = checkpoint.is_some_and(|checkpoint| checkpoint.attempt == attempt.attempt);
    let ran = match cause {
        YieldCause::Evicted(_) | YieldCause::Failed { .. } => true,
        YieldCause::NotStarted => false,
    };
    ran && !resumes && !record.spec.idempotent
}
