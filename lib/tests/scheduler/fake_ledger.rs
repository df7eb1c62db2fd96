//! A fake ledger that records proposals without a consensus group.

use std::collections::BTreeMap;

use hickorylink_lib::{
    command::YieldCause,
    ids::{Attempt, Epoch, TaskAttempt, TaskId, WorkerName},
    scheduler::port::{Effect, Event},
    task::{OpenTask, TaskOutcome, TaskState},
};

use crate::harness::centre;

/// The instances that receive an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    /// Every instance.
    All,
    /// The instance that proposed it.
    Proposer,
}

/// The recorded state, which outlives every instance.
#[derive(Default)]
pub(crate) struct FakeLedger {
    pub(crate) epoch: u64,
    pub(crate) tasks: BTreeMap<TaskId, OpenTask>,
    /// How often the start of each attempt was recorded.
    pub(crate) starts: BTreeMap<TaskAttempt, u32>,
    /// How often the end of each task was recorded.
    pub(crate) ends: BTreeMap<TaskId, u32>,
}

impl FakeLedger {
    /// Applies a proposal and returns the resulting events.
    pub(crate) fn apply(&mut self, effect: Effect) -> Vec<(Audience, Event)> {
        match effect {
            Effect::RecordStart { epoch, attempt, worker } => self.start(epoch, attempt, worker),
            Effect::RecordYield { epoch, attempt, checkpoint, cause } => {
                if epoch.0 != self.epoch {
                    return Vec::new();
                }
                let task = self.tasks.get_mut(&attempt.task).expect("the task was opened");
                if task.running() == Some(attempt) {
                    task.state = TaskState::Queued;
                    if checkpoint.is_some() {
                        task.checkpoint = checkpoint;
                    }
                    match cause {
                        YieldCause::Evicted(_) => task.evictions += 1,
                        YieldCause::Failed { .. } => task.failures += 1,
                        YieldCause::NotStarted => {}
                    }
                } else if attempt.attempt >= task.next {
                    return Vec::new();
                }
                let open = Event::TaskOpened(Box::new(task.clone()));
                vec![(Audience::All, Event::YieldRecorded { attempt }), (Audience::All, open)]
            }
            Effect::RecordEnd { epoch, attempt, outcome } => self.end(epoch, attempt, outcome),
            Effect::Command { .. } | Effect::Answer { .. } => Vec::new(),
        }
    }

    fn start(
        &mut self,
        epoch: Epoch,
        attempt: TaskAttempt,
        worker: WorkerName,
    ) -> Vec<(Audience, Event)> {
        let refused = vec![(Audience::Proposer, Event::StartRefused { attempt })];
        let recorded = Event::StartRecorded { attempt };
        if epoch.0 != self.epoch {
            return refused;
        }
        let task = self.tasks.get_mut(&attempt.task).expect("the task was opened");
        match &task.state {
            TaskState::Queued if task.next == attempt.attempt && !task.cancelled => {
                task.next = Attempt(attempt.attempt.0 + 1);
                task.state =
                    TaskState::Running { attempt: attempt.attempt, worker, centre: centre() };
                *self.starts.entry(attempt).or_default() += 1;
                vec![(Audience::All, recorded)]
            }
            TaskState::Running { attempt: known, worker: place, .. }
                if *known == attempt.attempt && *place == worker =>
            {
                vec![(Audience::Proposer, recorded)]
            }
            TaskState::Queued | TaskState::Running { .. } | TaskState::Ended(_) => refused,
        }
    }

    fn end(
        &mut self,
        epoch: Epoch,
        attempt: TaskAttempt,
        outcome: TaskOutcome,
    ) -> Vec<(Audience, Event)> {
        if epoch.0 != self.epoch {
            return Vec::new();
        }
        let task = self.tasks.get_mut(&attempt.task).expect("the task was opened");
        let last = attempt.attempt.0 + 1 == task.next.0;
        match &task.state {
            TaskState::Ended(_) => {
                return vec![(Audience::Proposer, Event::EndRecorded { attempt })];
            }
            TaskState::Queued if last => {}
            TaskState::Running { .. } if last => {}
            TaskState::Queued | TaskState::Running { .. } => return Vec::new(),
        }
        task.state = TaskState::Ended(outcome);
        *self.ends.entry(attempt.task).or_default() += 1;
        vec![(Audience::All, Event::EndRecorded { attempt })]
    }

    /// The tasks that haven't ended.
    pub(crate) fn open(&self) -> impl Iterator<Item = &OpenTask> {
        self.tasks.values().filter(|task| !matches!(task.state, TaskState::Ended(_)))
    }
}
