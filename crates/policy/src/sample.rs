//! Random draws, and which of many backend servers are considered for one request.
//!
//! Thousands of servers may stand behind a host that has only a fraction of a core. Considering
//! each of them for every request would cost more than the rest of the request. A random sample
//! contains a server that is nearly as good as the best of all, and hosts with different samples
//! don't all send to the same server.

use crate::place::mix;

/// Most servers of the host's own failure domain that are considered for one request; up to this
/// number all are.
pub const NEAR_MAX: usize = 128;
/// Most servers of other failure domains that are considered for one request; up to this number all
/// are.
pub const FAR_MAX: usize = 64;

/// Distinct indices below `count`: all of them in order, or if there are more than `max`, `max` of
/// them drawn by a seed.
pub fn draw(count: usize, max: usize, seed: u64) -> impl Iterator<Item = usize> {
    let is_all = count <= max;
    let start = if is_all { 0 } else { mix(seed) as usize % count };
    let stride = if is_all { 1 } else { stride(count, mix(seed ^ 1)) };
    (0..count.min(max)).map(move |step| (start + step * stride) % count)
}

/// A stride that is coprime to `count`, so that it visits each index once.
fn stride(count: usize, seed: u64) -> usize {
    let first = 1 + seed as usize % count;
    (first..).find(|stride| gcd(*stride, count) == 1).unwrap_or(1)
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// A number from 0 to below 1 from uniformly distributed bits.
#[must_use]
pub fn uniform(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1_u64 << 53) as f64
}

/// The index of the weight that `position` falls into, where the weights follow one another from 0
/// on; `None` if it lies past their sum. For a uniform draw from 0 to the sum, an index is as likely
/// as its weight is large.
pub fn weighted(weights: impl IntoIterator<Item = f64>, mut position: f64) -> Option<usize> {
    weights.into_iter().position(|weight| {
        position -= weight;
        position < 0.0
    })
}

/// Consistent hashing: the index of the first of the sorted `places` at or after `subject`,
/// wrapping around; none without places. Hosts that know the same servers choose the same one for a
/// subject, and a server that is added or removed changes the choice for few subjects.
#[must_use]
pub fn successor(places: &[u64], subject: u64) -> Option<usize> {
    let at = places.partition_point(|place| *place < subject);
    (!places.is_empty()).then(|| at % places.len())
}
