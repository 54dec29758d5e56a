//! How many requests a host sends to a backend server that names how many it takes.
//!
//! The limit holds for all hosts together, and no host sees what the others send. So the rate is
//! divided by rules that all of them know. Nearly all of it goes to hosts of the server's own failure
//! domain, in parts large enough to be used up: where many hosts share a small limit, a few by rank.
//! The others leave the server alone. In each other domain one host sends a request now and then, and
//! so learns when the limit has ended.

use crate::domain;
use crate::time::Millis;

/// Requests a second that one host is given at least, if the limit is that high. Smaller parts would
/// stay unused: the host that has room gets no request, and those that get one have no room.
const PART: f64 = 1.0;
/// Part of a limit that hosts of other failure domains share.
const FAR_PART: f64 = 0.1;
/// What a host may send at once after a pause, in seconds of its rate; one request at least.
const BURST_S: f64 = 0.5;
/// A limit that has ended is told of for this long, in milliseconds: the next sign of life of each
/// host reaches those that missed the message.
const SHARED_MS: u64 = 15_000;

domain! {
    /// What a server said last of how much it takes.
    #[derive(Copy, Default)]
    pub struct Limit {
        /// Requests a second, from all hosts together; none if it takes any number.
        pub per_second: Option<f64>,
        /// When it said so.
        pub at: Millis,
    }
}

/// Where a host stands among those that may send to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// Hosts of its failure domain whose turn comes before its own; another order for each server.
    pub before: usize,
    /// Hosts of its failure domain, itself included.
    pub hosts: usize,
    /// The server stands in its failure domain.
    pub is_near: bool,
    /// Failure domains.
    pub domains: usize,
}

/// What one host may send to one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    limit: Limit,
    room: f64,
    filled_at: Millis,
}

impl Limit {
    /// The same with its time on another clock; `from` and `to` are the same moment on both.
    #[must_use]
    pub fn on_clock(self, from: Millis, to: Millis) -> Self {
        Self { at: to - from.since(self.at), ..self }
    }
}

impl Throttle {
    /// Whether the server takes only so many requests.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.limit.per_second.is_some()
    }

    /// What the server said last, if others should know it.
    #[must_use]
    pub fn shared(&self, now: Millis) -> Option<Limit> {
        let is_new = self.limit.at > Millis(0) && now.since(self.limit.at) < SHARED_MS;
        (self.is_limited() || is_new).then_some(self.limit)
    }

    /// An answer came to a request that was sent then, with a limit or without; whether that is
    /// news. Without one it says nothing if the limit was named since: answers overtake each other.
    pub fn heard(&mut self, per_second: Option<f64>, sent: Millis, now: Millis) -> bool {
        let is_outdated = per_second.is_none() && sent <= self.limit.at;
        if is_outdated || (per_second.is_none() && !self.is_limited()) {
            return false;
        }
        self.set(Limit { per_second, at: now }, now)
    }

    /// Another host says what the server said; whether that is news.
    pub fn learn(&mut self, limit: Limit, now: Millis) -> bool {
        limit.at > self.limit.at && self.set(limit, now)
    }

    fn set(&mut self, limit: Limit, now: Millis) -> bool {
        let is_news = limit.per_second != self.limit.per_second;
        if !self.is_limited() {
            self.room = 0.0;
            self.filled_at = now;
        }
        self.limit = limit;
        is_news
    }

    /// Whether the host may send a request now.
    #[must_use]
    pub fn has_room(&self, place: &Place, now: Millis) -> bool {
        !self.is_limited() || self.filled(place, now) >= 1.0
    }

    /// The host sends a request.
    pub fn sent(&mut self, place: &Place, now: Millis) {
        self.room = (self.filled(place, now) - 1.0).max(0.0);
        self.filled_at = now;
    }

    fn filled(&self, place: &Place, now: Millis) -> f64 {
        let rate = self.limit.per_second.map_or(0.0, |limit| rate(limit, place));
        let added = rate * now.since(self.filled_at) as f64 / 1_000.0;
        (self.room + added).min((rate * BURST_S).max(1.0))
    }
}

/// Requests a second that a host at a place may send to a server with a limit.
#[must_use]
pub fn rate(limit: f64, place: &Place) -> f64 {
    let others = place.domains.saturating_sub(1) as f64;
    let far = if others > 0.0 { FAR_PART * limit } else { 0.0 };
    let near = limit - far;
    let parts = (near / PART).ceil().clamp(1.0, place.hosts.max(1) as f64);
    match place.is_near {
        true if (place.before as f64) < parts => near / parts,
        false if place.before == 0 => far / others.max(1.0),
        _ => 0.0,
    }
}
