//! Which backend servers are open to a request now.

use policy::name::Name;
use policy::time::Millis;

use crate::backend::Backend;
use crate::codec::Codec;
use crate::job::Job;
use crate::limits::SendLimits;
use crate::pool::Pool;

/// What decides at one moment which backend servers are open to a request.
pub struct Open<'a, C> {
    job: &'a Job<C>,
    limits: SendLimits,
    now: Millis,
}

impl<'a, C: Codec> Open<'a, C> {
    /// What decides for the servers of a pool at this moment.
    #[must_use]
    pub fn new(job: &'a Job<C>, pool: &Pool, now: Millis) -> Self {
        Self { job, limits: SendLimits::current(job, pool), now }
    }

    /// Whether the request may be sent to the server: it has not been tried, and no limit forbids
    /// it. The server may be ill.
    #[must_use]
    pub fn may_send(&self, backend: &Backend) -> bool {
        !self.job.attempts.excluded.contains(&backend.id) && self.limits.may_send(backend, self.now)
    }

    /// Whether the server's failure domain has answered this request, or has not been tried.
    #[must_use]
    pub fn is_reachable(&self, backend: &Backend) -> bool {
        !self.job.attempts.silent_domains.contains(&backend.server.failure_domain)
    }

    /// Whether the server takes the request, in whichever failure domain.
    #[must_use]
    pub fn takes(&self, backend: &Backend) -> bool {
        backend.server.accepts_work(self.now) && self.may_send(backend)
    }

    /// Whether the server takes the request and is in a failure domain that answers it.
    #[must_use]
    pub fn includes(&self, backend: &Backend) -> bool {
        self.is_reachable(backend) && self.takes(backend)
    }
}

impl<C: Codec> Job<C> {
    /// Whether a stream that runs at a version may continue there from a copy, without a detour
    /// through another host.
    #[must_use]
    pub fn may_continue(&self, pool: &Pool, version: &Name, now: Millis) -> bool {
        pool.stays_on(version, now) && !pool.is_stopped(version, now) && !self.prefers_detour()
    }
}
