//! Builds the snapshot for requests from what was read from the store.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use gateway::backend::Backend;
use gateway::pool::{Pool, Rollout};
use gateway::snapshot::RoutingSnapshot;
use policy::canary::Stage;
use policy::name::Name;
use policy::time::Millis;

use super::{Catalog, Inner, TrackedRollout};

impl Inner {
    /// Builds a snapshot. Known servers keep their state.
    pub(super) fn build_snapshot(&mut self, catalog: &Catalog, now: Millis) -> RoutingSnapshot {
        self.roster.expire(now);
        let entries = self.roster.entries(now);
        self.warm_at.retain(|_, until| now < *until);
        let mut backends = HashMap::new();
        let mut pools: HashMap<Name, Pool> = HashMap::new();
        for row in &entries {
            let is_near = row.failure_domain == catalog.failure_domain;
            let old = self.backends.remove(&row.id).or_else(|| self.unlisted.remove(&row.id));
            // A server that has restarted knows nothing of its previous run. Its caches, load and
            // connections are new, so it gets a new state.
            let old = old.filter(|old| old.server.address == row.address && old.born == row.born);
            let backend = old.unwrap_or_else(|| Arc::new(Backend::new(row, is_near)));
            backend.set_service(self.index.services.get(&row.service));
            backend.set_listed(row.draining, self.changed_since);
            backend.set_kept(self.roster.is_kept(&row.id));
            if let Some(limit) = self.warmup_limit(row, now) {
                backend.learn_limit(limit, now);
            }
            backends.insert(row.id.clone(), Arc::clone(&backend));
            let pool = pools.entry(row.service.clone()).or_default();
            match backend.is_leaving() {
                true => pool.leaving += 1,
                false if self.evacuations.is_evacuated(&row.failure_domain) => pool.evacuated += 1,
                false => pool.backends.push(backend),
            }
        }
        let unlisted = std::mem::replace(&mut self.backends, backends);
        self.keep_unlisted(unlisted);
        for service in self.index.services.keys() {
            pools.entry(service.clone()).or_default();
        }
        for (service, pool) in &mut pools {
            let exists = |version: &Name| {
                entries
                    .iter()
                    .any(|listed| listed.service == *service && listed.version == *version)
            };
            pool.base = self.choose_base_version(service, pool, exists);
            pool.rollout = self
                .rollouts
                .get(service)
                .map(|tracked| pool_rollout(tracked, catalog.exposure_share));
        }
        RoutingSnapshot {
            index: Arc::clone(&self.index),
            revision: self.roster.revision.number,
            is_complete: self.is_complete(),
            pools: pools.into_iter().map(|(service, pool)| (service, Arc::new(pool))).collect(),
        }
    }

    /// Keeps the state of servers that are no longer listed, in case their entries come back.
    fn keep_unlisted(&mut self, unlisted: HashMap<Name, Arc<Backend>>) {
        for backend in unlisted.values() {
            backend.server.retire(true);
            backend.set_removed();
        }
        self.unlisted.extend(unlisted);
        let roster = &self.roster;
        self.unlisted.retain(|id, _| roster.remembers(id));
    }

    /// Servers of an earlier snapshot that are no longer listed or have restarted.
    pub(super) fn vanished_servers(&self, before: &RoutingSnapshot) -> Vec<Name> {
        let served = before.pools.values().flat_map(|pool| &pool.backends);
        let vanished = served.filter(|backend| {
            let listed = self.backends.get(&backend.id);
            listed.is_none_or(|listed| listed.born != backend.born)
        });
        vanished.map(|backend| backend.id.clone()).collect()
    }

    fn is_complete(&self) -> bool {
        let is_known = |tracked: &TrackedRollout| tracked.record.is_some();
        self.index.version > 0 && self.has_read_backends && self.rollouts.values().all(is_known)
    }

    /// Chooses the version that gets all requests except those of a roll-out.
    ///
    /// A version that nobody ordered gets no requests, because servers of a new version may be
    /// listed before the order to try it arrives. A version exists for as long as one of its
    /// servers is listed, even if all of them leave or are evacuated. Otherwise the other version
    /// would get all requests, and keep them.
    fn choose_base_version(
        &mut self,
        service: &Name,
        pool: &Pool,
        exists: impl Fn(&Name) -> bool,
    ) -> Name {
        let tracked = self.rollouts.get(service);
        let record = tracked.and_then(|tracked| tracked.record.as_ref());
        let current = self.base_versions.get(service).filter(|current| exists(current)).cloned();
        let chosen = match record {
            Some(record) if record.stage == Stage::Done => Some(record.target.clone()),
            Some(record) if !record.base.is_empty() => Some(record.base.clone()),
            _ => current,
        };
        let target_version = tracked.map(|tracked| &tracked.order.target);
        let chosen = chosen.filter(|chosen| exists(chosen));
        let base_version =
            chosen.or_else(|| most_common_version(pool, target_version)).unwrap_or_default();
        if !base_version.is_empty() {
            self.base_versions.insert(service.clone(), base_version.clone());
        }
        base_version
    }
}

/// The version that most servers of a pool run, not counting the target version of a roll-out.
fn most_common_version(pool: &Pool, target: Option<&Name>) -> Option<Name> {
    let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
    for backend in &pool.backends {
        *counts.entry(&backend.version).or_default() += 1;
    }
    let usual = counts.iter().filter(|(version, _)| Some(**version) != target);
    usual
        .max_by_key(|(version, count)| (**count, std::cmp::Reverse(**version)))
        .map(|(version, _)| (*version).clone())
}

fn pool_rollout(tracked: &TrackedRollout, exposure_share: f64) -> Rollout {
    Rollout {
        target: tracked.order.target.clone(),
        stage: tracked.record.as_ref().map(|record| record.stage).unwrap_or_default(),
        began_at: tracked.started_at,
        within_ms: tracked.order.within_ms,
        exposure_share,
        halted: Arc::clone(&tracked.is_halted),
    }
}
