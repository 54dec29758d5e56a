//! How many requests a host may send to a backend server that takes a limited number, because it
//! has said so or because it has just started and is still warming up.
//!
//! The limit holds for all hosts together, and no host sees what the others send. The rate is
//! therefore divided by rules that all hosts know. Nearly all of it goes to hosts of the server's
//! own failure domain, in shares large enough to be used up: where many hosts share a small limit,
//! only a few by rank get one, and the others send nothing. In each other domain one host sends a
//! request occasionally, which shows it when the limit has ended.

use crate::domain;
use crate::time::Millis;

/// Least rate that one host is given, in requests a second, if the limit is that high. Smaller
/// shares would stay unused: the host with a free share gets no request, and the hosts that get one
/// have no share.
const HOST_RATE_MIN: f64 = 1.0;
/// Least rate that one host is given while a server warms up, in requests a second. The server's
/// limit holds in each second; with many small shares, many hosts would save them up and use them
/// in the same second.
const WARMUP_HOST_RATE_MIN: f64 = 2.0;
/// Share of a limit that hosts of other failure domains divide.
const OTHER_DOMAINS_SHARE: f64 = 0.1;
/// Tokens that a host has when a server begins to warm up, in requests. Without them the first of
/// the few seconds would go unused.
const WARMUP_INITIAL_TOKENS: f64 = 0.5;
/// Time for which a host can save up its rate, in seconds.
const BURST_S: f64 = 0.5;
/// Lower bound of what a host may save up, in requests.
const CAPACITY_MIN: f64 = 1.0;
/// Lower bound of what a host may save up while a server warms up, in requests. It exceeds 1, so
/// that tokens which gather while the host has no request to send are not lost.
const WARMUP_CAPACITY_MIN: f64 = 1.5;
/// How long the end of a limit is reported to other hosts, in milliseconds. Within that time each
/// host's next heartbeat reaches the hosts that missed the message.
const ENDED_REPORT_MS: u64 = 15_000;

domain! {
    /// How many requests a server takes.
    #[derive(Copy, Default)]
    pub struct Limit {
        /// Requests a second from all hosts together; none if the server takes any number.
        pub per_second: Option<f64>,
        /// When the server stated this.
        pub at: Millis,
        /// When the server is warm and the limit ends by itself; none if the limit holds until the
        /// server states something else.
        #[serde(default)]
        pub until: Option<Millis>,
    }
}

/// The position of a host among those that may send to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// Number of hosts of the host's own failure domain that rank before it; the order differs for
    /// each server.
    pub before: usize,
    /// Number of hosts of its failure domain, the host itself included.
    pub hosts: usize,
    /// Whether the server is in the host's failure domain.
    pub is_near: bool,
    /// Number of failure domains.
    pub domains: usize,
}

/// How many requests one host may send to one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    /// The limit that the server stated last.
    stated: Limit,
    /// The limit until the server is warm.
    warmup: Limit,
    /// Requests that the host may send, as of `refilled_at`.
    tokens: f64,
    refilled_at: Millis,
}

impl Limit {
    /// Returns the limit with its times on another clock; `from` and `to` are the same moment on
    /// the old and the new clock.
    #[must_use]
    pub fn on_clock(self, from: Millis, to: Millis) -> Self {
        let until = self.until.map(|until| to + until.since(from));
        Self { at: to - from.since(self.at), until, ..self }
    }

    /// Creates the limit of a server that is warm at `until`.
    #[must_use]
    pub fn warmup(per_second: f64, until: Millis, now: Millis) -> Self {
        Self { per_second: Some(per_second), at: now, until: Some(until) }
    }

    fn is_in_force(&self, now: Millis) -> bool {
        self.per_second.is_some() && self.until.is_none_or(|until| now < until)
    }

    fn capacity_min(&self) -> f64 {
        if self.until.is_some() { WARMUP_CAPACITY_MIN } else { CAPACITY_MIN }
    }

    /// Requests a second that the host at `place` may send; 0 without a limit.
    #[must_use]
    pub fn rate(&self, place: &Place) -> f64 {
        let rate_min = if self.until.is_some() { WARMUP_HOST_RATE_MIN } else { HOST_RATE_MIN };
        self.per_second.map_or(0.0, |per_second| host_rate(per_second, rate_min, place))
    }
}

impl Throttle {
    /// Whether the server takes a limited number of requests now.
    #[must_use]
    pub fn is_limited(&self, now: Millis) -> bool {
        self.stated.is_in_force(now) || self.warmup.is_in_force(now)
    }

    /// Time until the server is warm, in milliseconds; 0 if it is.
    #[must_use]
    pub fn warmup_ms(&self, now: Millis) -> u64 {
        self.warmup.until.map_or(0, |until| until.since(now))
    }

    /// Returns the limit that the server stated last if other hosts should be told: it is a real
    /// limit, or the recent end of one.
    #[must_use]
    pub fn shared(&self, now: Millis) -> Option<Limit> {
        let is_new = self.stated.at > Millis(0) && now.since(self.stated.at) < ENDED_REPORT_MS;
        (self.stated.per_second.is_some() || is_new).then_some(self.stated)
    }

    /// Requests a second that the server takes now from all hosts; none if it is not limited.
    #[must_use]
    pub fn per_second(&self, now: Millis) -> Option<f64> {
        let in_force = self.in_force(now).filter_map(|limit| limit.per_second);
        in_force.min_by(f64::total_cmp)
    }

    /// Records an answer, with a limit or without one, to a request sent at `sent`. Returns whether
    /// the limit changes. An answer without a limit is ignored if the limit was stated after the
    /// request was sent, because answers overtake each other.
    pub fn record_answer(&mut self, per_second: Option<f64>, sent: Millis, now: Millis) -> bool {
        let is_outdated = per_second.is_none() && sent <= self.stated.at;
        if is_outdated || (per_second.is_none() && self.stated.per_second.is_none()) {
            return false;
        }
        self.set_stated(Limit { per_second, at: now, until: None }, now)
    }

    /// Takes over a limit from another host or from the server's entry. Returns whether this
    /// changes what the host knew.
    pub fn learn(&mut self, limit: Limit, now: Millis) -> bool {
        match limit.until {
            Some(until) => self.learn_warmup(limit, until, now),
            None => limit.at > self.stated.at && self.set_stated(limit, now),
        }
    }

    /// Takes over a warm-up that ends later than the known one. A host that knows an earlier end
    /// may not know that the server has started again.
    fn learn_warmup(&mut self, limit: Limit, until: Millis, now: Millis) -> bool {
        if until <= now.max(self.warmup.until.unwrap_or_default()) {
            return false;
        }
        let is_news = !self.warmup.is_in_force(now);
        self.start_filling(WARMUP_INITIAL_TOKENS, now);
        self.warmup = limit;
        is_news
    }

    fn set_stated(&mut self, limit: Limit, now: Millis) -> bool {
        let is_news = limit.per_second != self.stated.per_second;
        self.start_filling(0.0, now);
        self.stated = limit;
        is_news
    }

    /// Sets the tokens at the start of a limit; does nothing if another limit is in force already.
    fn start_filling(&mut self, tokens: f64, now: Millis) {
        if !self.is_limited(now) {
            self.tokens = tokens;
            self.refilled_at = now;
        }
    }

    /// Whether the host may send a request now.
    #[must_use]
    pub fn has_room(&self, place: &Place, now: Millis) -> bool {
        !self.is_limited(now) || self.tokens(place, now) >= 1.0
    }

    /// Records that the host sends a request.
    pub fn record_sent(&mut self, place: &Place, now: Millis) {
        self.tokens = (self.tokens(place, now) - 1.0).max(0.0);
        self.refilled_at = now;
    }

    /// Tokens that the host has now, in requests.
    fn tokens(&self, place: &Place, now: Millis) -> f64 {
        let in_force = self.in_force(now).map(|limit| (limit.rate(place), limit.capacity_min()));
        let (rate, capacity_min) = in_force.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or_default();
        let added = rate * now.since(self.refilled_at) as f64 / 1_000.0;
        (self.tokens + added).min((rate * BURST_S).max(capacity_min))
    }

    fn in_force(&self, now: Millis) -> impl Iterator<Item = &Limit> {
        [&self.stated, &self.warmup].into_iter().filter(move |limit| limit.is_in_force(now))
    }
}

/// Requests a second that the host at `place` may send, where the server takes `limit` from all
/// hosts. Hosts of the server's failure domain get equal shares of about `rate_min` or more, in the
/// order of their ranks; those without a share get 0.
fn host_rate(limit: f64, rate_min: f64, place: &Place) -> f64 {
    let others = place.domains.saturating_sub(1) as f64;
    let far = if others > 0.0 { OTHER_DOMAINS_SHARE * limit } else { 0.0 };
    let near = limit - far;
    let shares = (near / rate_min).ceil().clamp(1.0, place.hosts.max(1) as f64);
    match place.is_near {
        true if (place.before as f64) < shares => near / shares,
        false if place.before == 0 => far / others.max(1.0),
        _ => 0.0,
    }
}
