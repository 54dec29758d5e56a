//! Requests, and parts of prompts, that end the servers that run them.
//!
//! Such a request comes again, at any host, under another id; such a part comes in one request after
//! another of which no two are alike. Each host notes what it lost when a server ended, and tells the
//! others; what all of them saw decides. Most of what is lost is only a victim of what ended the
//! server: an answer clears a request and the parts of its prompt, and victims are answered elsewhere.
//! What is lost with server after server, and never answered, is held back.

mod judge;
pub mod polls;
pub mod recent;
pub mod registry;

use std::fmt;
use std::sync::Arc;

pub use judge::Judgement;
pub use polls::Polls;
pub use recent::RecentAnswers;
pub use registry::{Answer, Attempt, Registry};

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
/// Time until a request that is held is tried again, the first time and after each try that ended a
/// server, in milliseconds. Three tries are left for as long as the request is remembered: whoever
/// operates the servers may have mended them.
const HOLDS_MS: [u64; 3] = [60_000, 600_000, 3_600_000];
/// For how long a host has the only try of a request that is not held, in milliseconds: until its
/// server has ended, or has begun to answer.
pub const TRIAL_MS: u64 = 2_000;
/// Two answers that are closer than this are the same one, in milliseconds: each host's clock shows
/// another time of it.
const SAME_MS: u64 = 1_000;
/// Ends kept for one request; they weigh more than is needed to hold it for good.
const CRASHES_MAX: usize = 12;

domain! {
    /// Names a request by what its caller sent, whichever try and host, or a part of a prompt: another
    /// try has another id.
    #[derive(Copy, Eq, Hash, Ord, PartialOrd)]
    #[serde(transparent)]
    pub struct Digest(pub u64);

    /// What a digest names.
    #[derive(Copy, Default, Eq)]
    pub enum Kind {
        /// A request, as its caller sent it.
        #[default]
        Request,
        /// A part of prompts, whoever sends it: what a server does with it doesn't depend on that.
        Part,
    }

    /// A server that ended under a request.
    pub struct Crash {
        /// The server.
        pub server: Name,
        /// When this start of it began, in milliseconds since the epoch; 0 if it does not say.
        #[serde(default)]
        pub born: u64,
        /// When the request was lost.
        pub at: Millis,
        /// Its answer had not begun, or only just.
        pub is_early: bool,
    }

    /// What is known of one request, or of one part of prompts.
    pub struct Suspect {
        /// Which.
        pub digest: Digest,
        /// Which of the two.
        #[serde(default)]
        pub kind: Kind,
        /// Servers that ended under it, as far as they count.
        pub crashes: Vec<Crash>,
        /// When a server last answered it.
        #[serde(default)]
        pub answered_at: Option<Millis>,
    }
}

/// All by which one request may be known again.
#[derive(Clone, Debug, PartialEq)]
pub struct Fingerprint {
    /// Of all that its caller sent.
    pub request: Digest,
    /// Of the parts of its prompt that other requests may have as well.
    pub parts: Arc<[Digest]>,
    /// The service that it is for.
    pub service: Name,
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may be sent.
    Run,
    /// It may be sent to one server, if no other host does so.
    Trial {
        /// Servers that speak against it.
        servers: u32,
        /// For how long no other host may, in milliseconds.
        alone_ms: u64,
    },
    /// It is not sent for so long, in milliseconds.
    Hold(u64),
}

impl Fingerprint {
    /// Of a request without a prompt.
    #[must_use]
    pub fn from_request(request: Digest) -> Self {
        Self { request, parts: Arc::default(), service: Name::default() }
    }

    /// With these parts in its prompt.
    #[must_use]
    pub fn with_parts(self, parts: &[Digest]) -> Self {
        Self { parts: parts.into(), ..self }
    }

    /// Whether it has something of this name.
    #[must_use]
    pub fn contains(&self, digest: Digest) -> bool {
        self.request == digest || self.parts.contains(&digest)
    }

    /// What it may be known again by.
    fn causes(&self) -> impl Iterator<Item = (Digest, Kind)> {
        let parts = self.parts.iter().map(|part| (*part, Kind::Part));
        std::iter::once((self.request, Kind::Request)).chain(parts)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Crash {
    /// Whether both are the end of the same start of a server. Times don't count: each host that tells of it
    /// has a clock of its own.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.server == other.server && self.born == other.born
    }

    fn weight(&self) -> u32 {
        if self.is_early { EARLY } else { SETTLED }
    }
}

impl Suspect {
    /// A request that nothing is known of.
    #[must_use]
    pub fn new(digest: Digest) -> Self {
        Self { digest, kind: Kind::Request, crashes: Vec::new(), answered_at: None }
    }

    /// Of this kind.
    #[must_use]
    pub fn with_kind(self, kind: Kind) -> Self {
        Self { kind, ..self }
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
    pub fn server_count(&self, now: Millis) -> u32 {
        self.weight(now) / SERVER
    }

    /// When it was last lost with a server, if that speaks against it.
    #[must_use]
    pub fn last_crash_at(&self) -> Option<Millis> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// What is to be done with a request that has it, by what is known of it alone.
    #[must_use]
    pub fn verdict(&self, now: Millis) -> Verdict {
        self.verdict_by(|_| true, now)
    }

    /// The same by those ends of servers that count.
    fn verdict_by(&self, counts: impl Fn(&Crash) -> bool, now: Millis) -> Verdict {
        if self.is_cleared(now) {
            return Verdict::Run;
        }
        let crashes = || self.crashes.iter().filter(|crash| counts(crash));
        let servers = crashes().map(Crash::weight).sum::<u32>() / SERVER;
        match (servers, self.kind) {
            (HELD.., _) => hold(crashes(), servers, now),
            // Many sound requests may have the same part: they would all wait for leave.
            (SUSPECT.., Kind::Request) => Verdict::Trial { servers, alone_ms: TRIAL_MS },
            _ => Verdict::Run,
        }
    }

    /// Whether hosts elsewhere should know of it: it is held, or may well be one that ends servers
    /// at once.
    #[must_use]
    pub fn is_notable(&self, now: Millis, unanswered_ms: u64) -> bool {
        let waited = self.last_crash_at().is_some_and(|last| now.since(last) >= unanswered_ms);
        let has_early = self.crashes.iter().any(|crash| crash.is_early);
        match self.server_count(now) {
            0 => false,
            servers if servers < SUSPECT => waited && has_early,
            _ => true,
        }
    }

    /// Whether it was answered a moment ago.
    fn is_cleared(&self, now: Millis) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) < CLEARED_MS)
    }

    fn weight(&self, now: Millis) -> u32 {
        if self.is_cleared(now) { 0 } else { self.crashes.iter().map(Crash::weight).sum() }
    }

    /// Notes a server's end; whether it is news.
    fn add(&mut self, crash: Crash) -> bool {
        let is_over = self.answered_at.is_some_and(|at| crash.at <= at);
        if is_over || self.crashes.iter().any(|known| known.is_same(&crash)) {
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
        let heard = self.last_crash_at().max(self.answered_at);
        let keep_ms = if self.crashes.is_empty() { CLEARED_MS } else { FORGET_MS };
        heard.is_none_or(|heard| now.since(heard) >= keep_ms)
    }
}

/// What is to be done with what so many servers, enough to hold it, have ended under.
///
/// Each try that ends a server once more makes the next hold longer. Ends while it is held don't: its
/// requests were under way, or came to hosts that had not heard.
fn hold<'a>(crashes: impl Iterator<Item = &'a Crash>, servers: u32, now: Millis) -> Verdict {
    let (mut weight, mut step, mut since) = (0, 0, Millis(0));
    let hold_ms = |step: usize| HOLDS_MS.get(step).copied().unwrap_or(FORGET_MS);
    for crash in crashes {
        let was_held = weight >= HELD * SERVER;
        weight += crash.weight();
        match () {
            () if !was_held => since = crash.at,
            () if crash.at.since(since) >= hold_ms(step) => (step, since) = (step + 1, crash.at),
            () => {}
        }
    }
    let alone_ms = hold_ms(step);
    match alone_ms.saturating_sub(now.since(since)) {
        0 => Verdict::Trial { servers, alone_ms },
        left => Verdict::Hold(left),
    }
}
