//! Estimates from samples how much each kind of batch task slows each service.
//!
//! The logarithm of a replica's latency is modelled as the service's own level at its load plus
//! one term for each kind of task beside it, multiplied by the amount of that kind. The terms are
//! estimated by a Kalman filter with a diagonal covariance: each has a mean and a variance, and
//! the cost of a sample is proportional to the number of kinds beside the replica. Variances grow
//! with time, so that old samples lose weight.

use std::time::Duration;

use crate::{interference::limits::MIN_SAMPLES, time::Time};

/// The number of load bands with a level of their own.
const BANDS: usize = 8;
/// The prior variance of a pair's term, where a pair is a service and a kind.
const PAIR_PRIOR: f32 = 0.25;
/// The prior variance of a level.
const LEVEL_PRIOR: f32 = 1.0;
/// The growth of the variance of a pair's term per second.
const PAIR_DRIFT: f32 = 0.000_05;
/// The growth of a level's variance per second.
const LEVEL_DRIFT: f32 = 0.000_2;
/// The initial estimate of the noise: the variance of a sample.
const INITIAL_NOISE: f64 = 0.05;
/// The minimum and the maximum of the estimated noise.
const NOISE_BOUNDS: (f64, f64) = (0.005, 0.5);
/// The weight of a sample in the moving average of the noise.
const NOISE_WEIGHT: f64 = 0.01;
/// The number of standard deviations to which innovations are clipped. An innovation is the
/// difference between a sampled and the expected logarithm of the latency.
const CLIP_SIGMA: f64 = 3.0;

/// The amount of a kind that ran beside a replica: the sum of the tasks' throttles as fractions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Exposure {
    /// The kind's number.
    pub(crate) kind: u32,
    /// The amount; 1 for each unthrottled task.
    pub(crate) amount: f32,
}

/// A sample of a service's replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation<'o> {
    /// The service's number.
    pub(crate) service: u32,
    /// When the sample was taken.
    pub(crate) taken: Time,
    /// The natural logarithm of the latency in seconds.
    pub(crate) latency: f64,
    /// The replica's load: its CPU usage as a fraction of its reservation.
    pub(crate) load: f64,
    /// The batch tasks that ran beside it, summed by kind.
    pub(crate) beside: &'o [Exposure],
}

/// The variance of a level that is restored, that of a single sample.
const RESTORED_LEVEL_VARIANCE: f32 = 0.05;

/// The estimated harm of a kind to a service: the logarithm of the slowdown caused by one
/// unthrottled task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Harm {
    /// The mean; 0 if nothing is known.
    pub mean: f64,
    /// Its standard deviation.
    pub deviation: f64,
    /// The number of samples used.
    pub samples: u32,
}

impl Harm {
    /// The estimate for a pair without samples; its variance is [`PAIR_PRIOR`].
    pub(crate) const UNKNOWN: Self = Self { mean: 0.0, deviation: 0.5, samples: 0 };

    /// The lower confidence bound of the harm, `sigma` standard deviations below the mean; 0 if
    /// there are fewer than [`MIN_SAMPLES`] samples.
    pub(crate) fn at_least(&self, sigma: f64) -> f64 {
        if self.samples < MIN_SAMPLES {
            return 0.0;
        }
        (self.mean - sigma * self.deviation).max(0.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f32,
    variance: f32,
    /// When the newest sample was taken, in whole seconds on the process's clock.
    seconds: u32,
    samples: u32,
}

/// The estimates of all pairs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Model {
    services: Vec<ServiceModel>,
}

#[derive(Clone, Debug)]
struct ServiceModel {
    levels: [Estimate; BANDS],
    pairs: Vec<Estimate>,
    noise: f64,
}

impl Estimate {
    const fn unknown(variance: f32) -> Self {
        Self { mean: 0.0, variance, seconds: 0, samples: 0 }
    }

    /// The variance at a later time.
    fn variance_at(&self, seconds: u32, drift: f32, prior: f32) -> f32 {
        let elapsed = seconds.saturating_sub(self.seconds) as f32;
        (self.variance + drift * elapsed).min(prior)
    }

    /// Applies an innovation, given the variances of the estimate (`variance`) and of the
    /// innovation (`total`).
    fn correct(&mut self, seconds: u32, variance: f32, amount: f32, innovation: f64, total: f64) {
        let gain = f64::from(variance * amount) / total;
        self.mean += (gain * innovation) as f32;
        self.variance = (f64::from(variance) * (1.0 - gain * f64::from(amount))) as f32;
        self.seconds = self.seconds.max(seconds);
        self.samples = self.samples.saturating_add(1);
    }
}

impl ServiceModel {
    fn new() -> Self {
        Self {
            levels: [Estimate::unknown(LEVEL_PRIOR); BANDS],
            pairs: Vec::new(),
            noise: INITIAL_NOISE,
        }
    }

    fn learn(&mut self, sample: &Observation<'_>) {
        let seconds = whole_seconds(sample.taken);
        let band = load_band(sample.load);
        self.init_band(band, sample.latency);
        self.grow(sample.beside);
        let level = self.levels[band];
        let mut expected = f64::from(level.mean);
        let mut total =
            self.noise + f64::from(level.variance_at(seconds, LEVEL_DRIFT, LEVEL_PRIOR));
        for beside in sample.beside {
            let pair = &self.pairs[beside.kind as usize];
            expected += f64::from(pair.mean * beside.amount);
            let variance = pair.variance_at(seconds, PAIR_DRIFT, PAIR_PRIOR);
            total += f64::from(variance * beside.amount * beside.amount);
        }
        let innovation = sample.latency - expected;
        self.correct(sample, band, innovation, total);
        let (min, max) = NOISE_BOUNDS;
        let squared = innovation * innovation;
        self.noise = (self.noise + NOISE_WEIGHT * (squared - self.noise)).clamp(min, max);
    }

    /// Initializes a band without samples with the level of the nearest band that has some.
    fn init_band(&mut self, band: usize, latency: f64) {
        if self.levels[band].samples > 0 {
            return;
        }
        let known = (0..BANDS).filter(|at| self.levels[*at].samples > 0);
        let nearest = known.min_by_key(|at| at.abs_diff(band));
        self.levels[band].mean = match nearest {
            Some(at) => self.levels[at].mean,
            None => latency as f32,
        };
    }

    fn grow(&mut self, beside: &[Exposure]) {
        let needed = beside.iter().map(|beside| beside.kind as usize + 1).max().unwrap_or(0);
        self.grow_to(needed);
    }

    fn grow_to(&mut self, needed: usize) {
        if needed > self.pairs.len() {
            self.pairs.resize(needed, Estimate::unknown(PAIR_PRIOR));
        }
    }

    fn correct(&mut self, sample: &Observation<'_>, band: usize, innovation: f64, total: f64) {
        let seconds = whole_seconds(sample.taken);
        let limit = CLIP_SIGMA * total.sqrt();
        let innovation = innovation.clamp(-limit, limit);
        let level = &mut self.levels[band];
        let variance = level.variance_at(seconds, LEVEL_DRIFT, LEVEL_PRIOR);
        level.correct(seconds, variance, 1.0, innovation, total);
        for beside in sample.beside {
            let pair = &mut self.pairs[beside.kind as usize];
            let variance = pair.variance_at(seconds, PAIR_DRIFT, PAIR_PRIOR);
            pair.correct(seconds, variance, beside.amount, innovation, total);
            // A neighbour can't make a service faster, so a negative term is noise.
            pair.mean = pair.mean.max(0.0);
        }
    }
}

impl Model {
    /// Updates the estimates from a sample.
    pub(crate) fn learn(&mut self, sample: &Observation<'_>) {
        self.service_mut(sample.service).learn(sample);
    }

    fn service_mut(&mut self, service: u32) -> &mut ServiceModel {
        let needed = service as usize + 1;
        if needed > self.services.len() {
            self.services.resize_with(needed, ServiceModel::new);
        }
        &mut self.services[service as usize]
    }

    /// Sets the estimate of a pair at `now`.
    pub(crate) fn restore(&mut self, now: Time, service: u32, kind: u32, harm: &Harm) {
        let service = self.service_mut(service);
        service.grow_to(kind as usize + 1);
        let variance = (harm.deviation * harm.deviation).min(f64::from(PAIR_PRIOR));
        service.pairs[kind as usize] = Estimate {
            mean: harm.mean as f32,
            variance: variance as f32,
            seconds: whole_seconds(now),
            samples: harm.samples,
        };
    }

    /// Sets the level of a service at a load to 0. Otherwise the first sample would set it, including the
    /// harm of what runs beside the service.
    pub(crate) fn restore_level(&mut self, now: Time, service: u32, load: f64) {
        self.service_mut(service).levels[load_band(load)] = Estimate {
            mean: 0.0,
            variance: RESTORED_LEVEL_VARIANCE,
            seconds: whole_seconds(now),
            samples: 1,
        };
    }

    /// The first pair with memory for an estimate that isn't before `from`, in the order of services and
    /// kinds; the very first one if there is none.
    pub(crate) fn pair_from(&self, from: (u32, u32)) -> Option<(u32, u32)> {
        let services = self.services.get(from.0 as usize..).unwrap_or_default();
        let mut pairs = (from.0..).zip(services).map(|(at, model)| {
            let kind = if at == from.0 { from.1 } else { 0 };
            ((kind as usize) < model.pairs.len()).then_some((at, kind))
        });
        let found = pairs.find_map(|pair| pair);
        if found.is_none() && from != (0, 0) { self.pair_from((0, 0)) } else { found }
    }

    /// The estimated harm of a pair at `now`.
    pub(crate) fn harm(&self, now: Time, service: u32, kind: u32) -> Harm {
        let model = self.services.get(service as usize);
        let Some(pair) = model.and_then(|model| model.pairs.get(kind as usize)) else {
            return Harm::UNKNOWN;
        };
        let variance = pair.variance_at(whole_seconds(now), PAIR_DRIFT, PAIR_PRIOR);
        Harm {
            mean: pair.mean.into(),
            deviation: f64::from(variance).sqrt(),
            samples: pair.samples,
        }
    }

    /// The mean estimate of a pair; 0 if nothing is known.
    pub(crate) fn mean(&self, service: u32, kind: u32) -> f64 {
        let model = self.services.get(service as usize);
        let pair = model.and_then(|model| model.pairs.get(kind as usize));
        pair.map_or(0.0, |pair| pair.mean.into())
    }

    /// The total harm of all batch tasks beside a replica, as the logarithm of the slowdown.
    pub(crate) fn total_harm(&self, service: u32, beside: &[Exposure]) -> f64 {
        beside.iter().map(|kind| self.mean(service, kind.kind) * f64::from(kind.amount)).sum()
    }

    /// Resets the estimates of a service whose number was reassigned.
    pub(crate) fn forget_service(&mut self, service: u32) {
        if let Some(model) = self.services.get_mut(service as usize) {
            *model = ServiceModel::new();
        }
    }

    /// Resets the estimates of a kind whose number was reassigned.
    pub(crate) fn forget_kind(&mut self, kind: u32) {
        for model in &mut self.services {
            if let Some(pair) = model.pairs.get_mut(kind as usize) {
                *pair = Estimate::unknown(PAIR_PRIOR);
            }
        }
    }

    /// The number of pairs with memory for an estimate.
    pub(crate) fn pairs(&self) -> usize {
        self.services.iter().map(|model| model.pairs.len()).sum()
    }
}

fn load_band(load: f64) -> usize {
    // The cast maps negative values and NaN to 0.
    ((load * BANDS as f64) as usize).min(BANDS - 1)
}

fn whole_seconds(time: Time) -> u32 {
    let seconds = Duration::from_nanos(time.as_nanos()).as_secs();
    u32::try_from(seconds).unwrap_or(u32::MAX)
}
