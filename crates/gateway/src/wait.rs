//! How long a request waits for a backend server before it is sent to another one.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use entry::clock;
use policy::silence;
use wire::routing::Kind;

use crate::backend::Backend;
use crate::codec::Codec;
use crate::job::Job;

/// Least wait for a plain answer before another backend server is tried.
const PLAIN_WAIT_MS: f64 = 60.0;
/// Most of the time left that is waited before that.
const PLAIN_PART: f64 = 0.5;
/// Mean wait, as a part of the objective, from which slow beginnings are the load's doing. To
/// leave a busy engine then would only read the prompt twice.
pub const STREAM_BUSY: f64 = 0.4;

impl<C: Codec> Job<C> {
    /// How long the head of an answer is still waited for before the backend server is left; none
    /// if the time has come.
    pub async fn first_wait(&self, backend: &Backend, since: Instant) -> Option<Duration> {
        let route = self.route();
        if !route.kind.may_repeat() || self.tries.sent + 1 >= self.attempts_max {
            return Some(self.left());
        }
        let first = self.state.timings.with(self.timing(), |timing| timing.first);
        let objective = route.objective_ms as f64;
        let silent = since.elapsed();
        if route.kind == Kind::Idempotent {
            let left_ms = (silent + self.left()).as_secs_f64() * 1_000.0;
            let wait = first.timeout_ms(PLAIN_WAIT_MS, left_ms * PLAIN_PART);
            return Duration::from_secs_f64(wait / 1_000.0).checked_sub(silent);
        }
        let bounds = match first.mean_ms(0.0) > objective * STREAM_BUSY {
            true => silence::FIRST_BYTE_BUSY,
            false => silence::FIRST_BYTE,
        };
        backend.tolerates(&bounds, silent, objective).await
    }

    /// Whether a silent backend server is left: only if the request can be sent to another one.
    /// The repeat is paid for then, so that the next try can't be refused for want of it.
    pub fn leave(&self, backend: &Backend) -> bool {
        let world = self.state.world.load();
        let Some(pool) = world.pools.get(&self.service) else { return false };
        let is_other = |other: &&Arc<Backend>| {
            other.id != backend.id
                && !self.tries.tried.contains(&other.id)
                && other.server.takes_work(clock::steady())
        };
        let sent = self.tries.sent + u32::from(!self.tries.answering);
        let is_isolated = backend.is_host || self.state.reach.is_isolated();
        let version = self.tries.version.as_ref().unwrap_or(&pool.base);
        let way_on = self.route().kind.may_repeat()
            && sent < self.attempts_max
            && (pool.of(version).any(|other| is_other(&other)) || is_isolated && self.has_host());
        let paid = way_on && self.take_repeat();
        self.tries.paid.fetch_or(paid, Ordering::Relaxed);
        paid
    }
}
