//! A roll-out that every host carries out alike: which share goes to the new version when, and
//! what the answers say of it.
//!
//! The share follows from the time since the order by a clock that all hosts can read, so hosts
//! need no messages to agree on it. Only verdicts are shared. A session's requests follow one
//! another on different hosts, so a session is placed by its name alone: all hosts place it alike,
//! and as the share only grows, it moves once, from the old version to the new.
//!
//! Nothing moves in the first half of the time. A session must not change its version then, and
//! no host can know which sessions are under way at the others.

use crate::domain;
use crate::name::Name;
use crate::place::{hash, mix};

/// When the new version gets its first requests, as a part of the time allowed.
const BEGIN: f64 = 0.51;
/// When its first share grows.
const GROW: f64 = 0.58;
/// When requests move over if the answers are good.
const MOVE: f64 = 0.72;
/// When the rest moves.
const MOVE_ALL: f64 = 0.78;
/// When requests move over although few have come, if none of their answers was bad.
const MOVE_FEW: f64 = 0.8;
/// When a version that could not be judged is stopped: better the old one than one unknown.
const GIVE_UP: f64 = 1.0;
/// When the roll-out may be declared done: nothing is under way at the old version by then.
const DONE: f64 = 0.89;
/// Shares of requests at these times. The first two stay under the 0.15 of all requests that a
/// bad version may get, with room for unlucky draws.
const FIRST_SHARE: f64 = 0.06;
const SECOND_SHARE: f64 = 0.12;
const MOVE_SHARE: f64 = 0.35;
/// Failures expected of any version, at least: none in the old version's few answers is no proof
/// that it never fails.
const FAILURES_MIN: f64 = 0.02;
/// How much more often a bad version fails.
const WORSE_BY: f64 = 0.25;
/// Evidence against a version at which it is stopped: odds of 1,000 to 1.
const STOP: f64 = 6.9;
/// Evidence for it, at least, for requests to move over: odds of 20 to 1.
const GO: f64 = -3.0;
/// Fewest answers of the new version on which anything is decided.
const ANSWERS_MIN: u32 = 4;
/// Answers of the new version in all without which nothing moves.
const ANSWERS_TO_MOVE: u32 = 12;
/// An answer that takes this many times the usual time counts as a failure.
pub const SLOW_FACTOR: f64 = 4.0;

domain! {
    /// How far a roll-out has come; shared by all hosts.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Stage {
        /// The new version gets a small share, or nothing yet.
        #[default]
        Trial,
        /// The answers were good: requests move over.
        Moving,
        /// The new version serves all.
        Done,
        /// It was bad: the old one serves all.
        Stopped,
    }

    /// One version's answers to one route's requests.
    #[derive(Copy, Default, Eq)]
    pub struct Count {
        /// Answers.
        pub answers: u32,
        /// Of them, failures and much too slow ones.
        pub bad: u32,
    }

    /// Answers of both versions to one route's requests.
    #[derive(Default, Eq)]
    pub struct Evidence {
        /// The route.
        pub route: Name,
        /// Of the version before.
        pub old: Count,
        /// Of the new one.
        pub new: Count,
    }

    /// What follows from the evidence.
    #[derive(Copy, Eq)]
    pub enum Verdict {
        /// The new version is bad.
        Bad,
        /// It is good on every route that it was tried on.
        Good,
        /// Not enough answers yet, and none was bad.
        Clean,
        /// Not enough answers yet.
        Open,
    }
}

impl Count {
    /// Counts an answer.
    pub fn note(&mut self, bad: bool) {
        self.answers += 1;
        self.bad += u32::from(bad);
    }

    /// Adds another host's count.
    pub fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.bad += other.bad;
    }
}

/// The share of requests that the new version gets; `elapsed` is the time since the order as a
/// part of the time allowed.
#[must_use]
pub fn share(stage: Stage, elapsed: f64) -> f64 {
    match stage {
        Stage::Stopped => 0.0,
        Stage::Done => 1.0,
        _ if elapsed < BEGIN => 0.0,
        _ if elapsed < GROW => FIRST_SHARE,
        Stage::Trial => SECOND_SHARE,
        Stage::Moving if elapsed < MOVE_ALL => MOVE_SHARE,
        Stage::Moving => 1.0,
    }
}

/// Whether a request goes to the new version; `subject` is its session, or the request itself.
#[must_use]
pub fn is_moved(subject: &str, target: &str, share: f64) -> bool {
    let place = mix(hash(subject.as_bytes()) ^ hash(target.as_bytes())) >> 11;
    (place as f64) / ((1_u64 << 53) as f64) < share
}

/// Of so many servers of the new version, those that take its share of requests while it is tried.
///
/// Some versions fail only under load, and a share spread over all servers is none: each would get
/// a tenth of what it will have. So few take it that each has at least the load of every day.
#[must_use]
pub fn tried(stage: Stage, share: f64, servers: usize) -> usize {
    match stage {
        Stage::Trial => ((servers as f64 * share) as usize).max(1).min(servers),
        _ => servers,
    }
}

/// Logarithm of how much likelier the new version's answers are from a bad one than from one that
/// is as good as the old.
#[must_use]
pub fn weight(evidence: &Evidence) -> f64 {
    let Evidence { old, new, .. } = evidence;
    let usual = f64::from(old.bad + 1) / f64::from(old.answers + 20);
    let usual = usual.clamp(FAILURES_MIN, 1.0 - 2.0 * WORSE_BY);
    let worse = usual + WORSE_BY;
    let good = f64::from(new.answers - new.bad.min(new.answers));
    f64::from(new.bad) * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln()
}

/// What all routes' evidence says. One bad route is enough: some versions fail on one only.
#[must_use]
pub fn verdict(evidence: &[Evidence]) -> Verdict {
    let tried = evidence.iter().filter(|one| one.new.answers >= ANSWERS_MIN);
    let weights: Vec<f64> = tried.map(weight).collect();
    let answers: u32 = evidence.iter().map(|one| one.new.answers).sum();
    let is_clean = answers >= ANSWERS_MIN && evidence.iter().all(|one| one.new.bad == 0);
    match () {
        () if weights.iter().any(|&weight| weight >= STOP) => Verdict::Bad,
        () if answers < ANSWERS_TO_MOVE && is_clean => Verdict::Clean,
        () if answers < ANSWERS_TO_MOVE => Verdict::Open,
        () if weights.iter().sum::<f64>() <= GO && weights.iter().all(|&weight| weight <= 0.0) => {
            Verdict::Good
        }
        () if is_clean => Verdict::Clean,
        () => Verdict::Open,
    }
}

/// The stage that follows, if it is another one.
#[must_use]
pub fn next(stage: Stage, elapsed: f64, verdict: Verdict) -> Option<Stage> {
    match (stage, verdict) {
        (Stage::Trial | Stage::Moving, Verdict::Bad) => Some(Stage::Stopped),
        (Stage::Trial, Verdict::Good) if elapsed >= MOVE => Some(Stage::Moving),
        (Stage::Trial, Verdict::Clean) if elapsed >= MOVE_FEW => Some(Stage::Moving),
        (Stage::Trial, _) if elapsed >= GIVE_UP => Some(Stage::Stopped),
        (Stage::Moving, _) if elapsed >= DONE => Some(Stage::Done),
        _ => None,
    }
}

/// Whether the hosts' evidence is needed now.
#[must_use]
pub fn is_watched(stage: Stage, elapsed: f64) -> bool {
    matches!(stage, Stage::Trial | Stage::Moving) && elapsed >= BEGIN
}
