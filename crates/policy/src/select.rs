//! Version selection: the cheapest plan that meets a task's quality target.
//!
//! A [`Table`] is built for each client account and task whenever the host's view of the
//! configuration or of the versions changes. On the request path, drawing a plan from the table is
//! a scan over a few numbers.

pub mod baseline;
pub mod mixture;
pub mod outlook;

use crate::domain;
use crate::estimate::Estimate;
use crate::name::Name;
use crate::sample;
use crate::time::Millis;

use outlook::Outlook;

/// Default number of standard deviations below the mean at which a quality counts as reached.
pub const CONFIDENCE_DEVIATIONS: f64 = 0.5;
/// Default maximum share of requests spent on exploring cheaper versions, 0 to 1.
pub const EXPLORED_SHARE: f64 = 0.02;
/// Factor on the quality of a cascade's second version for requests that the first version answered
/// badly. The second version is worse on these than on average, since hard requests are hard for
/// both.
pub const RESCUE_FACTOR: f64 = 0.85;
/// Number of requests over which the quality target is judged.
const JUDGED_REQUESTS: f64 = 400.0;
/// Standard deviations added to a version's mean quality. A version is explored only if the sum
/// reaches the target.
const OPTIMISM_DEVIATIONS: f64 = 1.5;

domain! {
    /// The versions that answer a request.
    #[derive(Eq)]
    pub enum Plan {
        /// One version answers.
        Single(Name),
        /// `first` answers; if its answer is rated bad, `then` answers instead.
        Cascade {
            /// The cheaper version.
            first: Name,
            /// The more expensive version.
            then: Name,
        },
    }

    /// Stage of a version's roll-out, as far as selection depends on it.
    #[derive(Copy)]
    pub enum Status {
        /// Rolled out; may get any share of requests.
        Live,
        /// In a roll-out; gets exactly this share of requests, 0 to 1.
        Candidate(f64),
    }

    /// A version that the account may use and that accepts new work.
    pub struct Candidate {
        /// Name of the version.
        pub version: Name,
        /// Model of the version. A version in a roll-out takes its share from the model's live
        /// versions.
        pub model: Name,
        /// Cost of one request.
        pub cost: f64,
        /// Estimated quality of the version on the task.
        pub quality: Estimate,
        /// Stage of the version's roll-out.
        pub status: Status,
        /// Time within which most of the version's answers end, in milliseconds; 0 if unknown.
        pub latency_ms: f64,
    }

    /// Cost and latency of the rating service, which cascades need.
    #[derive(Copy)]
    pub struct Rater {
        /// Cost of one rating.
        pub cost: f64,
        /// Time within which most ratings are done, in milliseconds.
        pub latency_ms: f64,
    }

    /// Requirements on the plans of one account and task.
    #[derive(Copy)]
    pub struct Goal {
        /// Required share of good answers, 0 to 1.
        pub target: f64,
        /// Whether a request may run more than once. If not, no cascade is planned.
        pub may_repeat: bool,
        /// Maximum time that a request may take, in milliseconds.
        pub deadline_ms: f64,
        /// The rating service; `None` while it is unavailable, and then no cascade is planned.
        pub rater: Option<Rater>,
        /// Standard deviations below the mean at which a quality counts as reached.
        pub confidence: f64,
        /// Maximum share of requests spent on exploration, 0 to 1.
        pub explored_share: f64,
    }
}

impl Default for Goal {
    fn default() -> Self {
        Self {
            target: 0.9,
            may_repeat: false,
            deadline_ms: f64::INFINITY,
            rater: None,
            confidence: CONFIDENCE_DEVIATIONS,
            explored_share: EXPLORED_SHARE,
        }
    }
}

impl Candidate {
    /// Creates a live version with its own name as model and unknown latency.
    #[must_use]
    pub fn live(version: impl Into<Name>, cost: f64, quality: Estimate) -> Self {
        let version = version.into();
        let model = version.clone();
        Self { version, model, cost, quality, status: Status::Live, latency_ms: 0.0 }
    }

    /// Sets the version's model.
    #[must_use]
    pub fn with_model(mut self, model: impl Into<Name>) -> Self {
        self.model = model.into();
        self
    }

    /// Makes the version one in a roll-out, with this share of requests.
    #[must_use]
    pub fn with_share(mut self, share: f64) -> Self {
        self.status = Status::Candidate(share.clamp(0.0, 1.0));
        self
    }

    /// Sets the time within which most of the version's answers end, in milliseconds.
    #[must_use]
    pub fn with_latency(mut self, ms: f64) -> Self {
        self.latency_ms = ms;
        self
    }
}

/// Plans for one account and task, each with its share of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Plans with their shares, which sum to 1; empty if no version may be used.
    pub shares: Vec<Share>,
    /// Expected cost of one request, including the ratings of cascades.
    pub cost: f64,
    /// Share of good answers, as a lower confidence bound, 0 to 1.
    pub quality: f64,
}

/// A plan's share of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Fraction of requests that get the plan, 0 to 1.
    pub share: f64,
    /// Plan for these requests.
    pub plan: Plan,
}

impl Table {
    /// Builds the cheapest table that meets the goal, or the one with the best quality if none
    /// does.
    #[must_use]
    pub fn build(candidates: &[Candidate], goal: &Goal, now: Millis) -> Self {
        let outlooks = outlook::enumerate(candidates, goal, now);
        let target = planned_target(goal.target);
        let live: Vec<Outlook> = outlooks.iter().filter(|o| o.is_live()).cloned().collect();
        let mut table = Self::default();
        let mut remaining = 1.0;
        for (candidate, share) in candidate_shares(candidates) {
            let share = share.min(remaining);
            let introducing = outlook::introducing(&outlooks, candidates, candidate);
            table.add_mix(&mixture::cheapest(&introducing, target), share, candidates);
            remaining -= share;
        }
        let main = mixture::cheapest(&live, target);
        let explored = find_explored(&live, &main, candidates, goal, now);
        for index in &explored {
            let share = remaining * goal.explored_share / explored.len() as f64;
            table.add(&live[*index], share, candidates);
        }
        let explored_share = if explored.is_empty() { 0.0 } else { goal.explored_share };
        table.add_mix(&main, remaining * (1.0 - explored_share), candidates);
        table.normalized()
    }

    /// Selects the plan for `unit`, a uniform draw from 0 to 1; `None` if the table is empty.
    #[must_use]
    pub fn draw(&self, unit: f64) -> Option<&Plan> {
        let drawn = sample::weighted(self.shares.iter().map(|share| share.share), unit);
        let drawn = drawn.map_or(self.shares.last(), |index| self.shares.get(index));
        drawn.map(|share| &share.plan)
    }

    /// Share of requests that get this plan, 0 to 1; 0 if the plan isn't in the table.
    #[must_use]
    pub fn share(&self, plan: &Plan) -> f64 {
        self.shares.iter().filter(|share| share.plan == *plan).map(|share| share.share).sum()
    }

    fn add_mix(&mut self, mix: &[(f64, Outlook)], share: f64, candidates: &[Candidate]) {
        for (fraction, outlook) in mix {
            self.add(outlook, share * fraction, candidates);
        }
    }

    fn add(&mut self, outlook: &Outlook, share: f64, candidates: &[Candidate]) {
        if share <= 0.0 {
            return;
        }
        self.cost += share * outlook.cost;
        self.quality += share * outlook.quality;
        let plan = outlook.plan(candidates);
        match self.shares.iter_mut().find(|existing| existing.plan == plan) {
            Some(existing) => existing.share += share,
            None => self.shares.push(Share { share, plan }),
        }
    }

    /// Scales the shares to a sum of 1, which they miss if there is no live version.
    fn normalized(mut self) -> Self {
        let sum: f64 = self.shares.iter().map(|share| share.share).sum();
        if sum > 0.0 {
            self.shares.iter_mut().for_each(|share| share.share /= sum);
            self.cost /= sum;
            self.quality /= sum;
        }
        self
    }
}

/// Share of good answers to plan for, above the target by one standard deviation. The target is
/// judged over a few hundred requests, in which a plan that only just meets it would miss it half
/// of the time by chance.
fn planned_target(target: f64) -> f64 {
    target + (target * (1.0 - target) / JUDGED_REQUESTS).sqrt()
}

fn candidate_shares(candidates: &[Candidate]) -> Vec<(usize, f64)> {
    let share = |candidate: &Candidate| match candidate.status {
        Status::Candidate(share) => Some(share),
        Status::Live => None,
    };
    candidates.iter().enumerate().filter_map(|(i, c)| share(c).map(|share| (i, share))).collect()
}

/// Indices of live plans with a single version that costs less than the main mix and might meet the
/// target, but has too few ratings to be used in the mix.
fn find_explored(
    live: &[Outlook],
    main: &[(f64, Outlook)],
    candidates: &[Candidate],
    goal: &Goal,
    now: Millis,
) -> Vec<usize> {
    let cost: f64 = main.iter().map(|(share, outlook)| share * outlook.cost).sum();
    let is_explored = |outlook: &Outlook| {
        let quality = &candidates[outlook.first].quality;
        outlook.then.is_none()
            && outlook.cost < cost
            && quality.lower_bound(goal.confidence, now) < goal.target
            && quality.upper_bound(OPTIMISM_DEVIATIONS, now) >= goal.target
            && !main.iter().any(|(_, used)| used.first == outlook.first)
    };
    live.iter().enumerate().filter(|(_, o)| is_explored(o)).map(|(index, _)| index).collect()
}
