//! Every plan that is possible, with the cost and quality it promises.

use super::{Candidate, Goal, Plan, RESCUE, Status};
use crate::time::Millis;

/// A plan by the indices of its versions, and what it promises.
#[derive(Clone, Debug, PartialEq)]
pub struct Outlook {
    /// Index of the only or first version.
    pub first: usize,
    /// Index of a cascade's second version.
    pub then: Option<usize>,
    /// Expected cost of one request.
    pub cost: f64,
    /// Share of good answers, with confidence.
    pub quality: f64,
    /// Whether all of its versions are in full use.
    live: bool,
}

impl Outlook {
    /// Whether all of its versions are in full use.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.live
    }

    /// The plan by names.
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

/// Plans for a roll-out's share: the candidate stands in for the live versions of its model. One
/// that has none to stand in for runs first in every plan, or it would never be tried.
#[must_use]
pub fn introducing(
    outlooks: &[Outlook],
    candidates: &[Candidate],
    candidate: usize,
) -> Vec<Outlook> {
    let model = &candidates[candidate].model;
    let replaced = |index: usize| is_live(&candidates[index]) && candidates[index].model == *model;
    let replaces = (0..candidates.len()).any(replaced);
    let may = |index: usize| match index {
        index if index == candidate => true,
        index => is_live(&candidates[index]) && !replaced(index),
    };
    let fits = |outlook: &&Outlook| {
        let introduced = replaces || outlook.first == candidate;
        introduced && may(outlook.first) && outlook.then.is_none_or(may)
    };
    outlooks.iter().filter(fits).cloned().collect()
}

/// All plans: each version alone and, where a request may be repeated, each cascade.
#[must_use]
pub fn all(candidates: &[Candidate], goal: &Goal, now: Millis) -> Vec<Outlook> {
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
        quality: candidate.quality.lower(goal.confidence, now),
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
    let good = cheap.quality.lower(goal.confidence, now);
    let rescued = RESCUE * better.quality.lower(goal.confidence, now);
    let escalated = 1.0 - cheap.quality.mean(now);
    Some(Outlook {
        first,
        then: Some(then),
        cost: cheap.cost + rater.cost + escalated * better.cost,
        quality: good + (1.0 - good) * rescued,
        live: is_live(cheap) && is_live(better),
    })
}
