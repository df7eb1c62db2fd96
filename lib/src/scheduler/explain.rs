//! Explains the state of tasks and workers to operators.

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
        place::format_resources,
        queue::WaitReason,
        tasks::{ActiveAttempt, Stage, Task},
    },
    task::{EvictionReason, TaskOutcome},
    time::Time,
};

data! {
    /// The status of a task, with its reasons.
    pub struct TaskExplanation {
        /// The task.
        pub task: TaskId,
        /// The customer that submitted it.
        pub customer: CustomerName,
        /// The resources that it requests.
        pub size: Resources,
        /// How long it has had this status.
        pub age: Duration,
        /// Its status.
        #[serde(rename = "standing")]
        pub status: TaskStatus,
        /// Why its last attempt was evicted, if this instance knows.
        pub evicted: Option<EvictionReason>,
        /// How often it was evicted.
        pub evictions: u32,
        /// How many attempts failed.
        pub failures: u32,
    }

    /// The status of a task.
    pub enum TaskStatus {
        /// It waits.
        Waiting(WaitReason),
        /// An attempt holds resources on a worker.
        Placed {
            /// The number of the attempt.
            attempt: Attempt,
            /// The worker.
            worker: WorkerName,
            /// The tier that its resources are charged to.
            tier: Tier,
            /// The phase of the attempt.
            phase: Phase,
            /// Why the worker was chosen; none if another instance chose it.
            choice: Option<Choice>,
            /// Why it is being evicted, if it is.
            eviction: Option<EvictionReason>,
        },
        /// It has ended, and the ledger hasn't recorded that yet.
        Ending(TaskOutcome),
    }

    /// The state of a worker.
    pub struct WorkerExplanation {
        /// The worker.
        pub worker: WorkerName,
        /// Its rack, if it is known.
        pub rack: Option<Rack>,
        /// Its health.
        pub health: Health,
        /// Its capacity.
        pub capacity: Resources,
        /// The resources that its attempts hold.
        pub committed: Resources,
        /// The time since its last announcement.
        pub silence: Duration,
        /// The task that it is reserved for.
        pub reserved: Option<TaskId>,
        /// The remaining time of its quarantine.
        pub quarantine: Option<Duration>,
        /// Its attempts.
        #[serde(rename = "tries")]
        pub attempts: Vec<TaskAttempt>,
    }

    /// A summary of the data centre.
    pub struct Status {
        /// The epoch that this instance holds.
        pub epoch: Option<Epoch>,
        /// Tasks that wait for placement.
        pub waiting: usize,
        /// Attempts that hold resources.
        pub placed: usize,
        /// The number of workers by health, in the order of [`Health::ALL`].
        pub workers: Vec<usize>,
        /// Replicas on workers without a lease; they may still serve, which the scheduler can't
        /// see.
        pub stranded: usize,
        /// The capacity of the workers with a lease.
        pub capacity: Resources,
        /// The part of it that is allocated.
        pub committed: Resources,
        /// The number of events for which a state chart had no transition, and the last of them.
        pub unhandled: (u64, Option<String>),
    }
}

impl Scheduler {
    /// Explains the status of a task; none if it isn't known here.
    pub fn explain_task(&self, now: Time, id: TaskId) -> Option<TaskExplanation> {
        let task = self.tasks.get(id)?;
        let status = match &task.stage {
            Stage::Waiting => TaskStatus::Waiting(self.wait_reason(now, id, task)),
            Stage::BackingOff => TaskStatus::Waiting(WaitReason::Delay),
            Stage::AwaitingLedger => TaskStatus::Waiting(WaitReason::Ledger),
            Stage::Ending(outcome) => TaskStatus::Ending(outcome.clone()),
            Stage::Active(current) => self.explain_attempt(current),
        };
        Some(TaskExplanation {
            task: id,
            customer: task.open.customer.clone(),
            size: task.size(),
            age: now.since(task.stage_since),
            status,
            evicted: task.last_eviction,
            evictions: task.open.evictions,
            failures: task.open.failures,
        })
    }

    fn explain_attempt(&self, current: &ActiveAttempt) -> TaskStatus {
        TaskStatus::Placed {
            attempt: current.attempt,
            worker: self.fleet[current.worker].name.clone(),
            tier: current.tier,
            phase: current.phase,
            choice: current.choice,
            eviction: current.eviction,
        }
    }

    fn wait_reason(&self, now: Time, id: TaskId, task: &Task) -> WaitReason {
        if self.leadership.epoch.is_none() {
            return WaitReason::NotHolder;
        }
        if self.leadership.record_epoch(now, &self.config).is_none() {
            return WaitReason::Unconfirmed;
        }
        match self.queue.head(task.priority, task.customer) {
            Some(head) if head != id => WaitReason::Behind { task: head },
            Some(_) | None => {
                self.queue.reason(task.priority, task.customer).cloned().unwrap_or(WaitReason::Turn)
            }
        }
    }

    /// Explains the state of a worker; none if it isn't known here.
    pub fn explain_worker(&self, now: Time, name: &WorkerName) -> Option<WorkerExplanation> {
        let slot = self.fleet.find(name)?;
        let worker = &self.fleet[slot];
        let attempts = worker.allocations.iter();
        let attempts =
            attempts.map(|(id, allocation)| TaskAttempt { task: *id, attempt: allocation.attempt });
        Some(WorkerExplanation {
            worker: name.clone(),
            rack: self.fleet.rack_of(slot).cloned(),
            health: worker.health,
            capacity: worker.capacity,
            committed: worker.committed,
            silence: now.since(worker.last_heard),
            reserved: worker.reserved,
            quarantine: (worker.health == Health::Quarantined)
                .then(|| now.until(worker.quarantined_until)),
            attempts: attempts.collect(),
        })
    }

    /// Summarizes the data centre. Iterates over every worker and task.
    pub fn status(&self) -> Status {
        let workers = || self.fleet.known();
        let count = |health| workers().filter(|worker| worker.health == health).count();
        let leased = workers().filter(|worker| worker.leased());
        let stranded = self.tasks.iter().filter(|(_, task)| {
            let without_lease = |current: &ActiveAttempt| {
                current.holds_resources() && !self.fleet[current.worker].leased()
            };
            !task.is_batch() && task.current().is_some_and(without_lease)
        });
        Status {
            epoch: self.leadership.epoch,
            waiting: self.queue.len(),
            placed: workers().map(|worker| worker.allocations.len()).sum(),
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
        write!(
            f,
            "task {} of {} asks for {}; ",
            self.task,
            self.customer,
            format_resources(&self.size)
        )?;
        write!(f, "for {} s it {}", self.age.as_secs(), self.status)?;
        if let Some(reason) = self.evicted {
            write!(f, "; last evicted because of {reason}")?;
        }
        write!(f, "; {} evictions, {} failed attempts", self.evictions, self.failures)
    }
}

impl fmt::Display for TaskStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Waiting(reason) => write!(f, "waits: {reason}"),
            Self::Placed { attempt, worker, tier, phase, choice, eviction } => {
                write!(f, "is on {worker} as attempt {attempt} ({phase}, {tier})")?;
                if let Some(choice) = choice {
                    write!(f, ", {choice}")?;
                }
                match eviction {
                    Some(reason) => write!(f, ", and is being evicted because of {reason}"),
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
            Self::Turn => f.write_str("it is not its customer's turn yet"),
            Self::Behind { task } => write!(f, "task {task} of its customer goes first"),
            Self::Allowance => f.write_str("its customer uses all that its plan allows"),
            Self::Share => f.write_str("the plan's share in this data centre is too small"),
            Self::Room => f.write_str("no worker has room"),
            Self::Clearing { worker } => write!(f, "{worker} is being freed for it"),
            Self::NoPlan => f.write_str("its customer has no plan"),
            Self::Delay => f.write_str("it failed or was refused, and will be retried"),
            Self::NotHolder => f.write_str("another instance schedules this data centre"),
            Self::Unconfirmed => f.write_str("the consensus group can't be reached"),
            Self::Ledger => f.write_str("it waits for the ledger"),
        }
    }
}
