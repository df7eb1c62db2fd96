//! The true load and interference of a data centre. Among the strategies, only the oracle uses it.

use crate::experiment::{
    random::Random,
    setup::{KINDS, SERVICES},
};

/// The fraction of kinds that are noisy.
const NOISY_FRACTION: f64 = 0.3;
/// The probability that a kind turns from noisy to quiet or back at the load shift.
const FLIP_PROBABILITY: f64 = 0.25;
/// The limit that the total harm of all neighbours approaches, as the logarithm of the slowdown.
const MAX_HARM: f64 = 2.5;
/// The factor by which the load of every service grows at the load shift.
const SHIFT_FACTOR: f64 = 1.25;
/// The variation between requests, as the standard deviation of the logarithm of the latency.
pub(crate) const LATENCY_DEVIATION: f64 = 0.35;
/// The ratio of a service's latency objective to its median latency when idle.
const OBJECTIVE_FACTOR: f64 = 8.0;

/// The true state of a data centre.
#[derive(Clone, Debug)]
pub(crate) struct GroundTruth {
    services: Vec<Service>,
    kinds: Vec<Kind>,
    shift_at: u64,
    shifted: bool,
    random: Random,
}

#[derive(Clone, Debug)]
struct Service {
    /// The median latency when idle, in seconds.
    median: f64,
    /// The phase of the periodic load, in radians.
    phase: f64,
}

#[derive(Clone, Debug)]
struct Kind {
    noisy: bool,
    /// The fraction of its harm that throttling does not reduce.
    unthrottled: f64,
    /// The harm of one task to each service, as the logarithm of the slowdown.
    harms: [f64; SERVICES],
}

impl Kind {
    fn random(random: &mut Random, noisy: bool) -> Self {
        let mut harms = [0.0; SERVICES];
        for harm in &mut harms {
            let affected = noisy && random.chance(0.5);
            *harm = if affected { random.between(0.4, 1.2) } else { random.between(0.0, 0.06) };
        }
        Self { noisy, unthrottled: random.between(0.0, 0.3), harms }
    }
}

impl GroundTruth {
    /// The initial state of a data centre; the load shifts at `shift_at`, in seconds.
    pub(crate) fn new(seed: u64, shift_at: u64) -> Self {
        let mut random = Random::new(seed, 1);
        let services = (0..SERVICES)
            .map(|_| Service {
                median: random.between(0.002, 0.006),
                phase: random.between(0.0, std::f64::consts::TAU),
            })
            .collect();
        let noisy = (KINDS as f64 * NOISY_FRACTION).round() as usize;
        let kinds = (0..KINDS).map(|kind| Kind::random(&mut random, kind < noisy)).collect();
        Self { services, kinds, shift_at, shifted: false, random }
    }

    /// Performs the load shift if it is due.
    pub(crate) fn advance(&mut self, second: u64) {
        if self.shifted || second < self.shift_at {
            return;
        }
        self.shifted = true;
        for kind in 0..KINDS {
            if self.random.chance(FLIP_PROBABILITY) {
                let noisy = !self.kinds[kind].noisy;
                self.kinds[kind] = Kind::random(&mut self.random, noisy);
            }
        }
    }

    /// The kinds that are currently noisy.
    pub(crate) fn noisy(&self) -> Vec<usize> {
        (0..KINDS).filter(|kind| self.kinds[*kind].noisy).collect()
    }

    /// The load of a service: the fraction of its replicas' processors that requests use.
    pub(crate) fn load(&self, service: usize, second: u64) -> f64 {
        let angle = std::f64::consts::TAU * second as f64 / 1_200.0;
        let wave = 0.5 + 0.15 * (angle + self.services[service].phase).sin();
        let shift = if self.shifted { SHIFT_FACTOR } else { 1.0 };
        (wave * shift).min(0.9)
    }

    /// The latency objective of a service, in seconds; requests within it are good.
    pub(crate) fn objective(&self, service: usize) -> f64 {
        self.services[service].median * OBJECTIVE_FACTOR
    }

    /// The harm of a task to a service, before saturation, while the task runs at the fraction
    /// `activity` of its full speed.
    pub(crate) fn harm(&self, service: usize, kind: usize, activity: f64) -> f64 {
        let kind = &self.kinds[kind];
        kind.harms[service] * (kind.unthrottled + (1.0 - kind.unthrottled) * activity)
    }

    /// The median latency of a replica, in seconds. `harm` is the sum over its neighbours,
    /// `pressure` the processor demand on its worker relative to the capacity.
    pub(crate) fn median(&self, service: usize, load: f64, harm: f64, pressure: f64) -> f64 {
        let queueing = 1.0 / (1.0 - 0.7 * load);
        let harm = harm * (0.5 + load);
        let saturated = MAX_HARM * (1.0 - (-harm / MAX_HARM).exp());
        let contention = pressure.max(1.0).powf(1.5);
        self.services[service].median * queueing * saturated.exp() * contention
    }
}
