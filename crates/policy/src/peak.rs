//! Which servers of a version on trial take its requests, so that it meets the load of a peak.
//!
//! A version that fails only under load shows it once a good part of a server's places are taken.
//! Its small share of the requests, spread over servers, never takes so many: one server is sent
//! requests until it has that many, and only then the next.

use crate::engine::Engine;

/// Part of its places that a server on trial has taken before the next one is sent requests. Less
/// than all, so that the service's usual variations do not make a good version's requests wait.
const TAKEN: f64 = 0.65;

/// The index of the first server that does not have the load of a peak yet; none if all have it.
#[must_use]
pub fn next(servers: &[Engine]) -> Option<usize> {
    servers.iter().position(|server| server.load() < TAKEN * f64::from(server.slots.max(1)))
}
