//! Faults of the platform, and its rate limits.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use policy::domain;

use crate::fault::Outage;

domain! {
    /// The faults of a platform; all are off by default.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Faults {
        /// Whether the platform is out of service, and how it shows.
        pub down: Outage,
        /// Whether the platform accepts requests and never answers them; they have no effect.
        pub silent: bool,
        /// Time that each request waits before it takes effect, in milliseconds. It takes effect
        /// even if the caller has gone meanwhile.
        pub delay_ms: u64,
        /// Number of writes whose answers are still to be lost: each write takes effect (or
        /// conflicts), then its connection breaks. Counts down.
        pub lose_answers: u64,
        /// Time after which a write takes effect, in milliseconds, if its conditions hold then; its
        /// connection breaks at once. 0 turns this off: writes take effect at once and are
        /// answered.
        pub late_ms: u64,
        /// Most writes a second; further ones get 429. 0 is no limit.
        pub writes_per_second: u32,
        /// Most reads a second; further ones get 429. 0 is no limit.
        pub reads_per_second: u32,
        /// Age of the host list that readers see, in milliseconds.
        pub lag_ms: u64,
    }
}

impl Faults {
    /// The platform rejects each call with 503.
    #[must_use]
    pub fn unavailable() -> Self {
        Self { down: Outage::Unavailable, ..Self::default() }
    }

    /// The platform accepts calls and never answers them.
    #[must_use]
    pub fn silenced() -> Self {
        Self { silent: true, ..Self::default() }
    }

    /// The platform makes all writes and answers none of them.
    #[must_use]
    pub fn losing_answers() -> Self {
        Self { lose_answers: u64::MAX, ..Self::default() }
    }

    /// The platform makes all writes after this time, in milliseconds, and answers none of them.
    #[must_use]
    pub fn late(late_ms: u64) -> Self {
        Self { late_ms, ..Self::default() }
    }
}

/// Limits a rate with a token bucket, which holds the tokens of one second.
#[derive(Default)]
pub struct RateLimiter(Mutex<Option<Bucket>>);

#[derive(Clone, Copy)]
struct Bucket {
    tokens: f64,
    filled_at: Instant,
}

impl RateLimiter {
    /// Takes a token for one call; false if none is left. With a limit of 0 a second each call is
    /// allowed.
    pub fn try_acquire(&self, per_second: u32, now: Instant) -> bool {
        let limit = f64::from(per_second);
        if per_second == 0 {
            return true;
        }
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let last = bucket.unwrap_or(Bucket { tokens: limit, filled_at: now });
        let filled =
            last.tokens + now.saturating_duration_since(last.filled_at).as_secs_f64() * limit;
        let tokens = filled.min(limit);
        let is_allowed = tokens >= 1.0;
        let remaining = if is_allowed { tokens - 1.0 } else { tokens };
        *bucket = Some(Bucket { tokens: remaining, filled_at: now });
        is_allowed
    }
}
