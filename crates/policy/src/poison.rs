//! Requests that end the servers that run them.
//!
//! Such a request comes again, at any host, under another id. Each host notes which requests it lost
//! when a server ended, and tells the others; what all of them saw decides. Most of those requests
//! are only victims of the one that ended the server: an answer clears a request, and a victim is
//! answered elsewhere. One that is lost with server after server, and never answered, is held back.

pub mod book;
pub mod polls;
pub mod recent;

use std::fmt;

pub use book::{Book, Run};
pub use polls::Polls;
pub use recent::Recent;

use crate::domain;
use crate::name::Name;
use crate::time::Millis;

/// Weight of a server's end early in the run: a request that ends servers does so when they begin
/// to run it.
const EARLY: u32 = 2;
/// Weight of an end later in the run. Most of those are victims, which wait longest where long
/// answers are given; a request that ends servers late is known after twice as many.
const SETTLED: u32 = 1;
/// Weight of one server.
const SERVER: u32 = EARLY;
/// Servers after which only one host at a time may send a request, to one server. An innocent request
/// meets two ends in a row by chance where servers fall often, so it is not kept waiting for that.
const SUSPECT: u32 = 2;
/// Servers after which a request is held.
const HELD: u32 = 3;
/// A request that was answered is innocent for this long, in milliseconds, whatever it is lost with.
const CLEARED_MS: u64 = 60_000;
/// A request is forgotten this long after the last server that ended under it, in milliseconds.
const FORGET_MS: u64 = 24 * 3_600_000;
/// Time until a request is tried again after so many servers, from [`HELD`] on, in milliseconds. After
/// the third server three tries are left for as long as the request is remembered: whoever operates
/// the servers may have mended them.
const HOLDS_MS: [u64; 3] = [60_000, 600_000, 3_600_000];
/// For how long a host has the only try of a request that is not held, in milliseconds: until its
/// server has ended, or has begun to answer.
const TRIAL_MS: u64 = 2_000;
/// Two ends of servers of one name that are closer than this are the same one, and so are two answers,
/// in milliseconds.
const SAME_MS: u64 = 1_000;
/// Ends kept for one request; they weigh more than is needed to hold it for good.
const CRASHES_MAX: usize = 12;

domain! {
    /// Names a request by what its caller sent, whichever try and host: another try has another id.
    #[derive(Copy, Eq, Hash, Ord, PartialOrd)]
    #[serde(transparent)]
    pub struct Digest(pub u64);

    /// A server that ended under a request.
    pub struct Crash {
        /// The server's start.
        pub server: Name,
        /// When the request was lost.
        pub at: Millis,
        /// Its answer had not begun, or only just.
        pub is_early: bool,
    }

    /// What is known of one request.
    pub struct Suspect {
        /// The request.
        pub digest: Digest,
        /// Servers that ended under it, as far as they count.
        pub crashes: Vec<Crash>,
        /// When a server last answered it.
        #[serde(default)]
        pub answered_at: Option<Millis>,
    }
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may be sent.
    Run,
    /// It may be sent to one server, if no other host does so; see [`trial_ms`].
    Trial {
        /// Servers that speak against it.
        servers: u32,
    },
    /// It is not sent for so long, in milliseconds.
    Hold(u64),
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Suspect {
    /// One that nothing is known of.
    #[must_use]
    pub fn new(digest: Digest) -> Self {
        Self { digest, crashes: Vec::new(), answered_at: None }
    }

    /// The same with its times on another clock; `from` and `to` are the same moment on both.
    #[must_use]
    pub fn on_clock(mut self, from: Millis, to: Millis) -> Self {
        let moved = |at: Millis| to - from.since(at);
        self.crashes.iter_mut().for_each(|crash| crash.at = moved(crash.at));
        self.answered_at = self.answered_at.map(moved);
        self
    }

    /// Servers that speak against it.
    #[must_use]
    pub fn servers(&self, now: Millis) -> u32 {
        self.weight(now) / SERVER
    }

    /// When it was last lost with a server, if that speaks against it.
    #[must_use]
    pub fn last(&self) -> Option<Millis> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// What is to be done with it.
    #[must_use]
    pub fn verdict(&self, now: Millis) -> Verdict {
        let servers = self.servers(now);
        let Some(last) = self.last().filter(|_| servers >= SUSPECT) else { return Verdict::Run };
        match hold_ms(servers).saturating_sub(now.since(last)) {
            0 => Verdict::Trial { servers },
            left => Verdict::Hold(left),
        }
    }

    /// Whether hosts elsewhere should know of it: it is held, or may well be one that ends servers
    /// at once.
    #[must_use]
    pub fn is_notable(&self, now: Millis, unanswered_ms: u64) -> bool {
        let waited = self.last().is_some_and(|last| now.since(last) >= unanswered_ms);
        let has_early = self.crashes.iter().any(|crash| crash.is_early);
        match self.servers(now) {
            0 => false,
            servers if servers < SUSPECT => waited && has_early,
            _ => true,
        }
    }

    fn weight(&self, now: Millis) -> u32 {
        if self.answered_at.is_some_and(|at| now.since(at) < CLEARED_MS) {
            return 0;
        }
        self.crashes.iter().map(|crash| if crash.is_early { EARLY } else { SETTLED }).sum()
    }

    /// Notes a server's end; whether it is news.
    fn add(&mut self, crash: Crash) -> bool {
        let is_over = self.answered_at.is_some_and(|at| crash.at <= at);
        let is_same = |known: &Crash| {
            let apart = known.at.since(crash.at).max(crash.at.since(known.at));
            known.server == crash.server && apart < SAME_MS
        };
        if is_over || self.crashes.iter().any(is_same) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        let beyond = self.crashes.len().saturating_sub(CRASHES_MAX);
        self.crashes.drain(..beyond);
        true
    }

    /// Notes an answer; whether it is news. Ends before it were others' doing. One that is told again
    /// has a time some milliseconds off, by each host's clock.
    fn clear(&mut self, at: Millis) -> bool {
        let is_news = self.answered_at.is_none_or(|known| at > known + SAME_MS);
        self.answered_at = self.answered_at.max(Some(at));
        let answered_at = self.answered_at;
        self.crashes.retain(|crash| Some(crash.at) > answered_at);
        is_news
    }

    fn is_forgotten(&self, now: Millis) -> bool {
        let heard = self.last().max(self.answered_at);
        let keep_ms = if self.crashes.is_empty() { CLEARED_MS } else { FORGET_MS };
        heard.is_none_or(|heard| now.since(heard) >= keep_ms)
    }
}

/// How long a request is held after the last of so many servers that ended under it.
#[must_use]
pub fn hold_ms(servers: u32) -> u64 {
    match servers.checked_sub(HELD) {
        None => 0,
        Some(step) => HOLDS_MS.get(step as usize).copied().unwrap_or(FORGET_MS),
    }
}

/// How long no other host may try a request after one has begun to, under which so many servers ended.
#[must_use]
pub fn trial_ms(servers: u32) -> u64 {
    hold_ms(servers).max(TRIAL_MS)
}
