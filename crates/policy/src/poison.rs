//! Requests, and parts of prompts, that crash the backend servers that run them.
//!
//! A request is lost when its server ends, crashed or killed, before the answer is complete. A
//! request that crashes servers is sent again, to any host and under another id; a part of a prompt
//! that crashes servers comes in many requests that otherwise differ. Each host records what it
//! lost when a server ended and shares it with the other hosts, and all of these records together
//! decide. Most lost requests did not cause the crash. Such victims are soon answered by other
//! servers, and a complete answer clears a request and the parts of its prompt. What is lost with
//! server after server and never answered is held: it is not sent for a while.

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

/// Weight of a crash early in an attempt: a request that crashes servers does so when they begin to
/// run it.
const EARLY_WEIGHT: u32 = 2;
/// Weight of a crash later in an attempt. Most requests lost late are victims, above all long
/// answers; a request that crashes servers late is recognised after twice as many crashes.
const LATE_WEIGHT: u32 = 1;
/// Weight that counts as one server.
const SERVER_WEIGHT: u32 = EARLY_WEIGHT;
/// Crashed servers from which on only one host at a time may send a request, to one server, as a
/// trial. Where servers crash often, an innocent request meets two crashes in a row by chance, so
/// two are not enough to hold it.
const TRIAL_SERVERS_MIN: u32 = 2;
/// Crashed servers from which on a request is held.
const HOLD_SERVERS_MIN: u32 = 3;
/// How long an answered request counts as innocent, whatever servers it is lost with, in
/// milliseconds.
const CLEARED_MS: u64 = 60_000;
/// How long a request is remembered after the last crash that counts against it, in milliseconds.
const RETENTION_MS: u64 = 24 * 3_600_000;
/// How long a request is held before the first trial, and after each trial that crashed a server,
/// in milliseconds. That allows three trials while the request is remembered: the operators may
/// have repaired the servers.
const HOLD_BACKOFF_MS: [u64; 3] = [60_000, 600_000, 3_600_000];
/// How long a host has the only trial of a request that is not held, in milliseconds: enough for
/// its server to crash or to begin the answer.
pub const TRIAL_MS: u64 = 2_000;
/// Answers to a request with times that differ by no more than this are the same answer, in
/// milliseconds: each host converts the time to its own clock.
const SAME_ANSWER_MS: u64 = 1_000;
/// Most crashes kept for one request; their weight is more than enough for the longest hold.
const CRASHES_MAX: usize = 12;

domain! {
    /// Hash of what a caller sent as a request, or of one part of a prompt. It is the same at every
    /// host and when the caller sends the request again, while the request's id is not.
    #[derive(Copy, Eq, Hash, Ord, PartialOrd)]
    #[serde(transparent)]
    pub struct Digest(pub u64);

    /// What a digest identifies.
    #[derive(Copy, Default, Eq)]
    pub enum Kind {
        /// A whole request, as its caller sent it.
        #[default]
        Request,
        /// A part of prompts, whoever sends it: its effect on a server doesn't depend on the
        /// caller.
        Part,
    }

    /// The end of a server that was running a request.
    pub struct Crash {
        /// Name of the server.
        pub server: Name,
        /// When the server's process had started, in milliseconds since the epoch; 0 if the server
        /// does not report it.
        #[serde(default)]
        pub born: u64,
        /// When the request was lost.
        pub at: Millis,
        /// Whether the server's answer had not begun, or only just.
        pub is_early: bool,
    }

    /// What is known of one request, or of one part of prompts, that may crash servers.
    pub struct Suspect {
        /// Identifies the request or part.
        pub digest: Digest,
        /// Whether the digest is that of a request or of a part.
        #[serde(default)]
        pub kind: Kind,
        /// Crashes that count against the suspect: none from before its last answer.
        pub crashes: Vec<Crash>,
        /// When a server last answered the suspect; none if that is not known.
        #[serde(default)]
        pub answered_at: Option<Millis>,
    }
}

/// Everything by which a request, or a part of its prompt, can be recognised when it comes again.
#[derive(Clone, Debug, PartialEq)]
pub struct Fingerprint {
    /// Digest of all that the caller sent.
    pub request: Digest,
    /// Digests of the parts of the request's prompt, which other requests may share.
    pub parts: Arc<[Digest]>,
    /// Service that the request is for.
    pub service: Name,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may be sent.
    Run,
    /// The request may be sent to one server as a trial, if no other host has a trial of it.
    Trial {
        /// Number of crashed servers that count against the request.
        servers: u32,
        /// How long no other host may send the request, in milliseconds.
        alone_ms: u64,
    },
    /// The request may not be sent for this time, in milliseconds.
    Hold(u64),
}

impl Fingerprint {
    /// Fingerprint of a request without a prompt, for no named service.
    #[must_use]
    pub fn from_request(request: Digest) -> Self {
        Self { request, parts: Arc::default(), service: Name::default() }
    }

    /// The same fingerprint with the digests of its prompt's parts.
    #[must_use]
    pub fn with_parts(self, parts: &[Digest]) -> Self {
        Self { parts: parts.into(), ..self }
    }

    /// Whether the digest is that of the request or of a part of its prompt.
    #[must_use]
    pub fn contains(&self, digest: Digest) -> bool {
        self.request == digest || self.parts.contains(&digest)
    }

    /// Digests of the request and of the parts of its prompt.
    fn digests(&self) -> impl Iterator<Item = (Digest, Kind)> {
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
    /// Whether both are the end of the same server process. The times may differ, since each host
    /// that reports the crash has its own clock.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.server == other.server && self.born == other.born
    }

    fn weight(&self) -> u32 {
        if self.is_early { EARLY_WEIGHT } else { LATE_WEIGHT }
    }
}

impl Suspect {
    /// A request without crashes or answers so far.
    #[must_use]
    pub fn new(digest: Digest) -> Self {
        Self { digest, kind: Kind::Request, crashes: Vec::new(), answered_at: None }
    }

    /// The same suspect with another kind.
    #[must_use]
    pub fn with_kind(self, kind: Kind) -> Self {
        Self { kind, ..self }
    }

    /// The same suspect with its times converted to another clock; `from` is the same moment on the
    /// old clock as `to` on the new one.
    #[must_use]
    pub fn on_clock(mut self, from: Millis, to: Millis) -> Self {
        let moved = |at: Millis| to - from.since(at);
        self.crashes.iter_mut().for_each(|crash| crash.at = moved(crash.at));
        self.answered_at = self.answered_at.map(moved);
        self
    }

    /// Number of crashed servers that count against the suspect; two late crashes count as one
    /// server.
    #[must_use]
    pub fn server_count(&self, now: Millis) -> u32 {
        self.weight(now) / SERVER_WEIGHT
    }

    /// When the suspect was last lost with a server; none if no crash counts against it.
    #[must_use]
    pub fn last_crash_at(&self) -> Option<Millis> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// What may be done with a request that is or contains this suspect, if nothing else is
    /// considered.
    #[must_use]
    pub fn verdict(&self, now: Millis) -> Verdict {
        self.verdict_by(|_| true, now)
    }

    /// The verdict by those crashes for which `counts` is true.
    fn verdict_by(&self, counts: impl Fn(&Crash) -> bool, now: Millis) -> Verdict {
        if self.is_cleared(now) {
            return Verdict::Run;
        }
        let crashes = || self.crashes.iter().filter(|crash| counts(crash));
        let servers = crashes().map(Crash::weight).sum::<u32>() / SERVER_WEIGHT;
        match (servers, self.kind) {
            (HOLD_SERVERS_MIN.., _) => hold(crashes(), servers, now),
            // Many harmless requests may contain the same part, and all would wait for a trial.
            (TRIAL_SERVERS_MIN.., Kind::Request) => Verdict::Trial { servers, alone_ms: TRIAL_MS },
            _ => Verdict::Run,
        }
    }

    /// Whether other hosts should learn of the suspect: enough crashed servers for a trial count
    /// against it, or it was lost early with one server and not answered elsewhere for
    /// `unanswered_ms`, and so may well be one that crashes servers at once.
    #[must_use]
    pub fn is_worth_sharing(&self, now: Millis, unanswered_ms: u64) -> bool {
        let is_unanswered =
            self.last_crash_at().is_some_and(|last| now.since(last) >= unanswered_ms);
        let has_early = self.crashes.iter().any(|crash| crash.is_early);
        match self.server_count(now) {
            0 => false,
            servers if servers < TRIAL_SERVERS_MIN => is_unanswered && has_early,
            _ => true,
        }
    }

    /// Whether the suspect was answered within [`CLEARED_MS`].
    fn is_cleared(&self, now: Millis) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) < CLEARED_MS)
    }

    fn weight(&self, now: Millis) -> u32 {
        if self.is_cleared(now) { 0 } else { self.crashes.iter().map(Crash::weight).sum() }
    }

    /// Adds a crash; returns whether it is a new one and later than the last answer.
    fn add_crash(&mut self, crash: Crash) -> bool {
        let is_outdated = self.answered_at.is_some_and(|at| crash.at <= at);
        if is_outdated || self.crashes.iter().any(|other| other.is_same(&crash)) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        let excess = self.crashes.len().saturating_sub(CRASHES_MAX);
        self.crashes.drain(..excess);
        true
    }

    /// Records an answer and drops the crashes before it, which had other causes. Returns whether
    /// the answer is a new one: the time of an answer that is reported again may differ by some
    /// milliseconds, since each host has its own clock.
    fn record_answer(&mut self, at: Millis) -> bool {
        let is_news = self.answered_at.is_none_or(|known| at > known + SAME_ANSWER_MS);
        self.answered_at = self.answered_at.max(Some(at));
        let answered_at = self.answered_at;
        self.crashes.retain(|crash| Some(crash.at) > answered_at);
        is_news
    }

    fn is_expired(&self, now: Millis) -> bool {
        let last_change = self.last_crash_at().max(self.answered_at);
        let keep_ms = if self.crashes.is_empty() { CLEARED_MS } else { RETENTION_MS };
        last_change.is_none_or(|last_change| now.since(last_change) >= keep_ms)
    }
}

/// The verdict on a suspect with enough crashed servers to be held.
///
/// Each trial that crashes another server makes the next hold longer. Crashes during a hold don't:
/// those requests were already in flight, or reached hosts that did not know of the hold yet.
fn hold<'a>(crashes: impl Iterator<Item = &'a Crash>, servers: u32, now: Millis) -> Verdict {
    let (mut weight, mut holds, mut since) = (0, 0, Millis(0));
    let hold_ms = |count: usize| HOLD_BACKOFF_MS.get(count).copied().unwrap_or(RETENTION_MS);
    for crash in crashes {
        let was_held = weight >= HOLD_SERVERS_MIN * SERVER_WEIGHT;
        weight += crash.weight();
        match () {
            () if !was_held => since = crash.at,
            () if crash.at.since(since) >= hold_ms(holds) => (holds, since) = (holds + 1, crash.at),
            () => {}
        }
    }
    let alone_ms = hold_ms(holds);
    match alone_ms.saturating_sub(now.since(since)) {
        0 => Verdict::Trial { servers, alone_ms },
        left => Verdict::Hold(left),
    }
}
