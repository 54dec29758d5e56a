//! Pieces that the state-machine tests share.

/// Steps decided by a seed: the same seed gives the same run on every machine.
pub struct Rng(u64);

impl Rng {
    /// Seeded.
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5851_f42d_4c95_7f2d)
    }

    /// A number below a bound.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as usize % bound.max(1)
    }

    /// True once in so many times.
    pub fn once_in(&mut self, times: usize) -> bool {
        self.below(times) == 0
    }
}
