//! Everything that was read from the store, and the snapshot for requests that is built from it.

mod rollout;
mod snapshot;

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use entry::clock;
use gateway::backend::{Backend, RestrictionNotice};
use gateway::index::Index;
use gateway::snapshot::RoutingSnapshot;
use policy::canary::{self, Stage};
use policy::domain;
use policy::evacuation::{self, Evacuations};
use policy::name::Name;
use policy::revision::Revision;
use policy::roster::Roster;
use policy::throttle::Limit;
use policy::time::Millis;
use wire::routing::{RolloutOrder, Table};

pub use rollout::TrackedRollout;

use crate::record::{Record, RolloutState};

/// Longest warm-up of a backend server that is believed, in milliseconds. Otherwise a wrong entry
/// could keep a server from its work for good.
const WARMUP_MAX_MS: u64 = 60_000;

domain! {
    /// What is left in an evacuated failure domain.
    #[derive(Copy, Default)]
    pub struct EvacuatedDomain {
        /// Backend servers that are listed in the failure domain.
        pub servers: usize,
        /// Requests of this host still in flight there, which began before the evacuation.
        pub requests: u32,
    }
}

/// Result of publishing a snapshot.
#[derive(Debug, Default)]
pub struct Published {
    /// Whether everything that requests need has been read from the store.
    pub is_complete: bool,
    /// Servers that took requests in the snapshot before and are no longer listed, without having
    /// announced that they leave. They have probably crashed.
    pub vanished_servers: Vec<Name>,
}

/// What was read from the store, and what was derived from it.
#[derive(Default)]
struct Inner {
    index: Arc<Index>,
    roster: Roster<wire::routing::Backend>,
    has_read_backends: bool,
    backends: HashMap<Name, Arc<Backend>>,
    /// Servers that are no longer listed, for as long as their entries may come back. What they
    /// said of themselves, such as limits, still holds then.
    unlisted: HashMap<Name, Arc<Backend>>,
    rollouts: BTreeMap<Name, TrackedRollout>,
    base_versions: HashMap<Name, Name>,
    table_accepted_at: Option<Millis>,
    answered_at: BTreeMap<Name, Millis>,
    evacuations: Evacuations,
    /// When each backend server that is still cold will be warm.
    warm_at: HashMap<Name, Millis>,
    /// When the store can first have confirmed the newest changes of the list of backend servers.
    changed_since: Millis,
}

/// Everything known from the store, under one lock. Requests read only the snapshots built from it.
pub struct Catalog {
    failure_domain: Name,
    /// Largest share of a service's requests that a bad version may get in a roll-out, from 0 to 1.
    exposure_share: f64,
    inner: Mutex<Inner>,
}

impl Catalog {
    /// Catalog of a host in `failure_domain` that has read nothing yet.
    #[must_use]
    pub fn new(failure_domain: Name) -> Self {
        let exposure_share = canary::EXPOSURE_SHARE_MIN;
        Self { failure_domain, exposure_share, inner: Mutex::default() }
    }

    /// Sets the share of a service's requests that a bad version may get in a roll-out.
    #[must_use]
    pub fn with_exposure_share(self, exposure_share: f64) -> Self {
        Self { exposure_share, ..self }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the routing table. Returns false for a table that is not newer: an old one from a
    /// stale list would bring back dropped routes and keys.
    pub fn accept_table(&self, table: Table) -> bool {
        let mut inner = self.lock();
        if table.version <= inner.index.version {
            return false;
        }
        inner.index = Arc::new(Index::new(table));
        inner.table_accepted_at = Some(clock::steady());
        true
    }

    /// When the routing table in force was accepted; `None` before the first.
    #[must_use]
    pub fn table_accepted_at(&self) -> Option<Millis> {
        self.lock().table_accepted_at
    }

    /// Records that one of the store's lists was read, from the store or through a peer.
    pub fn set_answered_at(&self, list: &str, now: Millis) {
        self.lock().answered_at.insert(Name::from(list), now);
    }

    /// How long ago each of the store's lists was last heard of, in milliseconds.
    #[must_use]
    pub fn list_ages_ms(&self, now: Millis) -> BTreeMap<Name, u64> {
        let inner = self.lock();
        inner.answered_at.iter().map(|(list, at)| (list.clone(), now.since(*at))).collect()
    }

    /// Runs `change` on the list of backend servers, under the catalog's lock.
    pub fn with_roster<T>(
        &self,
        change: impl FnOnce(&mut Roster<wire::routing::Backend>) -> T,
    ) -> T {
        change(&mut self.lock().roster)
    }

    /// Records when the store can first have confirmed the newest changes of the list of backend
    /// servers.
    pub fn set_changed_since(&self, since: Millis) {
        self.lock().changed_since = since;
    }

    /// Records how long a backend server will be cold: as long as its entry says, or for the
    /// service's usual warm-up if the server is new and says nothing.
    pub fn set_warmup(&self, backend: &wire::routing::Backend, now: Millis) {
        let mut inner = self.lock();
        let service = inner.index.services.get(&backend.service);
        let usual_ms = service.and_then(|service| service.warmup).map(|warmup| warmup.ms);
        let existing = inner.backends.get(&backend.id);
        let is_new = existing.is_none_or(|existing| existing.born != backend.born);
        let ms = backend.warmup_ms.or(usual_ms.filter(|_| is_new)).unwrap_or_default();
        if ms > WARMUP_MAX_MS {
            log::warn!(target: "watch", backend:% = backend.id, warmup_ms = ms;
                "backend server announces too long a warm-up, limited to a minute");
        }
        if ms > 0 {
            let until = now + ms.min(WARMUP_MAX_MS);
            let warm_at = inner.warm_at.entry(backend.id.clone()).or_insert(until);
            *warm_at = until.max(*warm_at);
        }
    }

    /// Records that the whole list of backend servers was read. Before that this host is not ready.
    pub fn set_backends_read(&self) {
        self.lock().has_read_backends = true;
    }

    /// Accepts an order to change a version. Returns false if the order is already known.
    /// `is_rewritten` says whether operators may be writing again what the store lost, so that the
    /// same order under a newer revision is not a new one.
    pub fn accept_order(
        &self,
        order: RolloutOrder,
        revision: Revision,
        is_rewritten: bool,
    ) -> bool {
        let mut inner = self.lock();
        match inner.rollouts.get_mut(&order.service) {
            Some(tracked) if tracked.revision >= revision => return false,
            Some(tracked)
                if tracked.order.has_same_content(&order)
                    && (is_rewritten || tracked.revision.era < revision.era) =>
            {
                // A revision with steps was given by this host to an entry that it overrides.
                // Operators have not written the order again yet.
                if revision.step == 0 {
                    tracked.reissue(order, revision);
                }
                return false;
            }
            _ => {}
        }
        let tracked = TrackedRollout {
            revision,
            record: None,
            row_version: Revision::NONE,
            started_at: clock::steady(),
            is_halted: Arc::default(),
            order: order.clone(),
        };
        inner.rollouts.insert(order.service, tracked);
        true
    }

    /// Applies orders to evacuate failure domains, as the list had them at a revision. Returns
    /// which evacuations began and ended.
    pub fn accept_evacuations(
        &self,
        entries: &[evacuation::Entry],
        revision: Revision,
        is_whole: bool,
        now: Millis,
    ) -> evacuation::Change {
        let mut inner = self.lock();
        let change = inner.evacuations.apply(entries, revision, is_whole);
        inner.mark_cold(&change.ended, now);
        change
    }

    /// Evacuated failure domains, each with what this host still has there.
    #[must_use]
    pub fn evacuated(&self) -> BTreeMap<Name, EvacuatedDomain> {
        let inner = self.lock();
        let domains = inner.evacuations.failure_domains();
        domains.map(|domain| (domain.clone(), inner.evacuated(domain))).collect()
    }

    /// A listed backend server, by its id.
    #[must_use]
    pub fn backend(&self, id: &Name) -> Option<Arc<Backend>> {
        self.lock().backends.get(id).cloned()
    }

    /// Limits, pauses and other restrictions that backend servers have recently set on what they
    /// take.
    #[must_use]
    pub fn restrictions(&self, now: Millis) -> Vec<RestrictionNotice> {
        let inner = self.lock();
        let restricted = inner.backends.values().filter(|backend| backend.server.is_restricted());
        restricted.flat_map(|backend| backend.restrictions(now)).collect()
    }

    /// Applies a restriction that a peer heard from a backend server, with `from` as the peer's
    /// clock and `now` as this host's. Returns whether a new snapshot must be published. A
    /// restriction from another start of the server is ignored.
    pub fn accept_restriction(
        &self,
        restricted: &RestrictionNotice,
        from: Millis,
        now: Millis,
    ) -> bool {
        let backend = self.backend(&restricted.backend);
        let backend = backend.filter(|backend| backend.born == restricted.born);
        let restriction = restricted.restriction.on_clock(from, now);
        backend.is_some_and(|backend| backend.learn(&restriction, now))
    }

    /// Number of backend servers listed in a failure domain; `None` before their list was read.
    #[must_use]
    pub fn count_servers_in(&self, failure_domain: &Name) -> Option<usize> {
        let inner = self.lock();
        let backends = inner.backends.values();
        let here = backends.filter(|backend| backend.server.failure_domain == *failure_domain);
        inner.has_read_backends.then(|| here.count())
    }

    /// The latest roll-out of a service; `None` if none was ordered.
    #[must_use]
    pub fn rollout(&self, service: &Name) -> Option<TrackedRollout> {
        self.lock().rollouts.get(service).cloned()
    }

    /// Accepts the state of a roll-out from the store or a peer. Returns false if it is older than
    /// the known state or belongs to another order.
    pub fn accept_record(&self, rollout: &RolloutState, now: Millis) -> bool {
        let mut inner = self.lock();
        let Some(tracked) = inner.rollouts.get_mut(&rollout.service) else { return false };
        let order_id = tracked.order_id();
        let is_same_order = rollout.record.belongs_to(order_id, &tracked.order.target);
        // After a restore, hosts that don't know the lost row create it anew, with an earlier
        // stage.
        let is_behind = tracked.record.as_ref().is_some_and(|own| rollout.record.is_behind(own));
        if !is_same_order || is_behind || rollout.version < tracked.row_version {
            return false;
        }
        tracked.record = Some(Record { order: order_id, ..rollout.record.clone() });
        tracked.row_version = rollout.version;
        tracked.started_at = now - rollout.age_ms;
        true
    }

    /// Services whose roll-out has succeeded or was stopped.
    #[must_use]
    pub fn decided_services(&self) -> Vec<Name> {
        let inner = self.lock();
        let stage = |tracked: &TrackedRollout| tracked.record.as_ref().map(|record| record.stage);
        let decided = inner.rollouts.values();
        let decided = decided.filter(|tracked| stage(tracked).is_some_and(Stage::is_decided));
        decided.map(|tracked| tracked.order.service.clone()).collect()
    }

    /// Services whose roll-out is under way, each with the id of its order.
    #[must_use]
    pub fn open_orders(&self) -> Vec<(Name, Revision)> {
        let inner = self.lock();
        let is_open = |tracked: &&TrackedRollout| {
            let stage = tracked.record.as_ref().map(|record| record.stage);
            stage.is_some_and(|stage| matches!(stage, Stage::Trial | Stage::Moving))
        };
        let open = inner.rollouts.values().filter(is_open);
        open.map(|tracked| (tracked.order.service.clone(), tracked.order_id())).collect()
    }

    /// States of all roll-outs, to be sent to peers.
    #[must_use]
    pub fn rollout_states(&self, now: Millis) -> Vec<RolloutState> {
        let inner = self.lock();
        let states = inner.rollouts.iter().filter_map(|(service, tracked)| {
            Some(RolloutState {
                service: service.clone(),
                version: tracked.row_version,
                record: tracked.record.clone()?,
                age_ms: now.since(tracked.started_at),
            })
        });
        states.collect()
    }

    /// The version that gets all requests for a service except those of a roll-out; empty if there
    /// is none.
    #[must_use]
    pub fn base_version(&self, service: &Name) -> Name {
        self.lock().base_versions.get(service).cloned().unwrap_or_default()
    }

    /// Builds a snapshot from the current state and publishes it to requests.
    ///
    /// The followers of both lists publish, on any thread. The lock is held until the snapshot is
    /// stored: otherwise one built before a routing table arrived could replace the one built after
    /// it, and all requests would be rejected until the next change.
    pub fn publish(&self, target: &ArcSwap<RoutingSnapshot>, now: Millis) -> Published {
        let mut inner = self.lock();
        let before = target.load_full();
        let snapshot = inner.build_snapshot(self, now);
        let is_complete = snapshot.is_complete;
        let vanished_servers = inner.vanished_servers(&before);
        target.store(Arc::new(snapshot));
        Published { is_complete, vanished_servers }
    }

    /// When an entry of a backend server lapses, so that a new snapshot must be published; `None`
    /// if none is about to.
    #[must_use]
    pub fn next_lapse(&self) -> Option<Millis> {
        self.lock().roster.next_lapse()
    }
}

impl Inner {
    fn evacuated(&self, failure_domain: &Name) -> EvacuatedDomain {
        let servers = self.backends.values().map(|backend| &backend.server);
        let here = servers.filter(|server| server.failure_domain == *failure_domain);
        here.fold(EvacuatedDomain::default(), |sum, server| EvacuatedDomain {
            servers: sum.servers + 1,
            requests: sum.requests + server.in_flight.load(Ordering::Relaxed),
        })
    }

    /// Marks the backend servers of failure domains whose evacuation has ended as cold, until they
    /// report otherwise: they had no requests for a while.
    fn mark_cold(&mut self, failure_domains: &[Name], now: Millis) {
        for listed in self.roster.entries(now) {
            let service = self.index.services.get(&listed.service);
            let warmup = service.and_then(|service| service.warmup);
            if let Some(warmup) =
                warmup.filter(|_| failure_domains.contains(&listed.failure_domain))
            {
                self.warm_at.insert(listed.id, now + warmup.ms);
            }
        }
    }

    /// Limit of a backend server that is still cold; `None` if it is warm.
    fn warmup_limit(&self, listed: &wire::routing::Backend, now: Millis) -> Option<Limit> {
        let until = self.warm_at.get(&listed.id)?;
        let warmup = self.index.services.get(&listed.service)?.warmup?;
        Some(Limit::warmup(warmup.per_second, *until, now))
    }
}
