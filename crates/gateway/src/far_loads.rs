//! What the hosts of other failure domains announce of the loads of their engines, and what this
//! host would announce of its own domain's.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use policy::domain;
use policy::engine::spill::{self, DOMAIN_LOAD_LIFETIME_MS};
use policy::engine::{DomainLoad, Engine, age_ms};
use policy::name::Name;
use policy::place::hash;
use policy::prefix::Lag;
use policy::report::far::{FarReport, believed, believed_per_slot};
use policy::time::Millis;

use crate::backend::Backend;
use crate::pool::Pool;
use crate::state::State;

/// Most hosts whose announcements are remembered. One host of each failure domain announces, and
/// another one after it is gone.
const SENDERS_MAX: usize = 32;
/// Most services in an announcement.
const SERVICES_MAX: usize = 4;
/// Step back of a host's clock that means that the host has restarted, in milliseconds. Other
/// messages with an earlier time are late or repeated.
const RESTART_MS: u64 = 10_000;

domain! {
    /// Loads of the engines of one failure domain.
    #[derive(Eq)]
    pub struct FarLoads {
        /// Whether the sender is in that failure domain. The receiver passes the message on to the
        /// hosts of its own.
        pub is_direct: bool,
        /// The failure domain.
        pub domain: Name,
        /// Hash of the name of the host that announces.
        pub from: u64,
        /// When that host made the message, by its clock.
        pub at: Millis,
        /// Mean load of each service's engines, in percent of their slots.
        pub means: Vec<(Name, u32)>,
        /// Engines, those with the least load first.
        pub engines: Vec<FarReport>,
    }
}

/// What one host has announced.
struct Sender {
    /// Hash of the failure domain's name.
    domain: u64,
    /// Hash of the host's name.
    from: u64,
    /// How late its messages are.
    lag: Lag,
    /// When it made its last message, by its clock.
    sent_at: Millis,
    /// The same by this host's clock.
    at: Millis,
    /// Mean loads per slot, by the hash of the service.
    means: HashMap<u64, f64>,
}

/// The announcements of other failure domains.
#[derive(Default)]
pub struct FarDomains(Mutex<Vec<Sender>>);

impl FarDomains {
    /// Takes a message, with what it tells of the engines of these pools. Engines that are unknown,
    /// near, or have more requests than can be true are ignored. Returns whether the message is newer
    /// than what the same host has announced before.
    pub fn accept<'a>(
        &self,
        loads: &FarLoads,
        pools: impl Iterator<Item = &'a Pool> + Clone,
        now: Millis,
    ) -> bool {
        let Some(made_at) = self.record(loads, now) else { return false };
        let mut ignored = 0;
        for FarReport(start, requests, age_ms) in &loads.engines {
            let backend = pools.clone().find_map(|pool| pool.with_start(*start));
            let backend = backend.filter(|backend| !backend.is_near && backend.is_engine());
            let requests = backend.and_then(|backend| believed(*requests, backend.slots));
            match (backend, requests) {
                (Some(backend), Some(requests)) => {
                    backend.record_far_load(requests, made_at - u64::from(*age_ms), now);
                }
                _ => ignored += 1,
            }
        }
        if ignored > 0 {
            log::debug!(target: "loads", domain:% = loads.domain, ignored;
                "engines in a message of another failure domain ignored");
        }
        true
    }

    /// Records a message. Returns when it was made, by this host's clock; `None` if it is not newer
    /// than what the same host has announced before.
    fn record(&self, loads: &FarLoads, now: Millis) -> Option<Millis> {
        let (domain, from) = (hash(loads.domain.as_bytes()), loads.from);
        let mut senders = self.lock();
        let index = senders.iter().position(|one| (one.domain, one.from) == (domain, from));
        let index = index.unwrap_or_else(|| {
            if senders.len() >= SENDERS_MAX {
                let oldest = senders.iter().enumerate().min_by_key(|(_, sender)| sender.at);
                let oldest = oldest.map_or(0, |(index, _)| index);
                senders.swap_remove(oldest);
            }
            let (sent_at, at) = <_>::default();
            let lag = Lag::default();
            senders.push(Sender { domain, from, lag, sent_at, at, means: HashMap::new() });
            senders.len() - 1
        });
        let sender = &mut senders[index];
        if sender.at > Millis(0)
            && loads.at <= sender.sent_at
            && sender.sent_at.since(loads.at) < RESTART_MS
        {
            return None;
        }
        let at = now - sender.lag.record(loads.at, now);
        let means = loads.means.iter().take(SERVICES_MAX);
        let means = means.filter_map(|(service, percent)| {
            Some((hash(service.as_bytes()), believed_per_slot(*percent)?))
        });
        (sender.sent_at, sender.at, sender.means) = (loads.at, at, means.collect());
        Some(at)
    }

    /// The announced mean loads of a service's engines, with the hashes of their failure domains.
    #[must_use]
    pub fn of_service(&self, service: &Name, now: Millis) -> HashMap<u64, DomainLoad> {
        let service = hash(service.as_bytes());
        let mut known: HashMap<u64, DomainLoad> = HashMap::new();
        for sender in self.lock().iter() {
            let age_ms = now.since(sender.at);
            let is_newer = known.get(&sender.domain).is_none_or(|other| age_ms < other.age_ms);
            let mean = sender.means.get(&service).filter(|_| is_newer);
            if let Some(per_slot) = mean.filter(|_| age_ms < DOMAIN_LOAD_LIFETIME_MS) {
                known.insert(sender.domain, DomainLoad { per_slot: *per_slot, age_ms });
            }
        }
        known
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Sender>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C> State<C> {
    /// Takes what another failure domain announces of its engines. Returns whether it was news.
    pub fn accept_far_loads(&self, loads: &FarLoads, now: Millis) -> bool {
        if !self.placement.load().far_loads {
            return false;
        }
        let snapshot = self.snapshot.load();
        self.far_domains.accept(loads, snapshot.pools.values().map(|pool| &**pool), now)
    }

    /// What this host announces of the engines of its failure domain: the mean load of each
    /// service's, and the engines, those with the least load first.
    #[must_use]
    pub fn near_loads(&self, now: Millis) -> (Vec<(Name, u32)>, Vec<FarReport>) {
        let snapshot = self.snapshot.load();
        let (mut means, mut reports) = (Vec::new(), Vec::new());
        for (service, pool) in &snapshot.pools {
            // Engines that take no work get no requests. They would look idle and attract those of
            // other failure domains.
            let near = pool
                .backends
                .iter()
                .filter(|one| one.is_near && one.is_engine() && one.server.accepts_work(now));
            let near: Vec<_> = near.map(|backend| (backend, backend.announced(now))).collect();
            let engines: Vec<Engine> = near.iter().map(|(_, engine)| *engine).collect();
            if engines.is_empty() || means.len() >= SERVICES_MAX {
                continue;
            }
            let percent = (spill::near_per_slot(&engines) * 100.0).round() as u32;
            means.push((service.clone(), percent));
            let known = near.iter().filter_map(|(backend, engine)| {
                let report = FarReport::new(backend.start, engine.load(), engine.report_age_ms?);
                Some((engine.load() / f64::from(engine.slots.max(1)), report))
            });
            reports.extend(known);
        }
        reports.sort_by(|one, other| one.0.total_cmp(&other.0));
        (means, reports.into_iter().map(|(_, report)| report).collect())
    }
}

impl Backend {
    /// The engine as the hosts of its failure domain know it.
    fn announced(&self, now: Millis) -> Engine {
        let estimate = self.estimate(0, now);
        Engine {
            own: self.server.in_flight.load(std::sync::atomic::Ordering::Relaxed),
            reported: estimate.reported,
            own_then: estimate.own_at_report,
            report_age_ms: age_ms(estimate.reported_at, now),
            is_announced: true,
            slots: self.slots,
            near: true,
            ..Engine::default()
        }
    }
}
