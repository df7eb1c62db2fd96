//! The placement of an attempt on a worker, and what its samples showed.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use crate::{
    ids::TaskAttempt,
    interference::{
        control::Control,
        limits::{
            ACTION_DELAY, DEFAULT_ALONE_RATIO, DUPLICATE_WINDOW, FULL_PERMILLE, MAX_RECENT,
            MAX_SKEW, MAX_THROTTLES, STALE_AFTER, degraded_ratio, slack_ratio,
        },
        port::{Neighbour, Role},
    },
    policy::Objective,
    time::Time,
    worker::Sample,
};

/// The weight of a new sample in the moving average of a batch task's unthrottled usage.
const USAGE_WEIGHT: f64 = 0.2;
/// The weight of a new sample in the moving average of a replica's level.
const LEVEL_WEIGHT: f64 = 0.4;

/// A sample buffered for the next decision, ordered by the time at which it was taken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PendingSample {
    /// When it was taken.
    pub(crate) taken: Time,
    /// The attempt.
    pub(crate) attempt: TaskAttempt,
    /// The 99th percentile of a replica's latency; `None` for batch tasks.
    pub(crate) latency: Option<Duration>,
    /// The CPU that it used, in thousandths of a core.
    pub(crate) millicores: u64,
    /// The attempts that ran beside a replica, sorted.
    pub(crate) beside: Vec<TaskAttempt>,
}

/// The identity of a processed sample, used to detect duplicates.
#[derive(Clone, Copy, Debug)]
struct SampleKey {
    taken: Time,
    /// A hash of its contents.
    digest: u64,
}

/// The placement of an attempt on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    /// The attempt.
    pub(crate) attempt: TaskAttempt,
    /// When the attempt was placed.
    pub(crate) since: Time,
    /// When the attempt left, if it has.
    pub(crate) until: Option<Time>,
    /// What the attempt runs.
    pub(crate) workload: Workload,
}

/// What an attempt runs, with what is known of it.
#[derive(Clone, Debug)]
pub(crate) enum Workload {
    /// A replica of a service.
    Service(Replica),
    /// A batch task.
    Batch(Batch),
}

/// The state of a replica.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    /// The service's number; `None` if there are too many services.
    pub(crate) service: Option<u32>,
    /// The objective of its customer's plan.
    pub(crate) objective: Objective,
    /// The CPU reserved for it, in thousandths of a core.
    millicores: u64,
    /// The logarithm of the latency objective in seconds.
    log_objective: f64,
    /// The logarithm of the latency in seconds without the harm of its neighbours; `None` before
    /// the first sample.
    level: Option<f64>,
    /// The harm of its neighbours, as the logarithm of the slowdown.
    pub(crate) harm: f64,
    /// When the newest sample was taken, or when the replica was placed if there is none.
    newest: Time,
    /// The keys of the last processed samples.
    recent: Vec<SampleKey>,
}

/// The state of a batch task.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    /// The kind's number; `None` if there are too many kinds.
    pub(crate) kind: Option<u32>,
    /// The number of evictions left.
    pub(crate) evictions: u32,
    /// Its state machine.
    pub(crate) control: Control,
    /// The CPU reserved for it, in thousandths of a core.
    millicores: u64,
    /// The CPU that it uses unthrottled, in thousandths of a core, if known.
    unthrottled: Option<f64>,
    /// The fraction of its unthrottled usage allowed by each throttle, with the time at which the
    /// throttle was requested.
    throttles: Vec<(Time, f64)>,
}

impl PendingSample {
    /// A sample that arrived at `now`.
    pub(crate) fn new(now: Time, sample: &Sample) -> Self {
        let latency = sample.latency.filter(|latency| !latency.is_zero());
        let age = u64::try_from(sample.age.as_nanos()).unwrap_or(u64::MAX);
        let mut beside = Vec::new();
        if latency.is_some() {
            beside.extend_from_slice(&sample.beside);
            beside.sort_unstable();
            beside.dedup();
        }
        Self {
            taken: Time::from_nanos(now.as_nanos().saturating_sub(age)),
            attempt: sample.attempt,
            latency,
            millicores: sample.used.millicores,
            beside,
        }
    }

    fn key(&self) -> SampleKey {
        let mut hasher = DefaultHasher::new();
        self.latency.hash(&mut hasher);
        self.millicores.hash(&mut hasher);
        self.beside.hash(&mut hasher);
        SampleKey { taken: self.taken, digest: hasher.finish() }
    }
}

impl SampleKey {
    /// Whether both are the same sample, delivered twice.
    fn is_duplicate_of(&self, other: &Self) -> bool {
        let apart = self.taken.since(other.taken).max(other.taken.since(self.taken));
        apart.is_zero() || (self.digest == other.digest && apart < DUPLICATE_WINDOW)
    }
}

impl Placement {
    /// Creates a placement starting now; `number` is the number of its service or kind.
    pub(crate) fn new(now: Time, neighbour: &Neighbour, number: Option<u32>) -> Self {
        let objective = neighbour.objective;
        let workload = match &neighbour.role {
            Role::Service { service: _, latency } => Workload::Service(Replica {
                service: number,
                objective,
                millicores: neighbour.size.millicores,
                log_objective: latency.as_secs_f64().max(f64::MIN_POSITIVE).ln(),
                level: None,
                harm: 0.0,
                newest: now,
                recent: Vec::new(),
            }),
            Role::Batch { kind: _, evictions } => Workload::Batch(Batch {
                kind: number,
                evictions: *evictions,
                control: Control::new(now, objective),
                millicores: neighbour.size.millicores,
                unthrottled: None,
                throttles: Vec::new(),
            }),
        };
        Self { attempt: neighbour.attempt, since: now, until: None, workload }
    }

    /// Whether the attempt was on the worker at `time`, within the tolerance of [`MAX_SKEW`].
    pub(crate) fn covers(&self, time: Time) -> bool {
        time + MAX_SKEW >= self.since && self.until.is_none_or(|until| time <= until + MAX_SKEW)
    }

    /// The batch task; `None` for a replica.
    pub(crate) fn batch(&self) -> Option<&Batch> {
        match &self.workload {
            Workload::Service(_) => None,
            Workload::Batch(batch) => Some(batch),
        }
    }

    /// The batch task; `None` for a replica.
    pub(crate) fn batch_mut(&mut self) -> Option<&mut Batch> {
        match &mut self.workload {
            Workload::Service(_) => None,
            Workload::Batch(batch) => Some(batch),
        }
    }

    /// The replica; `None` for a batch task.
    pub(crate) fn replica(&self) -> Option<&Replica> {
        match &self.workload {
            Workload::Service(replica) => Some(replica),
            Workload::Batch(_) => None,
        }
    }

    /// The replica; `None` for a batch task.
    pub(crate) fn replica_mut(&mut self) -> Option<&mut Replica> {
        match &mut self.workload {
            Workload::Service(replica) => Some(replica),
            Workload::Batch(_) => None,
        }
    }
}

impl Replica {
    /// Registers a sample; returns false if it is a duplicate.
    pub(crate) fn admit(&mut self, pending: &PendingSample) -> bool {
        let key = pending.key();
        if self.recent.iter().any(|recent| recent.is_duplicate_of(&key)) {
            return false;
        }
        if self.recent.len() >= MAX_RECENT {
            self.recent.remove(0);
        }
        self.recent.push(key);
        true
    }

    /// The load: the CPU used as a fraction of the CPU reserved.
    pub(crate) fn load(&self, millicores: u64) -> f64 {
        millicores as f64 / self.millicores.max(1) as f64
    }

    /// Updates the level from a sample with the log latency `latency`, of which the neighbours
    /// cause `harm`. Ignores samples older than the newest.
    pub(crate) fn observe(&mut self, taken: Time, latency: f64, harm: f64) {
        if self.level.is_some() && taken <= self.newest {
            return;
        }
        let own = latency - harm;
        self.level = match self.level {
            Some(level) if taken.since(self.newest) < STALE_AFTER => {
                Some(level + LEVEL_WEIGHT * (own - level))
            }
            Some(_) | None => Some(own),
        };
        self.newest = taken;
    }

    /// The logarithm of the expected latency relative to the latency objective; `None` if no sample
    /// is recent enough.
    pub(crate) fn ratio(&self, now: Time) -> Option<f64> {
        let level = self.level.filter(|_| now.since(self.newest) < STALE_AFTER)?;
        Some(level + self.harm - self.log_objective)
    }

    /// The expected latency relative to the latency objective, with a default level if no sample is
    /// recent enough.
    pub(crate) fn expected(&self, now: Time) -> f64 {
        self.ratio(now).map_or_else(|| DEFAULT_ALONE_RATIO * self.harm.exp(), f64::exp)
    }

    /// Whether a ratio from [`Self::ratio`] means that the service is degraded.
    pub(crate) fn is_degraded(&self, ratio: f64) -> bool {
        ratio > degraded_ratio(self.objective).ln()
    }

    /// Whether a ratio from [`Self::ratio`] leaves slack.
    pub(crate) fn has_slack(&self, ratio: f64) -> bool {
        ratio < slack_ratio(self.objective).ln()
    }

    /// Whether no sample has arrived yet, but one is still expected.
    pub(crate) fn awaits_sample(&self, now: Time) -> bool {
        self.level.is_none() && now.since(self.newest) < STALE_AFTER
    }

    /// Whether the newest sample was taken after an action at `time` took effect.
    pub(crate) fn sampled_after(&self, time: Time) -> bool {
        self.level.is_some() && self.newest >= time + ACTION_DELAY
    }
}

impl Batch {
    /// Updates the unthrottled usage from a sample taken while the task wasn't throttled.
    pub(crate) fn observe(&mut self, taken: Time, millicores: u64) {
        if self.amount_at(taken) < 1.0 || millicores == 0 {
            return;
        }
        let used = millicores as f64;
        let unthrottled = self.unthrottled.unwrap_or(used);
        self.unthrottled = Some(unthrottled + USAGE_WEIGHT * (used - unthrottled));
    }

    /// The fraction of its unthrottled usage that it was allowed at `time`.
    pub(crate) fn amount_at(&self, time: Time) -> f64 {
        let throttle = self.throttles.iter().rev().find(|(since, _)| *since <= time);
        throttle.map_or(1.0, |(_, amount)| *amount)
    }

    /// The fraction of its unthrottled usage that it is allowed now.
    pub(crate) fn amount(&self) -> f64 {
        self.throttles.last().map_or(1.0, |(_, amount)| *amount)
    }

    /// The increase of the allowed fraction by a step up.
    pub(crate) fn raise(&self) -> f64 {
        (f64::from(self.control.raised()) / f64::from(FULL_PERMILLE) - self.amount()).max(0.0)
    }

    /// Converts a throttle from thousandths of the unthrottled usage to thousandths of the reserved
    /// CPU, and records the resulting fraction of the usage.
    pub(crate) fn throttle(&mut self, now: Time, permille: u32) -> u32 {
        let size = self.millicores.max(1) as f64;
        let unthrottled = self.unthrottled.unwrap_or(size);
        let (permille, amount) = if permille >= FULL_PERMILLE {
            (FULL_PERMILLE, 1.0)
        } else {
            let wanted = (f64::from(permille) * unthrottled / size).round() as u32;
            let permille = wanted.clamp(1, FULL_PERMILLE - 1);
            (
                permille,
                (f64::from(permille) / f64::from(FULL_PERMILLE) * size / unthrottled).min(1.0),
            )
        };
        if self.throttles.len() >= MAX_THROTTLES {
            self.throttles.remove(0);
        }
        self.throttles.push((now, amount));
        permille
    }
}
