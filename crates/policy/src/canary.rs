//! A roll-out of a new version of a service, which every host carries out alike: the share of
//! requests that goes to the new version at each moment, and the verdict on its answers.
//!
//! The share follows from the time since the order, by a clock that all hosts can read, so hosts
//! need no messages to agree on it. Hosts share only the stage that verdicts lead to. Requests of
//! one session reach different hosts, so a session's version depends on the session's name alone:
//! all hosts choose the same one. As the share only grows, a session changes its version once, from
//! the old one to the new one.
//!
//! No session changes its version in the first half of the time: a session must not do so then, and
//! no host can know which sessions are active at other hosts.

use crate::domain;
use crate::name::Name;
use crate::place::{hash, mix};
use crate::sample::uniform;

/// Start of the trial, when the new version gets its first share of requests. A fraction of the
/// time that the order allows, like all constants of this module in `_FRACTION` that say when
/// something happens; see [`elapsed`].
const TRIAL_START_FRACTION: f64 = 0.51;
/// When the first share grows to the second.
const GROWTH_FRACTION: f64 = 0.58;
/// When the new version's requests go to so few servers that these have peak load. Before that the
/// servers have the usual load, which shows whether the version is quick: under peak load a good
/// version is slow as well.
const PEAK_START_FRACTION: f64 = 0.66;
/// Shortest time for which the new version's servers have the usual load, in milliseconds.
const USUAL_LOAD_MIN_MS: f64 = 3_500.0;
/// When the decision to move all requests can be made first, if the new version's answers are good.
const MOVE_FRACTION: f64 = 0.8;
/// When that decision can be made although there are few answers, if none of them was bad.
const MOVE_ON_FEW_FRACTION: f64 = 0.85;
/// When all requests move to the new version. As late as possible: some versions fail only under a
/// load that a small share never causes, and a bad version may not get more than its allowed share
/// of all requests, whether or not it is detected.
const FULL_FRACTION: f64 = 0.93;
/// When a version that could not be judged is stopped: the old version is safer than an unknown
/// one.
const GIVE_UP_FRACTION: f64 = 0.97;
/// When the roll-out is declared done. The old version's servers are stopped then, and streams that
/// still run there continue on the new version's servers. By then the new version has had all
/// requests for a while: a version that fails only under load shows it and can still be stopped.
const DONE_FRACTION: f64 = 0.97;
/// Least time left when the roll-out is declared done, in milliseconds. It covers the last write of
/// the roll-out's row, operators who poll the row, and hosts that learnt of the order late: the
/// time counts from the order, and the store may deliver it a fraction of a second later.
const END_MARGIN_MS: f64 = 700.0;
/// Shortest time, as a fraction of the time allowed, for which the new version has all requests
/// before it is declared done.
const FULL_MIN_FRACTION: f64 = 0.01;
/// Smallest share of all requests, over the time allowed, that a bad version may get. Without a
/// setting this share holds, and a smaller setting has no further effect.
pub const EXPOSURE_SHARE_MIN: f64 = 0.0975;
/// Share of requests that the new version gets first. This share and [`SECOND_SHARE`] for their
/// times, with all requests for the last part of the time, add up to less than
/// [`EXPOSURE_SHARE_MIN`].
const FIRST_SHARE: f64 = 0.05;
/// Share of requests that the new version gets from [`GROWTH_FRACTION`] on, if a bad version may
/// get no more than [`EXPOSURE_SHARE_MIN`].
const SECOND_SHARE: f64 = 0.065;
/// Fraction of the exposure beyond [`EXPOSURE_SHARE_MIN`] that is spent on a larger second share: a
/// larger share for some seconds gives one server peak load. The rest is a reserve for shares that
/// come out higher than intended.
const EXPOSURE_USED_FRACTION: f64 = 0.6;
/// Load during the trial of servers that answer in one piece, as a multiple of the load that each
/// server has once the new version serves all requests: that of a peak.
pub const PEAK_LOAD: f64 = 2.0;
/// Load during the trial of engines, which stream their answers, as a multiple of the load that
/// each has once the new version serves all requests. Their streams last for seconds, so peak load
/// would build up only after the trial, and long prompts would make good versions slow.
pub const USUAL_LOAD: f64 = 1.0;
/// Least share of failures that is expected of any version: the old version's few answers without a
/// failure don't prove that it never fails.
const FAILURE_SHARE_MIN: f64 = 0.02;
/// Least share of failures that is expected of any version under full or peak load. By then the old
/// version has answered for most of the time, so its failures are known better.
const LOADED_FAILURE_SHARE_MIN: f64 = 0.01;
/// Least share of slow answers that is expected of any version on trial: its few servers have the
/// load of a busy day, and now and then requests wait behind a long prompt.
const SLOW_SHARE_MIN: f64 = 0.12;
/// Answers of an old version that are added to those seen, one of them bad: few answers don't show
/// what is usual.
const USUAL_PRIOR_ANSWERS: u32 = 20;
/// How much larger the share of failures, or of slow answers, of a bad version is.
const BAD_EXCESS_SHARE: f64 = 0.25;
/// Log odds against a version at which it is stopped: 1,000 to 1.
const STOP_LOG_ODDS: f64 = 6.9;
/// Highest log odds against a version at which all requests move to it: 20 to 1 in its favour.
const MOVE_LOG_ODDS: f64 = -3.0;
/// Log odds against a version on one route that the other routes can't outweigh: 7 to 1. A version
/// that fails under load may show it on one route only, in the second in which it has all requests;
/// once declared done it is not stopped again.
const SUSPECT_LOG_ODDS: f64 = 2.0;
/// Smallest excess in the share of failures, under full or peak load, of a version that is bad
/// under load. Such a version fails only while its servers are busy, so less often than one that is
/// always bad.
const LOADED_EXCESS_SHARE: f64 = 0.1;
/// Log odds against a version from full or peak load alone, on one route or on all together, at
/// which it is not declared done: 20 to 1.
const SUSPECT_LOADED_LOG_ODDS: f64 = 3.0;
/// Log odds against a version from slow answers at which it is not declared done: 20 to 1. Slow
/// answers come in groups, since an engine that is held up is slow for all its streams.
const SUSPECT_SLOW_LOG_ODDS: f64 = 3.0;
/// Fewest answers of the new version on which anything is decided.
const ANSWERS_MIN: u32 = 4;
/// Fewest answers of the new version, on all routes together, for a good verdict.
const ANSWERS_TO_MOVE_MIN: u32 = 12;
/// Multiple of the usual time above which an answer counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// Time up to which no answer counts as slow, in milliseconds: differences between such short times
/// come from how busy the hosts are.
const QUICK_MAX_MS: f64 = 20.0;

domain! {
    /// How far a roll-out has come; shared by all hosts.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Stage {
        /// The new version gets a small share of requests, or none yet.
        #[default]
        Trial,
        /// The new version's answers were good: all requests move to it.
        Moving,
        /// The new version serves all requests.
        Done,
        /// The new version was bad or could not be judged: the old one serves all requests.
        Stopped,
    }

    /// Counts of one version's answers to one route's requests.
    #[derive(Copy, Default, Eq)]
    pub struct Count {
        /// All answers, good or not.
        pub answers: u32,
        /// Answers that were failures.
        pub bad: u32,
        /// Answers that were much too slow; failures are not among them.
        #[serde(default)]
        pub slow: u32,
        /// Answers whose time could not be compared with a usual one; failures are not among them.
        #[serde(default)]
        pub untimed: u32,
    }

    /// What an answer says about the version that gave it.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// The answer was neither a failure nor slow.
        Good,
        /// The answer took many times the usual time.
        Slow,
        /// The answer was no failure, and the usual time is not known.
        Untimed,
        /// The backend server failed the request.
        Failed,
    }

    /// Answers of both versions to one route's requests.
    #[derive(Default, Eq)]
    pub struct Evidence {
        /// Route that the requests came by.
        pub route: Name,
        /// Answers of the old version.
        pub old: Count,
        /// Answers of the new version.
        pub new: Count,
        /// The part of `new` since the new version has had all requests.
        #[serde(default)]
        pub full: Count,
        /// The part of `new` to requests that came while few servers had peak load. The time that
        /// these answers took is no evidence against the version.
        #[serde(default)]
        pub peak: Count,
        /// The part of `old` from before the trial.
        #[serde(default)]
        pub before: Count,
        /// Answers of the old version from before the order; not among `old`.
        #[serde(default)]
        pub calm: Count,
    }

    /// Conclusion from the evidence of all routes.
    #[derive(Copy, Eq)]
    pub enum Verdict {
        /// The new version is bad.
        Bad,
        /// The new version is good on every route that it was tried on.
        Good,
        /// There are too few answers for a conclusion, and none of them was bad. All requests may
        /// move to the version, which brings more answers, but it can't be declared done.
        Clean,
        /// There are too few answers for a conclusion, or they disagree.
        Open,
    }
}

impl Stage {
    /// Whether the stage is final.
    #[must_use]
    pub fn is_decided(self) -> bool {
        matches!(self, Self::Done | Self::Stopped)
    }

    /// Whether a roll-out can go from this stage to `other`.
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
        self.untimed += u32::from(outcome == Outcome::Untimed);
    }

    /// Removes an answer that was counted before.
    pub fn retract(&mut self, outcome: Outcome) {
        let mut removed = Self::default();
        removed.record(outcome);
        *self = self.minus(removed);
    }

    /// The answers that are not among `others`, which are a part of these.
    #[must_use]
    pub fn minus(self, others: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(others.answers),
            bad: self.bad.saturating_sub(others.bad),
            slow: self.slow.saturating_sub(others.slow),
            untimed: self.untimed.saturating_sub(others.untimed),
        }
    }

    /// Halves the count, so that later answers weigh more.
    pub fn halve(&mut self) {
        for count in [&mut self.answers, &mut self.bad, &mut self.slow, &mut self.untimed] {
            *count /= 2;
        }
    }

    /// Adds another host's count.
    pub fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.bad += other.bad;
        self.slow += other.slow;
        self.untimed += other.untimed;
    }

    /// Failures and all answers.
    fn failures(self) -> (u32, u32) {
        (self.bad, self.answers)
    }

    /// Slow answers and all whose time says whether they are slow.
    fn slowness(self) -> (u32, u32) {
        (self.slow, self.answers.saturating_sub(self.bad + self.untimed))
    }
}

/// Progress of a roll-out through its stages, from 0 to 1; `age_ms` is the time since the order and
/// `within_ms` the time allowed.
///
/// Until all requests move this is the fraction of the time that has passed. In a short roll-out
/// the second half is compressed, since the margin at its end must be as long as in any other.
/// Moving requests earlier instead would give a bad version more requests than allowed.
#[must_use]
pub fn elapsed(age_ms: u64, within_ms: u64) -> f64 {
    let (age, within) = (age_ms as f64, within_ms.max(1) as f64);
    let Timeline { half, full, done } = Timeline::new(within_ms);
    match age {
        early if early <= half => early / within,
        middle if middle <= full => interpolate(middle, (half, 0.5), (full, FULL_FRACTION)),
        late => interpolate(late, (full, FULL_FRACTION), (done, DONE_FRACTION)),
    }
}

/// Times at which parts of a roll-out begin, in milliseconds since its order.
struct Timeline {
    half: f64,
    /// When all requests move to the new version.
    full: f64,
    done: f64,
}

impl Timeline {
    fn new(within_ms: u64) -> Self {
        let within = within_ms.max(1) as f64;
        let half = within / 2.0;
        let done = (within - END_MARGIN_MS).min(within * DONE_FRACTION).max(half + 2.0);
        let full = (within * FULL_FRACTION).min(done - within * FULL_MIN_FRACTION).max(half + 1.0);
        Self { half, full, done }
    }
}

/// The value at `x` of the line through two points.
fn interpolate(x: f64, (x0, y0): (f64, f64), (x1, y1): (f64, f64)) -> f64 {
    y0 + (x - x0) / (x1 - x0) * (y1 - y0)
}

/// The share of requests that the new version gets; `elapsed` is from [`elapsed`], and
/// `exposure_share` the share of all requests in the time allowed that a bad version may get.
#[must_use]
pub fn share(stage: Stage, elapsed: f64, exposure_share: f64) -> f64 {
    match stage {
        Stage::Stopped => 0.0,
        Stage::Done => 1.0,
        _ if elapsed < TRIAL_START_FRACTION => 0.0,
        _ if elapsed < GROWTH_FRACTION => FIRST_SHARE,
        Stage::Moving if elapsed >= FULL_FRACTION => 1.0,
        Stage::Trial | Stage::Moving => second_share(exposure_share),
    }
}

/// Whether other hosts may have declared a roll-out done, as far as a host can tell that only knows
/// an earlier stage. A host that learnt of the order late believes that less time has passed, so
/// the answer is yes from when requests can begin to move.
#[must_use]
pub fn may_be_done(stage: Stage, elapsed: f64) -> bool {
    stage != Stage::Stopped && elapsed >= MOVE_FRACTION
}

/// Share of requests that the new version gets for the longest part of its trial.
fn second_share(exposure_share: f64) -> f64 {
    let more = (exposure_share - EXPOSURE_SHARE_MIN).clamp(0.0, EXPOSURE_SHARE_MIN);
    SECOND_SHARE + more * EXPOSURE_USED_FRACTION / (FULL_FRACTION - GROWTH_FRACTION)
}

/// Whether a request goes to the new version, `target`; `subject` is the request's session, or the
/// request itself if it has none.
#[must_use]
pub fn is_moved(subject: &str, target: &str, share: f64) -> bool {
    uniform(mix(hash(subject.as_bytes()) ^ hash(target.as_bytes()))) < share
}

/// Whether the new version's requests go to so few servers that these have peak load.
#[must_use]
pub fn is_peak(elapsed: f64, within_ms: u64) -> bool {
    (peak_start(within_ms)..FULL_FRACTION).contains(&elapsed)
}

/// When peak load begins, on the scale of [`elapsed`]. A short trial has the usual load, which
/// shows whether the version is quick, for as long as other trials, and peak load for a shorter
/// time.
fn peak_start(within_ms: u64) -> f64 {
    let Timeline { half, full, .. } = Timeline::new(within_ms);
    let trial_start_ms =
        half + (TRIAL_START_FRACTION - 0.5) / (FULL_FRACTION - 0.5) * (full - half);
    elapsed((trial_start_ms + USUAL_LOAD_MIN_MS) as u64, within_ms)
        .clamp(PEAK_START_FRACTION, MOVE_FRACTION)
}

/// How many of the new version's `all` servers get its share of requests until it is declared done,
/// so that each has `load` times the load that it will have afterwards.
///
/// A version that fails only under load must show it while the old version's servers still run:
/// later no request can go back when the load rises.
#[must_use]
pub fn server_count(share: f64, all: usize, load: f64) -> usize {
    ((share * all as f64 / load).ceil() as usize).clamp(1, all.max(1))
}

/// Whether an answer is slow: compares its pace, or the time it took, with the usual one, in
/// milliseconds.
#[must_use]
pub fn is_slow(pace_ms: f64, usual_ms: f64) -> bool {
    pace_ms > slow_ms(usual_ms)
}

/// The time from which on an answer is slow, in milliseconds, where `usual_ms` is usual.
#[must_use]
pub fn slow_ms(usual_ms: f64) -> f64 {
    (usual_ms * SLOW_FACTOR).max(QUICK_MAX_MS)
}

/// Log likelihood ratio of the new version's failures: positive if they are likelier from a bad
/// version than from one that is as good as the old.
#[must_use]
pub fn failure_weight(evidence: &Evidence) -> f64 {
    let usual = usual_share(evidence, Count::failures);
    weight(usual.max(FAILURE_SHARE_MIN), evidence.new.failures(), BAD_EXCESS_SHARE)
}

/// Log likelihood ratio of the new version's failures since it has had all requests.
///
/// They are weighed on their own: a version that fails only under load has answered well on its
/// small share for half of the time, and those answers would outweigh the failures of its last
/// second.
#[must_use]
pub fn full_weight(evidence: &Evidence) -> f64 {
    loaded_weight(evidence, evidence.full)
}

/// Log likelihood ratio of the new version's failures under peak load.
#[must_use]
pub fn peak_weight(evidence: &Evidence) -> f64 {
    loaded_weight(evidence, evidence.peak)
}

fn loaded_weight(evidence: &Evidence, loaded: Count) -> f64 {
    let usual = usual_share(evidence, Count::failures).max(LOADED_FAILURE_SHARE_MIN);
    let weigh = |excess| weight(usual, loaded.failures(), excess);
    weigh(BAD_EXCESS_SHARE).max(weigh(LOADED_EXCESS_SHARE))
}

/// Log likelihood ratio of the new version's slow answers.
#[must_use]
pub fn slow_weight(evidence: &Evidence) -> f64 {
    let usual = usual_share(evidence, Count::slowness).max(SLOW_SHARE_MIN);
    let weigh = |new: Count| weight(usual, new.slowness(), BAD_EXCESS_SHARE);
    // Quick answers under peak load speak for the version; slow ones there don't speak against it.
    weigh(evidence.new).min(weigh(evidence.new.minus(evidence.peak)))
}

/// The share of the old version's answers that are failures, or slow: that of the time since the
/// order, or of the time before the order, before the trial or since, if that is lower by more than
/// chance explains.
///
/// Trouble of some of the old version's servers raises the share for some seconds. It must not make
/// a bad version look usual, whenever it came.
fn usual_share(evidence: &Evidence, of: fn(Count) -> (u32, u32)) -> f64 {
    let Evidence { old, before, calm, .. } = evidence;
    let (bad, answers) = of(*old);
    let whole = f64::from(bad + 1) / f64::from(answers + USUAL_PRIOR_ANSWERS);
    let highest = |period: Count| {
        let (bad, answers) = of(period);
        let prior = f64::from(USUAL_PRIOR_ANSWERS);
        let answers = f64::from(answers) + prior;
        let share = (f64::from(bad) + prior * whole) / answers;
        share + (share * (1.0 - share) / answers).sqrt()
    };
    let periods = [*calm, *before, old.minus(*before)];
    periods.map(highest).into_iter().fold(whole, f64::min)
}

/// Log likelihood ratio of `new`, bad answers and all answers, for a share of bad answers that is
/// larger than the `usual` one by `excess`.
fn weight(usual: f64, new: (u32, u32), excess: f64) -> f64 {
    let usual = usual.min(1.0 - 2.0 * BAD_EXCESS_SHARE);
    let worse = usual + excess;
    let good = f64::from(new.1.saturating_sub(new.0));
    f64::from(new.0) * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln()
}

/// The verdict on the new version from the evidence of all routes. One bad route is enough: some
/// versions fail on one route only.
#[must_use]
pub fn verdict(evidence: &[Evidence]) -> Verdict {
    let answers: u32 = evidence.iter().map(|route| route.new.answers).sum();
    // Slow answers under peak load prove nothing, so they don't count as answers either: otherwise
    // a version that turns slow during its trial would pass as quick by its few earlier answers.
    let says_nothing = |route: &Evidence| route.peak.slow + route.new.untimed;
    let conclusive: u32 =
        evidence.iter().map(|route| route.new.answers.saturating_sub(says_nothing(route))).sum();
    let is_clean =
        evidence.iter().all(|route| route.new.bad + route.new.minus(route.peak).slow == 0)
            && conclusive >= ANSWERS_MIN;
    let (failures, slowness) =
        (worst_route_weight(evidence, failure_weight), worst_route_weight(evidence, slow_weight));
    // A trial brings few answers; a fault on all routes shows first in their sum.
    let sum = total_weight(evidence, failure_weight).max(total_weight(evidence, slow_weight));
    let worst_loaded = worst_loaded_weight(evidence, |route| (route.full, full_weight(route)))
        .max(worst_loaded_weight(evidence, |route| (route.peak, peak_weight(route))));
    let is_suspect = failures >= SUSPECT_LOG_ODDS
        || slowness >= SUSPECT_SLOW_LOG_ODDS
        || worst_loaded >= SUSPECT_LOADED_LOG_ODDS;
    let is_good = total_weight(evidence, failure_weight) <= MOVE_LOG_ODDS && is_quick(evidence);
    match answers {
        few if few < ANSWERS_MIN => Verdict::Open,
        _ if failures.max(slowness).max(sum).max(worst_loaded) >= STOP_LOG_ODDS => Verdict::Bad,
        enough if enough >= ANSWERS_TO_MOVE_MIN && is_good && !is_suspect => Verdict::Good,
        _ if is_clean => Verdict::Clean,
        _ => Verdict::Open,
    }
}

/// The largest weight against a version on any one route with enough answers.
fn worst_route_weight(evidence: &[Evidence], weight: fn(&Evidence) -> f64) -> f64 {
    let tried = evidence.iter().filter(|route| route.new.answers >= ANSWERS_MIN);
    tried.map(weight).fold(f64::NEG_INFINITY, f64::max)
}

/// The weight against a version on all routes together.
fn total_weight(evidence: &[Evidence], weight: fn(&Evidence) -> f64) -> f64 {
    evidence.iter().map(weight).sum()
}

/// Whether a version is as quick as the old one.
///
/// When all requests reach a version at once its servers' caches are empty, and some answers are
/// slow for that reason alone. A version that was quick on trial is not stopped for those answers
/// unless they are far more than usual.
fn is_quick(evidence: &[Evidence]) -> bool {
    let weigh = |counts: fn(&Evidence) -> (Count, Count)| {
        let counted = |route: &Evidence| {
            let (new, peak) = counts(route);
            Evidence { new, peak, ..route.clone() }
        };
        evidence.iter().map(|route| slow_weight(&counted(route))).sum::<f64>()
    };
    let on_trial = weigh(|route| (route.new.minus(route.full), route.peak));
    let at_full = weigh(|route| (route.full, Count::default()));
    on_trial + at_full <= MOVE_LOG_ODDS
        || (on_trial <= MOVE_LOG_ODDS && at_full < SUSPECT_SLOW_LOG_ODDS)
}

/// The largest weight against a version under load, on any one route or on all together; `loaded`
/// gives a route's answers under that load and their weight.
fn worst_loaded_weight(evidence: &[Evidence], loaded: fn(&Evidence) -> (Count, f64)) -> f64 {
    let seen = evidence.iter().map(loaded).filter(|(count, _)| count.answers >= ANSWERS_MIN);
    let seen: Vec<f64> = seen.map(|(_, weight)| weight).collect();
    let sum = seen.iter().sum();
    seen.into_iter().fold(sum, f64::max)
}

/// The stage that follows now; none if the roll-out stays at its stage.
#[must_use]
pub fn next(stage: Stage, elapsed: f64, verdict: Verdict) -> Option<Stage> {
    match (stage, verdict) {
        (Stage::Trial | Stage::Moving, Verdict::Bad) => Some(Stage::Stopped),
        (Stage::Trial, Verdict::Good) if elapsed >= MOVE_FRACTION => Some(Stage::Moving),
        (Stage::Trial, Verdict::Clean) if elapsed >= MOVE_ON_FEW_FRACTION => Some(Stage::Moving),
        (Stage::Trial, _) if elapsed >= GIVE_UP_FRACTION => Some(Stage::Stopped),
        (Stage::Moving, Verdict::Good) if elapsed >= DONE_FRACTION => Some(Stage::Done),
        // The old servers stop at the success, which can't be taken back. So a version that is not
        // known to be good is not declared done.
        (Stage::Moving, _) if elapsed >= DONE_FRACTION => Some(Stage::Stopped),
        _ => None,
    }
}

/// When the last stage is no longer urgent: the time allowed is over.
const OVERDUE_FRACTION: f64 = 1.1;

/// Whether the next stage must be looked for after each answer instead of at intervals: the new
/// version has all requests, or the time is nearly over.
#[must_use]
pub fn is_urgent(stage: Stage, elapsed: f64) -> bool {
    match stage {
        Stage::Moving => (FULL_FRACTION..OVERDUE_FRACTION).contains(&elapsed),
        Stage::Trial => (GIVE_UP_FRACTION..OVERDUE_FRACTION).contains(&elapsed),
        Stage::Done | Stage::Stopped => false,
    }
}

/// Whether the trial has begun: requests may go to the new version.
#[must_use]
pub fn is_trial_begun(elapsed: f64) -> bool {
    elapsed >= TRIAL_START_FRACTION
}

/// Whether the hosts' evidence is needed now: the trial has begun and no final stage is reached.
#[must_use]
pub fn needs_evidence(stage: Stage, elapsed: f64) -> bool {
    matches!(stage, Stage::Trial | Stage::Moving) && is_trial_begun(elapsed)
}
