//! Which of many backend servers are looked at for one request.
//!
//! The load this answers: thousands of servers before a host with a small part of a core. To look at
//! each for every request would cost more than the rest of the request. A look at some that are drawn at
//! random finds one that is nearly as good as the best of all, and hosts that draw differently don't all
//! send to the same one.

use crate::place::mix;

/// Servers of the host's own failure domain, and of others, that are looked at. With fewer than that
/// all are.
pub const NEAR_MAX: usize = 128;
/// See [`NEAR_MAX`].
pub const FAR_MAX: usize = 64;

/// Indices below `count`, each once: all in their order, or `max` of them drawn by a seed.
pub fn draw(count: usize, max: usize, seed: u64) -> impl Iterator<Item = usize> {
    let is_all = count <= max;
    let start = if is_all { 0 } else { mix(seed) as usize % count };
    let stride = if is_all { 1 } else { stride(count, mix(seed ^ 1)) };
    (0..count.min(max)).map(move |step| (start + step * stride) % count)
}

/// A step that comes to each index once.
fn stride(count: usize, seed: u64) -> usize {
    let from = 1 + seed as usize % count;
    (from..).find(|stride| gcd(*stride, count) == 1).unwrap_or(1)
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// The index of the first place behind a subject on a circle of places in rising order: hosts that know
/// the same servers agree on one for it, and a server that comes or goes changes that for few subjects.
#[must_use]
pub fn successor(places: &[u64], subject: u64) -> Option<usize> {
    let at = places.partition_point(|place| *place < subject);
    (!places.is_empty()).then(|| at % places.len())
}
