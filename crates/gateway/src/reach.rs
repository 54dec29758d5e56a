//! Whether this host reaches any backend server, and how it finds that it does again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use entry::clock;
use policy::isolation::Isolation;
use policy::sample;
use tokio::sync::watch;

use crate::backend::probe::any_accepts;
use crate::backend::{Backend, Liveness};
use crate::codec::Codec;
use crate::state::State;

/// Between two looks for servers that take connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Servers that are looked at at once.
const PROBED_COUNT: usize = 2;
/// Looks at one server until it is clear whether it has ended. What was lost there is remembered for as
/// long.
const PROBES_MAX: usize = 20;
/// Others that are looked at before a server that refuses is taken for ended: some may have ended as
/// well, and nobody knows yet.
const CONTROLS_MAX: usize = 4;

/// What this host knows of its way to the backend servers.
#[derive(Default)]
pub struct Reachability {
    isolation: Mutex<Isolation>,
    /// Nothing speaks for it: most connections open, and need no lock to say so.
    is_calm: AtomicBool,
    isolated: watch::Sender<bool>,
}

impl Reachability {
    /// Whether this host is cut off from all backend servers.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        *self.isolated.borrow()
    }

    /// Whether it may be, so that what it sees of servers says nothing of them.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        let is_calm = self.is_calm.load(Ordering::Relaxed);
        !is_calm && self.with(|isolation| isolation.is_doubtful(clock::steady()))
    }

    /// Whether a server is among those that failed since one last answered.
    fn has_failed(&self, backend: &Backend) -> bool {
        self.with(|isolation| isolation.has_failed(backend.id_hash))
    }

    /// Tells when that changes.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<bool> {
        self.isolated.subscribe()
    }

    /// A backend server took no connection, or broke one off without an answer.
    pub fn record_failure(&self, backend: &Backend) {
        if self.with(|isolation| isolation.failed(backend.id_hash, clock::steady())) {
            log::warn!(target: "route", backend:% = backend.id;
                "this host reaches no backend server");
            metrics::gauge!("gateway_isolated").set(1.0);
            metrics::counter!("gateway_isolations_total").increment(1);
            self.isolated.send_replace(true);
        }
    }

    /// A backend server answered on a new connection; whether the host had been cut off.
    fn record_reached(&self) -> bool {
        if self.is_calm.load(Ordering::Relaxed) {
            return false;
        }
        let ended = self.with(|isolation| isolation.reached(clock::steady()));
        let Some(ms) = ended else { return false };
        log::info!(target: "route", isolated_ms = ms; "this host reaches backend servers again");
        metrics::gauge!("gateway_isolated").set(0.0);
        self.isolated.send_replace(false);
        true
    }

    fn with<T>(&self, use_it: impl FnOnce(&mut Isolation) -> T) -> T {
        let mut isolation = self.isolation.lock().unwrap_or_else(PoisonError::into_inner);
        let used = use_it(&mut isolation);
        self.is_calm.store(isolation.is_calm(), Ordering::Relaxed);
        used
    }
}

impl<C: Codec> State<C> {
    /// A backend server answered on a new connection.
    pub fn record_reached(&self) {
        if !self.reach.record_reached() {
            return;
        }
        // It was this host, and not they: to wait for the time that each is held ill would keep
        // requests on their way by other hosts.
        let (snapshot, now) = (self.snapshot.load(), clock::steady());
        let backends = snapshot.pools.values().flat_map(|pool| &pool.backends);
        backends.for_each(|backend| backend.server.note_success(now));
    }

    /// Looks for a server that takes connections whenever this host reaches none, until the process ends.
    pub async fn probe_while_isolated(self: Arc<Self>) {
        let mut isolated = self.reach.watch();
        // The sender lives as long as the state.
        while isolated.wait_for(|isolated| *isolated).await.is_ok() {
            if any_accepts(&self.sample_servers(PROBED_COUNT, |_| true)).await {
                self.record_reached();
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    /// Looks, in the background, whether a server has ended: a connection that breaks alone says nothing
    /// of the server.
    pub fn probe_soon(self: &Arc<Self>, backend: &Arc<Backend>) {
        let (state, backend) = (Arc::clone(self), Arc::clone(backend));
        tokio::spawn(async move {
            for _ in 0..PROBES_MAX {
                // Other servers may have ended in the same moment. What was lost here must not be
                // forgotten for that.
                if state.probe(&backend).await != Liveness::Unclear {
                    return;
                }
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        });
    }

    /// Looks whether a server has ended.
    pub async fn probe(&self, backend: &Arc<Backend>) -> Liveness {
        let now = clock::steady();
        let is_well = |other: &Backend| !other.server.is_ill(now) && !self.reach.has_failed(other);
        let liveness =
            backend.probe(&self.poison, || self.sample_servers(CONTROLS_MAX, is_well)).await;
        if liveness == Liveness::Ended && self.reach.is_doubtful() {
            self.record_reached();
        }
        liveness
    }

    /// Some of the servers that are so, so many at most.
    fn sample_servers(&self, max: usize, matches: impl Fn(&Backend) -> bool) -> Vec<Arc<Backend>> {
        let snapshot = self.snapshot.load();
        let backends = snapshot.pools.values().flat_map(|pool| &pool.backends);
        let backends: Vec<&Arc<Backend>> = backends.filter(|backend| matches(backend)).collect();
        let drawn = sample::draw(backends.len(), max, rand::random());
        drawn.map(|index| Arc::clone(backends[index])).collect()
    }
}
