//! Keeps to what backend servers say that they take, together with the other hosts.

use std::collections::HashSet;
use std::sync::Arc;

use policy::throttle::Place;
use policy::time::Millis;

use crate::backend::Backend;
use crate::codec::Codec;
use crate::job::Job;
use crate::pool::Pool;
use crate::state::Peers;

/// Where this host stands among those that may send to a service's servers.
pub struct Limits {
    peers: Arc<Option<Peers>>,
    domains: usize,
}

impl Limits {
    /// As it is now.
    #[must_use]
    pub fn of<C: Codec>(job: &Job<C>, pool: &Pool) -> Self {
        let is_limited = pool.backends.iter().any(|backend| backend.is_limited());
        let domains = match is_limited {
            true => domains(pool),
            false => 1,
        };
        Self { peers: job.state.peers.load_full(), domains }
    }

    /// Whether this host may send the server a request now.
    #[must_use]
    pub fn has_room(&self, backend: &Backend, now: Millis) -> bool {
        // A host that does not know yet who else is there would take all of the limit.
        !backend.is_limited()
            || self.place(backend).is_some_and(|place| {
                backend.with_throttle(|throttle| throttle.has_room(&place, now))
            })
    }

    /// This host sends the server a request.
    pub fn sent(&self, backend: &Backend, now: Millis) {
        if let Some(place) = self.place(backend).filter(|_| backend.is_limited()) {
            backend.with_throttle(|throttle| throttle.sent(&place, now));
        }
    }

    fn place(&self, backend: &Backend) -> Option<Place> {
        let peers = self.peers.as_ref().as_ref()?;
        Some(Place {
            before: peers.before(backend.hash),
            hosts: peers.others.len() + 1,
            is_near: backend.near,
            domains: self.domains,
        })
    }
}

fn domains(pool: &Pool) -> usize {
    let domains = pool.backends.iter().map(|backend| &backend.server.failure_domain);
    domains.collect::<HashSet<_>>().len()
}
