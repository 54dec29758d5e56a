//! Keeps to the limits that backend servers state. The hosts share each limit between them.

use std::sync::Arc;

use policy::intake::{Intake, Verdict};
use policy::throttle::Place;
use policy::time::Millis;

use crate::backend::Backend;
use crate::codec::Codec;
use crate::job::Job;
use crate::pool::Pool;
use crate::state::Peers;

/// This host's place among the hosts that may send requests to a service's servers, at one moment.
pub struct SendLimits {
    peers: Arc<Option<Peers>>,
    domains: usize,
    /// Rejected requests a second that a server of the service tolerates before it crashes; `None`
    /// if it tolerates any number.
    tolerance: Option<f64>,
}

impl SendLimits {
    /// The limits for a request at this moment.
    #[must_use]
    pub fn current<C: Codec>(job: &Job<C>, pool: &Pool) -> Self {
        Self {
            peers: job.state.peers.load_full(),
            domains: pool.domains(),
            tolerance: job.tolerance(),
        }
    }

    /// Whether this host may send the server a request now.
    #[must_use]
    pub fn may_send(&self, backend: &Backend, now: Millis) -> bool {
        if !backend.server.is_restricted() && self.tolerance.is_none() {
            return true;
        }
        let place = self.place(backend);
        let has_room = match (self.tolerance, &place) {
            (None, _) => true,
            (Some(per_second), Some(place)) => backend.has_room(per_second, place, now),
            // Without known peers, this host would use the shares of all hosts at the server.
            (Some(_), None) => false,
        };
        let verdict = |intake: &mut Intake| intake.verdict(place.as_ref(), now);
        has_room && backend.with_intake(verdict) == Verdict::Open
    }

    /// Counts a request that this host is about to send to the server.
    pub fn record_sent(&self, backend: &Backend, now: Millis) {
        if backend.server.is_restricted() {
            let place = self.place(backend);
            backend.with_intake(|intake| intake.record_sent(place.as_ref(), now));
        }
        if self.tolerance.is_some() {
            backend.record_chosen(now);
        }
    }

    fn place(&self, backend: &Backend) -> Option<Place> {
        let peers = self.peers.as_ref().as_ref()?;
        Some(Place {
            before: peers.count_before(backend.id_hash),
            hosts: peers.others.len() + 1,
            is_near: backend.is_near,
            domains: self.domains,
        })
    }
}
