//! Bounds and thresholds of the interference policy, some of them by objective.

use std::time::Duration;

use crate::policy::Objective;

/// The control interval, at which decisions are made.
pub(crate) const INTERVAL: Duration = Duration::from_secs(1);
/// How long an ended placement is retained. Older samples are dropped.
pub(crate) const RETENTION: Duration = Duration::from_secs(60);
/// How far a sample's time may lie outside the recorded placement, because of message delays.
pub(crate) const MAX_SKEW: Duration = Duration::from_secs(1);
/// Equal samples of an attempt taken within this time count as one sample delivered twice.
pub(crate) const DUPLICATE_WINDOW: Duration = Duration::from_millis(900);
/// How long an action takes to affect the latency. Earlier samples don't show its effect.
pub(crate) const ACTION_DELAY: Duration = Duration::from_millis(500);
/// The age from which a replica's last sample is no longer used.
pub(crate) const STALE_AFTER: Duration = Duration::from_secs(30);
/// How long a task without blame stays in the watching or cooling state.
pub(crate) const COOL_DOWN: Duration = Duration::from_secs(15);
/// How long a stop may take before it counts as overdue.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a throttle is first held although a step up is expected to degrade a service. After
/// that the step is tried to see whether the estimate still applies.
pub(crate) const THROTTLE_HOLD: Duration = Duration::from_secs(30);
/// The maximum number of times that the hold doubles.
pub(crate) const MAX_HOLD_DOUBLINGS: u32 = 6;

/// The maximum number of buffered samples per worker.
pub(crate) const MAX_PENDING: usize = 512;
/// The maximum number of ended placements retained per worker.
pub(crate) const MAX_ENDED: usize = 64;
/// The maximum number of services with estimates of their own.
pub(crate) const MAX_SERVICES: usize = 512;
/// The maximum number of kinds of batch tasks with estimates of their own.
pub(crate) const MAX_KINDS: usize = 2_048;
/// The maximum number of throttle changes retained per attempt.
pub(crate) const MAX_THROTTLES: usize = 16;
/// The number of samples retained per replica to detect duplicates.
pub(crate) const MAX_RECENT: usize = 16;

/// The value of a throttle that has no effect, in thousandths.
pub(crate) const FULL_PERMILLE: u32 = 1_000;
/// The size of a throttle step up, in thousandths.
pub(crate) const STEP_UP_PERMILLE: u32 = 400;
/// One move may be in progress for each this many workers, and always at least one.
pub(crate) const WORKERS_PER_MOVE: usize = 24;
/// The approximate number of workers scanned for a better placement.
pub(crate) const SCANNED_WORKERS: usize = 64;
/// Another worker is better if the expected increase of latency there is below this fraction of
/// the increase on the current worker.
pub(crate) const BETTER_RATIO: f64 = 0.25;

/// The number of samples required before an estimate may cause an action.
pub(crate) const MIN_SAMPLES: u32 = 12;
/// The lower confidence bound used for throttles, in standard deviations below the mean.
pub(crate) const THROTTLE_SIGMA: f64 = 1.0;
/// The lower confidence bound used for moves, in standard deviations below the mean.
pub(crate) const MOVE_SIGMA: f64 = 2.0;
/// The minimum harm, as the logarithm of the slowdown, for which a task is blamed.
pub(crate) const MIN_BLAMED_HARM: f64 = 0.3;
/// The minimum harm, as the logarithm of the slowdown, that justifies a move.
pub(crate) const MIN_MOVE_HARM: f64 = 0.25;

/// The assumed latency of a service without samples or neighbours, as a fraction of its latency
/// objective.
pub(crate) const DEFAULT_ALONE_RATIO: f64 = 0.5;

/// A service is degraded when its latency exceeds this fraction of its latency objective.
pub(crate) fn degraded_ratio(objective: Objective) -> f64 {
    match objective {
        Objective::Latency => 1.0,
        Objective::Throughput => 1.6,
    }
}

/// A throttle is raised only if the latency is expected to stay below this fraction of the latency
/// objective.
pub(crate) fn slack_ratio(objective: Objective) -> f64 {
    match objective {
        Objective::Latency => 0.85,
        Objective::Throughput => 1.3,
    }
}

/// The weight of an increase of a service's latency in placement decisions.
pub(crate) fn harm_weight(objective: Objective) -> f64 {
    match objective {
        Objective::Latency => 1.0,
        Objective::Throughput => 0.5,
    }
}

/// The size of a throttle step down, in thousandths.
pub(crate) fn step_down(objective: Objective) -> u32 {
    match objective {
        Objective::Latency => 250,
        Objective::Throughput => 150,
    }
}

/// The lowest throttle, in thousandths.
pub(crate) fn floor(objective: Objective) -> u32 {
    match objective {
        Objective::Latency => 400,
        Objective::Throughput => 500,
    }
}

/// How long a batch task must be at its floor before it may be moved.
pub(crate) fn min_floor_time(objective: Objective) -> Duration {
    match objective {
        Objective::Latency => Duration::from_secs(5),
        Objective::Throughput => Duration::from_secs(30),
    }
}
