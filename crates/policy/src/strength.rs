//! How much a host can do for the others of its failure domain.
//!
//! Where hosts differ a hundredfold, what one of them does for all is done by one that has room for it:
//! a list of thousands of servers takes a narrow link and a tenth of a core seconds.

/// Classes that hosts fall into.
const CLASSES: u8 = 16;

/// The class of a host with so much of a core and such a link, in megabits a second; each is twice as
/// strong as the one below. Smaller differences don't matter.
#[must_use]
pub fn class(core_share: f64, link_mbps: f64) -> u8 {
    (core_share * link_mbps).max(1.0).log2().min(f64::from(CLASSES - 1)) as u8
}

/// The rank of a host of a class among those of its failure domain, by a hash of its name: 0 is the first.
/// Stronger hosts come first, equal ones in an order of their own for each purpose.
#[must_use]
pub fn rank(class: u8, hash: u64) -> u64 {
    let weakness = u64::from(CLASSES - 1 - class.min(CLASSES - 1));
    let places = u64::from(CLASSES);
    weakness * (u64::MAX / places) + hash / places
}
