//! Seeded random draws that are the same on every machine.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A stream of random draws.
#[derive(Clone, Debug)]
pub struct Draw(ChaCha8Rng);

impl Draw {
    /// Creates the stream that belongs to a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Draws a number uniformly from 0 (included) to 1 (excluded).
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// Draws 64 uniform bits.
    pub fn bits(&mut self) -> u64 {
        self.0.random()
    }

    /// Draws an integer uniformly from 0 (included) to `bound` (excluded); 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.random_range(0..bound.max(1))
    }

    /// Draws from an approximate standard normal distribution: the sum of twelve uniform draws,
    /// minus six.
    pub fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.unit()).sum::<f64>() - 6.0
    }

    /// Draws from the exponential distribution with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
