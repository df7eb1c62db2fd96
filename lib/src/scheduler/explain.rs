//! Why a task is where it is, why it waits, and what is thought of a worker.

use std::{fmt, time::Duration};

use crate::{
    data,
    ids::{Attempt, CustomerName, Epoch, Rack, TaskAttempt, TaskId, WorkerName},
    policy::Tier,
    resources::Resources,
    scheduler::{
        Scheduler,
        charts::{Health, Phase},
        cost::Choice,
        place::show,
        queue::WaitReason,
        tasks::{Stage, Task, Try},
    },
    task::{EvictionReason, TaskOutcome},
    time::Time,
};

data! {
    /// Where a task stands and why.
    pub struct TaskExplanation {
        /// The task.
        pub task: TaskId,
        /// Whose it is.
        pub customer: CustomerName,
        /// What it asks for.
        pub size: Resources,
        /// For how long it has stood there.
        pub age: Duration,
        /// Where it stands.
        pub standing: Standing,
        /// Why its last try was evicted, as far as this instance knows.
        pub evicted: Option<EvictionReason>,
        /// How often it was evicted.
        pub evictions: u32,
        /// How many tries failed.
        pub failures: u32,
    }

    /// Where a task stands.
    pub enum Standing {
        /// It waits.
        Waiting(WaitReason),
        /// A try holds room on a worker.
        Placed {
            /// The number of the try.
            attempt: Attempt,
            /// The worker.
            worker: WorkerName,
            /// How firmly it holds the room.
            tier: Tier,
            /// Where the try stands.
            phase: Phase,
            /// Why the worker was chosen; nothing if another instance chose it.
            choice: Option<Choice>,
            /// Why it must leave, if it must.
            eviction: Option<EvictionReason>,
        },
        /// It has ended, and the record of that is awaited.
        Ending(TaskOutcome),
    }

    /// What is thought of a worker.
    pub struct WorkerExplanation {
        /// The worker.
        pub worker: WorkerName,
        /// Its rack, if it is known.
        pub rack: Option<Rack>,
        /// What is thought of it.
        pub health: Health,
        /// All it has.
        pub capacity: Resources,
        /// What its tries hold.
        pub committed: Resources,
        /// How long ago it was heard.
        pub silence: Duration,
        /// The task that it is kept free for.
        pub reserved: Option<TaskId>,
        /// How long it stays in quarantine.
        pub quarantine: Option<Duration>,
        /// Its tries.
        pub tries: Vec<TaskAttempt>,
    }

    /// The data centre at a glance.
    pub struct Status {
        /// The epoch that this instance holds.
        pub epoch: Option<Epoch>,
        /// Tasks that wait for a place.
        pub waiting: usize,
        /// Tries that hold room.
        pub placed: usize,
        /// Workers by what is thought of them, in the order of [`Health::ALL`].
        pub workers: Vec<usize>,
        /// Replicas on workers without a lease: they may serve, and nobody can tell.
        pub stranded: usize,
        /// The room of workers with a lease.
        pub capacity: Resources,
        /// The part of it that is held.
        pub committed: Resources,
        /// Events that a state chart had no transition for, and the last of them.
        pub unhandled: (u64, Option<String>),
    }
}

impl Scheduler {
    /// Where a task stands and why; nothing if it isn't known here.
    pub fn explain_task(&self, now: Time, id: TaskId) -> Option<TaskExplanation> {
        let task = self.tasks.get(id)?;
        let standing = match &task.stage {
            Stage::Waiting => Standing::Waiting(self.wait_reason(now, id, task)),
            Stage::Delayed => Standing::Waiting(WaitReason::Delay),
            Stage::Parked => Standing::Waiting(WaitReason::Ledger),
            Stage::Closing(outcome) => Standing::Ending(outcome.clone()),
            Stage::Active(current) => self.explain_try(current),
        };
        Some(TaskExplanation {
            task: id,
            customer: task.open.customer.clone(),
            size: task.size(),
            age: now.since(task.since),
            standing,
            evicted: task.evicted,
            evictions: task.open.evictions,
            failures: task.open.failures,
        })
    }

    fn explain_try(&self, current: &Try) -> Standing {
        Standing::Placed {
            attempt: current.attempt,
            worker: self.fleet[current.worker].name.clone(),
            tier: current.tier,
            phase: current.phase,
            choice: current.choice,
            eviction: current.eviction,
        }
    }

    fn wait_reason(&self, now: Time, id: TaskId, task: &Task) -> WaitReason {
        if self.hold.epoch.is_none() {
            return WaitReason::NotHolder;
        }
        if self.hold.records(now, &self.config).is_none() {
            return WaitReason::Unconfirmed;
        }
        match self.queue.head(task.lane, task.customer) {
            Some(head) if head != id => WaitReason::Behind { task: head },
            Some(_) | None => {
                self.queue.reason(task.lane, task.customer).cloned().unwrap_or(WaitReason::Turn)
            }
        }
    }

    /// What is thought of a worker and why; nothing if it isn't known here.
    pub fn explain_worker(&self, now: Time, name: &WorkerName) -> Option<WorkerExplanation> {
        let slot = self.fleet.find(name)?;
        let worker = &self.fleet[slot];
        let tries = worker.tries.iter();
        let tries = tries.map(|(id, seat)| TaskAttempt { task: *id, attempt: seat.attempt });
        Some(WorkerExplanation {
            worker: name.clone(),
            rack: self.fleet.rack_of(slot).cloned(),
            health: worker.health,
            capacity: worker.capacity,
            committed: worker.committed,
            silence: now.since(worker.heard),
            reserved: worker.reserved,
            quarantine: (worker.health == Health::Quarantined).then(|| now.until(worker.release)),
            tries: tries.collect(),
        })
    }

    /// The data centre at a glance. It looks at every worker and task.
    pub fn status(&self) -> Status {
        let workers = || self.fleet.known();
        let count = |health| workers().filter(|worker| worker.health == health).count();
        let leased = workers().filter(|worker| worker.leased());
        let stranded = self.tasks.iter().filter(|(_, task)| {
            let away = |current: &Try| current.holds_room() && !self.fleet[current.worker].leased();
            !task.batch() && task.current().is_some_and(away)
        });
        Status {
            epoch: self.hold.epoch,
            waiting: self.queue.len(),
            placed: workers().map(|worker| worker.tries.len()).sum(),
            workers: Health::ALL.iter().map(|health| count(*health)).collect(),
            stranded: stranded.count(),
            capacity: self.fleet.total,
            committed: leased
                .fold(Resources::ZERO, |sum, worker| sum.saturating_add(&worker.committed)),
            unhandled: self.unhandled.clone(),
        }
    }
}

impl fmt::Display for TaskExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "task {} of {} asks for {}; ", self.task, self.customer, show(&self.size))?;
        write!(f, "for {} s it {}", self.age.as_secs(), self.standing)?;
        if let Some(reason) = self.evicted {
            write!(f, "; last evicted because of {reason}")?;
        }
        write!(f, "; {} evictions, {} failed tries", self.evictions, self.failures)
    }
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Waiting(reason) => write!(f, "waits: {reason}"),
            Self::Placed { attempt, worker, tier, phase, choice, eviction } => {
                write!(f, "is on {worker} as try {attempt} ({phase}, {tier})")?;
                if let Some(choice) = choice {
                    write!(f, ", {choice}")?;
                }
                match eviction {
                    Some(reason) => write!(f, ", and must leave because of {reason}"),
                    None => Ok(()),
                }
            }
            Self::Ending(_) => f.write_str("waits for the record of its end"),
        }
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Turn => f.write_str("its customer's turn comes next"),
            Self::Behind { task } => write!(f, "task {task} of its customer goes first"),
            Self::Allowance => f.write_str("its customer uses all that its plan allows"),
            Self::Share => f.write_str("the plan's share in this data centre is too small"),
            Self::Room => f.write_str("no worker has room"),
            Self::Clearing { worker } => write!(f, "{worker} is being cleared for it"),
            Self::NoPlan => f.write_str("its customer is on no plan"),
            Self::Delay => f.write_str("it failed or was refused, and is tried again soon"),
            Self::NotHolder => f.write_str("another instance places work in this data centre"),
            Self::Unconfirmed => f.write_str("the council can't be reached"),
            Self::Ledger => f.write_str("the ledger's word on it is awaited"),
        }
    }
}
