//! How long hosts wait for each other when all of them would do the same thing at the same moment.
//!
//! Each host waits for its turn, which its rank decides, and then checks whether the work is still
//! to be done. With turns at equal intervals, the last of some hundred hosts would come seconds
//! late if it could not hear of those before it. The first few turns are far enough apart for one
//! host to finish before the next begins; only if all of those hosts are lost do several begin
//! together.

/// Delay of the turn of a host that has `before` hosts before it, in milliseconds. `second_ms` is
/// the delay of the second host; the first one does not wait.
#[must_use]
pub fn delay_ms(before: u64, second_ms: u64) -> u64 {
    (second_ms as f64 * (before as f64 + 1.0).log2()) as u64
}
