//! The scenarios that traces are generated for, each with its expected outcomes.

use policy::domain;
use policy::name::Name;
use wire::configuration::Rollout;

use super::deployment::{self, Deployment, TaskSpec};
use super::draw::Draw;
use crate::trace::{Event, Happening, Header};

domain! {
    /// What happens in a generated trace.
    #[derive(Copy, Eq)]
    pub enum Kind {
        /// The benefit office on an ordinary day.
        SteadyBenefit,
        /// The feed cooperative on an ordinary day.
        SteadyFeed,
        /// The cheapest version turns bad from one moment to the next.
        Sudden,
        /// The cheapest version turns bad gradually.
        Slow,
        /// The roll-out of a good candidate is interrupted twice.
        Rollout,
        /// A candidate turns bad on the second step of its roll-out.
        BadCandidate,
        /// The pool loses most of its backend servers for ten seconds.
        Capacity,
        /// One large account sends many times its usual traffic.
        Flood,
        /// The cheapest version becomes slightly worse than the configuration states.
        Drift,
        /// Ratings become slow, then stop, then work again.
        Ratings,
        /// All accounts send several times their usual traffic for ten seconds.
        Peak,
        /// The configuration misstates the versions' quality.
        Misjudged,
    }
}

/// All kinds with the names that `--kind` accepts.
pub const KINDS: [(&str, Kind); 12] = [
    ("steady-benefit", Kind::SteadyBenefit),
    ("steady-feed", Kind::SteadyFeed),
    ("sudden", Kind::Sudden),
    ("slow", Kind::Slow),
    ("rollout", Kind::Rollout),
    ("bad-candidate", Kind::BadCandidate),
    ("capacity", Kind::Capacity),
    ("flood", Kind::Flood),
    ("drift", Kind::Drift),
    ("ratings", Kind::Ratings),
    ("peak", Kind::Peak),
    ("misjudged", Kind::Misjudged),
];

/// A linear change of a version's quality between two times.
#[derive(Clone, Copy, Debug)]
struct QualityChange {
    version: usize,
    from_ms: u64,
    to_ms: u64,
    delta: f64,
}

/// A time span in which the request rate is multiplied.
#[derive(Clone, Copy, Debug)]
struct Surge {
    from_ms: u64,
    to_ms: u64,
    factor: f64,
    /// Whether the first account sends all of the additional requests.
    is_single_account: bool,
}

/// Everything that defines the traces of one kind, apart from the seed.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Deployment that the trace is generated for.
    pub deployment: Deployment,
    /// Events of the trace, ordered by time.
    pub events: Vec<Event>,
    kind: Kind,
    requests_per_second: f64,
    change: Option<QualityChange>,
    surge: Option<Surge>,
}

impl Kind {
    /// Looks up a kind by its name in [`KINDS`]; `None` for any other name.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        KINDS.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind)
    }

    pub(super) fn scenario(self) -> Scenario {
        let quiet = |deployment| Scenario {
            deployment,
            events: Vec::new(),
            kind: self,
            requests_per_second: 8.0,
            change: None,
            surge: None,
        };
        let benefit = || quiet(Deployment::benefit());
        let feed = || quiet(Deployment::feed());
        let change =
            |version, from_ms, to_ms, delta| Some(QualityChange { version, from_ms, to_ms, delta });
        match self {
            Self::SteadyBenefit => benefit(),
            Self::SteadyFeed => feed(),
            Self::Sudden => Scenario {
                change: change(0, 100_000, 100_000, -0.35),
                events: vec![turned_bad(100_000, "small-1")],
                ..benefit()
            },
            Self::Slow => Scenario {
                change: change(0, 60_000, 180_000, -0.30),
                events: vec![turned_bad(60_000, "small-1")],
                ..feed()
            },
            Self::Rollout => Scenario {
                events: vec![
                    at(60_000, Happening::ControlDown),
                    at(90_000, Happening::ControlUp),
                    at(130_000, Happening::PlatformDown),
                    at(160_000, Happening::PlatformUp),
                ],
                ..quiet(Deployment::feed().with_candidate())
            },
            Self::BadCandidate => Scenario {
                change: change(3, 80_000, 80_000, -0.35),
                events: vec![turned_bad(80_000, "small-2")],
                ..quiet(Deployment::benefit().with_candidate())
            },
            Self::Capacity => Scenario {
                events: vec![
                    at(8_000, pool_down("dossier-models", 7)),
                    at(18_000, Happening::PoolUp { pool: "dossier-models".into() }),
                ],
                requests_per_second: 48.0,
                ..benefit()
            },
            Self::Flood => Scenario {
                requests_per_second: 20.0,
                surge: surge(10_000, 14_000, 12.0, true),
                ..feed()
            },
            Self::Drift => Scenario { change: change(0, 60_000, 120_000, -0.06), ..feed() },
            Self::Ratings => Scenario {
                events: vec![
                    at(40_000, Happening::RaterSlow { ms: 1_500 }),
                    at(90_000, Happening::RaterDown),
                    at(140_000, Happening::RaterUp),
                    at(140_000, Happening::RaterSlow { ms: 50 }),
                ],
                ..benefit()
            },
            Self::Misjudged => quiet(Deployment::benefit().misjudged()),
            Self::Peak => Scenario {
                requests_per_second: 20.0,
                surge: surge(10_000, 20_000, 5.0, false),
                ..feed()
            },
        }
    }
}

impl Scenario {
    /// Derives the seed of the generator's draws, so that traces of different kinds don't share
    /// draws.
    #[must_use]
    pub fn seed(&self, seed: u64) -> u64 {
        policy::place::mix(seed.wrapping_mul(KINDS.len() as u64) + self.kind as u64)
    }

    /// Adds the settings and expected outcomes of this kind to the deployment's header.
    pub fn configure(&self, header: &mut Header) {
        let expect = &mut header.expect;
        let others = &self.deployment.accounts[1..];
        match self.kind {
            Kind::SteadyBenefit | Kind::SteadyFeed | Kind::Drift => {}
            Kind::Sudden => {
                expect.exposure_max = Some(120);
                expect.exposure_over_one_host_max = Some(1.5);
            }
            Kind::Slow => {
                expect.exposure_max = Some(500);
                expect.exposure_over_one_host_max = Some(1.5);
            }
            Kind::Rollout => {
                expect.rollout_share_min = [(Name::from("small-2"), 1.0)].into();
                self.add_rollout(header, "small-2");
            }
            Kind::BadCandidate => {
                expect.exposure_max = Some(60);
                expect.exposure_over_one_host_max = Some(1.5);
                self.add_rollout(header, "small-2");
            }
            Kind::Misjudged => expect.cost_over_oracle_max = Some(1.25),
            Kind::Ratings => expect.p95_ms_max = Some(3_500),
            Kind::Capacity => {
                expect.refused_share_max = Some(0.25);
                expect.p95_ms_max = Some(5_500);
                self.set_slots(header, 2);
            }
            Kind::Flood => {
                expect.refused_share_max = Some(0.40);
                expect.p95_ms_max = Some(5_000);
                expect.account_refused_share_max =
                    others.iter().map(|name| (Name::from(*name), 0.02)).collect();
                self.set_slots(header, 2);
            }
            Kind::Peak => {
                expect.refused_share_max = Some(0.05);
                expect.p95_ms_max = Some(4_000);
                self.set_slots(header, 2);
            }
        }
    }

    fn add_rollout(&self, header: &mut Header, version: &str) {
        let rollout = Rollout {
            version: version.into(),
            steps: vec![0.1, 0.3, 0.6, 1.0],
            step_ms: 30_000,
            min_rated: 12,
            guard: 0.8,
        };
        header.configuration.rollouts.insert("next-small".into(), rollout);
    }

    fn set_slots(&self, header: &mut Header, slots: u32) {
        header.pools.values_mut().for_each(|pool| pool.slots = slots);
        header.configuration.pools.values_mut().for_each(|pool| pool.slots = slots);
    }

    /// Draws the arrival times of requests, in milliseconds since the trace began.
    #[must_use]
    pub fn times(&self, requests: u64, draw: &mut Draw) -> Vec<u64> {
        let mut at = 0.0;
        let mut times = Vec::new();
        for _ in 0..requests {
            let rate =
                self.requests_per_second * self.surge_at(at as u64).map_or(1.0, |s| s.factor);
            at += draw.exponential(1000.0 / rate);
            times.push(at as u64);
        }
        times
    }

    /// Draws the account of a request; three accounts in ten send seven requests in ten.
    pub fn account(&self, at_ms: u64, draw: &mut Draw) -> Name {
        let accounts = &self.deployment.accounts;
        let surplus = match self.surge_at(at_ms) {
            Some(surge) if surge.is_single_account => 1.0 - 1.0 / surge.factor,
            _ => 0.0,
        };
        let index = match draw.unit() {
            unit if unit < surplus => 0,
            _ if draw.unit() < 0.7 => draw.below(3),
            _ => 3 + draw.below(7),
        };
        accounts[index as usize].into()
    }

    /// Returns a version's true share of good answers for a task at a time of the trace.
    #[must_use]
    pub fn quality(&self, version: &deployment::VersionSpec, task: &TaskSpec, at_ms: u64) -> f64 {
        let index = self.deployment.tasks.iter().position(|known| known.name == task.name);
        let quality = version.quality[index.unwrap_or(0)];
        let change =
            self.change.filter(|t| self.deployment.versions[t.version].name == version.name);
        quality + change.map_or(0.0, |change| change.at(at_ms))
    }

    fn surge_at(&self, at_ms: u64) -> Option<Surge> {
        self.surge.filter(|surge| (surge.from_ms..surge.to_ms).contains(&at_ms))
    }
}

impl QualityChange {
    fn at(&self, at_ms: u64) -> f64 {
        let length = (self.to_ms - self.from_ms).max(1) as f64;
        let elapsed = (at_ms as f64 - self.from_ms as f64) / length;
        self.delta * elapsed.clamp(0.0, 1.0)
    }
}

fn surge(from_ms: u64, to_ms: u64, factor: f64, is_single_account: bool) -> Option<Surge> {
    Some(Surge { from_ms, to_ms, factor, is_single_account })
}

fn at(at_ms: u64, what: Happening) -> Event {
    Event { at_ms, what }
}

fn turned_bad(at_ms: u64, version: &str) -> Event {
    at(at_ms, Happening::TurnedBad { version: version.into() })
}

fn pool_down(pool: &str, workers: u32) -> Happening {
    Happening::PoolDown { pool: pool.into(), workers: Some(workers) }
}
