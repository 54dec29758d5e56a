//! Messages about the prompt parts that engines have cached, and about the loads of engines of other
//! failure domains.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use gateway::far_loads::FarLoads;
use gateway::{Codec, State};
use policy::prefix;
use policy::prefix::far::Budget;
use policy::report;
use rand::seq::SliceRandom;
use tokio::sync::mpsc;

use super::message::{Entry, FarNotice};
use super::{NOTIFIED_HOSTS_MAX, Peers};
use crate::caches::CacheNotice;
use crate::exchange;
use crate::store::Store;

/// Most notices about engines' caches in one interval.
const CACHE_NOTICES_MAX: usize = 16;
/// Rounds in which a host that starts asks peers for cached parts, and the pause after each.
const CACHED_PARTS_ROUNDS: usize = 2;
const CACHED_PARTS_PAUSE: Duration = Duration::from_secs(2);
/// Cached parts in one answer after which no further peer is asked.
const CACHED_PARTS_ENOUGH: usize = exchange::CACHED_PARTS_MAX / 8;

impl<S: Store, C: Codec> Peers<S, C> {
    /// Passes on what a host of another failure domain has announced, to as many hosts as the budget
    /// allows.
    pub(super) async fn pass_on(&self, notice: FarNotice, budget: &mut Budget) {
        metrics::counter!("node_far_parts_received_total").increment(notice.parts.len() as u64);
        if self.state.placement.load().far {
            let entry = Entry::Far(FarNotice { is_direct: false, ..notice });
            self.send_within(prefix::NOTICE_BYTES_MAX, entry, budget).await;
        }
    }

    /// The same for the loads of engines there.
    pub(super) async fn pass_on_loads(&self, loads: FarLoads, budget: &mut Budget) {
        metrics::counter!("node_far_loads_received_total").increment(1);
        if self.state.placement.load().far_loads {
            let entry = Entry::FarLoads(FarLoads { is_direct: false, ..loads });
            self.send_within(report::far::BYTES_PER_S, entry, budget).await;
        }
    }

    /// Sends an entry to random peers, as many as `max` bytes in a second allow.
    async fn send_within(&self, max: usize, entry: Entry, budget: &mut Budget) {
        let left = *budget;
        let receivers = |bytes, hosts| left.receivers_within(max, bytes, hosts, clock::steady());
        self.send_sampled(vec![entry], receivers, budget).await;
    }

    /// Sends what was heard of engines' caches since the last time. In a large failure domain the
    /// notices go to a random sample of its hosts.
    pub(super) async fn send_cache_notices(
        &self,
        queue: &mut mpsc::Receiver<CacheNotice>,
        budget: &mut Budget,
    ) {
        let queued = std::iter::from_fn(|| queue.try_recv().ok()).take(CACHE_NOTICES_MAX);
        let entries: Vec<Entry> = queued.map(Entry::Cached).collect();
        if entries.is_empty() {
            return;
        }
        let (left, far) = (*budget, self.state.placement.load().far);
        let receivers = |bytes, hosts| match far {
            true => left.receivers(bytes, hosts, clock::steady()).max(1),
            false => prefix::receivers_max(bytes, hosts),
        };
        self.send_sampled(entries, receivers, budget).await;
    }

    /// Sends entries to random peers, as many as `receivers` allows for their length.
    async fn send_sampled(
        &self,
        entries: Vec<Entry>,
        receivers: impl FnOnce(usize, usize) -> usize,
        budget: &mut Budget,
    ) {
        let bytes = serde_json::to_vec(&entries).map_or(0, |bytes| bytes.len());
        let mut addresses = self.addresses();
        addresses.shuffle(&mut rand::rng());
        addresses.truncate(receivers(bytes, addresses.len()));
        budget.record(bytes, addresses.len(), clock::steady());
        self.send(addresses, entries).await;
    }

    /// Asks peers for their index of cached parts, so that this host need not learn it anew.
    pub(super) fn request_cached_parts(&self) {
        if self.state.prefixes.is_on() {
            let mut from = self.addresses();
            from.shuffle(&mut rand::rng());
            from.truncate(NOTIFIED_HOSTS_MAX);
            tokio::spawn(take_cached_parts(Arc::clone(&self.state), from));
        }
    }
}

/// Takes the index of cached parts from peers, one after another until one of them has sent enough.
/// Peers that have restarted together with this host have no index yet. A second round finds those
/// that got it in the first one.
async fn take_cached_parts<C: Codec>(state: Arc<State<C>>, from: Vec<SocketAddr>) {
    for _ in 0..CACHED_PARTS_ROUNDS {
        for from in &from {
            match exchange::request_cached_parts(*from).await {
                Ok(parts) => {
                    log::info!(target: "caches", from:% = from, count = parts.len();
                        "cached parts received from a peer");
                    for cached in parts.iter().take(exchange::CACHED_PARTS_MAX) {
                        let part = [(cached.part, cached.tokens)];
                        let now = clock::steady();
                        state.prefixes.record_heard(cached.start, &part, cached.age_ms, now);
                    }
                    if parts.len() >= CACHED_PARTS_ENOUGH {
                        return;
                    }
                }
                Err(error) => log::info!(target: "caches", from:% = from, error:% = error;
                    "cached parts not received from a peer"),
            }
        }
        tokio::time::sleep(CACHED_PARTS_PAUSE).await;
    }
}
