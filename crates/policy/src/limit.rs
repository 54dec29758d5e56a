//! Limits of one client account on all entry hosts together.
//!
//! Each entry host grants its share: the limit divided by the number of entry hosts believed alive.
//! No request needs a message between hosts, and a host that is cut off continues to grant its
//! share.

use crate::domain;
use crate::time::Millis;

/// How many seconds of the allowed rate may arrive at once after a quiet time.
pub const BURST_SECONDS: f64 = 1.0;

domain! {
    /// The limits of a client account, for all entry hosts together.
    #[derive(Copy, Default)]
    pub struct Limit {
        /// Requests per second; 0 means no limit.
        pub requests_per_second: f64,
        /// Requests in flight at once; 0 means no limit.
        pub in_flight: u32,
    }

    /// What one entry host has granted of its share of an account's limits.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Requests that may still arrive at once; a token bucket.
        tokens: f64,
        /// When the tokens were last refilled; none before the first request.
        filled: Option<Millis>,
        /// Requests in flight on this entry host.
        pub in_flight: u32,
    }

    /// Whether a request is within the limits.
    #[derive(Copy)]
    pub enum Verdict {
        /// The request is granted and counts as in flight until [`Usage::release`].
        Granted,
        /// The request exceeds the limits and is rejected.
        Refused {
            /// How long the caller should wait before sending it again, in milliseconds.
            retry_after_ms: u64,
        },
    }
}

impl Usage {
    /// Grants or rejects one request; `entry_hosts` is the number of entry hosts that share the
    /// limit, and `jitter` a uniform draw from 0 to 1 that spreads the times at which callers come
    /// back.
    pub fn acquire(
        &mut self,
        limit: &Limit,
        entry_hosts: u32,
        jitter: f64,
        now: Millis,
    ) -> Verdict {
        let entry_hosts = entry_hosts.max(1);
        let rate = limit.requests_per_second / f64::from(entry_hosts);
        self.refill(rate, now);
        let share = limit.in_flight.div_ceil(entry_hosts);
        let wait_ms = (1.0 - self.tokens) / rate * 1000.0;
        match limit {
            _ if limit.in_flight > 0 && self.in_flight >= share => refuse(1000.0, jitter),
            _ if rate > 0.0 && self.tokens < 1.0 => refuse(wait_ms, jitter),
            _ => {
                self.tokens -= if rate > 0.0 { 1.0 } else { 0.0 };
                self.in_flight += 1;
                Verdict::Granted
            }
        }
    }

    /// Records the end of a granted request.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn refill(&mut self, rate: f64, now: Millis) {
        let most = (rate * BURST_SECONDS).max(1.0);
        self.tokens = match self.filled {
            None => most,
            Some(filled) => (self.tokens + rate * now.since(filled) as f64 / 1000.0).min(most),
        };
        self.filled = Some(self.filled.map_or(now, |filled| filled.max(now)));
    }
}

fn refuse(wait_ms: f64, jitter: f64) -> Verdict {
    Verdict::Refused { retry_after_ms: (wait_ms * (1.0 + jitter)).ceil().max(1.0) as u64 }
}
