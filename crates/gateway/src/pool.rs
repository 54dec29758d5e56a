//! The backend servers of one service by version, and the roll-out in progress among them.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use policy::canary::{self, Stage};
use policy::name::Name;
use policy::packing;
use policy::place::mix;
use policy::sample::{self, FAR_MAX, NEAR_MAX};
use policy::time::Millis;

use crate::backend::Backend;

/// A roll-out as this host knows it.
#[derive(Debug)]
pub struct Rollout {
    /// The version that is rolled out.
    pub target: Name,
    /// How far the roll-out has come.
    pub stage: Stage,
    /// When the roll-out began, by this host's clock.
    pub began_at: Millis,
    /// How long the roll-out may take, in milliseconds.
    pub within_ms: u64,
    /// The fraction of all requests in that time that a bad version may receive.
    pub exposure_share: f64,
    /// Whether this host's own answers speak against the new version. It then sends no more
    /// requests there, before the other hosts know.
    pub halted: Arc<AtomicBool>,
}

impl Rollout {
    /// The elapsed part of the roll-out's time, 0 to 1.
    #[must_use]
    pub fn elapsed(&self, now: Millis) -> f64 {
        canary::elapsed(now.since(self.began_at), self.within_ms)
    }

    /// The share of requests that the new version receives.
    #[must_use]
    pub fn share(&self, now: Millis) -> f64 {
        match self.halted.load(Ordering::Relaxed) {
            true => 0.0,
            false => canary::share(self.stage, self.elapsed(now), self.exposure_share),
        }
    }

    /// Whether the new version receives all requests.
    #[must_use]
    pub fn has_all(&self, now: Millis) -> bool {
        canary::share(self.stage, self.elapsed(now), self.exposure_share) >= 1.0
    }

    /// Whether the new version's requests go to so few servers that these have peak load.
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

/// The backend servers of one version.
#[derive(Default)]
pub struct Members {
    /// All servers of the version, in an order that is the same on all hosts.
    pub all: Vec<Arc<Backend>>,
    /// The servers of this host's failure domain, in the same order as `all`.
    near: Vec<Arc<Backend>>,
    /// The sort keys of `near`.
    near_places: Vec<u64>,
    /// The servers of other failure domains, in the same order as `all`.
    far: Vec<Arc<Backend>>,
    /// The index in `all` of each server by its start, sorted.
    starts: Vec<(u64, usize)>,
}

/// The backend servers that are compared for one request.
#[derive(Default)]
pub struct Candidates<'a> {
    /// The servers to compare.
    pub backends: Vec<&'a Arc<Backend>>,
    /// The server that all hosts of the failure domain prefer for the request's subject. It is set
    /// only for a sample.
    pub preferred: Option<&'a Arc<Backend>>,
    /// Whether the version has more servers than `backends`.
    pub is_sample: bool,
}

/// Values derived from a pool's backend servers once, when the first request needs them.
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
        let starts = all.iter().enumerate().map(|(index, backend)| (backend.start, index));
        let mut starts: Vec<_> = starts.collect();
        starts.sort_unstable();
        Self { all, near, near_places, far, starts }
    }

    /// The index in [`Self::all`] of the server with this start.
    #[must_use]
    pub fn with_start(&self, start: u64) -> Option<usize> {
        let found = self.starts.binary_search_by_key(&start, |(start, _)| *start).ok()?;
        Some(self.starts[found].1)
    }

    /// Whether the version has more servers than are compared for one request.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.near.len() > NEAR_MAX || self.far.len() > FAR_MAX
    }

    /// A sample of servers drawn by a seed, and the preferred server for a subject.
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

/// The backend servers of one service that take new work.
#[derive(Default)]
pub struct Pool {
    /// The version that receives all requests outside of a roll-out.
    pub base: Name,
    /// All backend servers that take new work, of every version.
    pub backends: Vec<Arc<Backend>>,
    /// The number of further servers that are leaving.
    pub leaving: usize,
    /// The number of further servers that would take work but are in evacuated failure domains.
    pub evacuated: usize,
    /// The roll-out in progress, or the one decided last.
    pub rollout: Option<Rollout>,
    derived: OnceLock<Derived>,
}

impl Pool {
    /// A pool of these backend servers, without a roll-out.
    #[must_use]
    pub fn new(base: Name, backends: Vec<Arc<Backend>>) -> Self {
        Self { base, backends, ..Self::default() }
    }

    /// Adds a roll-out to the pool.
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

    /// The number of failure domains in which the pool has backend servers.
    #[must_use]
    pub fn domains(&self) -> usize {
        self.derived().domains
    }

    /// The backend servers of a version; `None` if the version has no servers.
    #[must_use]
    pub fn members(&self, version: &Name) -> Option<&Members> {
        self.derived().versions.get(version)
    }

    /// The version for a request. `subject` is its session, or the request's id.
    #[must_use]
    pub fn version(&self, subject: &str, now: Millis) -> &Name {
        match &self.rollout {
            Some(rollout) if canary::is_moved(subject, &rollout.target, rollout.share(now)) => {
                &rollout.target
            }
            _ => &self.base,
        }
    }

    /// The backend server with this start.
    #[must_use]
    pub fn with_start(&self, start: u64) -> Option<&Arc<Backend>> {
        let mut versions = self.derived().versions.values();
        versions.find_map(|members| Some(&members.all[members.with_start(start)?]))
    }

    /// The backend servers of a version.
    pub fn servers<'a>(&'a self, version: &Name) -> impl Iterator<Item = &'a Arc<Backend>> {
        self.members(version).into_iter().flat_map(|members| &members.all)
    }

    /// Whether requests for a version go to so few of its servers that these have peak load.
    ///
    /// Engines are excepted once the version receives all requests: their load builds up over
    /// seconds, and until it is known all hosts would send to the same engine.
    #[must_use]
    pub fn is_at_peak(&self, version: &Name, is_engine: bool, now: Millis) -> bool {
        let trial = self.rollout.as_ref().filter(|trial| trial.is_open());
        trial
            .filter(|trial| trial.target == *version)
            .is_some_and(|trial| trial.is_at_peak(now) || (!is_engine && trial.has_all(now)))
    }

    /// Requests that all hosts together are expected to have in flight at the version on trial. The
    /// estimate uses the reports of some servers of the version before, which a seed draws. `None`
    /// if this host has no such reports.
    #[must_use]
    pub fn expected_on_trial(&self, seed: u64, now: Millis) -> Option<f64> {
        let share = self.rollout.as_ref()?.share(now);
        let before = &self.members(&self.base)?.all;
        let drawn = sample::draw(before.len(), NEAR_MAX, seed);
        let reported = drawn.filter_map(|index| before[index].reported_requests());
        packing::expected(share, before.len(), reported)
    }

    /// The backend servers of a version that requests are sent to now.
    ///
    /// Until a version is declared done, its requests go to so few of its servers that each has
    /// `load` times its future load. Spread over all servers, they would leave each one idle on
    /// trial, and a version that fails only under load would show it only when nothing can be
    /// undone.
    #[must_use]
    pub fn active<'a>(&'a self, version: &Name, load: f64, now: Millis) -> Vec<&'a Arc<Backend>> {
        let all = self.members(version).map(|members| members.all.as_slice()).unwrap_or_default();
        let trial = self.rollout.as_ref();
        let trial = trial.filter(|trial| trial.target == *version && trial.is_open());
        let share = trial.map(|trial| trial.share(now)).filter(|share| *share > 0.0);
        let count = share.map_or(all.len(), |share| canary::server_count(share, all.len(), load));
        all.iter().take(count).collect()
    }

    /// The active servers that are compared for one request. Of a version with thousands of servers
    /// a sample is drawn by the seed.
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
    /// After a successful roll-out, the servers of the version before are stopped without notice
    /// and stay listed for some seconds. A stream that was cut by that and tried those servers one
    /// after another would use up its attempts before it came to a running one. Servers are stopped
    /// before all hosts know of the success, so it is enough that the new version receives all
    /// requests.
    #[must_use]
    pub fn stays_on(&self, version: &Name, now: Millis) -> bool {
        let full = self.rollout.as_ref().filter(|rollout| rollout.share(now) >= 1.0);
        let is_left = full.is_some_and(|rollout| rollout.target != *version);
        !is_left && self.servers(version).next().is_some()
    }

    /// Whether a version is on trial and receives no requests now.
    #[must_use]
    pub fn is_stopped(&self, version: &Name, now: Millis) -> bool {
        let trial = self.rollout.as_ref().filter(|trial| trial.target == *version);
        trial.is_some_and(|trial| trial.share(now) == 0.0)
    }

    /// The versions that a request meant for `version` may go to, in the order in which they are
    /// tried. A later one is only computed if the earlier one has no server for the request.
    pub fn versions_to_try<'a>(
        &'a self,
        version: &'a Name,
        now: Millis,
    ) -> impl Iterator<Item = &'a Name> {
        let first = (!self.is_stopped(version, now)).then_some(version);
        let other = std::iter::once_with(move || self.fallback(version, now));
        first.into_iter().chain(other.flatten())
    }

    /// The version that a request may go to instead if `version` has no server left for it.
    ///
    /// Requests for the version on trial fall back to the version before. The reverse never happens
    /// while the version before has servers: trouble there would flood a version that is not yet
    /// trusted.
    ///
    /// Once a roll-out may be done, old servers that all refuse connections have been stopped,
    /// although they stay listed for some seconds. A host that does not yet know of the success
    /// would give up all its streams if it did not fall forward to the new version.
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
