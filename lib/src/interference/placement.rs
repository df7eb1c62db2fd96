//! The placement of a try on a worker, and what was seen of it.

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

/// The weight of a new sample in a batch task's running natural use.
const USAGE_WEIGHT: f64 = 0.2;
/// The weight of a new sample in a replica's running level.
const LEVEL_WEIGHT: f64 = 0.4;

/// A sample that waits for the next decision; ordered by its time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Pending {
    /// When it was taken.
    pub(crate) taken: Time,
    /// The try.
    pub(crate) attempt: TaskAttempt,
    /// The 99th percentile of a replica's latency; nothing for batch tasks.
    pub(crate) latency: Option<Duration>,
    /// The processors it used, in thousandths.
    pub(crate) millicores: u64,
    /// What the worker saw beside a replica, in order.
    pub(crate) beside: Vec<TaskAttempt>,
}

/// A sample that counted, as it is remembered.
#[derive(Clone, Copy, Debug)]
struct SampleKey {
    taken: Time,
    /// A hash of what it said.
    digest: u64,
}

/// A try's placement on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    /// The try.
    pub(crate) attempt: TaskAttempt,
    /// When it was placed.
    pub(crate) since: Time,
    /// When it left, if it has.
    pub(crate) until: Option<Time>,
    /// What it does.
    pub(crate) workload: Workload,
}

/// What a try does on a worker.
#[derive(Clone, Debug)]
pub(crate) enum Workload {
    /// A service's replica.
    Service(Replica),
    /// Batch work.
    Batch(Batch),
}

/// What is known of a replica.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    /// The service's number; nothing if there are too many to tell apart.
    pub(crate) service: Option<u32>,
    /// What its customer's plan weighs decisions by.
    pub(crate) objective: Objective,
    /// The processors it holds, in thousandths.
    millicores: u64,
    /// The logarithm of the good latency in seconds.
    good: f64,
    /// The logarithm of the latency that its neighbours don't account for; nothing before the
    /// first sample.
    level: Option<f64>,
    /// What its neighbours account for, as the logarithm of the slowdown.
    pub(crate) harm: f64,
    /// When the newest sample was taken, or else when the replica was placed.
    newest: Time,
    /// The last samples that counted.
    recent: Vec<SampleKey>,
}

/// What is known of a batch task.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    /// The kind's number; nothing if there are too many to tell apart.
    pub(crate) kind: Option<u32>,
    /// How often it may still be evicted.
    pub(crate) evictions: u32,
    /// What is done with it.
    pub(crate) control: Control,
    /// The processors it holds, in thousandths.
    millicores: u64,
    /// The processors it uses when nothing limits it, in thousandths; nothing if that isn't known.
    natural: Option<f64>,
    /// The part of its natural use that each throttle left it, with the time it was asked for.
    throttles: Vec<(Time, f64)>,
}

impl Pending {
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
    /// Whether both are one sample that was delivered twice.
    fn is_duplicate_of(&self, other: &Self) -> bool {
        let apart = self.taken.since(other.taken).max(other.taken.since(self.taken));
        apart.is_zero() || (self.digest == other.digest && apart < DUPLICATE_WINDOW)
    }
}

impl Placement {
    /// The placement of a try that is placed now; `number` is that of its service or kind.
    pub(crate) fn new(now: Time, neighbour: &Neighbour, number: Option<u32>) -> Self {
        let objective = neighbour.objective;
        let workload = match &neighbour.role {
            Role::Service { service: _, latency } => Workload::Service(Replica {
                service: number,
                objective,
                millicores: neighbour.size.millicores,
                good: latency.as_secs_f64().max(f64::MIN_POSITIVE).ln(),
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
                natural: None,
                throttles: Vec::new(),
            }),
        };
        Self { attempt: neighbour.attempt, since: now, until: None, workload }
    }

    /// Whether the try was there at `time`, give or take the time that messages take.
    pub(crate) fn covers(&self, time: Time) -> bool {
        time + MAX_SKEW >= self.since && self.until.is_none_or(|until| time <= until + MAX_SKEW)
    }

    /// The batch task, if it is one.
    pub(crate) fn batch(&self) -> Option<&Batch> {
        match &self.workload {
            Workload::Service(_) => None,
            Workload::Batch(batch) => Some(batch),
        }
    }

    /// The batch task, if it is one.
    pub(crate) fn batch_mut(&mut self) -> Option<&mut Batch> {
        match &mut self.workload {
            Workload::Service(_) => None,
            Workload::Batch(batch) => Some(batch),
        }
    }

    /// The replica, if it is one.
    pub(crate) fn replica(&self) -> Option<&Replica> {
        match &self.workload {
            Workload::Service(replica) => Some(replica),
            Workload::Batch(_) => None,
        }
    }

    /// The replica, if it is one.
    pub(crate) fn replica_mut(&mut self) -> Option<&mut Replica> {
        match &mut self.workload {
            Workload::Service(replica) => Some(replica),
            Workload::Batch(_) => None,
        }
    }
}

impl Replica {
    /// Counts a sample; false if it was counted before.
    pub(crate) fn admit(&mut self, pending: &Pending) -> bool {
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

    /// The load: the processors used, over those held.
    pub(crate) fn load(&self, millicores: u64) -> f64 {
        millicores as f64 / self.millicores.max(1) as f64
    }

    /// Follows the level by a sample whose neighbours account for `harm` of its latency; a sample
    /// older than the newest says nothing of the present.
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

    /// The logarithm of the expected latency over the good latency; nothing if no sample is new
    /// enough.
    pub(crate) fn ratio(&self, now: Time) -> Option<f64> {
        let level = self.level.filter(|_| now.since(self.newest) < STALE_AFTER)?;
        Some(level + self.harm - self.good)
    }

    /// The expected latency over the good latency, guessed if no sample is new enough.
    pub(crate) fn expected(&self, now: Time) -> f64 {
        self.ratio(now).map_or_else(|| DEFAULT_ALONE_RATIO * self.harm.exp(), f64::exp)
    }

    /// Whether a ratio, as [`Self::ratio`] gives it, means that the service is degraded.
    pub(crate) fn is_degraded(&self, ratio: f64) -> bool {
        ratio > degraded_ratio(self.objective).ln()
    }

    /// Whether a ratio, as [`Self::ratio`] gives it, leaves slack.
    pub(crate) fn has_slack(&self, ratio: f64) -> bool {
        ratio < slack_ratio(self.objective).ln()
    }

    /// Whether a sample may still come that would tell the ratio.
    pub(crate) fn awaits_sample(&self, now: Time) -> bool {
        self.level.is_none() && now.since(self.newest) < STALE_AFTER
    }

    /// Whether the newest sample was taken after an action at `time` could show.
    pub(crate) fn sampled_after(&self, time: Time) -> bool {
        self.level.is_some() && self.newest >= time + ACTION_DELAY
    }
}

impl Batch {
    /// Learns the natural use from a sample that was taken while nothing limited the task.
    pub(crate) fn observe(&mut self, taken: Time, millicores: u64) {
        if self.amount_at(taken) < 1.0 || millicores == 0 {
            return;
        }
        let used = millicores as f64;
        let natural = self.natural.unwrap_or(used);
        self.natural = Some(natural + USAGE_WEIGHT * (used - natural));
    }

    /// The part of its natural use that it could use at `time`.
    pub(crate) fn amount_at(&self, time: Time) -> f64 {
        let throttle = self.throttles.iter().rev().find(|(since, _)| *since <= time);
        throttle.map_or(1.0, |(_, amount)| *amount)
    }

    /// The part of its natural use that it may use now.
    pub(crate) fn amount(&self) -> f64 {
        self.throttles.last().map_or(1.0, |(_, amount)| *amount)
    }

    /// How much more it would use after a step up.
    pub(crate) fn raise(&self) -> f64 {
        (f64::from(self.control.raised()) / f64::from(FULL_PERMILLE) - self.amount()).max(0.0)
    }

    /// The throttle, in thousandths of its size, that leaves it `permille` thousandths of its
    /// natural use; remembers what that leaves it.
    pub(crate) fn throttle(&mut self, now: Time, permille: u32) -> u32 {
        let size = self.millicores.max(1) as f64;
        let natural = self.natural.unwrap_or(size);
        let (permille, amount) = if permille >= FULL_PERMILLE {
            (FULL_PERMILLE, 1.0)
        } else {
            let wanted = (f64::from(permille) * natural / size).round() as u32;
            let permille = wanted.clamp(1, FULL_PERMILLE - 1);
            (permille, (f64::from(permille) / f64::from(FULL_PERMILLE) * size / natural).min(1.0))
        };
        if self.throttles.len() >= MAX_THROTTLES {
            self.throttles.remove(0);
        }
        self.throttles.push((now, amount));
        permille
    }
}
