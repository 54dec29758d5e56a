//! A pause that a backend server asks one host for.
//!
//! A server that turns a request away may say for how long it wants nothing from that host. What other
//! hosts do is not this one's business: they are asked for themselves.
//!
//! When a pause is over one request is sent as a trial, and the others follow once it is answered. Hosts
//! that were turned away together would else come back together with all that they have, and be turned
//! away again.

use crate::time::Millis;

/// Longest pause that is kept, in milliseconds.
pub const MAX_MS: u64 = 3_600_000;
/// Pause kept where a server asks for one that can't be read, in milliseconds.
pub const UNREADABLE_MS: u64 = 1_000;
/// How much longer a host waits at most, as a part of the pause, so that hosts don't return together.
const SPREAD: f64 = 0.25;
/// A trial that is not answered within this time is followed by another, in milliseconds.
const TRIAL_MS: u64 = 1_000;

/// A pause of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pause {
    until: Option<Millis>,
    /// When a trial was last sent after that.
    trial_at: Option<Millis>,
}

/// How long a pause of so many seconds is, in milliseconds; none if the text is no such number.
#[must_use]
pub fn parse_seconds(text: &str) -> Option<u64> {
    let seconds: f64 = text.trim().parse().ok()?;
    let is_time = seconds.is_finite() && seconds >= 0.0;
    is_time.then(|| (seconds * 1_000.0).min(MAX_MS as f64) as u64)
}

impl Pause {
    /// The server asks for a pause; `draw` is a uniform draw. Whether it wanted none until now.
    pub fn extend(&mut self, ms: u64, draw: f64, now: Millis) -> bool {
        let ms = ms.min(MAX_MS);
        if ms == 0 {
            return false;
        }
        let until = now + ms + (ms as f64 * SPREAD * draw) as u64;
        let is_news = self.until.is_none_or(|until| until <= now);
        self.until = self.until.max(Some(until));
        self.trial_at = None;
        is_news
    }

    /// The server took a request that was sent then. Answers to those sent before the end say nothing.
    pub fn record_answer(&mut self, sent: Millis) {
        if self.until.is_some_and(|until| sent >= until) {
            *self = Self::default();
        }
    }

    /// This host sends the server a request.
    pub fn record_sent(&mut self, now: Millis) {
        if self.until.is_some_and(|until| until <= now) {
            self.trial_at = Some(now);
        }
    }

    /// Whether there is one, or its end is not proved yet.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.until.is_some()
    }

    /// Whether the server wants nothing now, trials aside.
    #[must_use]
    pub fn is_running(&self, now: Millis) -> bool {
        self.until.is_some_and(|until| until > now)
    }

    /// When a request may be sent, if not now.
    #[must_use]
    pub fn until(&self, now: Millis) -> Option<Millis> {
        let trial = self.trial_at.map(|at| at + TRIAL_MS);
        self.until.max(trial).filter(|until| *until > now)
    }
}
