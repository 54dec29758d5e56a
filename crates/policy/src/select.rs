//! Which version answers a request: the cheapest plan that meets the task's target.
//!
//! A [`Table`] is built once for each client account and task whenever the view changes; drawing
//! a plan from it on the request path is a scan over a few numbers.

pub mod baseline;
pub mod hull;
pub mod outlook;

use crate::domain;
use crate::estimate::Estimate;
use crate::name::Name;
use crate::time::Millis;

use outlook::Outlook;

/// Deviations below the mean at which a quality counts as reached.
pub const CONFIDENCE: f64 = 0.5;
/// Share of requests spent on finding out about cheaper versions, at most.
pub const EXPLORED_SHARE: f64 = 0.02;
/// Of the answers that the first version of a cascade gets wrong, the second is worse than on
/// average: hard requests are hard for both. Its share of good answers is multiplied by this.
pub const RESCUE: f64 = 0.85;
/// Requests on which a quality target is judged.
const JUDGED_REQUESTS: f64 = 400.0;
/// Deviations above the mean that a version must be able to reach to be worth exploring.
const OPTIMISM: f64 = 1.5;

domain! {
    /// How a request is answered.
    #[derive(Eq)]
    pub enum Plan {
        /// By one version.
        Single(Name),
        /// By `first`; if its answer is rated bad, by `then`.
        Cascade {
            /// The cheap one.
            first: Name,
            /// The better one.
            then: Name,
        },
    }

    /// Where a version stands, as far as selection cares.
    #[derive(Copy)]
    pub enum Status {
        /// In full use.
        Live,
        /// Taken on by steps: exactly this share of requests, 0 to 1.
        Candidate(f64),
    }

    /// A version that the account may use and that takes new work.
    pub struct Candidate {
        /// The version.
        pub version: Name,
        /// Its model; a roll-out's candidate takes its share from live versions of its model.
        pub model: Name,
        /// Cost of one call.
        pub cost: f64,
        /// What is known of its quality on the task.
        pub quality: Estimate,
        /// Where it stands.
        pub status: Status,
        /// Time that most of its answers take, in milliseconds; 0 if unknown.
        pub latency_ms: f64,
    }

    /// The rating service as cascades use it.
    #[derive(Copy)]
    pub struct Rater {
        /// Cost of one rating.
        pub cost: f64,
        /// Time that most ratings take, in milliseconds.
        pub latency_ms: f64,
    }

    /// What the plan must reach.
    #[derive(Copy)]
    pub struct Goal {
        /// Share of good answers, 0 to 1.
        pub target: f64,
        /// Whether a request may run more than once; else no cascade.
        pub may_repeat: bool,
        /// Longest time a request may take, in milliseconds.
        pub deadline_ms: f64,
        /// None while the rating service can't be used: no cascade.
        pub rater: Option<Rater>,
        /// Deviations below the mean at which a quality counts as reached.
        pub confidence: f64,
        /// Share of requests spent on exploration, at most.
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
            confidence: CONFIDENCE,
            explored_share: EXPLORED_SHARE,
        }
    }
}

impl Candidate {
    /// A version in full use.
    #[must_use]
    pub fn live(version: impl Into<Name>, cost: f64, quality: Estimate) -> Self {
        let version = version.into();
        let model = version.clone();
        Self { version, model, cost, quality, status: Status::Live, latency_ms: 0.0 }
    }

    /// Sets its model.
    #[must_use]
    pub fn with_model(mut self, model: impl Into<Name>) -> Self {
        self.model = model.into();
        self
    }

    /// Gives it a roll-out's share instead of full use.
    #[must_use]
    pub fn with_share(mut self, share: f64) -> Self {
        self.status = Status::Candidate(share.clamp(0.0, 1.0));
        self
    }

    /// Sets the time that most of its answers take, in milliseconds.
    #[must_use]
    pub fn with_latency(mut self, ms: f64) -> Self {
        self.latency_ms = ms;
        self
    }
}

/// Plans of one account and task, each with its share of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Plans; the shares sum to 1 unless there is none at all.
    pub shares: Vec<Share>,
    /// Cost of one request that is expected, ratings of cascades included.
    pub cost: f64,
    /// Share of good answers that is expected with confidence.
    pub quality: f64,
}

/// A plan's share of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// 0 to 1.
    pub share: f64,
    /// The plan.
    pub plan: Plan,
}

impl Table {
    /// Plans the cheapest way to the goal; the best way there is if nothing reaches it.
    #[must_use]
    pub fn build(candidates: &[Candidate], goal: &Goal, now: Millis) -> Self {
        let outlooks = outlook::all(candidates, goal, now);
        let target = aim(goal.target);
        let live: Vec<Outlook> = outlooks.iter().filter(|o| o.is_live()).cloned().collect();
        let mut table = Self::default();
        let mut left = 1.0;
        for (candidate, share) in candidate_shares(candidates) {
            let share = share.min(left);
            let with = outlook::introducing(&outlooks, candidates, candidate);
            table.add_mix(&hull::cheapest(&with, target), share, candidates);
            left -= share;
        }
        let main = hull::cheapest(&live, target);
        let explored = exploration(&live, &main, candidates, goal, now);
        for index in &explored {
            let share = left * goal.explored_share / explored.len() as f64;
            table.add(&live[*index], share, candidates);
        }
        let spent = if explored.is_empty() { 0.0 } else { goal.explored_share };
        table.add_mix(&main, left * (1.0 - spent), candidates);
        table.scaled()
    }

    /// The plan for a uniform draw from 0 to 1; none if no version may be used.
    #[must_use]
    pub fn draw(&self, unit: f64) -> Option<&Plan> {
        let mut sum = 0.0;
        for share in &self.shares {
            sum += share.share;
            if unit < sum {
                return Some(&share.plan);
            }
        }
        self.shares.last().map(|share| &share.plan)
    }

    /// The share of a plan's requests, 0 if it is not in the table.
    #[must_use]
    pub fn share(&self, plan: &Plan) -> f64 {
        self.shares.iter().filter(|share| share.plan == *plan).map(|share| share.share).sum()
    }

    fn add_mix(&mut self, mix: &[(f64, Outlook)], share: f64, candidates: &[Candidate]) {
        for (part, outlook) in mix {
            self.add(outlook, share * part, candidates);
        }
    }

    fn add(&mut self, outlook: &Outlook, share: f64, candidates: &[Candidate]) {
        if share <= 0.0 {
            return;
        }
        self.cost += share * outlook.cost;
        self.quality += share * outlook.quality;
        let plan = outlook.plan(candidates);
        match self.shares.iter_mut().find(|known| known.plan == plan) {
            Some(known) => known.share += share,
            None => self.shares.push(Share { share, plan }),
        }
    }

    /// Brings the sum of shares to 1, which it misses when there is no live version.
    fn scaled(mut self) -> Self {
        let sum: f64 = self.shares.iter().map(|share| share.share).sum();
        if sum > 0.0 {
            self.shares.iter_mut().for_each(|share| share.share /= sum);
            self.cost /= sum;
            self.quality /= sum;
        }
        self
    }
}

/// The share to plan for: a promise is judged on some hundreds of requests, in which luck alone
/// takes a plan that only just meets it below it half of the time.
fn aim(target: f64) -> f64 {
    target + (target * (1.0 - target) / JUDGED_REQUESTS).sqrt()
}

fn candidate_shares(candidates: &[Candidate]) -> Vec<(usize, f64)> {
    let share = |candidate: &Candidate| match candidate.status {
        Status::Candidate(share) => Some(share),
        Status::Live => None,
    };
    candidates.iter().enumerate().filter_map(|(i, c)| share(c).map(|share| (i, share))).collect()
}

/// Plans whose versions are too little known to be used, though they might save cost.
fn exploration(
    live: &[Outlook],
    main: &[(f64, Outlook)],
    candidates: &[Candidate],
    goal: &Goal,
    now: Millis,
) -> Vec<usize> {
    let cost: f64 = main.iter().map(|(share, outlook)| share * outlook.cost).sum();
    let worth = |outlook: &Outlook| {
        let quality = &candidates[outlook.first].quality;
        outlook.then.is_none()
            && outlook.cost < cost
            && quality.lower(goal.confidence, now) < goal.target
            && quality.upper(OPTIMISM, now) >= goal.target
            && !main.iter().any(|(_, used)| used.first == outlook.first)
    };
    live.iter().enumerate().filter(|(_, o)| worth(o)).map(|(index, _)| index).collect()
}
