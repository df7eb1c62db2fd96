//! Random numbers from the distributions that the simulation uses.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A deterministic random number generator: the seed and the stream determine its sequence.
#[derive(Clone, Debug)]
pub(crate) struct Random {
    rng: ChaCha8Rng,
    /// The second value of the last Box-Muller transform.
    spare: Option<f64>,
}

impl Random {
    /// A generator for one stream of a seed, independent of the seed's other streams.
    pub(crate) fn new(seed: u64, stream: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        Self { rng, spare: None }
    }

    /// A uniform number in `low..high`.
    pub(crate) fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.rng.random::<f64>()
    }

    /// A uniform integer below `count`.
    pub(crate) fn below(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    /// `true` with this probability.
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    /// A number from the standard normal distribution.
    pub(crate) fn normal(&mut self) -> f64 {
        if let Some(spare) = self.spare.take() {
            return spare;
        }
        let radius = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt();
        let (sin, cos) = (std::f64::consts::TAU * self.rng.random::<f64>()).sin_cos();
        self.spare = Some(radius * sin);
        radius * cos
    }

    /// A number from the log-normal distribution with median 1 whose logarithm has this standard
    /// deviation.
    pub(crate) fn log_normal(&mut self, deviation: f64) -> f64 {
        (deviation * self.normal()).exp()
    }

    /// A number from the Poisson distribution with this mean.
    pub(crate) fn poisson(&mut self, rate: f64) -> usize {
        let limit = (-rate).exp();
        let mut product = self.rng.random::<f64>();
        let mut count = 0;
        while product > limit {
            product *= self.rng.random::<f64>();
            count += 1;
        }
        count
    }
}
