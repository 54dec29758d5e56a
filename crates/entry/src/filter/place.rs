//! Which backend server takes a request.

use std::sync::Arc;

use policy::name::Name;
use policy::place;
use policy::time::Millis;

use crate::server::Server;

/// A backend server that takes new work and is not among `tried`; none if there is none.
#[must_use]
pub fn choose(
    servers: &[Arc<Server>],
    tried: &[Name],
    affinity: Option<u64>,
    now: Millis,
) -> Option<Arc<Server>> {
    let open: Vec<&Arc<Server>> =
        servers.iter().filter(|server| !tried.contains(&server.name)).collect();
    let known: Vec<place::Server> = open.iter().map(|server| server.placement_record()).collect();
    let index = place::choose(&known, affinity, rand::random(), now)?;
    open.get(index).map(|server| Arc::clone(server))
}
