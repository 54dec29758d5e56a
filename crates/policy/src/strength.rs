//! How much a host can do on behalf of the other hosts of its failure domain.
//!
//! Where hosts differ a hundredfold, work for the whole domain belongs on a host that has capacity
//! for it: a list of thousands of servers occupies a narrow link and a tenth of a core for seconds.

/// Number of strength classes.
const CLASS_COUNT: u8 = 16;

/// Returns the strength class of a host with a share of a core and a link of `link_mbps` megabits a
/// second. Each class is twice as strong as the one below; smaller differences don't matter.
#[must_use]
pub fn class(core_share: f64, link_mbps: f64) -> u8 {
    (core_share * link_mbps).max(1.0).log2().min(f64::from(CLASS_COUNT - 1)) as u8
}

/// Returns the rank of a host among those of its failure domain; the lowest rank comes first.
/// Stronger hosts come before weaker ones. Equally strong hosts are ordered by `hash`, a hash of
/// the host's name that differs for each purpose.
#[must_use]
pub fn rank(class: u8, hash: u64) -> u64 {
    let weakness = u64::from(CLASS_COUNT - 1 - class.min(CLASS_COUNT - 1));
    let places = u64::from(CLASS_COUNT);
    weakness * (u64::MAX / places) + hash / places
}
