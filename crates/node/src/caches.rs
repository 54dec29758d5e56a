//! Follows the cache events of the engines of this host's failure domain.
//!
//! One host of the failure domain follows an engine: the first in the order of hosts for that
//! engine, as far as this host knows who is alive. No host is elected. For a while after a host has
//! come or gone two hosts may follow an engine, or none; both cost only prefills.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use entry::clock;
use gateway::backend::Backend;
use gateway::{Codec, State};
use policy::domain;
use policy::prefix::{Batch, Call, Change, Feed, Held, Key, Scope, Taken, Trouble};
use policy::time::Millis;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

/// Interval at which this host checks which engines it has to follow.
const ASSIGN_INTERVAL: Duration = Duration::from_millis(500);
/// Most parts in one notice, so that it fits a datagram.
const NOTICE_PARTS_MAX: usize = 24;

/// Calls by which an engine tells what it has cached.
pub trait Engines: Send + Sync + 'static {
    /// Waits for cache events from the number `since` on, for at most a second.
    fn events(
        &self,
        engine: SocketAddr,
        since: u64,
    ) -> impl Future<Output = Result<Batch<Change>, Trouble>> + Send;

    /// Lists what the engine has cached. The call delays the engine's work.
    fn list(&self, engine: SocketAddr)
    -> impl Future<Output = Result<Batch<Held>, Trouble>> + Send;
}

domain! {
    /// What a host has heard of an engine's cache, for the other hosts of its failure domain.
    pub struct CacheNotice {
        /// The engine's start.
        pub start: u64,
        /// When the sender heard it, by its clock; 0 from a host of an earlier version.
        #[serde(default)]
        pub at: Millis,
        /// Whether all that was known of the engine is to be dropped first.
        #[serde(default)]
        pub forget: bool,
        /// Shared parts, each with the tokens that are cached now; 0 if it was evicted.
        pub parts: Vec<(Key, u32)>,
    }

    /// A shared part that an engine has cached, for a host that starts.
    #[derive(Copy)]
    pub struct CachedPart {
        /// The part.
        pub part: Key,
        /// The engine's start.
        pub start: u64,
        /// Tokens that are cached.
        pub tokens: u32,
        /// Time since the last use, in milliseconds.
        pub age_ms: u64,
    }
}

/// Follows engines until dropped.
pub struct Caches<E, C> {
    /// Calls to the engines.
    pub engines: E,
    /// State that all requests share.
    pub state: Arc<State<C>>,
    /// Notices for the other hosts of the failure domain.
    pub notices: mpsc::Sender<CacheNotice>,
}

impl<E: Engines, C: Codec> Caches<E, C> {
    /// Follows the engines that are this host's to follow, until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut followed: HashMap<(u64, SocketAddr), AbortOnDropHandle<()>> = HashMap::new();
        let mut interval = tokio::time::interval(ASSIGN_INTERVAL);
        loop {
            interval.tick().await;
            let assigned = self.assigned();
            followed.retain(|engine, _| assigned.contains_key(engine));
            for (engine, backend) in assigned {
                followed.entry(engine).or_insert_with(|| {
                    log::info!(target: "caches", backend:% = backend.id;
                        "following the engine's cache events");
                    AbortOnDropHandle::new(tokio::spawn(Arc::clone(&self).follow(backend)))
                });
            }
            self.state.prefixes.followed.store(followed.len(), Ordering::Relaxed);
        }
    }

    /// The engines that this host has to follow.
    fn assigned(&self) -> HashMap<(u64, SocketAddr), Arc<Backend>> {
        let peers = self.state.peers.load();
        let Some(peers) = peers.as_ref() else { return HashMap::new() };
        let snapshot = self.state.snapshot.load();
        let backends = snapshot.pools.values().flat_map(|pool| &pool.backends);
        let near = backends.filter(|backend| {
            backend.is_near
                && self.state.prefixes.covers(backend)
                && peers.count_before(backend.id_hash) == 0
        });
        near.map(|backend| ((backend.start, backend.server.address), Arc::clone(backend))).collect()
    }

    /// Follows one engine until it is another host's to follow.
    async fn follow(self: Arc<Self>, backend: Arc<Backend>) {
        let mut feed = Feed::new(rand::random(), clock::steady());
        let mut is_failing = false;
        loop {
            let call = feed.next(clock::steady());
            if let Call::Wait(until) = call {
                let pause = until.since(clock::steady()).max(1);
                tokio::time::sleep(Duration::from_millis(pause)).await;
                continue;
            }
            feed.record_call(call, clock::steady());
            match self.call(&backend, &mut feed, call).await {
                Ok(taken) => {
                    is_failing = false;
                    self.take(&backend, &taken, clock::steady());
                }
                Err(trouble) => {
                    if !is_failing {
                        log::warn!(target: "caches", backend:% = backend.id, why:? = trouble;
                            "cache events not received");
                    }
                    is_failing = true;
                    feed.record_failure(trouble, rand::random(), clock::steady());
                }
            }
        }
    }

    async fn call(&self, backend: &Backend, feed: &mut Feed, call: Call) -> Result<Taken, Trouble> {
        let address = backend.server.address;
        let (name, taken) = match call {
            Call::List => {
                log::info!(target: "caches", backend:% = backend.id;
                    "cache events were lost, listing the engine's cache");
                let list = self.engines.list(address).await;
                ("list", list.map(|list| feed.accept_list(list, clock::steady())))
            }
            Call::Events(since) => {
                let batch = self.engines.events(address, since).await;
                let taken = batch.map(|batch| {
                    if batch.is_gap {
                        metrics::counter!("node_cache_gaps_total").increment(1);
                    }
                    metrics::counter!("node_cache_events_total")
                        .increment(batch.items.len() as u64);
                    feed.accept_events(&batch, clock::steady())
                });
                ("events", taken)
            }
            Call::Wait(_) => return Ok(Taken::default()),
        };
        let outcome = match &taken {
            Ok(_) => "answered",
            Err(Trouble::Unsupported) => "unsupported",
            Err(Trouble::Busy) => "busy",
            Err(Trouble::Failed) => "failed",
        };
        metrics::counter!("node_cache_calls_total", "call" => name, "outcome" => outcome)
            .increment(1);
        taken
    }

    /// Records what an engine told, and passes on what concerns shared parts.
    fn take(&self, backend: &Backend, taken: &Taken, now: Millis) {
        let shared = self.state.prefixes.record_taken(backend, taken, now);
        let forget = taken.scope == Scope::NewEpoch;
        if forget {
            log::info!(target: "caches", backend:% = backend.id;
                "the engine's cache has begun anew");
            self.notify(CacheNotice { start: backend.start, at: now, forget, parts: Vec::new() });
        }
        for parts in shared.chunks(NOTICE_PARTS_MAX) {
            let parts = parts.to_vec();
            self.notify(CacheNotice { start: backend.start, at: now, forget: false, parts });
        }
    }

    fn notify(&self, notice: CacheNotice) {
        if self.notices.try_send(notice).is_err() {
            metrics::counter!("node_cache_notices_unsent_total").increment(1);
        }
    }
}
