//! What one client account may use at most, on all entry hosts together.
//!
//! Each entry host grants its part: the limit divided by the entry hosts believed alive. No
//! message is needed for a request, and a host that is cut off goes on granting its part.

use crate::domain;
use crate::time::Millis;

/// Seconds of the rate that may come at once after a quiet time.
pub const BURST_SECONDS: f64 = 1.0;

domain! {
    /// The limit on all entry hosts together.
    #[derive(Copy, Default)]
    pub struct Limit {
        /// Requests a second; 0 is no limit.
        pub requests_per_second: f64,
        /// Requests at once; 0 is no limit.
        pub in_flight: u32,
    }

    /// What one entry host has granted of it.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Requests that may still come at once.
        tokens: f64,
        /// When the tokens were last filled up.
        filled: Option<Millis>,
        /// Requests under way.
        pub in_flight: u32,
    }

    /// Whether a request may go on.
    #[derive(Copy)]
    pub enum Verdict {
        /// It counts as under way until [`Usage::release`].
        Granted,
        /// Over the limit.
        Refused {
            /// When a later try can succeed, in milliseconds.
            retry_after_ms: u64,
        },
    }
}

impl Usage {
    /// Asks for one request; `entries` is how many entry hosts share the limit, `jitter` a
    /// uniform draw from 0 to 1 that spreads the later tries.
    pub fn acquire(&mut self, limit: &Limit, entries: u32, jitter: f64, now: Millis) -> Verdict {
        let entries = entries.max(1);
        let rate = limit.requests_per_second / f64::from(entries);
        self.fill(rate, now);
        let part = limit.in_flight.div_ceil(entries);
        let wait_ms = (1.0 - self.tokens) / rate * 1000.0;
        match limit {
            _ if limit.in_flight > 0 && self.in_flight >= part => refused(1000.0, jitter),
            _ if rate > 0.0 && self.tokens < 1.0 => refused(wait_ms, jitter),
            _ => {
                self.tokens -= if rate > 0.0 { 1.0 } else { 0.0 };
                self.in_flight += 1;
                Verdict::Granted
            }
        }
    }

    /// A granted request has ended.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn fill(&mut self, rate: f64, now: Millis) {
        let most = (rate * BURST_SECONDS).max(1.0);
        self.tokens = match self.filled {
            None => most,
            Some(filled) => (self.tokens + rate * now.since(filled) as f64 / 1000.0).min(most),
        };
        self.filled = Some(self.filled.map_or(now, |filled| filled.max(now)));
    }
}

fn refused(wait_ms: f64, jitter: f64) -> Verdict {
    Verdict::Refused { retry_after_ms: (wait_ms * (1.0 + jitter)).ceil().max(1.0) as u64 }
}
