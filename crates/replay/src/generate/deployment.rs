//! The two deployments that traces are generated for, at their current size.

use std::collections::BTreeMap;

use policy::name::Name;
use wire::configuration::{Account, Document, Limit, SessionKey, Task, Version, VersionState};

use super::draw::Draw;
use crate::trace::{Expect, Header, Pool};

/// Placeholder for the key that signs session tokens, because traces must not hold a real key.
const SESSION_KEY: &str = "00000000000000000000000000000000000000000000000000000000000000ff";
/// Cost of one rating; a call of the cheapest version costs 1.
const RATE_COST: f64 = 0.1;

/// A model version, with the true quality that the generator draws answers from.
#[derive(Clone, Copy, Debug)]
pub struct VersionSpec {
    /// Name of the version.
    pub name: &'static str,
    /// Name of the model that the version belongs to.
    pub model: &'static str,
    /// Cost of one call, in units of the cheapest version's call.
    pub cost: f64,
    /// Median answer time for a task of size 1, in milliseconds.
    pub ms: f64,
    /// True share of good answers by task, in the order of [`Deployment::tasks`].
    pub quality: [f64; 3],
    /// Quality stated in the configuration minus the true quality, by task.
    pub quality_error: [f64; 3],
    /// Whether the version is a candidate, which only a roll-out brings into use.
    pub is_candidate: bool,
}

/// A task that every client account has.
#[derive(Clone, Copy, Debug)]
pub struct TaskSpec {
    /// Name of the task.
    pub name: &'static str,
    /// Fraction of all requests that belong to the task, 0 to 1.
    pub share: f64,
    /// Factor on the versions' answer times for the task.
    pub size: f64,
    /// Target for the share of good answers, 0 to 1.
    pub target: f64,
    /// Whether requests of the task may run more than once.
    pub may_repeat: bool,
    /// Time allowed for an answer, in milliseconds.
    pub deadline_ms: u64,
    /// Priority in queues; 0 is served first.
    pub priority: u8,
    /// Whether requests of the task belong to sessions.
    pub in_session: bool,
}

/// A deployment of the router: its hosts, backend servers, client accounts and versions.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Number of entry hosts.
    pub entry_hosts: u32,
    /// Name of the only pool, which runs all versions.
    pub pool: &'static str,
    /// Number of backend servers in the pool.
    pub workers: u32,
    /// Client accounts; the first three send most of the requests.
    pub accounts: [&'static str; 10],
    /// Tasks, the same for all accounts.
    pub tasks: [TaskSpec; 3],
    /// Model versions that all accounts may use, the cheapest first.
    pub versions: Vec<VersionSpec>,
}

/// A task with the usual settings: repeatable, no sessions, normal priority and deadline.
fn task_spec(name: &'static str, share: f64, size: f64, target: f64) -> TaskSpec {
    TaskSpec {
        name,
        share,
        size,
        target,
        may_repeat: true,
        deadline_ms: 6_000,
        priority: 1,
        in_session: false,
    }
}

impl Deployment {
    /// The benefit office, for which latency and exposure to bad versions matter most.
    #[must_use]
    pub fn benefit() -> Self {
        Self {
            entry_hosts: 6,
            pool: "dossier-models",
            workers: 10,
            accounts: [
                "claims", "appeals", "intake", "arnhem", "delft", "leiden", "zwolle", "breda",
                "hoorn", "venlo",
            ],
            tasks: [
                TaskSpec { deadline_ms: 4_000, priority: 0, ..task_spec("tag", 0.4, 0.6, 0.90) },
                task_spec("summarise", 0.3, 1.5, 0.92),
                TaskSpec {
                    may_repeat: false,
                    in_session: true,
                    ..task_spec("draft", 0.3, 1.0, 0.92)
                },
            ],
            versions: versions(),
        }
    }

    /// The feed cooperative, for which cost matters most.
    #[must_use]
    pub fn feed() -> Self {
        Self {
            entry_hosts: 7,
            pool: "feed-planning",
            workers: 20,
            accounts: [
                "northmill",
                "wharfside",
                "haulage",
                "ashby",
                "belper",
                "corby",
                "diss",
                "eyam",
                "fosse",
                "grange",
            ],
            tasks: [
                TaskSpec { in_session: true, priority: 0, ..task_spec("question", 0.4, 0.6, 0.90) },
                task_spec("plan", 0.3, 1.5, 0.92),
                TaskSpec { may_repeat: false, ..task_spec("order", 0.3, 1.0, 0.92) },
            ],
            versions: versions(),
        }
    }

    /// Adds a candidate that is to replace the cheapest version and is as good.
    #[must_use]
    pub fn with_candidate(mut self) -> Self {
        let small = self.versions[0];
        self.versions.push(VersionSpec { name: "small-2", is_candidate: true, ..small });
        self
    }

    /// Makes the configuration overstate the cheapest version's quality on its two worst tasks and
    /// understate it on its best, and misstate the next version's quality slightly.
    #[must_use]
    pub fn misjudged(mut self) -> Self {
        self.versions[0].quality_error = [-0.04, 0.06, 0.06];
        self.versions[1].quality_error = [0.0, -0.03, 0.02];
        self
    }

    /// Draws a task, weighted by the tasks' shares of all requests.
    pub fn task(&self, draw: &mut Draw) -> &TaskSpec {
        let unit = draw.unit();
        let mut sum = 0.0;
        let found = self.tasks.iter().find(|task| {
            sum += task.share;
            unit < sum
        });
        found.unwrap_or(&self.tasks[0])
    }

    /// Builds the header of a trace, with the expected outcomes that every scenario starts from.
    #[must_use]
    pub fn header(&self, seed: u64) -> Header {
        let pool = Pool { workers: self.workers, slots: 8, report_lag_ms: 1_000 };
        Header {
            configuration: self.document(),
            entry_hosts: self.entry_hosts,
            evidence_delay_ms: 500,
            rated_share: 0.1,
            pools: BTreeMap::from([(self.pool.into(), pool)]),
            rate_cost: RATE_COST,
            rate_ms: 50,
            seed,
            expect: Expect {
                quality_met: Some(true),
                cost_over_oracle_max: Some(1.10),
                cost_over_best_max: Some(0.5),
                false_alarms_max: Some(0),
                p95_ms_max: Some(2_500),
                refused_share_max: Some(0.01),
                ..Expect::default()
            },
        }
    }

    fn document(&self) -> Document {
        let pool = wire::configuration::Pool { slots: 8, queue: 64 };
        let secret = Name::from(SESSION_KEY);
        Document {
            generation: 1,
            versions: self.versions.iter().map(|v| (v.name.into(), self.version(v))).collect(),
            pools: BTreeMap::from([(self.pool.into(), pool)]),
            accounts: self.accounts.iter().map(|a| ((*a).into(), self.account(a))).collect(),
            session_keys: BTreeMap::from([(1, SessionKey { secret })]),
            ..Document::default()
        }
    }

    fn version(&self, spec: &VersionSpec) -> Version {
        let stated = [0, 1, 2].map(|i| hundredths(spec.quality[i] + spec.quality_error[i]));
        let tasks = self.tasks.iter().zip(stated);
        Version {
            model: spec.model.into(),
            state: if spec.is_candidate { VersionState::Candidate } else { VersionState::Live },
            cost: spec.cost,
            pool: self.pool.into(),
            quality: tasks.map(|(task, quality)| (task.name.into(), quality)).collect(),
            first_byte_ms: 10_000,
            between_bytes_ms: 5_000,
            stale_limit_ms: 300_000,
            cleared: 0,
        }
    }

    fn account(&self, name: &str) -> Account {
        Account {
            key_hashes: vec![key_hash(name)],
            versions: self.versions.iter().map(|v| v.name.into()).collect(),
            services: Vec::new(),
            tasks: self.tasks.iter().map(|t| (t.name.into(), task(t))).collect(),
            default_task: self.tasks[0].name.into(),
            limit: Limit::default(),
        }
    }
}

/// Rounds to hundredths, so that a configuration says 0.88 and not 0.8799999999999999.
fn hundredths(share: f64) -> f64 {
    (share * 100.0).round() / 100.0
}

/// Makes up a distinct key hash for each account from the bytes of the account's name.
fn key_hash(name: &str) -> Name {
    let digits: String = name.bytes().map(|byte| format!("{byte:02x}")).collect();
    format!("{digits:0>64}").into()
}

fn task(spec: &TaskSpec) -> Task {
    Task {
        quality_target: spec.target,
        may_repeat: spec.may_repeat,
        deadline_ms: spec.deadline_ms,
        priority: spec.priority,
    }
}

fn versions() -> Vec<VersionSpec> {
    let spec = |name, model, cost, ms, quality| VersionSpec {
        name,
        model,
        cost,
        ms,
        quality,
        quality_error: [0.0; 3],
        is_candidate: false,
    };
    vec![
        spec("small-1", "small", 1.0, 250.0, [0.95, 0.82, 0.82]),
        spec("mid-1", "mid", 3.0, 450.0, [0.96, 0.94, 0.95]),
        spec("large-1", "large", 10.0, 900.0, [0.98, 0.97, 0.97]),
    ]
}
