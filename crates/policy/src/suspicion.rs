//! How much a backend server's last answers speak against it.
//!
//! A server can fail a part of its requests while its health check is good. Only its answers show
//! that, so each answer moves a share of failures that fades with time: a server that is avoided
//! gets no answers to clear itself by, and is tried again once its failures have faded.

use crate::domain;
use crate::time::Millis;

/// Weight of one failure. Two in a row weigh 0.44: a server so suspected is used last.
const FAILURE: f64 = 0.25;
/// What one success leaves of the share. Five clear a single failure to under a half.
const SUCCESS: f64 = 0.85;
/// Time in which the share halves without answers, in milliseconds.
const HALF_LIFE_MS: f64 = 3_000.0;

domain! {
    /// Of one server.
    #[derive(Copy, Default)]
    pub struct Suspicion {
        share: f64,
        at: Millis,
    }
}

impl Suspicion {
    /// The share of requests that it is expected to fail, 0 to 1.
    #[must_use]
    pub fn share(&self, now: Millis) -> f64 {
        self.share * (-(now.since(self.at) as f64) / HALF_LIFE_MS).exp2()
    }

    /// It answered, or failed to.
    pub fn note(&mut self, failed: bool, now: Millis) {
        let share = self.share(now);
        self.share = match failed {
            true => share + FAILURE * (1.0 - share),
            false => share * SUCCESS,
        };
        self.at = now;
    }
}
