//! Whether this host reaches any backend server, and how it finds that it does again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use entry::clock;
use policy::isolation::Isolation;
use policy::sample;
use tokio::sync::watch;

use crate::backend::look::any_keeps;
use crate::backend::{Backend, Found};
use crate::codec::Codec;
use crate::state::State;

/// Between two looks for servers that take connections.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Servers that are looked at at once.
const LOOKED_AT: usize = 2;
/// Looks at one server until it is clear whether it has ended. What was lost there is remembered for as
/// long.
const LOOKS_MAX: usize = 20;
/// Others that are looked at before a server that refuses is taken for ended: some may have ended as
/// well, and nobody knows yet.
const CONTROLS: usize = 4;

/// What this host knows of its way to the backend servers.
#[derive(Default)]
pub struct Reach {
    isolation: Mutex<Isolation>,
    /// Nothing speaks for it: most connections open, and need no lock to say so.
    is_calm: AtomicBool,
    isolated: watch::Sender<bool>,
}

impl Reach {
    /// Whether this host is cut off from all backend servers.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        *self.isolated.borrow()
    }

    /// Whether it may be, so that what it sees of servers says nothing of them.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        let is_calm = self.is_calm.load(Ordering::Relaxed);
        !is_calm && self.with(|isolation| isolation.may_be_isolated(clock::steady()))
    }

    /// Whether a server is among those that failed since one last answered.
    fn has_failed(&self, backend: &Backend) -> bool {
        self.with(|isolation| isolation.has_failed(backend.hash))
    }

    /// Tells when that changes.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<bool> {
        self.isolated.subscribe()
    }

    /// A backend server took no connection, or broke one off without an answer.
    pub fn failed(&self, backend: &Backend) {
        if self.with(|isolation| isolation.record_failure(backend.hash, clock::steady())) {
            log::warn!(target: "route", backend:% = backend.id;
                "this host reaches no backend server");
            metrics::gauge!("gateway_isolated").set(1.0);
            metrics::counter!("gateway_isolations_total").increment(1);
            self.isolated.send_replace(true);
        }
    }

    /// A backend server answered on a new connection; whether the host had been cut off.
    fn reached(&self) -> bool {
        if self.is_calm.load(Ordering::Relaxed) {
            return false;
        }
        let ended = self.with(|isolation| isolation.record_answer(clock::steady()));
        let Some(ms) = ended else { return false };
        log::info!(target: "route", isolated_ms = ms; "this host reaches backend servers again");
        metrics::gauge!("gateway_isolated").set(0.0);
        self.isolated.send_replace(false);
        true
    }

    fn with<T>(&self, use_it: impl FnOnce(&mut Isolation) -> T) -> T {
        let mut isolation = self.isolation.lock().unwrap_or_else(PoisonError::into_inner);
        let used = use_it(&mut isolation);
        self.is_calm.store(isolation.has_no_failures(), Ordering::Relaxed);
        used
    }
}

impl<C: Codec> State<C> {
    /// A backend server answered on a new connection.
    pub fn reached(&self) {
        if !self.reach.reached() {
            return;
        }
        // It was this host, and not they: to wait for the time that each is held ill would keep
        // requests on their way by other hosts.
        let (world, now) = (self.world.load(), clock::steady());
        let backends = world.pools.values().flat_map(|pool| &pool.backends);
        backends.for_each(|backend| backend.server.note_success(now));
    }

    /// Looks for a server that takes connections whenever this host reaches none, until the process ends.
    pub async fn look_for_servers(self: Arc<Self>) {
        let mut isolated = self.reach.watch();
        // The sender lives as long as the state.
        while isolated.wait_for(|isolated| *isolated).await.is_ok() {
            if any_keeps(&self.some_servers(LOOKED_AT, |_| true)).await {
                self.reached();
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Looks, in the background, whether a server has ended: a connection that breaks alone says nothing
    /// of the server.
    pub fn look_soon(self: &Arc<Self>, backend: &Arc<Backend>) {
        let (state, backend) = (Arc::clone(self), Arc::clone(backend));
        tokio::spawn(async move {
            for _ in 0..LOOKS_MAX {
                // Other servers may have ended in the same moment. What was lost here must not be
                // forgotten for that.
                if state.look(&backend).await != Found::Unclear {
                    return;
                }
                tokio::time::sleep(LOOK_EVERY).await;
            }
        });
    }

    /// Looks whether a server has ended.
    pub async fn look(&self, backend: &Arc<Backend>) -> Found {
        let now = clock::steady();
        let is_well = |other: &Backend| !other.server.is_ill(now) && !self.reach.has_failed(other);
        let found = backend.look(&self.poison, || self.some_servers(CONTROLS, is_well)).await;
        if found == Found::Ended && self.reach.is_doubtful() {
            self.reached();
        }
        found
    }

    /// Some of the servers that are so, so many at most.
    fn some_servers(&self, max: usize, is_so: impl Fn(&Backend) -> bool) -> Vec<Arc<Backend>> {
        let world = self.world.load();
        let backends = world.pools.values().flat_map(|pool| &pool.backends);
        let backends: Vec<&Arc<Backend>> = backends.filter(|backend| is_so(backend)).collect();
        let drawn = sample::draw(backends.len(), max, rand::random());
        drawn.map(|index| Arc::clone(backends[index])).collect()
    }
}
