//! The waits for better placements in a leader, and how often its expectations came true.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    jobs::{
        locality::Reason,
        model::{JobId, Label, StepKey},
    },
    time::Time,
};

/// The time after which an outcome counts half.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// The outcomes that are assumed before any is known: three of four expectations are right.
const PRIOR: (f64, f64) = (1.5, 2.0);

/// The number of outcomes below which a rack is forgotten.
const MIN_OUTCOMES: f64 = 0.05;

/// How often expectations of room on a rack came true. Outcomes lose weight with time, so that a rack that was
/// misjudged for a while is tried again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reliability {
    right: f64,
    total: f64,
    at: Time,
}

impl Reliability {
    fn decayed(&self, now: Time) -> Self {
        let weight = 0.5_f64.powf(now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64());
        Self { right: self.right * weight, total: self.total * weight, at: now }
    }

    /// Records whether a task that waited has got room as expected.
    pub fn record(&mut self, now: Time, right: bool) {
        let before = self.decayed(now);
        let right = before.right + if right { 1.0 } else { 0.0 };
        *self = Self { right, total: before.total + 1.0, at: now };
    }

    /// The probability that an expectation is right, from 0 to 1.
    pub fn share(&self, now: Time) -> f64 {
        let Self { right, total, .. } = self.decayed(now);
        (right + PRIOR.0) / (total + PRIOR.1)
    }
}

/// A step whose tasks have had a choice between a free place and a better one later.
#[derive(Clone, Debug)]
pub struct Wait {
    /// When they first had it.
    pub began: Time,
    /// The end of the wait.
    pub until: Time,
    /// The rack that they wait for.
    pub rack: Label,
    /// The number of tasks that wait.
    pub tasks: usize,
    /// The number of tasks that have waited and haven't started.
    pub pending: usize,
    /// Whether any task has waited.
    pub waited: bool,
    /// The number of tasks that got a place on the rack after the wait began.
    pub near: u32,
    /// The number of tasks that took another place after they had waited.
    pub far: u32,
    /// Why the last of these did.
    pub reason: Option<Reason>,
    order: u64,
}

/// All waits.
#[derive(Debug, Default)]
pub struct Waits {
    steps: BTreeMap<StepKey, Wait>,
    ends: BTreeSet<(Time, StepKey)>,
    /// The number of waiting tasks by rack, in the order in which their waits began.
    queues: BTreeMap<Label, BTreeMap<u64, usize>>,
    reliability: BTreeMap<Label, Reliability>,
    last: u64,
}

impl Waits {
    /// The wait of a step.
    pub fn get(&self, key: &StepKey) -> Option<&Wait> {
        self.steps.get(key)
    }

    /// Begins the wait of a step, unless it has one already, and returns its end.
    pub fn begin(&mut self, key: StepKey, rack: &Label, now: Time, until: Time) -> Time {
        if let Some(wait) = self.steps.get(&key) {
            return wait.until;
        }
        self.last += 1;
        let wait = Wait {
            began: now,
            until,
            rack: rack.clone(),
            tasks: 0,
            pending: 0,
            waited: false,
            near: 0,
            far: 0,
            reason: None,
            order: self.last,
        };
        self.steps.insert(key, wait);
        until
    }

    /// Sets the number of a step's tasks that wait. Returns whether these are the first, and the number of tasks
    /// that waited before and don't wait any more.
    pub fn set_tasks(&mut self, key: &StepKey, tasks: usize) -> (bool, usize) {
        let Some(wait) = self.steps.get_mut(key) else { return (false, 0) };
        let given_up = wait.pending.saturating_sub(tasks);
        wait.pending = tasks;
        let first = tasks > 0 && !wait.waited;
        wait.waited |= first;
        self.queue(key, tasks);
        (first, given_up)
    }

    /// Queues this number of a step's tasks for its rack.
    fn queue(&mut self, key: &StepKey, tasks: usize) {
        let Some(wait) = self.steps.get_mut(key) else { return };
        wait.tasks = tasks;
        if tasks > 0 {
            self.queues.entry(wait.rack.clone()).or_default().insert(wait.order, tasks);
            self.ends.insert((wait.until, *key));
            return;
        }
        self.ends.remove(&(wait.until, *key));
        if let Some(queue) = self.queues.get_mut(&wait.rack) {
            queue.remove(&wait.order);
            if queue.is_empty() {
                self.queues.remove(&wait.rack);
            }
        }
    }

    /// Records that a task that has waited starts on the rack. Without such a task, nothing is recorded.
    pub fn record_near(&mut self, key: &StepKey, now: Time) {
        let Some(wait) = self.steps.get_mut(key).filter(|wait| wait.pending > 0) else { return };
        wait.near += 1;
        wait.pending -= 1;
        let (rack, right) = (wait.rack.clone(), now <= wait.until);
        let tasks = wait.tasks.saturating_sub(1);
        self.reliability.entry(rack).or_default().record(now, right);
        self.queue(key, tasks);
    }

    /// Records that a task that has waited starts elsewhere.
    pub fn record_far(&mut self, key: &StepKey, now: Time, reason: Reason) {
        let Some(wait) = self.steps.get_mut(key) else { return };
        wait.far += 1;
        wait.reason = Some(reason);
        self.reliability.entry(wait.rack.clone()).or_default().record(now, false);
    }

    /// The number of tasks of other steps whose waits for the rack began before that of this step, at most
    /// `max`.
    pub fn ahead(&self, key: &StepKey, rack: &Label, max: usize) -> usize {
        let order = self.steps.get(key).map_or(u64::MAX, |wait| wait.order);
        let Some(queue) = self.queues.get(rack) else { return 0 };
        let mut ahead = 0;
        for tasks in queue.range(..order).map(|(_, tasks)| *tasks) {
            ahead += tasks;
            if ahead >= max {
                break;
            }
        }
        ahead
    }

    /// The probability that an expectation of room on the rack is right.
    pub fn share(&self, rack: &Label, now: Time) -> f64 {
        self.reliability.get(rack).copied().unwrap_or_default().share(now)
    }

    /// Removes the wait of a step.
    pub fn remove(&mut self, key: &StepKey) -> Option<Wait> {
        self.queue(key, 0);
        self.steps.remove(key)
    }

    /// Removes the waits of a job.
    pub fn remove_job(&mut self, id: JobId) {
        let steps: Vec<_> = self.steps.range(id.steps()).map(|(key, _)| *key).collect();
        for key in steps {
            self.remove(&key);
        }
    }

    /// The steps whose waits have ended since the last call.
    pub fn expire(&mut self, now: Time) -> Vec<StepKey> {
        let mut expired = Vec::new();
        while let Some((_, key)) = self.ends.first().copied().filter(|(until, _)| *until <= now) {
            self.queue(&key, 0);
            expired.push(key);
        }
        expired
    }

    /// The first end of a wait.
    pub fn next_end(&self) -> Option<Time> {
        self.ends.first().map(|(until, _)| *until)
    }

    /// The number of tasks that wait.
    pub fn tasks(&self) -> usize {
        self.queues.values().flat_map(BTreeMap::values).sum()
    }

    /// The number of steps with tasks that wait.
    pub fn waiting_steps(&self) -> usize {
        self.ends.len()
    }

    /// Forgets racks whose outcomes are long past.
    pub fn forget(&mut self, now: Time) {
        self.reliability.retain(|_, known| known.decayed(now).total >= MIN_OUTCOMES);
    }
}
