//! Computes what the best fixed plans would have cost, in hindsight.
//!
//! For each task, the oracle is the cheapest plan whose answers in this trace reach the target.
//! Plans are all single versions and, for requests that may be repeated and belong to no session,
//! all cascades of two versions. Only versions that were live during the whole trace count.

use std::collections::{BTreeMap, BTreeSet};

use policy::domain;
use policy::name::Name;
use policy::select::Plan;
use wire::configuration::VersionState;

use crate::trace::{Happening, Request, Trace};

domain! {
    /// Costs of fixed plans for the requests that the replay answered in time.
    #[derive(Copy, Default)]
    pub struct Costs {
        /// Cost of the cheapest plan that meets each task's target.
        pub oracle: f64,
        /// Cost of the cheapest mix of two plans that meets each task's target.
        pub oracle_mix: f64,
        /// Cost of the version with the most good answers for each task.
        pub always_best: f64,
        /// Cost of always using the cheapest version.
        pub always_cheapest: f64,
    }

    /// Costs of fixed plans in total and by task.
    pub struct Hindsights {
        /// Sum over all tasks.
        pub sum: Costs,
        /// Costs by task. The costs of requests that may be cascaded and of those that may not are
        /// computed apart and added.
        pub tasks: BTreeMap<Name, Costs>,
    }
}

/// Result of one plan for all of a task's requests.
#[derive(Clone, Debug)]
struct Hindsight {
    plan: Plan,
    good: u64,
    cost: f64,
}

/// Computes the [`Costs`] for the requests with the indices in `answered`.
#[must_use]
pub fn costs(trace: &Trace, answered: &[usize]) -> Hindsights {
    let answered: BTreeSet<usize> = answered.iter().copied().collect();
    let mut by_task: BTreeMap<(&Name, bool), Vec<&Request>> = BTreeMap::new();
    for index in answered {
        let request = &trace.requests[index];
        by_task.entry((&request.task, may_cascade(trace, request))).or_default().push(request);
    }
    let mut costs = Hindsights { sum: Costs::default(), tasks: BTreeMap::new() };
    for ((task, cascades), requests) in by_task {
        let of_task = task_costs(trace, &requests, cascades);
        costs.sum.add(&of_task);
        costs.tasks.entry(task.clone()).or_default().add(&of_task);
    }
    costs
}

impl Costs {
    fn add(&mut self, other: &Self) {
        self.oracle += other.oracle;
        self.oracle_mix += other.oracle_mix;
        self.always_best += other.always_best;
        self.always_cheapest += other.always_cheapest;
    }
}

fn may_cascade(trace: &Trace, request: &Request) -> bool {
    let task = trace.task(request).is_some_and(|task| task.may_repeat);
    task && request.may_repeat.unwrap_or(true) && request.session.is_none()
}

fn task_costs(trace: &Trace, requests: &[&Request], cascades: bool) -> Costs {
    let plans = plans(trace, requests, cascades);
    let target = requests.first().and_then(|request| trace.task(request));
    let needed = target.map_or(0.0, |task| task.quality_target) * requests.len() as f64;
    let single = |plan: &&Hindsight| matches!(plan.plan, Plan::Single(_));
    let by_cost = |a: &&Hindsight, b: &&Hindsight| a.cost.total_cmp(&b.cost);
    let best = plans.iter().max_by_key(|plan| plan.good).map_or(0.0, |plan| plan.cost);
    let meets = |plan: &&Hindsight| plan.good as f64 >= needed;
    let oracle = plans.iter().filter(meets).min_by(by_cost).map_or(best, |plan| plan.cost);
    let best = plans.iter().filter(single).max_by_key(|plan| plan.good);
    let cheapest = plans.iter().filter(single).min_by(by_cost);
    Costs {
        oracle,
        oracle_mix: mix(&plans, needed).min(oracle),
        always_best: best.map_or(0.0, |plan| plan.cost),
        always_cheapest: cheapest.map_or(0.0, |plan| plan.cost),
    }
}

/// Returns the lowest cost of a mix of two plans that just meets the target: one plan that meets it
/// and one that misses it. Infinite if there is no such pair.
fn mix(plans: &[Hindsight], needed: f64) -> f64 {
    let meeting = || plans.iter().filter(|plan| plan.good as f64 >= needed);
    let missing = || plans.iter().filter(|plan| (plan.good as f64) < needed);
    let pairs = meeting().flat_map(|above| missing().map(move |below| (above, below)));
    let cost = |(above, below): (&Hindsight, &Hindsight)| {
        let share = (above.good as f64 - needed) / (above.good as f64 - below.good as f64);
        share * below.cost + (1.0 - share) * above.cost
    };
    pairs.map(cost).fold(f64::INFINITY, f64::min)
}

fn plans(trace: &Trace, requests: &[&Request], cascades: bool) -> Vec<Hindsight> {
    let versions = versions(trace, requests);
    let mut plans: Vec<Hindsight> = versions
        .iter()
        .map(|version| hindsight(trace, requests, Plan::Single(version.clone())))
        .collect();
    let pairs = versions.iter().flat_map(|first| versions.iter().map(move |then| (first, then)));
    for (first, then) in pairs.filter(|(first, then)| cascades && first != then) {
        let plan = Plan::Cascade { first: first.clone(), then: then.clone() };
        plans.push(hindsight(trace, requests, plan));
    }
    plans
}

/// Returns the versions that are live and not withdrawn during the trace, and that every account of
/// the requests may use.
fn versions(trace: &Trace, requests: &[&Request]) -> Vec<Name> {
    let document = &trace.header.configuration;
    let withdrawn = |version: &Name| {
        let is =
            |what: &Happening| matches!(what, Happening::Withdraw { version: v } if v == version);
        trace.events.iter().any(|event| is(&event.what))
    };
    let accounts: BTreeSet<&Name> = requests.iter().map(|request| &request.account).collect();
    let allowed = |version: &Name| {
        accounts.iter().all(|name| document.accounts[*name].versions.contains(version))
    };
    let live = document.versions.iter().filter(|(_, v)| v.state == VersionState::Live);
    live.map(|(name, _)| name.clone()).filter(|name| allowed(name) && !withdrawn(name)).collect()
}

fn hindsight(trace: &Trace, requests: &[&Request], plan: Plan) -> Hindsight {
    let cost = |version: &Name| trace.header.configuration.versions[version].cost;
    let good = |request: &Request, version: &Name| request.good.get(version) == Some(&true);
    let mut sum = Hindsight { plan: plan.clone(), good: 0, cost: 0.0 };
    for request in requests {
        match &plan {
            Plan::Single(version) => {
                sum.good += u64::from(good(request, version));
                sum.cost += cost(version);
            }
            Plan::Cascade { first, .. } if good(request, first) => {
                sum.good += 1;
                sum.cost += cost(first) + trace.header.rate_cost;
            }
            Plan::Cascade { first, then } => {
                sum.good += u64::from(good(request, then));
                sum.cost += cost(first) + trace.header.rate_cost + cost(then);
            }
        }
    }
    sum
}
