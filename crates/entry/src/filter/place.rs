//! Chooses the backend server of an attempt.

use std::sync::Arc;

use policy::name::Name;
use policy::place;
use policy::time::Millis;

use crate::server::Server;

/// Chooses a backend server that accepts new work and is not among `excluded`; `None` if there is
/// none.
#[must_use]
pub fn choose(
    servers: &[Arc<Server>],
    excluded: &[Name],
    affinity: Option<u64>,
    now: Millis,
) -> Option<Arc<Server>> {
    let candidates: Vec<&Arc<Server>> =
        servers.iter().filter(|server| !excluded.contains(&server.name)).collect();
    let placed: Vec<place::Server> =
        candidates.iter().map(|server| server.placement_record()).collect();
    let index = place::choose(&placed, affinity, rand::random(), now)?;
    candidates.get(index).map(|server| Arc::clone(server))
}
