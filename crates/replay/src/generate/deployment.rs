//! The two deployments at today's size.

use std::collections::BTreeMap;

use policy::name::Name;
use wire::configuration::{Account, Document, Limit, SessionKey, Task, Version, VersionState};

use super::draw::Draw;
use crate::trace::{Expect, Header, Pool};

/// Stands for the key that signs session tokens; traces hold no real one.
const SESSION_KEY: &str = "00000000000000000000000000000000000000000000000000000000000000ff";
/// Ratings cost this, in units of the cheapest version's call.
const RATE_COST: f64 = 0.1;

/// A version as the generator knows it.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Its model's.
    pub model: &'static str,
    /// Cost of one call.
    pub cost: f64,
    /// Mean time of a request of size 1, in milliseconds.
    pub ms: f64,
    /// Share of good answers by task, in the order of [`Deployment::tasks`].
    pub quality: [f64; 3],
    /// What the document says of it, less what is true.
    pub misjudged: [f64; 3],
    /// Whether it is still a candidate.
    pub candidate: bool,
}

/// A task as the generator knows it.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Its name.
    pub name: &'static str,
    /// Part of all requests, 0 to 1.
    pub part: f64,
    /// Times are multiplied by this.
    pub size: f64,
    /// Share of good answers promised.
    pub target: f64,
    /// Whether its requests may run more than once.
    pub may_repeat: bool,
    /// Longest time, in milliseconds.
    pub deadline_ms: u64,
    /// 0 is served first.
    pub priority: u8,
    /// Whether its requests come in sessions.
    pub in_session: bool,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Entry hosts.
    pub entry_hosts: u32,
    /// The model pool's name.
    pub pool: &'static str,
    /// Its backend servers.
    pub workers: u32,
    /// Client accounts; the first three are large.
    pub accounts: [&'static str; 10],
    /// Tasks, which all accounts have.
    pub tasks: [Work; 3],
    /// Versions.
    pub versions: Vec<Kind>,
}

/// A task that may be repeated, without a session and without haste.
fn work(name: &'static str, part: f64, size: f64, target: f64) -> Work {
    Work {
        name,
        part,
        size,
        target,
        may_repeat: true,
        deadline_ms: 6_000,
        priority: 1,
        in_session: false,
    }
}

impl Deployment {
    /// The benefit office: latency and exposure weigh most.
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
                Work { deadline_ms: 4_000, priority: 0, ..work("tag", 0.4, 0.6, 0.90) },
                work("summarise", 0.3, 1.5, 0.92),
                Work { may_repeat: false, in_session: true, ..work("draft", 0.3, 1.0, 0.92) },
            ],
            versions: versions(),
        }
    }

    /// The feed cooperative: cost weighs most.
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
                Work { in_session: true, priority: 0, ..work("question", 0.4, 0.6, 0.90) },
                work("plan", 0.3, 1.5, 0.92),
                Work { may_repeat: false, ..work("order", 0.3, 1.0, 0.92) },
            ],
            versions: versions(),
        }
    }

    /// Adds a candidate that would follow the cheap version.
    #[must_use]
    pub fn with_candidate(mut self) -> Self {
        let small = self.versions[0];
        self.versions.push(Kind { name: "small-2", candidate: true, ..small });
        self
    }

    /// Has the document praise the cheap version's worst task and blame the next one's.
    #[must_use]
    pub fn misjudged(mut self) -> Self {
        self.versions[0].misjudged = [-0.04, 0.06, 0.06];
        self.versions[1].misjudged = [0.0, -0.03, 0.02];
        self
    }

    /// A task by its part of all requests.
    pub fn task(&self, draw: &mut Draw) -> &Work {
        let unit = draw.unit();
        let mut sum = 0.0;
        let found = self.tasks.iter().find(|task| {
            sum += task.part;
            unit < sum
        });
        found.unwrap_or(&self.tasks[0])
    }

    /// The first line of a trace, with the outcomes that every trace states.
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

    fn version(&self, kind: &Kind) -> Version {
        let stated = [0, 1, 2].map(|i| hundredths(kind.quality[i] + kind.misjudged[i]));
        let tasks = self.tasks.iter().zip(stated);
        Version {
            model: kind.model.into(),
            state: if kind.candidate { VersionState::Candidate } else { VersionState::Live },
            cost: kind.cost,
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

/// Rounded, so that a document says 0.88 and not 0.8799999999999999.
fn hundredths(share: f64) -> f64 {
    (share * 100.0).round() / 100.0
}

/// A hash of its own for each account, from the bytes of its name.
fn key_hash(name: &str) -> Name {
    let digits: String = name.bytes().map(|byte| format!("{byte:02x}")).collect();
    format!("{digits:0>64}").into()
}

fn task(work: &Work) -> Task {
    Task {
        quality_target: work.target,
        may_repeat: work.may_repeat,
        deadline_ms: work.deadline_ms,
        priority: work.priority,
    }
}

fn versions() -> Vec<Kind> {
    let kind = |name, model, cost, ms, quality| Kind {
        name,
        model,
        cost,
        ms,
        quality,
        misjudged: [0.0; 3],
        candidate: false,
    };
    vec![
        kind("small-1", "small", 1.0, 250.0, [0.95, 0.82, 0.82]),
        kind("mid-1", "mid", 3.0, 450.0, [0.96, 0.94, 0.95]),
        kind("large-1", "large", 10.0, 900.0, [0.98, 0.97, 0.97]),
    ]
}
