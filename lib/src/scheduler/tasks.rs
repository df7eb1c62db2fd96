//! The tasks that haven't ended, with their stages and attempts.

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
        queue::{CustomerSlot, Priority},
    },
    task::{Checkpoint, EvictionReason, OpenTask, TaskOutcome},
    time::Time,
};

/// Full speed, in thousandths.
const FULL_SPEED_PERMILLE: u32 = 1_000;

/// A task that hasn't ended.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) open: Box<OpenTask>,
    pub(super) customer: CustomerSlot,
    /// The number of its kind.
    pub(super) kind: u32,
    pub(super) priority: Priority,
    /// When it entered its stage.
    pub(super) stage_since: Time,
    pub(super) stage: Stage,
    /// When the pending record is proposed again.
    pub(super) record_retry: Time,
    /// The worker on which its last attempt failed.
    pub(super) failed_on: Option<WorkerSlot>,
    /// Why its last attempt was evicted.
    pub(super) last_eviction: Option<EvictionReason>,
}

/// The stage of a task.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// It waits in the queue.
    Waiting,
    /// It waits for a delay to pass before it enters the queue.
    BackingOff,
    /// An attempt holds resources on a worker, or its end is being recorded.
    Active(Box<ActiveAttempt>),
    /// It waits for an entry of the ledger.
    AwaitingLedger,
    /// Its end is being recorded, without a further attempt.
    Ending(TaskOutcome),
}

/// The attempt of a task that may be running.
#[derive(Clone, Debug)]
pub(super) struct ActiveAttempt {
    pub(super) attempt: Attempt,
    pub(super) phase: Phase,
    pub(super) worker: WorkerSlot,
    pub(super) tier: Tier,
    pub(super) placed: Time,
    /// Why its worker was chosen; none if another instance placed it.
    pub(super) choice: Option<Choice>,
    /// Its expected use when it was placed.
    pub(super) expected: Resources,
    /// Why it is being evicted.
    pub(super) eviction: Option<EvictionReason>,
    /// Whether its end is only inferred, from the expiry of its worker's lease.
    pub(super) presumed_stopped: bool,
    /// The part of its processors that it may use, in thousandths.
    pub(super) speed: u32,
    /// How many times the last throttle command is still resent, because no report confirms it.
    pub(super) resends_left: u8,
    /// The record that was last proposed to the ledger.
    pub(super) pending_record: Option<PendingRecord>,
}

impl ActiveAttempt {
    /// An attempt that is placed now. Its number is set when its start is proposed.
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
            presumed_stopped: false,
            speed: FULL_SPEED_PERMILLE,
            resends_left: 0,
            pending_record: None,
        }
    }

    /// An attempt that was found in the ledger.
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
        matches!(self.phase, Phase::Running | Phase::Throttled) && self.resends_left == 0
    }

    /// Whether it holds resources on its worker.
    pub(super) fn holds_resources(&self) -> bool {
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

/// A record of an attempt's end that was proposed to the ledger.
#[derive(Clone, Debug)]
pub(super) enum PendingRecord {
    /// The attempt stopped and its task is queued again.
    Yield {
        /// The checkpoint to resume from.
        checkpoint: Option<Checkpoint>,
        /// Why it stopped.
        cause: YieldCause,
    },
    /// Its task ended.
    End(TaskOutcome),
}

/// The tasks that haven't ended.
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

    /// The tasks that satisfy `holds`.
    pub(super) fn select(&self, holds: impl Fn(&Task) -> bool) -> Vec<TaskId> {
        self.iter().filter(|(_, task)| holds(task)).map(|(id, _)| id).collect()
    }

    /// The task and its current attempt, if `attempt` is that one.
    pub(super) fn active(&self, attempt: TaskAttempt) -> Option<(&Task, &ActiveAttempt)> {
        let task = self.get(attempt.task)?;
        let current = task.current()?;
        (current.attempt == attempt.attempt).then_some((task, current))
    }
}

impl Task {
    /// The current attempt, which may be running.
    pub(super) fn current(&self) -> Option<&ActiveAttempt> {
        match &self.stage {
            Stage::Active(current) => Some(current),
            Stage::Waiting | Stage::BackingOff | Stage::AwaitingLedger | Stage::Ending(_) => None,
        }
    }

    /// The current attempt, mutably.
    pub(super) fn current_mut(&mut self) -> Option<&mut ActiveAttempt> {
        match &mut self.stage {
            Stage::Active(current) => Some(current),
            Stage::Waiting | Stage::BackingOff | Stage::AwaitingLedger | Stage::Ending(_) => None,
        }
    }

    /// The requested resources.
    pub(super) fn size(&self) -> Resources {
        self.open.spec.size
    }

    /// The number of its last attempt; 0 if there was none.
    pub(super) fn last_attempt(&self) -> Attempt {
        Attempt(self.open.next.0.saturating_sub(1))
    }

    /// Whether it is batch work, whose attempts end when their lease expires.
    pub(super) fn is_batch(&self) -> bool {
        self.open.spec.service.is_none()
    }
}
