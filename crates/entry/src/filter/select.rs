//! Selects the version that answers a request, or a cascade of two versions.

use std::collections::HashMap;

use policy::estimate::Estimate;
use policy::name::Name;
use policy::select::{Candidate, Goal, Plan, Rater, Table};
use policy::time::Millis;
use wire::configuration::{Account, Task, VersionState};
use wire::refusal::{Code, Refusal};

use crate::snapshot::Snapshot;

/// Cost of one rating in the deployment's unit. Zero, because the rating service is not billed.
const RATING_COST: f64 = 0.0;
/// Assumed time of a rating; most take no longer.
const RATING_MS: f64 = 50.0;
/// `Retry-After` if no version accepts new work.
const NO_VERSION_RETRY_MS: u64 = 2_000;

/// The selection tables for one account, task and model.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// Plans for requests without a session, which may be cascades.
    pub free: Table,
    /// Plans for sessions, which run on a single version.
    pub bound: Table,
    /// Plans like those of `free`, but without candidate versions.
    pub free_live: Table,
    /// Plans like those of `bound`, but without candidate versions.
    pub bound_live: Table,
}

/// Selection tables by the names of account, task and model.
pub type Index = HashMap<(Name, Name, Name), Tables>;

/// The properties of a request that select its plan.
pub struct Query<'a> {
    /// The name of the client account.
    pub account_name: &'a Name,
    /// The client account.
    pub account: &'a Account,
    /// The task's name.
    pub task_name: &'a Name,
    /// The requested model's name, or a version's name.
    pub model: &'a str,
    /// Whether the request belongs to a session and so must run on a single version.
    pub is_bound: bool,
}

/// Builds the selection tables of a snapshot. Runs once for each view that control sends.
#[must_use]
pub fn build_index(snapshot: &Snapshot, now: Millis) -> Index {
    let mut index = Index::new();
    for (account_name, account) in &snapshot.document.accounts {
        let mut models: HashMap<&Name, Vec<&Name>> = HashMap::new();
        for version in &account.versions {
            if let Some(found) = snapshot.version(version) {
                models.entry(&found.model).or_default().push(version);
            }
        }
        for (task_name, task) in &account.tasks {
            for (model, versions) in &models {
                let key = (account_name.clone(), task_name.clone(), (*model).clone());
                index.insert(key, build_tables(snapshot, versions, task_name, task, now));
            }
        }
    }
    index
}

fn build_tables(
    snapshot: &Snapshot,
    versions: &[&Name],
    task_name: &Name,
    task: &Task,
    now: Millis,
) -> Tables {
    let candidate = |name: &Name| candidate(snapshot, name, task_name, now);
    let all: Vec<Candidate> = versions.iter().filter_map(|name| candidate(name)).collect();
    let is_live = |c: &Candidate| is_live(snapshot, &c.version);
    let live: Vec<Candidate> = all.iter().filter(|c| is_live(c)).cloned().collect();
    let rater = Rater { cost: RATING_COST, latency_ms: RATING_MS };
    let free = Goal {
        target: task.quality_target,
        may_repeat: task.may_repeat,
        deadline_ms: task.deadline_ms as f64,
        rater: (!snapshot.raters.is_empty()).then_some(rater),
        ..Goal::default()
    };
    let bound = Goal { may_repeat: false, ..free };
    Tables {
        free: Table::build(&all, &free, now),
        bound: Table::build(&all, &bound, now),
        free_live: Table::build(&live, &free, now),
        bound_live: Table::build(&live, &bound, now),
    }
}

fn is_live(snapshot: &Snapshot, version: &str) -> bool {
    snapshot.version(version).is_some_and(|version| version.state == VersionState::Live)
}

/// A version as input of selection. `None` if it accepts no new sessions, has no backend server, or
/// is a candidate without a share of the requests.
fn candidate(snapshot: &Snapshot, name: &Name, task: &Name, now: Millis) -> Option<Candidate> {
    let version = snapshot.version(name).filter(|_| snapshot.accepts_new_sessions(name))?;
    snapshot.versions.get(name).filter(|servers| !servers.is_empty())?;
    let prior =
        version.quality.get(task).map_or(Estimate::unknown(), |mean| Estimate::prior(*mean));
    let counts = snapshot.estimates.get(&(name.clone(), task.clone())).copied();
    let (good, rated) = counts.unwrap_or_default();
    let candidate =
        Candidate::live(name.clone(), version.cost, prior.with_counts(good, rated, now))
            .with_model(version.model.clone());
    match version.state {
        VersionState::Candidate => {
            let share = snapshot.shares.get(name).copied().unwrap_or_default();
            (share > 0.0).then(|| candidate.with_share(share))
        }
        _ => Some(candidate),
    }
}

/// Draws the plan for a request. `unit` is a uniform random number from 0 to 1.
///
/// # Errors
/// [`Code::NotFound`] for an unknown model, [`Code::NotAllowed`] for a model or version that the
/// account may not use, [`Code::NoBackend`] if no version accepts new work now.
pub fn plan(snapshot: &Snapshot, query: &Query<'_>, unit: f64) -> Result<Plan, Refusal> {
    match snapshot.document.versions.get_key_value(query.model) {
        Some((name, _)) => plan_version(snapshot, query, name),
        None => draw_plan(snapshot, query, unit),
    }
}

fn plan_version(snapshot: &Snapshot, query: &Query<'_>, name: &Name) -> Result<Plan, Refusal> {
    match () {
        () if !query.account.versions.contains(name) => Err(Refusal::not_run(
            Code::NotAllowed,
            format!("the account may not use version {name}"),
        )),
        () if !snapshot.accepts_new_sessions(name) => Err(no_version(name)),
        () => Ok(Plan::Single(name.clone())),
    }
}

fn draw_plan(snapshot: &Snapshot, query: &Query<'_>, unit: f64) -> Result<Plan, Refusal> {
    let key = (query.account_name.clone(), query.task_name.clone(), Name::from(query.model));
    let Some(tables) = snapshot.plans.get(&key) else {
        let is_known = snapshot.document.versions.values().any(|v| v.model.as_str() == query.model);
        return Err(match is_known {
            true => Refusal::not_run(
                Code::NotAllowed,
                format!("the account may not use model {:?}", query.model),
            ),
            false => Refusal::not_run(Code::NotFound, format!("no model {:?}", query.model)),
        });
    };
    let (table, live) = match query.is_bound {
        true => (&tables.bound, &tables.bound_live),
        false => (&tables.free, &tables.free_live),
    };
    // A candidate's `stale_limit` may have passed since the table was built, so the drawn plan is
    // checked again.
    let is_open = |plan: &&Plan| versions(plan).all(|name| snapshot.accepts_new_sessions(name));
    let plan = table.draw(unit).filter(is_open).or_else(|| live.draw(unit).filter(is_open));
    plan.cloned().ok_or_else(|| no_version(query.model))
}

/// The versions of a plan, in order.
pub fn versions(plan: &Plan) -> impl Iterator<Item = &Name> {
    let (first, then) = match plan {
        Plan::Single(version) => (version, None),
        Plan::Cascade { first, then } => (first, Some(then)),
    };
    std::iter::once(first).chain(then)
}

fn no_version(model: &str) -> Refusal {
    Refusal::not_run(Code::NoBackend, format!("no version of {model} accepts new work now"))
        .retry_after(NO_VERSION_RETRY_MS)
}
