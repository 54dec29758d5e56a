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
const PLAIN_WAIT_MS_MIN: f64 = 60.0;
/// Most of the time left that is waited before that.
const PLAIN_WAIT_SHARE: f64 = 0.5;
/// Mean wait, as a part of the objective, from which slow beginnings are the load's doing. To
/// leave a busy engine then would only read the prompt twice.
pub const STREAM_BUSY_SHARE: f64 = 0.4;

impl<C: Codec> Job<C> {
    /// How long the head of an answer is still waited for before the backend server is left; none
    /// if the time has come.
    pub async fn head_wait(&self, backend: &Backend, since: Instant) -> Option<Duration> {
        let route = self.route();
        if !route.kind.may_repeat() || self.attempts.sent + 1 >= self.attempts_max {
            return Some(self.time_left());
        }
        let first = self.state.timings.with(self.timing_key(), |timing| timing.first);
        let objective = route.objective_ms as f64;
        let silent = since.elapsed();
        if route.kind == Kind::Idempotent {
            let left_ms = (silent + self.time_left()).as_secs_f64() * 1_000.0;
            let wait = first.wait_ms(PLAIN_WAIT_MS_MIN, left_ms * PLAIN_WAIT_SHARE);
            return Duration::from_secs_f64(wait / 1_000.0).checked_sub(silent);
        }
        let bounds = match first.mean_ms(0.0) > objective * STREAM_BUSY_SHARE {
            true => silence::FIRST_BUSY,
            false => silence::FIRST,
        };
        backend.tolerated_silence(&bounds, silent, objective).await
    }

    /// Whether a silent backend server is left: only if the request can be sent to another one.
    /// The repeat is paid for then, so that the next try can't be refused for want of it.
    pub fn claim_leave(&self, backend: &Backend) -> bool {
        let snapshot = self.state.snapshot.load();
        let Some(pool) = snapshot.pools.get(&self.service) else { return false };
        let is_other = |other: &&Arc<Backend>| {
            other.id != backend.id
                && !self.attempts.excluded.contains(&other.id)
                && other.server.takes_work(clock::steady())
        };
        let sent = self.attempts.sent + u32::from(!self.attempts.is_answering);
        let is_isolated = backend.is_host || self.state.reach.is_isolated();
        let version = self.attempts.version.as_ref().unwrap_or(&pool.base);
        let has_alternative = self.route().kind.may_repeat()
            && sent < self.attempts_max
            && (pool.servers(version).any(|other| is_other(&other))
                || is_isolated && self.has_detour());
        let is_paid = has_alternative && self.take_repeat();
        self.attempts.is_repeat_taken.fetch_or(is_paid, Ordering::Relaxed);
        is_paid
    }
}
