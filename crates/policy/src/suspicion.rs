//! How likely a backend server is to fail a request, judged by its last answers.
//!
//! A server can fail some of its requests while its health check succeeds. Only its answers show
//! that, so each answer moves a share of failures. The share decays with time: a server that is
//! avoided gets no answers by which to clear itself, and is tried again once its failures have
//! decayed.

use crate::domain;
use crate::time::Millis;

/// Weight of one failure in the share. After two failures in a row the share is 0.44, and a server
/// with that share is used last.
const FAILURE_WEIGHT: f64 = 0.25;
/// Factor by which one success reduces the share. Five successes reduce the share of a single
/// failure to less than half.
const SUCCESS_FACTOR: f64 = 0.85;
/// Weight of a run that was cancelled because another server answered first. It may only have been
/// slow, so it counts half as much as a failure.
const SLOW_WEIGHT: f64 = FAILURE_WEIGHT / 2.0;
/// Time in which the share halves without answers, in milliseconds.
const HALF_LIFE_MS: f64 = 3_000.0;

domain! {
    /// The share of failures of one server.
    #[derive(Copy, Default)]
    pub struct Suspicion {
        /// Share of failures as of `at`, 0 to 1.
        share: f64,
        /// When the server last answered or failed to.
        at: Millis,
    }
}

impl Suspicion {
    /// Share of its requests that the server is expected to fail, 0 to 1.
    #[must_use]
    pub fn share(&self, now: Millis) -> f64 {
        self.share * (-(now.since(self.at) as f64) / HALF_LIFE_MS).exp2()
    }

    /// Records an answer of the server, or its failure to give one.
    pub fn record(&mut self, has_failed: bool, now: Millis) {
        let share = self.share(now);
        self.share = match has_failed {
            true => share + FAILURE_WEIGHT * (1.0 - share),
            false => share * SUCCESS_FACTOR,
        };
        self.at = now;
    }

    /// Records that another server answered a request before this one.
    pub fn record_slow(&mut self, now: Millis) {
        let share = self.share(now);
        *self = Self { share: share + SLOW_WEIGHT * (1.0 - share), at: now };
    }
}
