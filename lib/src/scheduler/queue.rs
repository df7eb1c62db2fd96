//! The queue of waiting tasks, shared fairly among customers.
//!
//! The tasks of a customer wait in the order of their numbers. The customer with the lowest rank is
//! next. Its rank is the time of its last start plus its weighted dominant share of the data
//! centre, so that a customer with a large share waits longer between its starts but is never
//! starved.

use std::collections::BTreeSet;

use crate::{
    data,
    ids::{TaskId, WorkerName},
    key,
    scheduler::quota::Quota,
    time::Time,
};

key! {
    /// The index of a customer in the scheduler's table.
    pub(super) struct CustomerSlot(u32);
}

impl CustomerSlot {
    pub(super) fn at(self) -> usize {
        self.0 as usize
    }
}

data! {
    /// Why a task waits.
    pub enum WaitReason {
        /// It isn't its customer's turn yet.
        Turn,
        /// An earlier task of its customer goes first.
        Behind {
            /// That task.
            task: TaskId,
        },
        /// Its customer has too little of its allowance left.
        Allowance,
        /// It exceeds its customer's share in this data centre.
        Share,
        /// No worker has enough free capacity.
        Room,
        /// A worker is reserved for it and is being freed.
        Clearing {
            /// The worker.
            worker: WorkerName,
        },
        /// Its customer has no plan.
        NoPlan,
        /// It failed or its start was refused, and it waits for a retry.
        Delay,
        /// Another instance schedules this data centre.
        NotHolder,
        /// The consensus group can't be reached, so that nothing can be recorded.
        Unconfirmed,
        /// It waits for an entry of the ledger.
        Ledger,
    }
}

/// The priority of a task in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Priority {
    /// Urgent tasks and replicas of services.
    Urgent,
    /// All other tasks.
    Normal,
}

impl Priority {
    /// Both priorities, the higher one first.
    pub(super) const ALL: [Self; 2] = [Self::Urgent, Self::Normal];
}

/// The weight of a share of the whole data centre in a rank, in milliseconds of waiting.
const SHARE_WEIGHT_MS: f64 = 60_000.0;

/// The number of tasks behind a customer's first that may be placed while that one waits for free
/// capacity.
const MAX_FOLLOWERS: usize = 4;

/// Whether the first task of a customer can be placed, with the customer's rank in milliseconds.
#[derive(Clone, Debug, Default)]
enum Readiness {
    #[default]
    Idle,
    Ready(u64),
    Blocked(u64, WaitReason),
}

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    tasks: BTreeSet<TaskId>,
    /// When a task of the queue was last started, or the queue became non-empty.
    last_start: Time,
    readiness: Readiness,
}

/// All waiting tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    queues: [Vec<CustomerQueue>; 2],
    ready: [BTreeSet<(u64, CustomerSlot)>; 2],
    blocked: [BTreeSet<(u64, CustomerSlot)>; 2],
    waiting: usize,
}

impl Queue {
    /// Adds a task; wakes the customer if the task is its first.
    pub(super) fn push(
        &mut self,
        now: Time,
        priority: Priority,
        customer: CustomerSlot,
        task: TaskId,
        quota: &Quota,
    ) {
        let queue = self.customer_queue(priority, customer);
        if queue.tasks.is_empty() {
            queue.last_start = now;
        }
        let first = queue.tasks.first().is_none_or(|first| task < *first);
        if queue.tasks.insert(task) {
            self.waiting += 1;
        }
        if first {
            self.wake(priority, customer, quota);
        }
    }

    /// Removes a task that starts.
    pub(super) fn start(
        &mut self,
        now: Time,
        priority: Priority,
        customer: CustomerSlot,
        task: TaskId,
        quota: &Quota,
    ) {
        self.customer_queue(priority, customer).last_start = now;
        self.remove(priority, customer, task, quota);
    }

    /// Removes a task.
    pub(super) fn remove(
        &mut self,
        priority: Priority,
        customer: CustomerSlot,
        task: TaskId,
        quota: &Quota,
    ) {
        let queue = self.customer_queue(priority, customer);
        let first = queue.tasks.first() == Some(&task);
        if queue.tasks.remove(&task) {
            self.waiting -= 1;
        }
        if first {
            self.wake(priority, customer, quota);
        }
    }

    /// The number of waiting tasks.
    pub(super) fn len(&self) -> usize {
        self.waiting
    }

    /// The customer and the task that are next.
    pub(super) fn first(&self, priority: Priority) -> Option<(CustomerSlot, TaskId)> {
        let (_, customer) = *self.ready[priority as usize].first()?;
        Some((customer, self.head(priority, customer)?))
    }

    /// The first task of a customer at a priority.
    pub(super) fn head(&self, priority: Priority, customer: CustomerSlot) -> Option<TaskId> {
        let queue = self.queues[priority as usize].get(customer.at())?;
        queue.tasks.first().copied()
    }

    /// The tasks of a customer right behind its first.
    pub(super) fn followers(
        &self,
        priority: Priority,
        customer: CustomerSlot,
    ) -> impl Iterator<Item = TaskId> + '_ {
        let queue = self.queues[priority as usize].get(customer.at());
        queue.into_iter().flat_map(|queue| queue.tasks.iter().skip(1).take(MAX_FOLLOWERS).copied())
    }

    /// Customers blocked for lack of capacity, by rank, with their first tasks.
    pub(super) fn blocked(
        &self,
        priority: Priority,
    ) -> impl Iterator<Item = (CustomerSlot, TaskId)> + '_ {
        self.blocked[priority as usize]
            .iter()
            .filter_map(move |(_, customer)| Some((*customer, self.head(priority, *customer)?)))
    }

    /// Why the first task of a customer waits.
    pub(super) fn reason(&self, priority: Priority, customer: CustomerSlot) -> Option<&WaitReason> {
        match &self.queues[priority as usize].get(customer.at())?.readiness {
            Readiness::Idle | Readiness::Ready(_) => None,
            Readiness::Blocked(_, reason) => Some(reason),
        }
    }

    /// Blocks a customer whose first task can't be placed now.
    pub(super) fn block(&mut self, priority: Priority, customer: CustomerSlot, reason: WaitReason) {
        let Readiness::Ready(rank) = self.customer_queue(priority, customer).readiness else {
            return;
        };
        self.ready[priority as usize].remove(&(rank, customer));
        // These wait for capacity that others free; the other reasons end with an event that wakes
        // the customer.
        match &reason {
            WaitReason::Room | WaitReason::Clearing { .. } => {
                self.blocked[priority as usize].insert((rank, customer));
            }
            WaitReason::Turn
            | WaitReason::Behind { .. }
            | WaitReason::Allowance
            | WaitReason::Share
            | WaitReason::NoPlan
            | WaitReason::Delay
            | WaitReason::NotHolder
            | WaitReason::Unconfirmed
            | WaitReason::Ledger => {}
        }
        self.customer_queue(priority, customer).readiness = Readiness::Blocked(rank, reason);
    }

    /// Makes a customer's first task ready again, at its present rank.
    pub(super) fn wake(&mut self, priority: Priority, customer: CustomerSlot, quota: &Quota) {
        let queue = self.customer_queue(priority, customer);
        let (last_start, empty) = (queue.last_start, queue.tasks.is_empty());
        let old = std::mem::take(&mut queue.readiness);
        match old {
            Readiness::Idle => {}
            Readiness::Ready(rank) => {
                self.ready[priority as usize].remove(&(rank, customer));
            }
            Readiness::Blocked(rank, _) => {
                self.blocked[priority as usize].remove(&(rank, customer));
            }
        }
        if empty {
            return;
        }
        let rank = last_start.as_nanos() / 1_000_000
            + (quota.weighted_share(customer) * SHARE_WEIGHT_MS) as u64;
        self.customer_queue(priority, customer).readiness = Readiness::Ready(rank);
        self.ready[priority as usize].insert((rank, customer));
    }

    /// Wakes every customer.
    pub(super) fn wake_all(&mut self, quota: &Quota) {
        for priority in Priority::ALL {
            for at in 0..self.queues[priority as usize].len() {
                self.wake(priority, CustomerSlot(at as u32), quota);
            }
        }
    }

    fn customer_queue(&mut self, priority: Priority, customer: CustomerSlot) -> &mut CustomerQueue {
        let queues = &mut self.queues[priority as usize];
        if queues.len() <= customer.at() {
            queues.resize_with(customer.at() + 1, CustomerQueue::default);
        }
        &mut queues[customer.at()]
    }
}
