//! When room for tasks is expected on the workers of a rack.

use std::time::Duration;

use crate::{
    jobs::{
        fleet::{RunView, Worker},
        model::TaskKey,
        pool::Room,
        waiting::Demand,
    },
    time::Time,
};

/// The interval between two heartbeats of a worker without news.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

/// The progress up to which the end of a run follows from its estimate alone, in percent. A whole percent and
/// the delay of its start are too large a part of it.
const MIN_PERCENT: u8 = 5;

/// The progress from which the end of a run follows from its progress alone, in percent.
const RELIABLE_PERCENT: u8 = 25;

/// The progress of a run that is done, in percent.
const FULL_PERCENT: u8 = 100;

/// How long a run takes to stop: the longest time that the users' tasks need for it.
const STOP_TIME: Duration = Duration::from_millis(900);

/// The least time that a run which should have ended is expected to need.
const MIN_OVERRUN: Duration = Duration::from_millis(100);

/// When a run is expected to end; `None` if it lasts. `factor` is how many times as long as estimated it
/// takes where it runs.
///
/// Progress counts more than the customer's estimate, which may be off by 90 %. A run that should have ended
/// is expected to take as long again as it is overdue.
pub fn expected_end(view: &RunView, now: Time, factor: f64) -> Option<Time> {
    if view.stopping {
        return Some(now + STOP_TIME);
    }
    if view.long_running {
        return None;
    }
    // A customer's estimate may be as large as it likes.
    let estimate = view.estimate.as_secs_f64() * factor;
    let estimate = Duration::try_from_secs_f64(estimate).unwrap_or(Duration::MAX);
    let elapsed = view.progressed_at.since(view.since);
    let end = if view.restored {
        // When it started isn't known.
        let left = u32::from(FULL_PERCENT.saturating_sub(view.percent));
        view.progressed_at + estimate.saturating_mul(left) / u32::from(FULL_PERCENT)
    } else if view.percent > MIN_PERCENT {
        let whole = elapsed.saturating_mul(u32::from(FULL_PERCENT)) / u32::from(view.percent);
        let span = u32::from(RELIABLE_PERCENT - MIN_PERCENT);
        let weight = u32::from(view.percent.min(RELIABLE_PERCENT) - MIN_PERCENT);
        let rest = span - weight;
        let sum = whole.saturating_mul(weight).saturating_add(estimate.saturating_mul(rest));
        view.since + sum / span
    } else {
        view.since + estimate
    };
    let overdue = now.since(end);
    Some(if end > now { end } else { now + overdue.max(MIN_OVERRUN) })
}

/// Room for tasks of one kind on one or several workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Forecast {
    /// The number of tasks for which workers have room now that can start any task.
    pub present: usize,
    /// When room for one more task is expected, in order.
    pub later: Vec<Time>,
}

impl Forecast {
    /// Adds a worker that can start tasks, with room for at most `max` of them. `end` tells when a run is
    /// expected to end; `None` if it lasts.
    pub fn add(
        &mut self,
        worker: &Worker,
        now: Time,
        (demand, max): (&Demand, usize),
        end: impl Fn(&TaskKey, &RunView) -> Option<Time>,
    ) {
        let mut room = Room::left(worker);
        let mut left = max;
        let present = fill(&mut room, demand, &mut left);
        if demand.patient || worker.held.is_some() {
            self.present += present;
        } else {
            // It can start them with the answer to its next heartbeat.
            let next = (worker.last_heartbeat + HEARTBEAT_INTERVAL).max(now);
            self.later.extend(std::iter::repeat_n(next, present));
        }
        let runs = worker.runs.iter();
        let mut ends: Vec<_> =
            runs.filter_map(|(task, view)| Some((end(task, view)?, *task, view))).collect();
        ends.sort_unstable_by_key(|(at, task, _)| (*at, *task));
        for (at, _, view) in ends {
            room.free = room.free.saturating_add(&view.reserved);
            let processors = view.reserved.millicores.saturating_add(view.demand);
            room.unused = room.unused.saturating_add(processors);
            let more = fill(&mut room, demand, &mut left);
            self.later.extend(std::iter::repeat_n(at, more));
        }
    }

    /// Sorts the times after all workers were added.
    pub fn finish(&mut self) {
        self.later.sort_unstable();
    }

    /// When room for this task is expected, behind `ahead` others.
    pub fn after(&self, ahead: usize) -> Option<Time> {
        self.later.get(ahead).copied()
    }
}

/// Fills room with tasks, at most `left`. Returns their number.
fn fill(room: &mut Room, demand: &Demand, left: &mut usize) -> usize {
    let mut count = 0;
    while *left > 0 && room.fits(demand) {
        let processors = demand.unreserved.saturating_add(demand.reserved.millicores);
        room.free = room.free.saturating_sub(&demand.reserved);
        room.unused = room.unused.saturating_sub(processors);
        *left -= 1;
        count += 1;
    }
    count
}
