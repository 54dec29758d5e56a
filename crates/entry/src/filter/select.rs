//! Which version answers a request, or which cascade of two.

use std::collections::HashMap;

use policy::estimate::Estimate;
use policy::name::Name;
use policy::select::{Candidate, Goal, Plan, Rater, Table};
use policy::time::Millis;
use wire::configuration::{Account, Task, VersionState};
use wire::refusal::{Code, Refusal};

use crate::snapshot::Snapshot;

/// Cost of one rating, in the deployment's unit: the rating service is not billed.
const RATING_COST: f64 = 0.0;
/// Time that most ratings take, in milliseconds.
const RATING_MS: f64 = 50.0;
const NO_VERSION_RETRY_MS: u64 = 2_000;

/// Plans of one account, task and model.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// For requests without a session.
    pub free: Table,
    /// For sessions, which run on one version.
    pub bound: Table,
    /// `free` without candidates.
    pub free_live: Table,
    /// `bound` without candidates.
    pub bound_live: Table,
}

/// Tables by account, task and model.
pub type Index = HashMap<(Name, Name, Name), Tables>;

/// What a request asks for.
pub struct Ask<'a> {
    /// The account's name.
    pub account_name: &'a Name,
    /// The account.
    pub account: &'a Account,
    /// The task's name.
    pub task_name: &'a Name,
    /// A model's name, or a version's.
    pub model: &'a str,
    /// Whether it must be one version for good.
    pub bound: bool,
}

/// Builds all tables of a snapshot, once for each view.
#[must_use]
pub fn index(snapshot: &Snapshot, now: Millis) -> Index {
    let mut index = Index::new();
    for (account_name, account) in &snapshot.document.accounts {
        let mut models: HashMap<&Name, Vec<&Name>> = HashMap::new();
        for version in &account.versions {
            if let Some(held) = snapshot.version(version) {
                models.entry(&held.model).or_default().push(version);
            }
        }
        for (task_name, task) in &account.tasks {
            for (model, versions) in &models {
                let key = (account_name.clone(), task_name.clone(), (*model).clone());
                index.insert(key, tables(snapshot, versions, task_name, task, now));
            }
        }
    }
    index
}

fn tables(
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

/// A version as selection sees it; none if it takes no new sessions or no host serves it.
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

/// The plan for a request, by a uniform draw from 0 to 1.
///
/// # Errors
/// [`Code::NotFound`] for an unknown model, [`Code::NotAllowed`] for one that the account may
/// not use, [`Code::NoBackend`] if nothing can take it now.
pub fn plan(snapshot: &Snapshot, ask: &Ask<'_>, unit: f64) -> Result<Plan, Refusal> {
    match snapshot.document.versions.get_key_value(ask.model) {
        Some((name, _)) => one(snapshot, ask, name),
        None => drawn(snapshot, ask, unit),
    }
}

fn one(snapshot: &Snapshot, ask: &Ask<'_>, name: &Name) -> Result<Plan, Refusal> {
    match () {
        () if !ask.account.versions.contains(name) => Err(Refusal::not_run(
            Code::NotAllowed,
            format!("the account may not use version {name}"),
        )),
        () if !snapshot.accepts_new_sessions(name) => Err(no_version(name)),
        () => Ok(Plan::Single(name.clone())),
    }
}

fn drawn(snapshot: &Snapshot, ask: &Ask<'_>, unit: f64) -> Result<Plan, Refusal> {
    let key = (ask.account_name.clone(), ask.task_name.clone(), Name::from(ask.model));
    let Some(tables) = snapshot.plans.get(&key) else {
        let known = snapshot.document.versions.values().any(|v| v.model.as_str() == ask.model);
        return Err(match known {
            true => Refusal::not_run(
                Code::NotAllowed,
                format!("the account may not use model {:?}", ask.model),
            ),
            false => Refusal::not_run(Code::NotFound, format!("no model {:?}", ask.model)),
        });
    };
    let (table, live) = match ask.bound {
        true => (&tables.bound, &tables.bound_live),
        false => (&tables.free, &tables.free_live),
    };
    // The table may be older than a candidate's `stale_limit`, so the plan drawn is looked at.
    let open = |plan: &&Plan| versions(plan).all(|name| snapshot.accepts_new_sessions(name));
    let plan = table.draw(unit).filter(open).or_else(|| live.draw(unit).filter(open));
    plan.cloned().ok_or_else(|| no_version(ask.model))
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
    Refusal::not_run(Code::NoBackend, format!("no version of {model} takes new work now"))
        .retry_after(NO_VERSION_RETRY_MS)
}
