//! All possible plans, with the expected cost and quality of each.

use super::{Candidate, Goal, Plan, RESCUE_FACTOR, Status};
use crate::time::Millis;

/// A plan as indices of its versions, with its expected cost and quality.
#[derive(Clone, Debug, PartialEq)]
pub struct Outlook {
    /// Index of the only version, or of a cascade's first version.
    pub first: usize,
    /// Index of a cascade's second version; `None` for a single version.
    pub then: Option<usize>,
    /// Expected cost of one request, including a cascade's rating.
    pub cost: f64,
    /// Share of good answers, as a lower confidence bound, 0 to 1.
    pub quality: f64,
    /// Whether all versions of the plan are live.
    live: bool,
}

impl Outlook {
    /// Whether all versions of the plan are live.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.live
    }

    /// The plan with the names of its versions.
    #[must_use]
    pub fn plan(&self, candidates: &[Candidate]) -> Plan {
        let first = candidates[self.first].version.clone();
        match self.then {
            None => Plan::Single(first),
            Some(then) => Plan::Cascade { first, then: candidates[then].version.clone() },
        }
    }
}

fn is_live(candidate: &Candidate) -> bool {
    matches!(candidate.status, Status::Live)
}

/// Returns the plans for the share of a version in a roll-out, in which it replaces the live
/// versions of its model. If its model has no live version, the version comes first in every plan,
/// since it would otherwise get no requests.
#[must_use]
pub fn introducing(
    outlooks: &[Outlook],
    candidates: &[Candidate],
    candidate: usize,
) -> Vec<Outlook> {
    let model = &candidates[candidate].model;
    let is_replaced =
        |index: usize| is_live(&candidates[index]) && candidates[index].model == *model;
    let has_replaced = (0..candidates.len()).any(is_replaced);
    let is_allowed = |index: usize| match index {
        index if index == candidate => true,
        index => is_live(&candidates[index]) && !is_replaced(index),
    };
    let is_introducing = |outlook: &&Outlook| {
        let is_introduced = has_replaced || outlook.first == candidate;
        is_introduced && is_allowed(outlook.first) && outlook.then.is_none_or(is_allowed)
    };
    outlooks.iter().filter(is_introducing).cloned().collect()
}

/// Returns each version as a plan of its own and each possible cascade, if requests may be repeated
/// and a rating service is available.
#[must_use]
pub fn enumerate(candidates: &[Candidate], goal: &Goal, now: Millis) -> Vec<Outlook> {
    let mut outlooks: Vec<Outlook> =
        (0..candidates.len()).map(|first| single(candidates, first, goal, now)).collect();
    for first in 0..candidates.len() {
        let pairs = (0..candidates.len()).map(|then| (first, then));
        outlooks.extend(pairs.filter_map(|pair| cascade(candidates, pair, goal, now)));
    }
    outlooks
}

fn single(candidates: &[Candidate], first: usize, goal: &Goal, now: Millis) -> Outlook {
    let candidate = &candidates[first];
    Outlook {
        first,
        then: None,
        cost: candidate.cost,
        quality: candidate.quality.lower_bound(goal.confidence, now),
        live: is_live(candidate),
    }
}

fn cascade(
    candidates: &[Candidate],
    (first, then): (usize, usize),
    goal: &Goal,
    now: Millis,
) -> Option<Outlook> {
    let rater = goal.rater.filter(|_| goal.may_repeat && first != then)?;
    let (cheap, better) = (&candidates[first], &candidates[then]);
    let latency = cheap.latency_ms + rater.latency_ms + better.latency_ms;
    if cheap.cost >= better.cost || latency > goal.deadline_ms {
        return None;
    }
    let good = cheap.quality.lower_bound(goal.confidence, now);
    let rescued = RESCUE_FACTOR * better.quality.lower_bound(goal.confidence, now);
    let escalated = 1.0 - cheap.quality.mean(now);
    Some(Outlook {
        first,
        then: Some(then),
        cost: cheap.cost + rater.cost + escalated * better.cost,
        quality: good + (1.0 - good) * rescued,
        live: is_live(cheap) && is_live(better),
    })
}
