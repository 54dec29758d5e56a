//! The backend servers of one service, by version, and the roll-out under way among them.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use policy::canary::{self, Stage};
use policy::name::Name;
use policy::peak;
use policy::place::mix;
use policy::sample::{self, FAR_MAX, NEAR_MAX};
use policy::time::Millis;

use crate::backend::Backend;

/// A roll-out as this host knows it.
#[derive(Debug)]
pub struct Rollout {
    /// The version wanted.
    pub target: Name,
    /// How far it has come.
    pub stage: Stage,
    /// When it began, by this host's clock.
    pub began_at: Millis,
    /// How long it may take, in milliseconds.
    pub within_ms: u64,
    /// Part of all requests that a bad version may get in that time.
    pub exposure_share: f64,
    /// This host's own answers speak against the new version: it stops at once, before the other
    /// hosts know.
    pub halted: Arc<AtomicBool>,
}

impl Rollout {
    /// How far it is in its time.
    #[must_use]
    pub fn elapsed(&self, now: Millis) -> f64 {
        canary::elapsed(now.since(self.began_at), self.within_ms)
    }

    /// The share of requests that the new version gets.
    #[must_use]
    pub fn share(&self, now: Millis) -> f64 {
        match self.halted.load(Ordering::Relaxed) {
            true => 0.0,
            false => canary::share(self.stage, self.elapsed(now), self.exposure_share),
        }
    }

    /// Whether the new version gets all requests.
    #[must_use]
    pub fn has_all(&self, now: Millis) -> bool {
        canary::share(self.stage, self.elapsed(now), self.exposure_share) >= 1.0
    }

    /// Whether its requests go to few servers, that have the load of a peak.
    #[must_use]
    pub fn is_at_peak(&self, now: Millis) -> bool {
        canary::is_peak(self.elapsed(now), self.within_ms)
    }

    /// Whether answers are counted for a verdict.
    #[must_use]
    pub fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Trial | Stage::Moving)
    }
}

/// Backend servers of one version, as requests look for them.
#[derive(Default)]
pub struct Members {
    /// All of them, in an order that all hosts share.
    pub all: Vec<Arc<Backend>>,
    /// Those of the host's own failure domain, in the same order.
    near: Vec<Arc<Backend>>,
    /// Their places in that order.
    near_places: Vec<u64>,
    /// The others.
    far: Vec<Arc<Backend>>,
}

/// Backend servers that one request looks at.
#[derive(Default)]
pub struct Candidates<'a> {
    /// They.
    pub backends: Vec<&'a Arc<Backend>>,
    /// The one that all hosts of the failure domain prefer for the request's subject, if these are not
    /// all that there are.
    pub preferred: Option<&'a Arc<Backend>>,
    /// These are not all.
    pub is_sample: bool,
}

/// What is worked out of a pool's backend servers once, when the first request looks for one.
struct Derived {
    versions: HashMap<Name, Members>,
    domains: usize,
}

impl Members {
    fn new(mut all: Vec<Arc<Backend>>) -> Self {
        all.sort_unstable_by_key(|backend| mix(backend.id_hash));
        let (near, far): (Vec<_>, Vec<_>) =
            all.iter().cloned().partition(|backend| backend.is_near);
        let near_places = near.iter().map(|backend| mix(backend.id_hash)).collect();
        Self { all, near, near_places, far }
    }

    /// Whether there are more than one request looks at.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.near.len() > NEAR_MAX || self.far.len() > FAR_MAX
    }

    /// Some that a seed draws, and the preferred one for a subject.
    #[must_use]
    pub fn sample(&self, subject: Option<u64>, seed: u64) -> Candidates<'_> {
        let preferred =
            subject.and_then(|subject| sample::successor(&self.near_places, mix(subject)));
        let preferred = preferred.map(|index| &self.near[index]);
        let near = sample::draw(self.near.len(), NEAR_MAX, seed).map(|index| &self.near[index]);
        let far = sample::draw(self.far.len(), FAR_MAX, seed).map(|index| &self.far[index]);
        let is_other = |backend: &&Arc<Backend>| {
            preferred.is_none_or(|preferred| !Arc::ptr_eq(preferred, backend))
        };
        let backends = preferred.into_iter().chain(near.chain(far).filter(is_other)).collect();
        Candidates { backends, preferred, is_sample: true }
    }
}

/// One service's backend servers that take new work.
#[derive(Default)]
pub struct Pool {
    /// The version that requests go to but for a roll-out.
    pub base: Name,
    /// All that take new work, of every version.
    pub backends: Vec<Arc<Backend>>,
    /// Others that leave.
    pub leaving: usize,
    /// Others that would, but stand in evacuated failure domains.
    pub evacuated: usize,
    /// The roll-out under way or last decided.
    pub rollout: Option<Rollout>,
    derived: OnceLock<Derived>,
}

impl Pool {
    /// Of these backend servers.
    #[must_use]
    pub fn new(base: Name, backends: Vec<Arc<Backend>>) -> Self {
        Self { base, backends, ..Self::default() }
    }

    /// With a roll-out.
    #[must_use]
    pub fn with_rollout(self, rollout: Rollout) -> Self {
        Self { rollout: Some(rollout), ..self }
    }

    fn derived(&self) -> &Derived {
        self.derived.get_or_init(|| {
            let mut versions: HashMap<Name, Vec<Arc<Backend>>> = HashMap::new();
            for backend in &self.backends {
                versions.entry(backend.version.clone()).or_default().push(Arc::clone(backend));
            }
            let versions = versions.into_iter();
            let domains = self.backends.iter().map(|backend| &backend.server.failure_domain);
            Derived {
                versions: versions.map(|(name, all)| (name, Members::new(all))).collect(),
                domains: domains.collect::<HashSet<_>>().len(),
            }
        })
    }

    /// Failure domains that its backend servers stand in.
    #[must_use]
    pub fn domains(&self) -> usize {
        self.derived().domains
    }

    /// The backend servers of a version; none if it has none.
    #[must_use]
    pub fn members(&self, version: &Name) -> Option<&Members> {
        self.derived().versions.get(version)
    }

    /// The version for a request; `subject` is its session, or the request itself.
    #[must_use]
    pub fn version(&self, subject: &str, now: Millis) -> &Name {
        match &self.rollout {
            Some(rollout) if canary::is_moved(subject, &rollout.target, rollout.share(now)) => {
                &rollout.target
            }
            _ => &self.base,
        }
    }

    /// Backend servers of a version.
    pub fn servers<'a>(&'a self, version: &Name) -> impl Iterator<Item = &'a Arc<Backend>> {
        self.members(version).into_iter().flat_map(|members| &members.all)
    }

    /// Whether so few servers of a version are to be sent requests that these have the load of a
    /// peak.
    ///
    /// With all requests engines are not: their load builds up over seconds, and until it is known all
    /// hosts would send to the same one.
    #[must_use]
    pub fn is_at_peak(&self, version: &Name, is_engine: bool, now: Millis) -> bool {
        let trial = self.rollout.as_ref().filter(|trial| trial.is_open());
        trial
            .filter(|trial| trial.target == *version)
            .is_some_and(|trial| trial.is_at_peak(now) || (!is_engine && trial.has_all(now)))
    }

    /// Requests that all hosts together are expected to have at the version on trial at once, by what some
    /// servers of the version before said, which a seed draws; none if this host has heard of none.
    #[must_use]
    pub fn expected_on_trial(&self, seed: u64, now: Millis) -> Option<f64> {
        let share = self.rollout.as_ref()?.share(now);
        let before = &self.members(&self.base)?.all;
        let drawn = sample::draw(before.len(), NEAR_MAX, seed);
        let reported = drawn.filter_map(|index| before[index].reported_requests());
        peak::expected(share, before.len(), reported)
    }

    /// Backend servers of a version that requests are sent to now.
    ///
    /// Until a version is declared done its requests go to so few of its servers that each has so
    /// many times the load to come. Spread over all they would leave each one idle on trial, and a
    /// version that fails only under load would show it when nothing can be taken back.
    #[must_use]
    pub fn active<'a>(&'a self, version: &Name, load: f64, now: Millis) -> Vec<&'a Arc<Backend>> {
        let all = self.members(version).map(|members| members.all.as_slice()).unwrap_or_default();
        let trial = self.rollout.as_ref();
        let trial = trial.filter(|trial| trial.target == *version && trial.is_open());
        let share = trial.map(|trial| trial.share(now)).filter(|share| *share > 0.0);
        let count = share.map_or(all.len(), |share| canary::servers(share, all.len(), load));
        all.iter().take(count).collect()
    }

    /// Those of them that one request looks at: of thousands, some that a seed draws.
    #[must_use]
    pub fn candidates<'a>(
        &'a self,
        version: &Name,
        load: f64,
        subject: Option<u64>,
        seed: u64,
        now: Millis,
    ) -> Candidates<'a> {
        let trial = self.rollout.as_ref().filter(|trial| trial.target == *version);
        match (trial.filter(|trial| trial.is_open()), self.members(version)) {
            (None, Some(members)) if members.is_large() => members.sample(subject, seed),
            _ => {
                let backends = self.active(version, load, now);
                Candidates { backends, preferred: None, is_sample: false }
            }
        }
    }

    /// Whether a stream or session that is on a version stays there.
    ///
    /// When a roll-out has succeeded the servers of the version before are stopped without notice,
    /// and are listed for some seconds more. A stream that was cut by that and asked those servers
    /// one after another would have used up its tries before it came to one that lives. They are
    /// stopped before all hosts know of the success, so it is enough that the new version has all
    /// requests.
    #[must_use]
    pub fn stays_on(&self, version: &Name, now: Millis) -> bool {
        let full = self.rollout.as_ref().filter(|rollout| rollout.share(now) >= 1.0);
        let is_left = full.is_some_and(|rollout| rollout.target != *version);
        !is_left && self.servers(version).next().is_some()
    }

    /// The version that a request may go to instead when this one has no server left for it.
    ///
    /// From a trial it falls back on the version before. Never the other way round while the
    /// version before has servers: trouble there would flood a version that is not yet trusted.
    ///
    /// Once a roll-out may be done, servers that refuse connections, all of them, were stopped, though the
    /// list has them for some seconds more: a host that has not heard of the success would give up all its
    /// streams.
    #[must_use]
    pub fn fallback(&self, version: &Name, now: Millis) -> Option<&Name> {
        let rollout = self.rollout.as_ref()?;
        let may_be_done = canary::may_be_done(rollout.stage, rollout.elapsed(now));
        let is_gone = |backend: &Arc<Backend>| may_be_done && backend.has_ended(now);
        let is_base_gone = || self.servers(&self.base).all(is_gone);
        match () {
            () if *version == rollout.target => Some(&self.base),
            () if rollout.share(now) > 0.0 && is_base_gone() => Some(&rollout.target),
            () => None,
        }
    }
}
