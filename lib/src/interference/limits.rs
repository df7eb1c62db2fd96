//! The bounds and thresholds of the policy, and how an objective shifts them.

use std::time::Duration;

use crate::policy::Objective;

/// The control interval: decisions are taken no more often.
pub(crate) const INTERVAL: Duration = Duration::from_secs(1);
/// How long a try that has left is remembered; older samples are dropped.
pub(crate) const RETENTION: Duration = Duration::from_secs(60);
/// How far a sample's time may lie outside a try's placement, because messages take time.
pub(crate) const MAX_SKEW: Duration = Duration::from_secs(1);
/// Equal samples of a try that are closer than this are one sample delivered twice.
pub(crate) const DUPLICATE_WINDOW: Duration = Duration::from_millis(900);
/// How long an action takes to show; samples taken sooner say nothing about it.
pub(crate) const ACTION_DELAY: Duration = Duration::from_millis(500);
/// Without a sample for this long nothing is known of a replica.
pub(crate) const STALE_AFTER: Duration = Duration::from_secs(30);
/// How long a task is watched or cooled before it counts as calm again.
pub(crate) const COOL_DOWN: Duration = Duration::from_secs(15);
/// How long a stop may take before it counts as overdue.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a throttle is held, against the estimate's advice, while services have slack.
pub(crate) const THROTTLE_HOLD: Duration = Duration::from_secs(30);
/// The hold doubles with each relapse at most this often.
pub(crate) const MAX_RELAPSES: u32 = 6;

/// Samples that wait for the next decision, at most, on one worker.
pub(crate) const MAX_PENDING: usize = 512;
/// Tries that have left and are remembered, at most, on one worker.
pub(crate) const MAX_ENDED: usize = 64;
/// Services that are told apart, at most.
pub(crate) const MAX_SERVICES: usize = 512;
/// Kinds of batch tasks that are told apart, at most.
pub(crate) const MAX_KINDS: usize = 2_048;
/// Changes of a try's throttle that are remembered, at most.
pub(crate) const MAX_THROTTLES: usize = 16;
/// Samples of a replica that are remembered to know duplicates by.
pub(crate) const MAX_RECENT: usize = 16;

/// A throttle that limits nothing, in thousandths.
pub(crate) const FULL_PERMILLE: u32 = 1_000;
/// A step up, in thousandths.
pub(crate) const STEP_UP_PERMILLE: u32 = 400;
/// Moves that may be under way at once: one for each this many workers, and at least one.
pub(crate) const WORKERS_PER_MOVE: usize = 24;
/// Workers that are looked at for a better place, about.
pub(crate) const SCANNED_WORKERS: usize = 64;
/// A place is better if the rise of latency there is below this part of the rise here.
pub(crate) const BETTER_RATIO: f64 = 0.25;

/// Samples of a pair before its estimate may cause an action.
pub(crate) const MIN_SAMPLES: u32 = 12;
/// Standard deviations that an estimate must lie above zero to cause a throttle.
pub(crate) const THROTTLE_SIGMA: f64 = 1.0;
/// Standard deviations that an estimate must lie above [`CERTAIN_HARM`] to cause a move.
pub(crate) const MOVE_SIGMA: f64 = 2.0;
/// The least harm, as the logarithm of the slowdown, that can be blamed.
pub(crate) const BLAMED_HARM: f64 = 0.3;
/// The least harm, as the logarithm of the slowdown, that is worth an eviction.
pub(crate) const CERTAIN_HARM: f64 = 0.25;

/// The part of its good latency that a service without samples is taken to have when alone.
pub(crate) const DEFAULT_ALONE_RATIO: f64 = 0.5;

/// A service is degraded when its latency is above this part of its good latency.
pub(crate) fn degraded_ratio(objective: Objective) -> f64 {
    match objective {
        Objective::Latency => 1.0,
        Objective::Throughput => 1.6,
    }
}

/// A throttle is eased when the latency is expected to placement below this part of the good latency.
pub(crate) fn slack_ratio(objective: Objective) -> f64 {
    match objective {
        Objective::Latency => 0.85,
        Objective::Throughput => 1.3,
    }
}

/// How much a rise of a service's latency weighs in a placement.
pub(crate) fn harm_weight(objective: Objective) -> f64 {
    match objective {
        Objective::Latency => 1.0,
        Objective::Throughput => 0.5,
    }
}

/// A step down of a batch task's throttle, in thousandths.
pub(crate) fn step_down(objective: Objective) -> u32 {
    match objective {
        Objective::Latency => 250,
        Objective::Throughput => 150,
    }
}

/// The lowest throttle of a batch task, in thousandths.
pub(crate) fn floor(objective: Objective) -> u32 {
    match objective {
        Objective::Latency => 400,
        Objective::Throughput => 500,
    }
}

/// How long a batch task placements at its floor before it may be moved.
pub(crate) fn floor_timeout(objective: Objective) -> Duration {
    match objective {
        Objective::Latency => Duration::from_secs(5),
        Objective::Throughput => Duration::from_secs(30),
    }
}
