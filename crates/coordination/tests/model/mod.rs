//! Helpers shared by the state-machine tests.

/// Pseudo-random number generator (xorshift): a seed gives the same numbers on every machine.
pub struct Rng(u64);

impl Rng {
    /// Creates a generator. The seed is mixed, so that neighbouring seeds give unrelated numbers.
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5851_f42d_4c95_7f2d)
    }

    /// A number below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as usize % bound.max(1)
    }

    /// Returns true with a probability of one in `times`.
    pub fn once_in(&mut self, times: usize) -> bool {
        self.below(times) == 0
    }
}
