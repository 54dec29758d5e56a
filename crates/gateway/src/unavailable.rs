//! Why no backend server takes a request, and the refusal that its caller receives.

use std::sync::Arc;

use entry::clock;
use policy::time::Millis;
use wire::refusal::{Code, Refusal};

use crate::backend::Backend;
use crate::codec::Codec;
use crate::job::Job;
use crate::refuse;

impl<C: Codec> Job<C> {
    /// The refusal of a request that no backend server has answered. It says "not run" only if no
    /// server can have run the request.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        let late = self.time_left().is_zero();
        let paused_ms = self.paused_ms(|_| true);
        match self.attempts.may_have_run {
            true if late => Refusal::may_have_run(Code::DeadlinePassed, "the deadline passed"),
            true => Refusal::may_have_run(Code::BackendFailed, "the backend server failed"),
            false if let Some(ms) = paused_ms => refuse::paused(ms, rand::random()),
            false if self.attempts.not_run > 0 || self.is_spared() => {
                let timing = self.state.timings.with(self.timing_key(), |timing| *timing);
                refuse::busy(timing.whole.mean_ms(0.0), rand::random())
            }
            false if self.is_leaving() => refuse::leaving(rand::random()),
            false if self.is_evacuated() => refuse::evacuated(rand::random()),
            false => match self.limited() {
                Some(per_second) => refuse::limited(per_second, rand::random()),
                None => refuse::no_backend(),
            },
        }
    }

    /// Whether servers that take work were spared, because they tolerate only a limited rate of
    /// rejected requests.
    fn is_spared(&self) -> bool {
        let snapshot = self.state.snapshot.load();
        let Some(pool) = snapshot.pools.get(&self.service) else { return false };
        let now = clock::steady();
        let takes_work = |backend: &Arc<Backend>| backend.server.accepts_work(now);
        self.tolerance().is_some() && pool.backends.iter().any(takes_work)
    }

    /// The sum of the limits of the service's servers in requests a second, if limits keep this
    /// request from them.
    fn limited(&self) -> Option<f64> {
        let snapshot = self.state.snapshot.load();
        let backends = &snapshot.pools.get(&self.service)?.backends;
        let now = clock::steady();
        let limited = backends.iter().filter(|backend| backend.server.accepts_work(now));
        let rates = limited
            .filter_map(|backend| backend.with_intake(|intake| intake.throttle.per_second(now)));
        let rate: f64 = rates.sum();
        (rate > 0.0).then_some(rate)
    }

    /// Whether all servers of the service are in evacuated failure domains.
    fn is_evacuated(&self) -> bool {
        let snapshot = self.state.snapshot.load();
        let pool = snapshot.pools.get(&self.service);
        pool.is_some_and(|pool| pool.backends.is_empty() && pool.evacuated > 0)
    }

    /// The time in milliseconds until the first pause ends, if all servers that match `counts` want
    /// a pause from this host. `None` if one of them takes requests, or if none can be reached.
    #[must_use]
    pub fn paused_ms(&self, counts: impl Fn(&Backend) -> bool) -> Option<u64> {
        let snapshot = self.state.snapshot.load();
        let now = clock::steady();
        let backends = &snapshot.pools.get(&self.service)?.backends;
        let counted = backends.iter().filter(|backend| counts(backend));
        let mut well = counted.filter(|backend| !backend.server.is_ill(now));
        let first_end = well.try_fold(Millis(u64::MAX), |first, backend| {
            backend.server.closed_until(now).map(|until| first.min(until))
        });
        first_end.filter(|end| *end < Millis(u64::MAX)).map(|end| end.since(now))
    }

    /// Whether all servers of the service are leaving.
    fn is_leaving(&self) -> bool {
        let snapshot = self.state.snapshot.load();
        let pool = snapshot.pools.get(&self.service);
        pool.is_some_and(|pool| {
            let mut backends = pool.backends.iter();
            let has_leaving = pool.leaving > 0 || !pool.backends.is_empty();
            has_leaving
                && pool.evacuated == 0
                && backends.all(|backend| backend.server.is_leaving())
        })
    }
}
