//! How many requests a host sends to a backend server that takes only so many: because it says so, or
//! because it has just started and is not warm.
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
/// The same while a server warms up. Its limit holds in each second: many small parts would be saved
/// up by as many hosts and sent in the same one.
const WARMUP_PART: f64 = 2.0;
/// Part of a limit that hosts of other failure domains share.
const FAR_PART: f64 = 0.1;
/// Part of a request that a host has saved up when a server begins to warm up: else the first of few
/// seconds would go unused.
const WARMUP_ROOM: f64 = 0.5;
/// What a host may save up in a pause, in seconds of its rate.
const BURST_S: f64 = 0.5;
/// What it may save up at least, in requests. Until a server is warm, more than one: what comes
/// together while a host has no caller to send is not lost.
const SAVED_MIN: f64 = 1.0;
const WARMUP_SAVED_MIN: f64 = 1.5;
/// A limit that has ended is reported for this long, in milliseconds: the next sign of life of each
/// host reaches those that missed the message.
const SHARED_MS: u64 = 15_000;

domain! {
    /// How much a server takes.
    #[derive(Copy, Default)]
    pub struct Limit {
        /// Requests a second, from all hosts together; none if it takes any number.
        pub per_second: Option<f64>,
        /// When it said so.
        pub at: Millis,
        /// When it ends by itself, the server being warm; none if it holds until the server says
        /// something else.
        #[serde(default)]
        pub until: Option<Millis>,
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
    /// What the server said last.
    named: Limit,
    /// Until it is warm.
    warmup: Limit,
    room: f64,
    filled_at: Millis,
}

impl Limit {
    /// The same with its time on another clock; `from` and `to` are the same moment on both.
    #[must_use]
    pub fn on_clock(self, from: Millis, to: Millis) -> Self {
        let until = self.until.map(|until| to + until.since(from));
        Self { at: to - from.since(self.at), until, ..self }
    }

    /// Of a server that is warm then.
    #[must_use]
    pub fn warmup(per_second: f64, until: Millis, now: Millis) -> Self {
        Self { per_second: Some(per_second), at: now, until: Some(until) }
    }

    fn is_in_force(&self, now: Millis) -> bool {
        self.per_second.is_some() && self.until.is_none_or(|until| now < until)
    }

    fn saved_min(&self) -> f64 {
        if self.until.is_some() { WARMUP_SAVED_MIN } else { SAVED_MIN }
    }

    /// Requests a second that a host at a place may send.
    #[must_use]
    pub fn rate(&self, place: &Place) -> f64 {
        let part = if self.until.is_some() { WARMUP_PART } else { PART };
        self.per_second.map_or(0.0, |per_second| share(per_second, part, place))
    }
}

impl Throttle {
    /// Whether the server takes only so many requests now.
    #[must_use]
    pub fn is_limited(&self, now: Millis) -> bool {
        self.named.is_in_force(now) || self.warmup.is_in_force(now)
    }

    /// Until the server is warm, in milliseconds.
    #[must_use]
    pub fn warmup_ms(&self, now: Millis) -> u64 {
        self.warmup.until.map_or(0, |until| until.since(now))
    }

    /// What the server said last, if others should know it.
    #[must_use]
    pub fn shared(&self, now: Millis) -> Option<Limit> {
        let is_new = self.named.at > Millis(0) && now.since(self.named.at) < SHARED_MS;
        (self.named.per_second.is_some() || is_new).then_some(self.named)
    }

    /// Requests a second that the server takes now, if they are limited.
    #[must_use]
    pub fn per_second(&self, now: Millis) -> Option<f64> {
        let in_force = self.in_force(now).filter_map(|limit| limit.per_second);
        in_force.min_by(f64::total_cmp)
    }

    /// An answer came to a request that was sent then, with a limit or without; whether that is
    /// news. Without one it says nothing if the limit was named since: answers overtake each other.
    pub fn heard(&mut self, per_second: Option<f64>, sent: Millis, now: Millis) -> bool {
        let is_outdated = per_second.is_none() && sent <= self.named.at;
        if is_outdated || (per_second.is_none() && self.named.per_second.is_none()) {
            return false;
        }
        self.set(Limit { per_second, at: now, until: None }, now)
    }

    /// Another host says how much the server takes, or its entry does; whether that is news.
    pub fn learn(&mut self, limit: Limit, now: Millis) -> bool {
        match limit.until {
            Some(until) => self.warms_until(limit, until, now),
            None => limit.at > self.named.at && self.set(limit, now),
        }
    }

    /// Of two times at which it may be warm the later one holds: who knows of an earlier one may not
    /// know that it has started again.
    fn warms_until(&mut self, limit: Limit, until: Millis, now: Millis) -> bool {
        if until <= now.max(self.warmup.until.unwrap_or_default()) {
            return false;
        }
        let is_news = !self.warmup.is_in_force(now);
        self.begin(WARMUP_ROOM, now);
        self.warmup = limit;
        is_news
    }

    fn set(&mut self, limit: Limit, now: Millis) -> bool {
        let is_news = limit.per_second != self.named.per_second;
        self.begin(0.0, now);
        self.named = limit;
        is_news
    }

    /// What is saved up when a first limit begins.
    fn begin(&mut self, room: f64, now: Millis) {
        if !self.is_limited(now) {
            self.room = room;
            self.filled_at = now;
        }
    }

    /// Whether the host may send a request now.
    #[must_use]
    pub fn has_room(&self, place: &Place, now: Millis) -> bool {
        !self.is_limited(now) || self.filled(place, now) >= 1.0
    }

    /// The host sends a request.
    pub fn sent(&mut self, place: &Place, now: Millis) {
        self.room = (self.filled(place, now) - 1.0).max(0.0);
        self.filled_at = now;
    }

    fn filled(&self, place: &Place, now: Millis) -> f64 {
        let in_force = self.in_force(now).map(|limit| (limit.rate(place), limit.saved_min()));
        let (rate, saved_min) = in_force.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or_default();
        let added = rate * now.since(self.filled_at) as f64 / 1_000.0;
        (self.room + added).min((rate * BURST_S).max(saved_min))
    }

    fn in_force(&self, now: Millis) -> impl Iterator<Item = &Limit> {
        [&self.named, &self.warmup].into_iter().filter(move |limit| limit.is_in_force(now))
    }
}

/// Requests a second that a host at a place may send to a server, in parts as large as that.
fn share(limit: f64, part: f64, place: &Place) -> f64 {
    let others = place.domains.saturating_sub(1) as f64;
    let far = if others > 0.0 { FAR_PART * limit } else { 0.0 };
    let near = limit - far;
    let parts = (near / part).ceil().clamp(1.0, place.hosts.max(1) as f64);
    match place.is_near {
        true if (place.before as f64) < parts => near / parts,
        false if place.before == 0 => far / others.max(1.0),
        _ => 0.0,
    }
}
