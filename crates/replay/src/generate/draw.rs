//! Seeded draws that are the same on every machine.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A stream of draws.
#[derive(Clone, Debug)]
pub struct Draw(ChaCha8Rng);

impl Draw {
    /// The stream of a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Uniform from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// 64 uniform bits.
    pub fn bits(&mut self) -> u64 {
        self.0.random()
    }

    /// Uniform from 0 to `bound`, which is left out.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.random_range(0..bound.max(1))
    }

    /// Standard normal, as the sum of twelve uniform draws less six.
    pub fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.unit()).sum::<f64>() - 6.0
    }

    /// Exponential with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
