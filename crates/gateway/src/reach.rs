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

/// The time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// How many servers are probed at once while this host reaches none.
const PROBED_COUNT: usize = 2;
/// The most probes of one server until it is clear whether it has ended. Requests that were lost
/// with it are remembered for as long as these probes take.
const PROBES_MAX: usize = 20;
/// How many other servers are probed before a server that refuses connections counts as ended. Some
/// of them may have ended as well, which nobody knows yet.
const CONTROLS_MAX: usize = 4;

/// What this host knows of its connection to the backend servers.
#[derive(Default)]
pub struct Reachability {
    isolation: Mutex<Isolation>,
    /// Whether nothing suggests an isolation. Most connections open, and need no lock to record
    /// that.
    is_calm: AtomicBool,
    isolated: watch::Sender<bool>,
}

impl Reachability {
    /// Whether this host is cut off from all backend servers.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        *self.isolated.borrow()
    }

    /// Whether this host may be cut off, so that its observations say nothing about the servers.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        let is_calm = self.is_calm.load(Ordering::Relaxed);
        !is_calm && self.with(|isolation| isolation.may_be_isolated(clock::steady()))
    }

    /// Whether the server has failed since any server last answered.
    fn has_failed(&self, backend: &Backend) -> bool {
        self.with(|isolation| isolation.has_failed(backend.id_hash))
    }

    /// A receiver that is notified when the host becomes isolated or reaches servers again.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<bool> {
        self.isolated.subscribe()
    }

    /// Records that a backend server accepted no connection, or broke one off without an answer.
    pub fn record_failure(&self, backend: &Backend) {
        if self.with(|isolation| isolation.record_failure(backend.id_hash, clock::steady())) {
            log::warn!(target: "route", backend:% = backend.id;
                "this host reaches no backend server");
            metrics::gauge!("gateway_isolated").set(1.0);
            metrics::counter!("gateway_isolations_total").increment(1);
            self.isolated.send_replace(true);
        }
    }

    /// Records that a backend server answered on a new connection. Returns whether the host had
    /// been cut off.
    fn record_reached(&self) -> bool {
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
    /// Records that a backend server answered on a new connection.
    pub fn record_reached(&self) {
        if !self.reach.record_reached() {
            return;
        }
        // The fault was with this host and not with the servers. If each of them stayed ill for its
        // time, requests would go on taking the way through other hosts.
        let (snapshot, now) = (self.snapshot.load(), clock::steady());
        let backends = snapshot.pools.values().flat_map(|pool| &pool.backends);
        backends.for_each(|backend| backend.server.record_success(now));
    }

    /// Probes servers whenever this host reaches none, until one accepts connections. Runs until
    /// the process ends.
    pub async fn probe_while_isolated(self: Arc<Self>) {
        let mut isolated = self.reach.watch();
        // The sender exists as long as the state.
        while isolated.wait_for(|isolated| *isolated).await.is_ok() {
            if any_accepts(&self.sample_servers(PROBED_COUNT, |_| true)).await {
                self.record_reached();
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    /// Probes in the background whether a server has ended. A single broken connection says nothing
    /// of its server.
    pub fn probe_soon(self: &Arc<Self>, backend: &Arc<Backend>) {
        let (state, backend) = (Arc::clone(self), Arc::clone(backend));
        tokio::spawn(async move {
            for _ in 0..PROBES_MAX {
                // Other servers may have ended in the same moment. What was lost with this one must
                // not be forgotten for that.
                if state.probe(&backend).await != Liveness::Unclear {
                    return;
                }
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        });
    }

    /// Probes whether a server has ended.
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

    /// A random sample of at most `max` servers for which `matches` is true.
    fn sample_servers(&self, max: usize, matches: impl Fn(&Backend) -> bool) -> Vec<Arc<Backend>> {
        let snapshot = self.snapshot.load();
        let backends = snapshot.pools.values().flat_map(|pool| &pool.backends);
        let backends: Vec<&Arc<Backend>> = backends.filter(|backend| matches(backend)).collect();
        let drawn = sample::draw(backends.len(), max, rand::random());
        drawn.map(|index| Arc::clone(backends[index])).collect()
    }
}
