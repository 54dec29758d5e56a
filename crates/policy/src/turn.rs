//! How long hosts wait for each other that would all do the same at the same moment.
//!
//! Each waits its turn by rank, and looks then whether it is still to be done. Were turns equally far
//! apart, the last of some hundred hosts would come seconds late where those before it could not be heard
//! of. The first few turns lie far enough apart that one host is done before the next begins; only if
//! these are all lost do several come together.

/// Pause before a host's turn that has so many others before it; the second host's pause is given. In
/// milliseconds.
#[must_use]
pub fn delay_ms(before: u64, second_ms: u64) -> u64 {
    (second_ms as f64 * (before as f64 + 1.0).log2()) as u64
}
