//! Which servers of a version on trial take its requests, so that they meet the load of a peak.
//!
//! A version that fails only under load shows it once a good part of a server's places are taken.
//! Its small share of the requests, spread over all servers, never takes so many: servers are filled one
//! after another.
//!
//! Hundreds of hosts fill a server sooner than any of them hears of it. If each sent to the first one
//! that it believes to have room, all would send to the same one, which turns them away, and a good version
//! would be stopped for that. So each host gives every server the part of its own requests that fills it if
//! all hosts do so. What it believes of a server only keeps it from one that is full already.

use crate::engine::Engine;

/// Part of its places that a server on trial has taken before the next one is sent requests. Less
/// than all, so that the service's usual variations do not make a good version's requests wait.
const TAKEN: f64 = 0.65;

/// Requests that all hosts together are expected to have at a version on trial at once, which gets a share of
/// them, by what servers of the version before last said that they had; `before` is how many of those there
/// are. None if none has said anything.
#[must_use]
pub fn expected(share: f64, before: usize, reported: impl Iterator<Item = u32>) -> Option<f64> {
    let (sum, count) =
        reported.fold((0.0, 0.0), |(sum, count), one| (sum + f64::from(one), count + 1.0));
    (count > 0.0).then(|| share * before as f64 * sum / count)
}

/// The index of the server for a request, in an order that all hosts share; none if all are believed to
/// have the load of a peak. `expected` requests will be there at once; a host that can't tell spreads
/// its requests over all. `draw` is a uniform draw from 0 to 1.
#[must_use]
pub fn next(servers: &[Engine], expected: Option<f64>, draw: f64) -> Option<usize> {
    let room = |server: &Engine| TAKEN * f64::from(server.slots.max(1));
    let has_room = |server: &Engine| server.load() < room(server);
    let all: f64 = servers.iter().map(room).sum();
    let mut place = draw * expected.map_or(all, |expected| expected.min(all));
    let drawn = servers.iter().position(|server| {
        place -= room(server);
        place < 0.0
    });
    let drawn = drawn.filter(|index| has_room(&servers[*index]));
    drawn.or_else(|| servers.iter().position(has_room))
}
