//! What can go wrong with the platform.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use policy::domain;

use crate::fault::Outage;

domain! {
    /// The platform's faults; all off by default.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Faults {
        /// Whether it takes requests.
        pub down: Outage,
        /// It takes requests and never answers; they have no effect.
        pub silent: bool,
        /// Time each request waits before its effect, in milliseconds. The effect comes even if the
        /// caller has gone meanwhile.
        pub delay_ms: u64,
        /// The answers of this many next writes are lost: each takes effect (or conflicts), then
        /// its connection breaks. Counts down.
        pub lose_answers: u64,
        /// The connections of writes break at once, and each takes effect this much later, in
        /// milliseconds, if its conditions hold then. 0 is at once, with an answer.
        pub late_ms: u64,
        /// Writes a second at most; over it 429. 0 is no cap.
        pub writes_per_second: u32,
        /// Reads a second at most; over it 429. 0 is no cap.
        pub reads_per_second: u32,
        /// How far the host list is behind, in milliseconds.
        pub lag_ms: u64,
    }
}

impl Faults {
    /// It answers every call that it is down.
    #[must_use]
    pub fn unavailable() -> Self {
        Self { down: Outage::Unavailable, ..Self::default() }
    }

    /// It answers nothing.
    #[must_use]
    pub fn silenced() -> Self {
        Self { silent: true, ..Self::default() }
    }

    /// It makes changes and does not answer.
    #[must_use]
    pub fn losing_answers() -> Self {
        Self { lose_answers: u64::MAX, ..Self::default() }
    }

    /// It makes changes so much later, in milliseconds, and does not answer.
    #[must_use]
    pub fn late(late_ms: u64) -> Self {
        Self { late_ms, ..Self::default() }
    }
}

/// Holds a rate to a cap: a bucket that holds one second's worth.
#[derive(Default)]
pub struct RateLimiter(Mutex<Option<Bucket>>);

#[derive(Clone, Copy)]
struct Bucket {
    tokens: f64,
    at: Instant,
}

impl RateLimiter {
    /// Takes one call, if the cap allows it now.
    pub fn take(&self, per_second: u32, now: Instant) -> bool {
        let cap = f64::from(per_second);
        if per_second == 0 {
            return true;
        }
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let last = bucket.unwrap_or(Bucket { tokens: cap, at: now });
        let filled = last.tokens + now.saturating_duration_since(last.at).as_secs_f64() * cap;
        let tokens = filled.min(cap);
        let taken = tokens >= 1.0;
        let left = if taken { tokens - 1.0 } else { tokens };
        *bucket = Some(Bucket { tokens: left, at: now });
        taken
    }
}
