//! How tasks truly interfere; nothing here is shown to a strategy.

use crate::experiment::{
    draw::Draw,
    setup::{KINDS, SERVICES},
};

/// The part of kinds that are noisy.
const NOISY_PART: f64 = 0.3;
/// The part of kinds whose harm is drawn anew when the load shifts.
const SHIFTED_PART: f64 = 0.25;
/// The harm that any number of neighbours comes to at most, as the logarithm of the slowdown.
const MOST_HARM: f64 = 2.5;
/// How much a service's load rises when the load shifts.
const SHIFT: f64 = 1.25;
/// The spread of requests, as the standard deviation of the logarithm of the latency.
pub(crate) const SPREAD: f64 = 0.35;
/// The good latency over the median of an idle service.
const GOOD_FACTOR: f64 = 8.0;

/// What is true of a data centre.
#[derive(Clone, Debug)]
pub(crate) struct Truth {
    services: Vec<Service>,
    kinds: Vec<Kind>,
    shift_at: u64,
    shifted: bool,
    draw: Draw,
}

#[derive(Clone, Debug)]
struct Service {
    /// The median latency when idle, in seconds.
    median: f64,
    phase: f64,
}

#[derive(Clone, Debug)]
struct Kind {
    noisy: bool,
    /// The part of its harm that no throttle takes away.
    immune: f64,
    /// The logarithm of the slowdown of each service by one task.
    harms: [f64; SERVICES],
}

impl Kind {
    fn draw(draw: &mut Draw, noisy: bool) -> Self {
        let mut harms = [0.0; SERVICES];
        for harm in &mut harms {
            let hits = noisy && draw.chance(0.5);
            *harm = if hits { draw.between(0.4, 1.2) } else { draw.between(0.0, 0.06) };
        }
        Self { noisy, immune: draw.between(0.0, 0.3), harms }
    }
}

impl Truth {
    /// What is true of a data centre with this seed; the load shifts at `shift_at`, in seconds.
    pub(crate) fn new(seed: u64, shift_at: u64) -> Self {
        let mut draw = Draw::new(seed, 1);
        let services = (0..SERVICES)
            .map(|_| Service {
                median: draw.between(0.002, 0.006),
                phase: draw.between(0.0, std::f64::consts::TAU),
            })
            .collect();
        let noisy = (KINDS as f64 * NOISY_PART).round() as usize;
        let kinds = (0..KINDS).map(|kind| Kind::draw(&mut draw, kind < noisy)).collect();
        Self { services, kinds, shift_at, shifted: false, draw }
    }

    /// Lets the load shift when its time has come.
    pub(crate) fn advance(&mut self, second: u64) {
        if self.shifted || second < self.shift_at {
            return;
        }
        self.shifted = true;
        for kind in 0..KINDS {
            if self.draw.chance(SHIFTED_PART) {
                let noisy = !self.kinds[kind].noisy;
                self.kinds[kind] = Kind::draw(&mut self.draw, noisy);
            }
        }
    }

    /// The kinds that are noisy now.
    pub(crate) fn noisy(&self) -> Vec<usize> {
        (0..KINDS).filter(|kind| self.kinds[*kind].noisy).collect()
    }

    /// The load of a service: the part of its replicas' processors that requests take.
    pub(crate) fn load(&self, service: usize, second: u64) -> f64 {
        let turn = std::f64::consts::TAU * second as f64 / 1_200.0;
        let wave = 0.5 + 0.15 * (turn + self.services[service].phase).sin();
        let shift = if self.shifted { SHIFT } else { 1.0 };
        (wave * shift).min(0.9)
    }

    /// The latency within which a request counts as good, in seconds.
    pub(crate) fn good(&self, service: usize) -> f64 {
        self.services[service].median * GOOD_FACTOR
    }

    /// The harm of a task that runs at `activity`, from 0 to 1, before saturation.
    pub(crate) fn harm(&self, service: usize, kind: usize, activity: f64) -> f64 {
        let kind = &self.kinds[kind];
        kind.harms[service] * (kind.immune + (1.0 - kind.immune) * activity)
    }

    /// The median latency of a replica, in seconds, beside neighbours of a summed harm on a
    /// worker whose processors are asked for `pressure` times.
    pub(crate) fn median(&self, service: usize, load: f64, harm: f64, pressure: f64) -> f64 {
        let queueing = 1.0 / (1.0 - 0.7 * load);
        let harm = harm * (0.5 + load);
        let saturated = MOST_HARM * (1.0 - (-harm / MOST_HARM).exp());
        let crowding = pressure.max(1.0).powf(1.5);
        self.services[service].median * queueing * saturated.exp() * crowding
    }
}
