//! How often a host sends heartbeats to the other hosts of its failure domain, and when one counts
//! as gone.
//!
//! Each host sends its heartbeats to all others, so it receives as many a second as it sends. In a
//! large domain that would take a growing part of every host. Beyond a certain number of hosts the
//! interval grows with that number instead.

/// Shortest interval between two heartbeats, in milliseconds.
const INTERVAL_MIN_MS: u64 = 5_000;
/// Most heartbeats that a host sends in a second, on average.
const SENT_PER_S_MAX: u64 = 40;

/// Interval between two heartbeats of a host that knows `others` other hosts, in milliseconds.
#[must_use]
pub fn interval_ms(others: usize) -> u64 {
    INTERVAL_MIN_MS.max(others as u64 * 1_000 / SENT_PER_S_MAX)
}

/// Time without a heartbeat after which a host counts as gone, in milliseconds. Two heartbeats may
/// be lost.
#[must_use]
pub fn timeout_ms(others: usize) -> u64 {
    interval_ms(others) * 12 / 5
}

/// Time without a heartbeat after which a host's address is forgotten, in milliseconds.
#[must_use]
pub fn forget_ms(others: usize) -> u64 {
    interval_ms(others) * 4
}
