//! Customers' tasks that wait, and whose turn it is.
//!
//! Within a customer, tasks wait in the order of their numbers. Among customers, the one with the
//! smallest rank is next: the time of its last start plus its weighted dominant share of the data
//! centre, so that a customer with a large share waits longer between its starts, but not for ever.

use std::collections::BTreeSet;

use crate::{
    data,
    ids::{TaskId, WorkerName},
    key,
    scheduler::quota::Quota,
    time::Time,
};

key! {
    /// A customer's place in the scheduler's table.
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
        /// Its customer's turn hasn't come.
        Turn,
        /// An earlier task of its customer is first.
        Behind {
            /// That task.
            task: TaskId,
        },
        /// Its customer uses all that its plan allows.
        Allowance,
        /// Its customer uses all of the share that this data centre holds.
        Share,
        /// No worker has room.
        Room,
        /// A worker is being cleared for it.
        Clearing {
            /// The worker.
            worker: WorkerName,
        },
        /// Its customer is on no plan.
        NoPlan,
        /// It failed or was refused, and waits before the next try.
        Delay,
        /// Another instance places work in this data centre.
        NotHolder,
        /// The council can't be reached, so that nothing can be recorded.
        Unconfirmed,
        /// The ledger's word on it is awaited.
        Ledger,
    }
}

/// Which tasks go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lane {
    /// Urgent tasks and replicas of services.
    Urgent,
    /// All others.
    Normal,
}

impl Lane {
    /// Both lanes, in their order.
    pub(super) const ALL: [Self; 2] = [Self::Urgent, Self::Normal];
}

/// The weight of a whole data centre's share against a wait, in milliseconds.
const SHARE_MILLIS: f64 = 60_000.0;

/// Tasks behind a customer's first that may be placed while no worker has room for that one.
const FOLLOWERS: usize = 4;

#[derive(Clone, Debug, Default)]
enum Standing {
    #[default]
    Idle,
    Ready(u64),
    Blocked(u64, WaitReason),
}

#[derive(Clone, Debug, Default)]
struct Line {
    tasks: BTreeSet<TaskId>,
    /// When a task of the line was last started, or the line began.
    turn: Time,
    standing: Standing,
}

/// All tasks that wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    lines: [Vec<Line>; 2],
    ready: [BTreeSet<(u64, CustomerSlot)>; 2],
    blocked: [BTreeSet<(u64, CustomerSlot)>; 2],
    waiting: usize,
}

impl Queue {
    /// Adds a task; its line is tried again if it is the first.
    pub(super) fn push(
        &mut self,
        now: Time,
        lane: Lane,
        customer: CustomerSlot,
        task: TaskId,
        quota: &Quota,
    ) {
        let line = self.line(lane, customer);
        if line.tasks.is_empty() {
            line.turn = now;
        }
        let first = line.tasks.first().is_none_or(|first| task < *first);
        if line.tasks.insert(task) {
            self.waiting += 1;
        }
        if first {
            self.wake(lane, customer, quota);
        }
    }

    /// Takes out a task that starts.
    pub(super) fn start(
        &mut self,
        now: Time,
        lane: Lane,
        customer: CustomerSlot,
        task: TaskId,
        quota: &Quota,
    ) {
        self.line(lane, customer).turn = now;
        self.remove(lane, customer, task, quota);
    }

    /// Takes a task out.
    pub(super) fn remove(
        &mut self,
        lane: Lane,
        customer: CustomerSlot,
        task: TaskId,
        quota: &Quota,
    ) {
        let line = self.line(lane, customer);
        let first = line.tasks.first() == Some(&task);
        if line.tasks.remove(&task) {
            self.waiting -= 1;
        }
        if first {
            self.wake(lane, customer, quota);
        }
    }

    /// How many tasks wait.
    pub(super) fn len(&self) -> usize {
        self.waiting
    }

    /// The task whose turn it is.
    pub(super) fn first(&self, lane: Lane) -> Option<(CustomerSlot, TaskId)> {
        let (_, customer) = *self.ready[lane as usize].first()?;
        Some((customer, self.head(lane, customer)?))
    }

    /// The first task of a customer in a lane.
    pub(super) fn head(&self, lane: Lane, customer: CustomerSlot) -> Option<TaskId> {
        let line = self.lines[lane as usize].get(customer.at())?;
        line.tasks.first().copied()
    }

    /// The tasks of a customer right behind its first.
    pub(super) fn followers(
        &self,
        lane: Lane,
        customer: CustomerSlot,
    ) -> impl Iterator<Item = TaskId> + '_ {
        let line = self.lines[lane as usize].get(customer.at());
        line.into_iter().flat_map(|line| line.tasks.iter().skip(1).take(FOLLOWERS).copied())
    }

    /// Customers that wait for room, by rank.
    pub(super) fn short(&self, lane: Lane) -> impl Iterator<Item = (CustomerSlot, TaskId)> + '_ {
        self.blocked[lane as usize]
            .iter()
            .filter_map(move |(_, customer)| Some((*customer, self.head(lane, *customer)?)))
    }

    /// Why the first task of a customer waits.
    pub(super) fn reason(&self, lane: Lane, customer: CustomerSlot) -> Option<&WaitReason> {
        match &self.lines[lane as usize].get(customer.at())?.standing {
            Standing::Idle | Standing::Ready(_) => None,
            Standing::Blocked(_, reason) => Some(reason),
        }
    }

    /// Leaves out a customer whose first task can't be placed now.
    pub(super) fn block(&mut self, lane: Lane, customer: CustomerSlot, reason: WaitReason) {
        let Standing::Ready(rank) = self.line(lane, customer).standing else { return };
        self.ready[lane as usize].remove(&(rank, customer));
        // Only a lack of room ends without the customer's own doing.
        match &reason {
            WaitReason::Room | WaitReason::Clearing { .. } => {
                self.blocked[lane as usize].insert((rank, customer));
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
        self.line(lane, customer).standing = Standing::Blocked(rank, reason);
    }

    /// Lets a customer's first task be tried, at the rank that it has now.
    pub(super) fn wake(&mut self, lane: Lane, customer: CustomerSlot, quota: &Quota) {
        let line = self.line(lane, customer);
        let (turn, empty) = (line.turn, line.tasks.is_empty());
        let old = std::mem::take(&mut line.standing);
        match old {
            Standing::Idle => {}
            Standing::Ready(rank) => {
                self.ready[lane as usize].remove(&(rank, customer));
            }
            Standing::Blocked(rank, _) => {
                self.blocked[lane as usize].remove(&(rank, customer));
            }
        }
        if empty {
            return;
        }
        let rank =
            turn.as_nanos() / 1_000_000 + (quota.weighted_share(customer) * SHARE_MILLIS) as u64;
        self.line(lane, customer).standing = Standing::Ready(rank);
        self.ready[lane as usize].insert((rank, customer));
    }

    /// Lets every customer be tried.
    pub(super) fn wake_all(&mut self, quota: &Quota) {
        for lane in Lane::ALL {
            for at in 0..self.lines[lane as usize].len() {
                self.wake(lane, CustomerSlot(at as u32), quota);
            }
        }
    }

    fn line(&mut self, lane: Lane, customer: CustomerSlot) -> &mut Line {
        let lines = &mut self.lines[lane as usize];
        if lines.len() <= customer.at() {
            lines.resize_with(customer.at() + 1, Line::default);
        }
        &mut lines[customer.at()]
    }
}
