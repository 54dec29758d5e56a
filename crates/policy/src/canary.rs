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
/// When its requests go to so few servers that these have the load of a peak. Until then they have
/// the usual load, at which it shows whether the version is quick: under that of a peak a good one
/// is slow as well.
const PEAK: f64 = 0.66;
/// For how long it has the usual load at least, in milliseconds.
const CALM_MS: f64 = 3_500.0;
/// When it is decided that requests move over, if the answers are good.
const MOVE: f64 = 0.8;
/// When that is decided although few have come, if none of their answers was bad.
const MOVE_FEW: f64 = 0.85;
/// When they move. As late as can be: some versions fail only under a load that a share never is,
/// and a bad version may get so much of all requests and no more, seen to be bad or not.
const MOVE_ALL: f64 = 0.93;
/// When a version that could not be judged is stopped: better the old one than one unknown.
const GIVE_UP: f64 = 0.97;
/// When the roll-out is declared done. The old version's servers are stopped then; streams that are
/// still under way there go on at the new ones. Until then the version has had all requests for a
/// while: one that fails only under load shows it, and can still be stopped.
const DONE: f64 = 0.97;
/// What is left of the time at least when the roll-out is declared done. It is for the last change
/// of the row, for operators who look at it now and then, and for hosts that heard of the order
/// late: the store may keep quiet about it for a part of a second, and the time counts from when it
/// was given.
const SPARE_MS: f64 = 700.0;
/// Part of the time in which a version has all requests before it is declared done, at least.
const FULL_MIN: f64 = 0.01;
/// Part of all requests that a bad version may get at least, wherever it is named.
pub const EXPOSURE_SHARE_MIN: f64 = 0.0975;
/// Shares of requests at these times. With the last part at full share the sum stays under what a
/// bad version may get at least.
const FIRST_SHARE: f64 = 0.05;
const SECOND_SHARE: f64 = 0.065;
/// Where a bad version may get more, this part of it is added to the second share: a larger share
/// for seconds gives one server the load of a peak. The rest is for shares that come out higher.
const ALLOWED_USED: f64 = 0.6;
/// Load on trial of servers that answer at once: that of a peak.
pub const PEAK_LOAD: f64 = 2.0;
/// Load on trial of engines. Their streams last for seconds, so that the load of a peak would build
/// up only after the trial, and prompts would make good versions slow.
pub const USUAL_LOAD: f64 = 1.0;
/// Failures expected of any version, at least: none in the old version's few answers is no proof
/// that it never fails.
const FAILURES_MIN: f64 = 0.02;
/// The same under load. By then the old version has answered for most of the time.
const LOADED_FAILURES_MIN: f64 = 0.01;
/// Slow answers expected of any version on trial, at least: its few servers have the load of a busy
/// day, and now and then a long prompt stands before others.
const SLOW_MIN: f64 = 0.12;
/// How much more often a bad version fails, or is slow.
const WORSE_BY: f64 = 0.25;
/// Evidence against a version at which it is stopped: odds of 1,000 to 1.
const STOP: f64 = 6.9;
/// Evidence for it, at least, for requests to move over: odds of 20 to 1.
const GO: f64 = -3.0;
/// Evidence against it on one route that is too much for the others to outweigh: odds of 7 to 1. A
/// version that fails under load may show it on one route only, in the second in which it has all
/// requests; once declared done it is not stopped again.
const SUSPECT: f64 = 2.0;
/// How much more often a version fails that is bad under full load, at least. It fails only while
/// its servers are busy, so less often than one that is bad throughout.
const WORSE_AT_FULL_BY: f64 = 0.1;
/// Evidence against it from full load alone, on one route or on all together, with which it is not
/// declared done: odds of 20 to 1.
const SUSPECT_AT_FULL: f64 = 3.0;
/// Evidence of slowness against it with which it is not declared done: odds of 20 to 1. Slow answers
/// come together, since one engine that is held up is slow for all its streams.
const SUSPECT_SLOW: f64 = 3.0;
/// Fewest answers of the new version on which anything is decided.
const ANSWERS_MIN: u32 = 4;
/// Answers of the new version in all without which nothing moves.
const ANSWERS_TO_MOVE: u32 = 12;
/// An answer that takes this many times the usual time counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// One that takes no longer than this is not slow, in milliseconds: what tells such short times apart
/// is how busy the hosts are.
const QUICK_MS: f64 = 20.0;

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
        /// Of them, failures.
        pub bad: u32,
        /// Of the others, much too slow ones.
        #[serde(default)]
        pub slow: u32,
    }

    /// What an answer says of its version.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// Nothing bad.
        Good,
        /// It took many times the usual time.
        Slow,
        /// The backend server failed the request.
        Failed,
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
        /// Of those, the ones since the new version has had all requests.
        #[serde(default)]
        pub full: Count,
        /// Of those, the ones to requests that came while few servers had the load of a peak. How
        /// long they took says nothing.
        #[serde(default)]
        pub peak: Count,
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

impl Stage {
    /// Whether nothing follows on it.
    #[must_use]
    pub fn is_decided(self) -> bool {
        matches!(self, Self::Done | Self::Stopped)
    }

    /// Whether a roll-out passes through it before another one.
    #[must_use]
    pub fn is_before(self, other: Self) -> bool {
        match self {
            Self::Trial => other != Self::Trial,
            Self::Moving => other.is_decided(),
            Self::Done | Self::Stopped => false,
        }
    }
}

impl Count {
    /// Counts an answer.
    pub fn record(&mut self, outcome: Outcome) {
        self.answers += 1;
        self.bad += u32::from(outcome == Outcome::Failed);
        self.slow += u32::from(outcome == Outcome::Slow);
    }

    /// Takes an answer back that was counted.
    pub fn retract(&mut self, outcome: Outcome) {
        let mut one = Self::default();
        one.record(outcome);
        *self = self.minus(one);
    }

    /// Those that are not among others of its own.
    #[must_use]
    pub fn minus(self, others: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(others.answers),
            bad: self.bad.saturating_sub(others.bad),
            slow: self.slow.saturating_sub(others.slow),
        }
    }

    /// Adds another host's count.
    pub fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.bad += other.bad;
        self.slow += other.slow;
    }
}

/// How far a roll-out is in its time, from 0 to 1, as the stages go by.
///
/// It is the part of the time that has passed, until requests move over. The end of a short one
/// passes sooner: what must be spared there is no smaller for it. To move sooner instead would give
/// a bad version more requests than it may have.
#[must_use]
pub fn elapsed(age_ms: u64, within_ms: u64) -> f64 {
    let (age, within) = (age_ms as f64, within_ms.max(1) as f64);
    let Times { half, moved, done } = Times::of(within_ms);
    match age {
        early if early <= half => early / within,
        middle if middle <= moved => between(middle, (half, 0.5), (moved, MOVE_ALL)),
        late => between(late, (moved, MOVE_ALL), (done, DONE)),
    }
}

/// When a roll-out's stages begin, in milliseconds since its order.
struct Times {
    half: f64,
    /// All requests move over.
    moved: f64,
    done: f64,
}

impl Times {
    fn of(within_ms: u64) -> Self {
        let within = within_ms.max(1) as f64;
        let half = within / 2.0;
        let done = (within - SPARE_MS).min(within * DONE).max(half + 2.0);
        let moved = (within * MOVE_ALL).min(done - within * FULL_MIN).max(half + 1.0);
        Self { half, moved, done }
    }
}

/// On the line through two points.
fn between(x: f64, (x0, y0): (f64, f64), (x1, y1): (f64, f64)) -> f64 {
    y0 + (x - x0) / (x1 - x0) * (y1 - y0)
}

/// The share of requests that the new version gets; see [`elapsed`]. A bad one may get `allowed` of
/// all requests in the time.
#[must_use]
pub fn share(stage: Stage, elapsed: f64, allowed: f64) -> f64 {
    match stage {
        Stage::Stopped => 0.0,
        Stage::Done => 1.0,
        _ if elapsed < BEGIN => 0.0,
        _ if elapsed < GROW => FIRST_SHARE,
        Stage::Moving if elapsed >= MOVE_ALL => 1.0,
        Stage::Trial | Stage::Moving => second_share(allowed),
    }
}

/// Whether a roll-out may have been declared done by now, as far as a host that has not heard of it can
/// tell. It may have heard of the order late, and then believes less time to have passed.
#[must_use]
pub fn may_be_done(stage: Stage, elapsed: f64) -> bool {
    stage != Stage::Stopped && elapsed >= MOVE
}

/// The share of the longest part of a trial.
fn second_share(allowed: f64) -> f64 {
    let more = (allowed - EXPOSURE_SHARE_MIN).clamp(0.0, EXPOSURE_SHARE_MIN);
    SECOND_SHARE + more * ALLOWED_USED / (MOVE_ALL - GROW)
}

/// Whether a request goes to the new version; `subject` is its session, or the request itself.
#[must_use]
pub fn is_moved(subject: &str, target: &str, share: f64) -> bool {
    let place = mix(hash(subject.as_bytes()) ^ hash(target.as_bytes())) >> 11;
    (place as f64) / ((1_u64 << 53) as f64) < share
}

/// Whether the new version's requests go to few servers, that have the load of a peak.
#[must_use]
pub fn is_peak(elapsed: f64, within_ms: u64) -> bool {
    (peak_begins(within_ms)..MOVE_ALL).contains(&elapsed)
}

/// When that begins. A short trial has its usual load for as long as others, in which it shows whether the
/// version is quick, and the load of a peak for less.
fn peak_begins(within_ms: u64) -> f64 {
    let Times { half, moved, .. } = Times::of(within_ms);
    let begins = half + (BEGIN - 0.5) / (MOVE_ALL - 0.5) * (moved - half);
    elapsed((begins + CALM_MS) as u64, within_ms).clamp(PEAK, MOVE)
}

/// Of so many servers of the new version, those that its share of requests goes to until it is
/// declared done: each has so many times the load that it will have.
///
/// A version that fails under load only must show it while the version before is still there: once
/// it is not, nothing can be taken back when the load rises.
#[must_use]
pub fn server_count(share: f64, all: usize, load: f64) -> usize {
    ((share * all as f64 / load).ceil() as usize).clamp(1, all.max(1))
}

/// Whether an answer is slow, by its pace or its time and the usual one, in milliseconds.
#[must_use]
pub fn is_slow(pace_ms: f64, usual_ms: f64) -> bool {
    pace_ms > (usual_ms * SLOW_FACTOR).max(QUICK_MS)
}

/// Logarithm of how much likelier the new version's failures are from a bad one than from one that
/// is as good as the old.
#[must_use]
pub fn failure_weight(evidence: &Evidence) -> f64 {
    let Evidence { old, new, .. } = evidence;
    weight((old.bad, old.answers), (new.bad, new.answers), FAILURES_MIN, WORSE_BY)
}

/// The same of its failures since it has had all requests.
///
/// A version that fails under load only has answered well on its small share for half of the time;
/// added up, those answers outweigh the failures of its last second.
#[must_use]
pub fn full_weight(evidence: &Evidence) -> f64 {
    loaded_weight(evidence.old, evidence.full)
}

/// The same of its failures under the load of a peak.
#[must_use]
pub fn peak_weight(evidence: &Evidence) -> f64 {
    loaded_weight(evidence.old, evidence.peak)
}

fn loaded_weight(old: Count, new: Count) -> f64 {
    let worse_by = [WORSE_BY, WORSE_AT_FULL_BY];
    let weigh =
        |by| weight((old.bad, old.answers), (new.bad, new.answers), LOADED_FAILURES_MIN, by);
    worse_by.map(weigh).into_iter().fold(f64::NEG_INFINITY, f64::max)
}

/// The same of its slow answers.
#[must_use]
pub fn slow_weight(evidence: &Evidence) -> f64 {
    let Evidence { old, new, peak, .. } = evidence;
    // Quick ones under the load of a peak speak for it, slow ones not against it.
    timed_weight(*old, *new).min(timed_weight(*old, new.minus(*peak)))
}

fn timed_weight(old: Count, new: Count) -> f64 {
    let judged = new.answers.saturating_sub(new.bad);
    weight((old.slow, old.answers), (new.slow, judged), SLOW_MIN, WORSE_BY)
}

/// Of a part of answers that is bad, against one that is so much larger.
fn weight(old: (u32, u32), new: (u32, u32), least: f64, worse_by: f64) -> f64 {
    let usual = f64::from(old.0 + 1) / f64::from(old.1 + 20);
    let usual = usual.clamp(least, 1.0 - 2.0 * WORSE_BY);
    let worse = usual + worse_by;
    let good = f64::from(new.1.saturating_sub(new.0));
    f64::from(new.0) * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln()
}

/// What all routes' evidence says. One bad route is enough: some versions fail on one only.
#[must_use]
pub fn verdict(evidence: &[Evidence]) -> Verdict {
    let answers: u32 = evidence.iter().map(|one| one.new.answers).sum();
    // Slow answers under the load of a peak say nothing, so they don't count as answers either: a version that turns
    // slow during its trial would be taken for quick by the few that came before.
    let telling: u32 = evidence.iter().map(|one| one.new.answers - one.peak.slow).sum();
    let is_clean = evidence.iter().all(|one| one.new.bad + one.new.minus(one.peak).slow == 0)
        && telling >= ANSWERS_MIN;
    let (failures, slowness) =
        (worst_route(evidence, failure_weight), worst_route(evidence, slow_weight));
    // Few answers come in a trial; what is wrong on all routes shows soonest in their sum.
    let sum = pooled(evidence, failure_weight).max(pooled(evidence, slow_weight));
    let worst_loaded = worst_under_load(evidence, |one| (one.full, full_weight(one)))
        .max(worst_under_load(evidence, |one| (one.peak, peak_weight(one))));
    let is_suspect =
        failures >= SUSPECT || slowness >= SUSPECT_SLOW || worst_loaded >= SUSPECT_AT_FULL;
    let is_good = pooled(evidence, failure_weight) <= GO && is_quick(evidence);
    match answers {
        few if few < ANSWERS_MIN => Verdict::Open,
        _ if failures.max(slowness).max(sum).max(worst_loaded) >= STOP => Verdict::Bad,
        enough if enough >= ANSWERS_TO_MOVE && is_good && !is_suspect => Verdict::Good,
        _ if is_clean => Verdict::Clean,
        _ => Verdict::Open,
    }
}

/// What speaks most against a version on one route.
fn worst_route(evidence: &[Evidence], weight: fn(&Evidence) -> f64) -> f64 {
    let tried = evidence.iter().filter(|one| one.new.answers >= ANSWERS_MIN);
    tried.map(weight).fold(f64::NEG_INFINITY, f64::max)
}

/// What speaks against a version on all routes together.
fn pooled(evidence: &[Evidence], weight: fn(&Evidence) -> f64) -> f64 {
    evidence.iter().map(weight).sum()
}

/// Whether a version is as quick as the one before.
///
/// When all requests come to it at once its servers' caches are empty, and some answers are slow
/// for that alone. One that was quick on trial is not stopped for them, unless they are far more.
fn is_quick(evidence: &[Evidence]) -> bool {
    let part = |of: fn(&Evidence) -> (Count, Count)| {
        let new = |one: &Evidence| {
            let (new, peak) = of(one);
            Evidence { new, peak, ..one.clone() }
        };
        evidence.iter().map(|one| slow_weight(&new(one))).sum::<f64>()
    };
    let on_trial = part(|one| (one.new.minus(one.full), one.peak));
    let at_full = part(|one| (one.full, Count::default()));
    on_trial + at_full <= GO || (on_trial <= GO && at_full < SUSPECT_SLOW)
}

/// What speaks most against a version under load: one route, or all together.
fn worst_under_load(evidence: &[Evidence], of: fn(&Evidence) -> (Count, f64)) -> f64 {
    let seen = evidence.iter().map(of).filter(|(count, _)| count.answers >= ANSWERS_MIN);
    let seen: Vec<f64> = seen.map(|(_, weight)| weight).collect();
    let sum = seen.iter().sum();
    seen.into_iter().fold(sum, f64::max)
}

/// The stage that follows, if it is another one.
#[must_use]
pub fn next(stage: Stage, elapsed: f64, verdict: Verdict) -> Option<Stage> {
    match (stage, verdict) {
        (Stage::Trial | Stage::Moving, Verdict::Bad) => Some(Stage::Stopped),
        (Stage::Trial, Verdict::Good) if elapsed >= MOVE => Some(Stage::Moving),
        (Stage::Trial, Verdict::Clean) if elapsed >= MOVE_FEW => Some(Stage::Moving),
        (Stage::Trial, _) if elapsed >= GIVE_UP => Some(Stage::Stopped),
        (Stage::Moving, Verdict::Open) if elapsed >= DONE => Some(Stage::Stopped),
        (Stage::Moving, _) if elapsed >= DONE => Some(Stage::Done),
        _ => None,
    }
}

/// When the last step is no longer hurried: its time is over.
const MISSED: f64 = 1.1;

/// Whether each answer may decide: the version has all requests, or the time is nearly over.
#[must_use]
pub fn is_urgent(stage: Stage, elapsed: f64) -> bool {
    match stage {
        Stage::Moving => (MOVE_ALL..MISSED).contains(&elapsed),
        Stage::Trial => (GIVE_UP..MISSED).contains(&elapsed),
        Stage::Done | Stage::Stopped => false,
    }
}

/// Whether the hosts' evidence is needed now.
#[must_use]
pub fn needs_evidence(stage: Stage, elapsed: f64) -> bool {
    matches!(stage, Stage::Trial | Stage::Moving) && elapsed >= BEGIN
}
