//! Packs the requests of a roll-out's new version onto few of its backend servers, so that these
//! get the load of a peak.
//!
//! A version that fails only under load fails once many of a server's slots are in use. The new
//! version's small share of requests, spread over all its servers, never uses so many. So servers
//! are filled one after another.
//!
//! Hundreds of hosts fill a server before any of them learns of it. If each host sent to the first
//! server that it believes to have free slots, all would send to the same server. That server would
//! reject requests, and a good version would be stopped for it. So each host distributes its own
//! requests over the servers in the proportions that fill one server after another if all hosts do
//! the same. A host's knowledge of a server's load only keeps it from servers that are full
//! already.

use crate::engine::Engine;
use crate::sample;

/// Fraction of a server's slots to fill before the next server gets requests. Below 1, so that
/// usual variations of the load don't make a good version's requests wait.
const FILLED_SLOTS_FRACTION: f64 = 0.65;

/// Expected requests in flight at a new version's servers, sent by all hosts together.
///
/// `share` is the new version's share of requests, `before` the number of servers of the version
/// that it replaces, and `reported` the requests in flight that some of these servers last
/// reported. Returns `None` without a report.
#[must_use]
pub fn expected(share: f64, before: usize, reported: impl Iterator<Item = u32>) -> Option<f64> {
    let (sum, count) = reported
        .fold((0.0, 0.0), |(sum, count), in_flight| (sum + f64::from(in_flight), count + 1.0));
    (count > 0.0).then(|| share * before as f64 * sum / count)
}

/// Returns the index of the server for a request, or `None` if all servers are believed to be
/// filled.
///
/// `servers` must be in the same order on all hosts. `expected` is the result of
/// [`expected`]; a host without it spreads its requests over all servers. `draw` is a
/// uniform draw from 0 to 1.
#[must_use]
pub fn next(servers: &[Engine], expected: Option<f64>, draw: f64) -> Option<usize> {
    let capacity = |server: &Engine| FILLED_SLOTS_FRACTION * f64::from(server.slots.max(1));
    let has_room = |server: &Engine| server.load() < capacity(server);
    let total: f64 = servers.iter().map(capacity).sum();
    let position = draw * expected.map_or(total, |expected| expected.min(total));
    let drawn = sample::weighted(servers.iter().map(capacity), position);
    let drawn = drawn.filter(|index| has_room(&servers[*index]));
    drawn.or_else(|| servers.iter().position(has_room))
}
