//! How long heartbeats are held open, and when workers send the next ones.
//!
//! A worker whose heartbeat is held receives a start at once, but it reports the end of a run only after the
//! heartbeat has been answered.

use std::time::Duration;

use crate::{
    jobs::{
        controller::leader::Leader, fleet::Worker, model::WorkerNumber, placement::may_run,
        pool::Room, rank::Class,
    },
    time::Time,
};

/// The heartbeat interval of a worker that takes no start before a run ends there. A run that ends triggers
/// a heartbeat earlier.
const FULL_INTERVAL: Duration = Duration::from_millis(900);

/// The heartbeat interval of a worker that has both opportunistic and serving tasks.
const MIXED_INTERVAL: Duration = Duration::from_millis(150);

/// The heartbeat interval of a worker with free capacity, or with more ends than it lists.
pub(super) const FREE_INTERVAL: Duration = Duration::from_millis(25);

/// The heartbeat interval of a leaving worker. It is short, since the ends of its runs must be
/// reported before it is gone.
pub(super) const LEAVING_INTERVAL: Duration = Duration::from_millis(200);

/// The heartbeat interval of a worker that stops a run while a long-running task waits for room there. It is
/// shorter than the time after which a worker reports an end by itself.
const STOPPING_INTERVAL: Duration = Duration::from_millis(25);

/// A heartbeat isn't held if a run is expected to end within this time, so that the worker can
/// report the end with its next heartbeat.
const END_NEAR: Duration = Duration::from_millis(120);

/// The maximum hold time for a worker that has both opportunistic and serving tasks: its next
/// measurements tell whether the paces are right.
const MAX_HOLD_MIXED: Duration = Duration::from_millis(300);

/// The maximum hold time while a run is past its estimated end, since it may end at any time, or while a
/// long-running task waits for any run to end.
const MAX_HOLD_OVERDUE: Duration = Duration::from_millis(250);

/// The heartbeat interval of a worker on probation, and the maximum hold time of its heartbeats:
/// nothing else starts there until its runs have settled.
const PROBATION_INTERVAL: Duration = Duration::from_millis(100);

/// The number of steps that are asked whether they wait for a worker, which every heartbeat does.
const MAX_AWAITING: usize = 256;

/// A worker counts as crowded if a smaller percentage of its processors or of its memory than this is free.
const CROWDED_BELOW_PERCENT: u64 = 25;

/// A worker counts as full if a smaller percentage of its processors than this is unused.
const FULL_BELOW_PERCENT: u64 = 5;

impl Leader {
    /// How long a heartbeat of this worker may be held open.
    pub(super) fn hold_time(&self, number: WorkerNumber, now: Time) -> Duration {
        let Some(worker) = self.fleet.workers.get(&number) else { return Duration::ZERO };
        let max = if worker.probation.is_some() {
            self.timing.max_hold.min(PROBATION_INTERVAL)
        } else if worker.is_mixed() {
            self.timing.max_hold.min(MAX_HOLD_MIXED)
        } else {
            self.timing.max_hold
        };
        if worker.is_leaving() || !worker.renews_lease() || worker.more_ends {
            return Duration::ZERO;
        }
        let ends = worker.runs.values().filter_map(|view| view.expected_end());
        let uncertain = ends.clone().any(|end| end <= now) || self.is_awaited(worker);
        let max = if uncertain { max.min(MAX_HOLD_OVERDUE) } else { max };
        let Some(next) = ends.filter(|end| *end > now).min() else {
            return max;
        };
        let until = now.until(next);
        if until < END_NEAR { Duration::ZERO } else { until.min(max) }
    }

    /// Whether the worker's heartbeat is answered although nothing is to be sent: a long-running task waits for
    /// the end of a run there, and other tasks find hardly any room.
    pub(super) fn is_unheld(&self, worker: &Worker) -> bool {
        is_crowded(worker) && self.is_awaited(worker)
    }

    /// Whether a long-running task that has run before waits until runs on the worker end. Any run may end
    /// early.
    fn is_awaited(&self, worker: &Worker) -> bool {
        if worker.evacuated {
            return false;
        }
        let room = Room::left(worker);
        let mut steps = self.waiting.of_class(Class::Restarted).take(MAX_AWAITING);
        steps.any(|waiting| {
            let Some(request) = self.request(&waiting.key) else { return false };
            // The other members of a gang need room, too.
            (request.step.options.gang || !room.fits(&waiting.demand))
                && worker.capacity().fits(&waiting.demand.reserved)
                && may_run(worker, &request)
        })
    }

    /// The time until the next heartbeat of the worker, whose last one is answered now.
    pub(super) fn heartbeat_interval(&self, worker: &Worker, now: Time) -> Duration {
        if worker.more_ends && !worker.blocked {
            return FREE_INTERVAL;
        }
        if worker.is_leaving() {
            return LEAVING_INTERVAL;
        }
        if worker.probation.is_some() {
            return PROBATION_INTERVAL;
        }
        let unheld = self.is_unheld(worker);
        if unheld && worker.is_stopping() {
            return STOPPING_INTERVAL;
        }
        if worker.is_mixed() {
            // Includes the time for which the heartbeat wasn't held.
            return if unheld { MIXED_INTERVAL + MAX_HOLD_MIXED } else { MIXED_INTERVAL };
        }
        if !worker.confirmed {
            return FREE_INTERVAL;
        }
        let capacity = worker.capacity().millicores;
        let is_full =
            worker.unused().saturating_mul(100) < capacity.saturating_mul(FULL_BELOW_PERCENT);
        // One that is evacuated receives starts as soon as the evacuation is cancelled.
        let takes_none = !worker.is_usable(now) && !worker.evacuated;
        if unheld || is_full || takes_none { FULL_INTERVAL } else { FREE_INTERVAL }
    }
}

/// Whether little of the worker's processors or memory is free.
fn is_crowded(worker: &Worker) -> bool {
    let (free, capacity) = (worker.free(), worker.capacity());
    let is_scarce = |free: u64, total: u64| {
        free.saturating_mul(100) < total.saturating_mul(CROWDED_BELOW_PERCENT)
    };
    is_scarce(free.millicores, capacity.millicores)
        || is_scarce(free.memory_mib, capacity.memory_mib)
}
