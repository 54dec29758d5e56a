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

/// The least time that a plain answer is waited for before the request is sent to another backend
/// server.
const PLAIN_WAIT_MS_MIN: f64 = 60.0;
/// The longest wait before another backend server is tried, as a fraction of the time left.
const PLAIN_WAIT_SHARE: f64 = 0.5;
/// Interval at which the first of two runs is checked for the end of the second one.
const RACED_CHECK: Duration = Duration::from_millis(20);
/// The mean wait for a stream's beginning, as a fraction of the objective, from which slow
/// beginnings are due to load. Leaving a busy engine then would only read the prompt twice.
pub const STREAM_BUSY_SHARE: f64 = 0.4;

impl<C: Codec> Job<C> {
    /// How much longer the request waits for the head of an answer before it leaves the backend
    /// server; `None` if it should leave now. `since` is when the request was sent.
    pub async fn head_wait(&self, backend: &Backend, since: Instant) -> Option<Duration> {
        let route = self.route();
        // While a second run is in flight, that one decides whether both are left.
        if self.attempts.hedge.is_raced(&backend.id) {
            return Some(RACED_CHECK.min(self.time_left()));
        }
        if !route.kind.may_repeat() || self.attempts_with_current() >= self.attempts_max {
            return Some(self.time_left());
        }
        let first = self.state.timings.with(self.timing_key(), |timing| timing.first);
        let objective = route.objective_ms as f64;
        let silent = since.elapsed();
        if route.kind == Kind::Idempotent {
            let left_ms = (silent + self.time_left()).as_secs_f64() * 1_000.0;
            let wait_max = left_ms * PLAIN_WAIT_SHARE;
            let wait = first.timeout_ms(PLAIN_WAIT_MS_MIN, wait_max);
            // Heads may come long before bodies. A run that was left before it counts as late could
            // not be hedged.
            let late_after = self.attempts.hedge.late_after();
            let wait = match late_after {
                Some(late) => wait.max((late + RACED_CHECK).as_secs_f64() * 1_000.0).min(wait_max),
                None => wait,
            };
            let left = Duration::from_secs_f64(wait / 1_000.0).checked_sub(silent);
            // If this host stood still past both times, the decision on the hedge is still to come.
            let is_undecided = late_after.is_some_and(|late| late <= silent);
            return left.or_else(|| is_undecided.then(|| RACED_CHECK.min(self.time_left())));
        }
        let bounds = match first.mean_ms(0.0) > objective * STREAM_BUSY_SHARE {
            true => silence::FIRST_BYTE_BUSY,
            false => silence::FIRST_BYTE,
        };
        let wait = backend.tolerated_silence(&bounds, silent, objective).await?;
        let Some(fetch) = &self.attempts.fetch else { return Some(wait) };
        // An engine that fetches from a source that has gone is alive and never answers.
        let source_wait =
            fetch.source.tolerated_silence(&silence::FETCH_SOURCE, silent, objective).await?;
        Some(wait.min(source_wait))
    }

    /// Whether the request leaves a silent backend server. It does only if it can be sent to
    /// another one.
    ///
    /// The repeat is taken here, so that the next attempt can't fail because no repeat is left.
    pub fn claim_leave(&self, backend: &Backend) -> bool {
        let snapshot = self.state.snapshot.load();
        let Some(pool) = snapshot.pools.get(&self.service) else { return false };
        let is_other = |other: &&Arc<Backend>| {
            other.id != backend.id
                && !self.attempts.hedge.includes(&other.id)
                && !self.attempts.excluded.contains(&other.id)
                && other.server.accepts_work(clock::steady())
        };
        let is_isolated = backend.is_host || self.state.reach.is_isolated();
        let version = self.attempts.version.as_ref().unwrap_or(&pool.base);
        let has_alternative = self.route().kind.may_repeat()
            && self.attempts_with_current() < self.attempts_max
            && (pool.servers(version).any(|other| is_other(&other))
                || is_isolated && self.has_host());
        if self.attempts.has_stream_begun && self.has_copy() {
            // To continue from a copy is no repeat.
            return true;
        }
        let is_paid = has_alternative && self.take_repeat();
        self.attempts.is_paid.fetch_or(is_paid, Ordering::Relaxed);
        is_paid
    }

    /// The request's attempts, with the one in flight. One that continues from a copy does not
    /// count.
    fn attempts_with_current(&self) -> u32 {
        let is_uncounted = !self.attempts.is_answering && self.attempts.continue_from.is_none();
        self.attempts.sent + self.attempts.hedge.uncounted() + u32::from(is_uncounted)
    }
}
