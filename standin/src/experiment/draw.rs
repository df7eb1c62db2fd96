//! Draws from the distributions that the fake needs.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A source of draws; the same seed and purpose give the same draws.
#[derive(Clone, Debug)]
pub(crate) struct Draw {
    rng: ChaCha8Rng,
    spare: Option<f64>,
}

impl Draw {
    /// A source for one purpose, independent of those for other purposes.
    pub(crate) fn new(seed: u64, purpose: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(purpose);
        Self { rng, spare: None }
    }

    /// A number from `low` up to `high`.
    pub(crate) fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.rng.random::<f64>()
    }

    /// A whole number below `count`.
    pub(crate) fn below(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    /// Whether something happens that has this probability.
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    /// A draw from the standard normal distribution.
    pub(crate) fn normal(&mut self) -> f64 {
        if let Some(spare) = self.spare.take() {
            return spare;
        }
        let radius = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt();
        let (sin, cos) = (std::f64::consts::TAU * self.rng.random::<f64>()).sin_cos();
        self.spare = Some(radius * sin);
        radius * cos
    }

    /// A factor around 1 whose logarithm has this standard deviation.
    pub(crate) fn factor(&mut self, deviation: f64) -> f64 {
        (deviation * self.normal()).exp()
    }

    /// How many events of a rate happen in one unit of time.
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
