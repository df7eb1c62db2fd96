//! The tasks without an end, and where each of them stands.

use std::collections::BTreeMap;

use crate::{
    command::YieldCause,
    ids::{Attempt, TaskAttempt, TaskId},
    policy::Tier,
    resources::Resources,
    scheduler::{
        charts::{ATTEMPT, Phase},
        cost::Choice,
        index::WorkerSlot,
        queue::{CustomerSlot, Lane},
    },
    task::{Checkpoint, EvictionReason, OpenTask, TaskOutcome},
    time::Time,
};

/// All of a try's processors, in thousandths.
const WHOLE: u32 = 1_000;

/// A task without an end.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) open: Box<OpenTask>,
    pub(super) customer: CustomerSlot,
    pub(super) kind: u32,
    pub(super) lane: Lane,
    /// Since when it stands where it stands.
    pub(super) since: Time,
    pub(super) stage: Stage,
    /// When a record that was asked for is asked for again.
    pub(super) retry: Time,
    /// Where its last try failed.
    pub(super) avoid: Option<WorkerSlot>,
    /// Why its last try was evicted.
    pub(super) evicted: Option<EvictionReason>,
}

/// Where a task stands.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// It waits in the queue.
    Waiting,
    /// It waits for a time before it goes into the queue.
    Delayed,
    /// A try holds room on a worker, or its end is being recorded.
    Active(Box<Try>),
    /// The ledger's word on it is awaited.
    Parked,
    /// Its end, without a further try, is being recorded.
    Closing(TaskOutcome),
}

/// The try of a task that may be running.
#[derive(Clone, Debug)]
pub(super) struct Try {
    pub(super) attempt: Attempt,
    pub(super) phase: Phase,
    pub(super) worker: WorkerSlot,
    pub(super) tier: Tier,
    pub(super) placed: Time,
    /// Why its worker was chosen; nothing if another instance placed it.
    pub(super) choice: Option<Choice>,
    /// What it was expected to use when it was placed.
    pub(super) expected: Resources,
    /// Why it must leave its worker.
    pub(super) eviction: Option<EvictionReason>,
    /// Whether that it stopped follows only from its worker's lease.
    pub(super) surmised: bool,
    /// The part of its processors that it may use, in thousandths.
    pub(super) speed: u32,
    /// How often the last throttle is still sent again, as nothing reports that it arrived.
    pub(super) repeats: u8,
    /// What the ledger was last asked to record.
    pub(super) record: Option<Record>,
}

impl Try {
    /// A try that is placed now and will get its number when its record is asked for.
    pub(super) fn new(now: Time, worker: WorkerSlot, tier: Tier, choice: Choice) -> Self {
        Self {
            attempt: Attempt::default(),
            phase: ATTEMPT.initial(),
            worker,
            tier,
            placed: now,
            choice: Some(choice),
            expected: Resources::ZERO,
            eviction: None,
            surmised: false,
            speed: WHOLE,
            repeats: 0,
            record: None,
        }
    }

    /// A try that was found in the ledger.
    pub(super) fn inherited(now: Time, attempt: Attempt, worker: WorkerSlot, tier: Tier) -> Self {
        Self {
            attempt,
            phase: Phase::Inherited,
            choice: None,
            ..Self::new(now, worker, tier, Choice::default())
        }
    }

    /// Whether a report that it runs changes nothing.
    pub(super) fn steady(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Throttled) && self.repeats == 0
    }

    /// Whether its room is held.
    pub(super) fn holds_room(&self) -> bool {
        match self.phase {
            Phase::Recording
            | Phase::Starting
            | Phase::Running
            | Phase::Throttled
            | Phase::Stopping
            | Phase::Inherited => true,
            Phase::Yielding | Phase::Ending | Phase::Closed => false,
        }
    }
}

/// A record of a try that was asked for.
#[derive(Clone, Debug)]
pub(super) enum Record {
    /// That it stopped and its task waits again.
    Yield {
        /// What to resume from.
        checkpoint: Option<Checkpoint>,
        /// Why it stopped.
        cause: YieldCause,
    },
    /// That its task ended.
    End(TaskOutcome),
}

/// The tasks without an end.
#[derive(Clone, Debug, Default)]
pub(super) struct Tasks {
    tasks: BTreeMap<TaskId, Task>,
}

impl Tasks {
    pub(super) fn get(&self, task: TaskId) -> Option<&Task> {
        self.tasks.get(&task)
    }

    pub(super) fn get_mut(&mut self, task: TaskId) -> Option<&mut Task> {
        self.tasks.get_mut(&task)
    }

    pub(super) fn insert(&mut self, id: TaskId, task: Task) {
        self.tasks.insert(id, task);
    }

    pub(super) fn remove(&mut self, task: TaskId) -> Option<Task> {
        self.tasks.remove(&task)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        self.tasks.iter().map(|(id, task)| (*id, task))
    }

    /// The numbers of all tasks for which `holds`.
    pub(super) fn select(&self, holds: impl Fn(&Task) -> bool) -> Vec<TaskId> {
        self.iter().filter(|(_, task)| holds(task)).map(|(id, _)| id).collect()
    }

    /// The task, if `attempt` is its try that may be running.
    pub(super) fn active(&self, attempt: TaskAttempt) -> Option<(&Task, &Try)> {
        let task = self.get(attempt.task)?;
        let current = task.current()?;
        (current.attempt == attempt.attempt).then_some((task, current))
    }
}

impl Task {
    /// The try that may be running.
    pub(super) fn current(&self) -> Option<&Try> {
        match &self.stage {
            Stage::Active(current) => Some(current),
            Stage::Waiting | Stage::Delayed | Stage::Parked | Stage::Closing(_) => None,
        }
    }

    /// The same, to be changed.
    pub(super) fn current_mut(&mut self) -> Option<&mut Try> {
        match &mut self.stage {
            Stage::Active(current) => Some(current),
            Stage::Waiting | Stage::Delayed | Stage::Parked | Stage::Closing(_) => None,
        }
    }

    /// The room that it asks for.
    pub(super) fn size(&self) -> Resources {
        self.open.spec.size
    }

    /// The number of its last try; 0 if there was none.
    pub(super) fn last(&self) -> Attempt {
        Attempt(self.open.next.0.saturating_sub(1))
    }

    /// Whether its tries end with their lease.
    pub(super) fn batch(&self) -> bool {
        self.open.spec.service.is_none()
    }
}
