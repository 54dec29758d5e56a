//! A pause that a backend server asks one host for.
//!
//! A server that rejects a request may say for how long it wants no more requests from that host.
//! The pause holds for that host alone: the server asks other hosts itself.
//!
//! When a pause is over, one request is sent as a trial, and others follow once it is answered.
//! Otherwise hosts that were rejected together would return together with all of their requests and
//! be rejected again.

use crate::time::Millis;

/// Longest pause that a host keeps, in milliseconds; longer ones are shortened to it.
pub const MAX_MS: u64 = 3_600_000;
/// Pause that a host keeps where the server's value can't be parsed, in milliseconds.
pub const UNREADABLE_MS: u64 = 1_000;
/// Longest random extension of a pause, as a fraction of it, so that hosts don't return together.
const SPREAD_FRACTION: f64 = 0.25;
/// Time after which a trial without an answer is followed by another, in milliseconds.
const TRIAL_TIMEOUT_MS: u64 = 1_000;

/// The state of one server's pause; without one by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pause {
    until: Option<Millis>,
    /// When a trial was last sent after the end of the pause.
    trial_at: Option<Millis>,
}

/// Parses a pause in seconds into milliseconds, up to [`MAX_MS`]; none if the text is not a
/// non-negative number.
#[must_use]
pub fn parse_seconds(text: &str) -> Option<u64> {
    let seconds: f64 = text.trim().parse().ok()?;
    let is_time = seconds.is_finite() && seconds >= 0.0;
    is_time.then(|| (seconds * 1_000.0).min(MAX_MS as f64) as u64)
}

impl Pause {
    /// Begins or extends the pause, as the server asks; `draw` is a uniform draw from 0 to 1.
    /// Returns whether no pause was running.
    pub fn extend(&mut self, ms: u64, draw: f64, now: Millis) -> bool {
        let ms = ms.min(MAX_MS);
        if ms == 0 {
            return false;
        }
        let until = now + ms + (ms as f64 * SPREAD_FRACTION * draw) as u64;
        let is_news = self.until.is_none_or(|until| until <= now);
        self.until = self.until.max(Some(until));
        self.trial_at = None;
        is_news
    }

    /// Records that the server accepted a request sent at `sent`, which clears a pause that had
    /// ended by then. Answers to requests sent earlier prove nothing.
    pub fn record_answer(&mut self, sent: Millis) {
        if self.until.is_some_and(|until| sent >= until) {
            *self = Self::default();
        }
    }

    /// Records that this host sends the server a request; after the end of the pause it is a trial.
    pub fn record_sent(&mut self, now: Millis) {
        if self.until.is_some_and(|until| until <= now) {
            self.trial_at = Some(now);
        }
    }

    /// Whether a pause is running, or has ended without an answered trial so far.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.until.is_some()
    }

    /// Whether the pause is running now. A trial after its end doesn't count.
    #[must_use]
    pub fn is_running(&self, now: Millis) -> bool {
        self.until.is_some_and(|until| until > now)
    }

    /// When the next request may be sent; none if one may be sent now.
    #[must_use]
    pub fn until(&self, now: Millis) -> Option<Millis> {
        let trial = self.trial_at.map(|at| at + TRIAL_TIMEOUT_MS);
        self.until.max(trial).filter(|until| *until > now)
    }
}
