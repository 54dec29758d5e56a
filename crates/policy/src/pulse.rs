//! How often a host tells the others of its failure domain that it lives, and when one is taken for gone.
//!
//! Each host tells all others, so that it hears of as many in a second as it tells. In a large domain
//! that would take a growing part of every host; past a bound the time between two signs of life grows
//! with the hosts instead.

/// Least time between two signs of life, in milliseconds.
const EVERY_MS: u64 = 5_000;
/// Signs of life that a host sends in a second at most, on average.
const SENT_PER_S: u64 = 40;

/// Between two signs of life of a host that knows so many others, in milliseconds.
#[must_use]
pub fn every_ms(others: usize) -> u64 {
    EVERY_MS.max(others as u64 * 1_000 / SENT_PER_S)
}

/// After this time without a sign a host is taken for gone, in milliseconds: two may be lost.
#[must_use]
pub fn gone_ms(others: usize) -> u64 {
    every_ms(others) * 12 / 5
}

/// After this time its address is forgotten, in milliseconds.
#[must_use]
pub fn forget_ms(others: usize) -> u64 {
    every_ms(others) * 4
}
