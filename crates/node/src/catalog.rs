//! All that is known from the store, and the world made of it.

mod known;

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use entry::clock;
use gateway::backend::{Backend, RestrictionNotice};
use gateway::index::Index;
use gateway::pool::{Pool, Rollout};
use gateway::snapshot::RoutingSnapshot;
use policy::canary::{self, Stage};
use policy::domain;
use policy::evacuation::{self, Evacuations};
use policy::name::Name;
use policy::revision::Revision;
use policy::roster::Roster;
use policy::throttle::Limit;
use policy::time::Millis;
use wire::routing::{Order, Table};

pub use known::Known;

use crate::record::{Record, Snapshot};

/// Longest time for which a backend server is believed not to be warm, in milliseconds.
const WARMUP_MAX_MS: u64 = 60_000;

domain! {
    /// An evacuated failure domain.
    #[derive(Copy, Default)]
    pub struct Evacuated {
        /// Backend servers that stand there.
        pub servers: usize,
        /// Requests of this host under way there, which began before the order.
        pub requests: u32,
    }
}

/// What became of a world that was made.
#[derive(Debug, Default)]
pub struct Published {
    /// Everything that requests need has been read.
    pub is_complete: bool,
    /// Servers that took work until now and are no longer listed, without having said that they leave.
    pub gone: Vec<Name>,
}

/// What was read.
#[derive(Default)]
struct Inner {
    index: Arc<Index>,
    roster: Roster<wire::routing::Backend>,
    has_roster: bool,
    backends: HashMap<Name, Arc<Backend>>,
    /// Those that are not listed any more, for as long as their entries may come back: what they said
    /// of themselves still holds then.
    departed: HashMap<Name, Arc<Backend>>,
    rollouts: BTreeMap<Name, Known>,
    bases: HashMap<Name, Name>,
    table_at: Option<Millis>,
    heard_at: BTreeMap<Name, Millis>,
    evacuations: Evacuations,
    /// Backend servers that are not warm, and when they are.
    warming: HashMap<Name, Millis>,
}

/// Everything known, under one lock; requests see only the worlds made of it.
pub struct Catalog {
    failure_domain: Name,
    /// Part of a service's requests that a bad version may get in a roll-out.
    exposure_share: f64,
    inner: Mutex<Inner>,
}

impl Catalog {
    /// Nothing known yet.
    #[must_use]
    pub fn new(failure_domain: Name) -> Self {
        let exposure_share = canary::ALLOWED_MIN;
        Self { failure_domain, exposure_share, inner: Mutex::default() }
    }

    /// With this part of a service's requests that a bad version may get.
    #[must_use]
    pub fn exposing(self, exposure_share: f64) -> Self {
        Self { exposure_share, ..self }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a table of routes; false if it is not newer. An old one read from a stale list would
    /// bring back dropped routes and keys.
    pub fn take_table(&self, table: Table) -> bool {
        let mut inner = self.lock();
        if table.version <= inner.index.version {
            return false;
        }
        inner.index = Arc::new(Index::new(table));
        inner.table_at = Some(clock::steady());
        true
    }

    /// When the table in force was taken.
    #[must_use]
    pub fn table_at(&self) -> Option<Millis> {
        self.lock().table_at
    }

    /// One of the store's lists answered.
    pub fn set_heard(&self, list: &str, now: Millis) {
        self.lock().heard_at.insert(Name::from(list), now);
    }

    /// How long ago each of the store's lists last answered, in milliseconds.
    #[must_use]
    pub fn heard(&self, now: Millis) -> BTreeMap<Name, u64> {
        let inner = self.lock();
        inner.heard_at.iter().map(|(list, at)| (list.clone(), now.since(*at))).collect()
    }

    /// Changes the list of backend servers.
    pub fn with_roster<T>(
        &self,
        change: impl FnOnce(&mut Roster<wire::routing::Backend>) -> T,
    ) -> T {
        change(&mut self.lock().roster)
    }

    /// A backend server said that it is warm in so long, or has just been listed and says nothing.
    pub fn warms(&self, backend: &wire::routing::Backend, now: Millis) {
        let mut inner = self.lock();
        let service = inner.index.services.get(&backend.service);
        let usual_ms = service.and_then(|service| service.warmup).map(|warmup| warmup.ms);
        let known = inner.backends.get(&backend.id);
        let is_new = known.is_none_or(|known| known.born != backend.born);
        let ms = backend.warmup_ms.or(usual_ms.filter(|_| is_new)).unwrap_or_default();
        if ms > WARMUP_MAX_MS {
            log::warn!(target: "watch", backend:% = backend.id, warmup_ms = ms;
                "backend server says that it warms up for too long, believed for a minute");
        }
        if ms > 0 {
            let until = now + ms.min(WARMUP_MAX_MS);
            let held = inner.warming.entry(backend.id.clone()).or_insert(until);
            *held = until.max(*held);
        }
    }

    /// The list of backend servers was read whole.
    pub fn set_roster_read(&self) {
        self.lock().has_roster = true;
    }

    /// Takes an order; false if it is known. `is_rewritten` says whether operators may just be writing again what
    /// they had written.
    pub fn take_order(&self, order: Order, revision: Revision, is_rewritten: bool) -> bool {
        let mut inner = self.lock();
        match inner.rollouts.get_mut(&order.service) {
            Some(known) if known.revision >= revision => return false,
            Some(known)
                if known.order.is_same(&order)
                    && (is_rewritten || known.revision.era < revision.era) =>
            {
                // One that is only held on to was not written again yet.
                if revision.step == 0 {
                    known.reissue(order, revision);
                }
                return false;
            }
            _ => {}
        }
        let known = Known {
            revision,
            record: None,
            version: Revision::NONE,
            began: clock::steady(),
            halted: Arc::default(),
            order: order.clone(),
        };
        inner.rollouts.insert(order.service, known);
        true
    }

    /// Takes orders to evacuate failure domains, as a list had them at a revision.
    pub fn take_evacuations(
        &self,
        entries: &[evacuation::Entry],
        revision: Revision,
        is_whole: bool,
        now: Millis,
    ) -> evacuation::Change {
        let mut inner = self.lock();
        let change = inner.evacuations.take(entries, revision, is_whole);
        inner.cool(&change.ended, now);
        change
    }

    /// Failure domains that are evacuated, and what this host still has there.
    #[must_use]
    pub fn evacuated(&self) -> BTreeMap<Name, Evacuated> {
        let inner = self.lock();
        let domains = inner.evacuations.failure_domains();
        domains.map(|domain| (domain.clone(), inner.evacuated(domain))).collect()
    }

    /// A backend server that is listed.
    #[must_use]
    pub fn backend(&self, id: &Name) -> Option<Arc<Backend>> {
        self.lock().backends.get(id).cloned()
    }

    /// What backend servers said lately of how much they take.
    #[must_use]
    pub fn restrictions(&self, now: Millis) -> Vec<RestrictionNotice> {
        let inner = self.lock();
        let restricted = inner.backends.values().filter(|backend| backend.server.is_restricted());
        restricted.flat_map(|backend| backend.restrictions(now)).collect()
    }

    /// Takes what another host heard of a backend server, with times of its clock; whether the world is
    /// another one now. What was said of another start means nothing.
    pub fn restrict(&self, restricted: &RestrictionNotice, from: Millis, now: Millis) -> bool {
        let backend = self.backend(&restricted.backend);
        let backend = backend.filter(|backend| backend.born == restricted.born);
        let restriction = restricted.restriction.on_clock(from, now);
        backend.is_some_and(|backend| backend.learn(&restriction, now))
    }

    /// Backend servers that stand in a failure domain; none before their list was read.
    #[must_use]
    pub fn servers_in(&self, failure_domain: &Name) -> Option<usize> {
        let inner = self.lock();
        let backends = inner.backends.values();
        let here = backends.filter(|backend| backend.server.failure_domain == *failure_domain);
        inner.has_roster.then(|| here.count())
    }

    /// A roll-out.
    #[must_use]
    pub fn rollout(&self, service: &Name) -> Option<Known> {
        self.lock().rollouts.get(service).cloned()
    }

    /// Notes how a roll-out stands; false if that is older than what is known, or of another order.
    pub fn set_record(&self, snapshot: &Snapshot, now: Millis) -> bool {
        let mut inner = self.lock();
        let Some(known) = inner.rollouts.get_mut(&snapshot.service) else { return false };
        let issued = known.issued();
        let is_of = snapshot.record.is_of(issued, &known.order.target);
        // A row that the store has lost is made anew by hosts that know nothing of it.
        let is_behind = known.record.as_ref().is_some_and(|held| snapshot.record.is_behind(held));
        if !is_of || is_behind || snapshot.version < known.version {
            return false;
        }
        known.record = Some(Record { order: issued, ..snapshot.record.clone() });
        known.version = snapshot.version;
        known.began = now - snapshot.age_ms;
        true
    }

    /// Services with a roll-out that was decided.
    #[must_use]
    pub fn decided(&self) -> Vec<Name> {
        let inner = self.lock();
        let stage = |known: &Known| known.record.as_ref().map(|record| record.stage);
        let decided = inner.rollouts.values();
        let decided = decided.filter(|known| stage(known).is_some_and(Stage::is_decided));
        decided.map(|known| known.order.service.clone()).collect()
    }

    /// Services with a roll-out that is not decided, each with its order.
    #[must_use]
    pub fn orders(&self) -> Vec<(Name, Revision)> {
        let inner = self.lock();
        let is_open = |known: &&Known| {
            let stage = known.record.as_ref().map(|record| record.stage);
            stage.is_some_and(|stage| matches!(stage, Stage::Trial | Stage::Moving))
        };
        let open = inner.rollouts.values().filter(is_open);
        open.map(|known| (known.order.service.clone(), known.issued())).collect()
    }

    /// How all roll-outs stand, for other hosts.
    #[must_use]
    pub fn records(&self, now: Millis) -> Vec<Snapshot> {
        let inner = self.lock();
        let snapshots = inner.rollouts.iter().filter_map(|(service, known)| {
            Some(Snapshot {
                service: service.clone(),
                version: known.version,
                record: known.record.clone()?,
                age_ms: now.since(known.began),
            })
        });
        snapshots.collect()
    }

    /// The version that requests for a service go to, but for a roll-out.
    #[must_use]
    pub fn base(&self, service: &Name) -> Name {
        self.lock().bases.get(service).cloned().unwrap_or_default()
    }

    /// Makes the world as it is now what requests are decided by.
    ///
    /// Both lists publish, on any thread. Were the lock given up in between, a world made before a
    /// table came could replace the one made after, and all requests be refused until the next
    /// change.
    pub fn publish(&self, place: &ArcSwap<RoutingSnapshot>, now: Millis) -> Published {
        let mut inner = self.lock();
        let before = place.load_full();
        let world = inner.world(self, now);
        let is_complete = world.is_complete;
        let gone = inner.gone(&before);
        place.store(Arc::new(world));
        Published { is_complete, gone }
    }

    /// When the world changes by itself, if it does.
    #[must_use]
    pub fn next_lapse(&self) -> Option<Millis> {
        self.lock().roster.next_lapse()
    }
}

impl Inner {
    fn world(&mut self, at: &Catalog, now: Millis) -> RoutingSnapshot {
        let entries = self.roster.entries(now);
        self.warming.retain(|_, until| now < *until);
        let mut backends = HashMap::new();
        let mut pools: HashMap<Name, Pool> = HashMap::new();
        for row in &entries {
            let near = row.failure_domain == at.failure_domain;
            let known = self.backends.remove(&row.id).or_else(|| self.departed.remove(&row.id));
            // Another start knows nothing of the one before: neither its caches and load nor its
            // connections are the new one's.
            let known =
                known.filter(|known| known.server.address == row.address && known.born == row.born);
            let backend = known.unwrap_or_else(|| Arc::new(Backend::new(row, near)));
            if let Some(limit) = self.warmup(row, now) {
                backend.learn_limit(limit, now);
            }
            backends.insert(row.id.clone(), Arc::clone(&backend));
            let pool = pools.entry(row.service.clone()).or_default();
            match row.draining || backend.server.is_leaving() {
                true => pool.leaving += 1,
                false if self.evacuations.covers(&row.failure_domain) => pool.evacuated += 1,
                false => pool.backends.push(backend),
            }
        }
        let departed = std::mem::replace(&mut self.backends, backends);
        self.depart(departed);
        for service in self.index.services.keys() {
            pools.entry(service.clone()).or_default();
        }
        for (service, pool) in &mut pools {
            let exists = |version: &Name| {
                entries.iter().any(|row| row.service == *service && row.version == *version)
            };
            pool.base = self.choose_base(service, pool, exists);
            pool.rollout =
                self.rollouts.get(service).map(|known| rollout(known, at.exposure_share));
        }
        RoutingSnapshot {
            index: Arc::clone(&self.index),
            revision: self.roster.revision.number,
            is_complete: self.is_complete(),
            pools: pools.into_iter().map(|(service, pool)| (service, Arc::new(pool))).collect(),
        }
    }

    /// Keeps servers that are no longer listed.
    fn depart(&mut self, departed: HashMap<Name, Arc<Backend>>) {
        departed.values().for_each(|backend| backend.server.retire(true));
        self.departed.extend(departed);
        let roster = &self.roster;
        self.departed.retain(|id, _| roster.remembers(id));
    }

    fn evacuated(&self, failure_domain: &Name) -> Evacuated {
        let servers = self.backends.values().map(|backend| &backend.server);
        let here = servers.filter(|server| server.failure_domain == *failure_domain);
        here.fold(Evacuated::default(), |sum, server| Evacuated {
            servers: sum.servers + 1,
            requests: sum.requests + server.in_flight.load(Ordering::Relaxed),
        })
    }

    /// Backend servers of failure domains that take requests again had none for a while: until they
    /// say how they stand they are taken for cold.
    fn cool(&mut self, failure_domains: &[Name], now: Millis) {
        for row in self.roster.entries(now) {
            let service = self.index.services.get(&row.service);
            let warmup = service.and_then(|service| service.warmup);
            if let Some(warmup) = warmup.filter(|_| failure_domains.contains(&row.failure_domain)) {
                self.warming.insert(row.id, now + warmup.ms);
            }
        }
    }

    /// What a backend server takes until it is warm.
    fn warmup(&self, row: &wire::routing::Backend, now: Millis) -> Option<Limit> {
        let until = self.warming.get(&row.id)?;
        let warmup = self.index.services.get(&row.service)?.warmup?;
        Some(Limit::warmup(warmup.per_second, *until, now))
    }

    /// Servers of an earlier world that are no longer listed, or have started again.
    fn gone(&self, before: &RoutingSnapshot) -> Vec<Name> {
        let served = before.pools.values().flat_map(|pool| &pool.backends);
        let gone = served.filter(|backend| {
            let listed = self.backends.get(&backend.id);
            listed.is_none_or(|listed| listed.born != backend.born)
        });
        gone.map(|backend| backend.id.clone()).collect()
    }

    fn is_complete(&self) -> bool {
        let is_known = |known: &Known| known.record.is_some();
        self.index.version > 0 && self.has_roster && self.rollouts.values().all(is_known)
    }

    /// A version that nobody ordered gets no requests: servers of a new version may be listed
    /// before the order to try it has come. A version exists for as long as one of its servers is listed,
    /// also if all leave or are evacuated: else the other one would get all requests, and keep them.
    fn choose_base(&mut self, service: &Name, pool: &Pool, exists: impl Fn(&Name) -> bool) -> Name {
        let known = self.rollouts.get(service);
        let record = known.and_then(|known| known.record.as_ref());
        let held = self.bases.get(service).filter(|held| exists(held)).cloned();
        let chosen = match record {
            Some(record) if record.stage == Stage::Done => Some(record.target.clone()),
            Some(record) if !record.base.is_empty() => Some(record.base.clone()),
            _ => held,
        };
        let target = known.map(|known| &known.order.target);
        let chosen = chosen.filter(|chosen| exists(chosen));
        let base = chosen.or_else(|| commonest(pool, target)).unwrap_or_default();
        if !base.is_empty() {
            self.bases.insert(service.clone(), base.clone());
        }
        base
    }
}

/// The version that most servers have, but for one on trial.
fn commonest(pool: &Pool, target: Option<&Name>) -> Option<Name> {
    let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
    for backend in &pool.backends {
        *counts.entry(&backend.version).or_default() += 1;
    }
    let usual = counts.iter().filter(|(version, _)| Some(**version) != target);
    usual
        .max_by_key(|(version, count)| (**count, std::cmp::Reverse(**version)))
        .map(|(version, _)| (*version).clone())
}

fn rollout(known: &Known, exposure_share: f64) -> Rollout {
    Rollout {
        target: known.order.target.clone(),
        stage: known.record.as_ref().map(|record| record.stage).unwrap_or_default(),
        began_at: known.began,
        within_ms: known.order.within_ms,
        exposure_share,
        halted: Arc::clone(&known.halted),
    }
}
