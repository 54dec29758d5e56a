//! Fetches updates of a list from peers, and serves them to peers.

use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use gateway::Codec;
use policy::name::Name;
use policy::revision::Revision;
use policy::time::Millis;
use policy::tree;

use super::{Notice, Watch};
use crate::caches::CachedPart;
use crate::exchange::{self, Availability, Reply};
use crate::record::RolloutState;
use crate::store::{List, Store, Update};

/// Fraction of the time in which changes must be in force that may be spent on finding a peer that
/// gives them. After it the store is asked: a draining server must not get requests for much
/// longer.
const FETCH_TIME_FRACTION: f64 = 0.5;
/// Longest wait for a peer that is about to receive the update itself, in milliseconds; after it
/// another peer is asked.
const SOURCE_TIMEOUT_MS: u64 = 600;
/// Shortest and longest delay before a peer that has nothing yet is asked again. It doubles each
/// time, and the actual delay is a random fraction of it.
const RETRY_DELAY_MIN_MS: u64 = 40;
const RETRY_DELAY_MAX_MS: u64 = 320;
/// Peers that are asked first, in an order on which all hosts agree.
const ASSIGNED_SOURCES_COUNT: usize = 2;
/// After the assigned sources, every third peer that is asked is the one that announced the update.
const ROOT_INTERVAL: u32 = 3;

impl<S: Store, C: Codec> Watch<S, C> {
    /// Fetches the changes behind `after`, at least up to `least` and however long they are, from
    /// peers; if none has them in time, this host reads the store. `root` is the peer that
    /// announced the changes.
    pub(super) async fn fetch_update(
        self: Arc<Self>,
        root: Name,
        list: List,
        after: Revision,
        least: Revision,
    ) {
        let change_ms = self.follower(list).relay().change_ms();
        let until = clock::steady() + (change_ms as f64 * FETCH_TIME_FRACTION) as u64;
        let has_time = || clock::steady() < until;
        let is_accepted = self.fetch_from_peers(&root, list, after, least, has_time).await;
        self.end_fetch(list, is_accepted);
    }

    /// Fetches a whole list from peers, until it has come or it is this host's turn to read it from
    /// the store. `changed` is the revision of the list's newest change that `root` has announced,
    /// and `fresh_at` when that was known to be current.
    pub(super) async fn fetch_first(
        self: Arc<Self>,
        root: Name,
        list: List,
        changed: Revision,
        fresh_at: Millis,
    ) {
        let relay = || self.follower(list).relay();
        let has_time = || {
            relay().defer_first_read(clock::steady());
            relay().may_start_from_peer(fresh_at, clock::steady())
        };
        let is_accepted =
            self.fetch_from_peers(&root, list, Revision::NONE, changed, has_time).await;
        if is_accepted {
            relay().record_start_from_peer(fresh_at);
        }
        self.end_fetch(list, is_accepted);
    }

    /// Ends a fetch. If it brought nothing, this host reads the list from the store.
    fn end_fetch(&self, list: List, is_accepted: bool) {
        let follower = self.follower(list);
        follower.end_fetch();
        if !is_accepted {
            log::info!(target: "watch", list:? = list;
                "no peer gave the update, reading the store");
            follower.relay().force_read();
        }
        follower.wake();
    }

    /// Fetches what this host lacks, at least up to `least`, from the sources assigned to it, then
    /// from any peer that has it. Returns false if no peer gave it while `has_time` was true.
    async fn fetch_from_peers(
        &self,
        root: &Name,
        list: List,
        after: Revision,
        least: Revision,
        has_time: impl Fn() -> bool,
    ) -> bool {
        let alive = self.directory.alive(clock::steady());
        let hosts = alive.iter().map(|(name, class)| (name, *class));
        let first = tree::sources((&self.host, self.class), root, hosts)
            .into_iter()
            .take(ASSIGNED_SOURCES_COUNT);
        // When many hosts have lost their assigned sources, all of them asking `root` would keep it
        // from serving anybody. Other peers have the update by then.
        let fallbacks = (1..).map(|number| match number % ROOT_INTERVAL {
            0 => root.clone(),
            _ => random_host(&alive).unwrap_or(root).clone(),
        });
        let mut sources = first.chain(fallbacks);
        let mut delay_ms = RETRY_DELAY_MIN_MS;
        while has_time() {
            let Some(source) = sources.next() else { break };
            let until = clock::steady() + SOURCE_TIMEOUT_MS;
            while has_time() {
                if after > Revision::NONE && self.follower(list).revision() >= Some(least) {
                    return true;
                }
                match self.request_from(&source, list, after, least).await {
                    Reply::Update(update) => return self.accept_from(&source, list, &update).await,
                    Reply::Later if clock::steady() < until => {}
                    Reply::Later | Reply::Nothing => break,
                }
                tokio::time::sleep(random_delay(&mut delay_ms)).await;
            }
            tokio::time::sleep(random_delay(&mut delay_ms)).await;
        }
        false
    }

    /// Requests an update from a peer. A peer that can't be reached has nothing.
    async fn request_from(
        &self,
        source: &Name,
        list: List,
        after: Revision,
        least: Revision,
    ) -> Reply {
        let Some(address) = self.directory.address(source) else { return Reply::Nothing };
        let reply = exchange::request_update(address, (list, after, least), &self.cache).await;
        let outcome = match &reply {
            Ok(Reply::Update(_)) => "answered",
            Ok(Reply::Later) => "later",
            Ok(Reply::Nothing) => "nothing",
            Err(error) => error.label(),
        };
        metrics::counter!("node_relay_calls_total", "list" => list.name(), "outcome" => outcome)
            .increment(1);
        reply.unwrap_or_else(|error| {
            log::info!(target: "watch", list:? = list, from:% = source, error:% = error;
                "request of an update from a peer failed");
            Reply::Nothing
        })
    }

    async fn accept_from(&self, source: &Name, list: List, update: &Update) -> bool {
        log::info!(target: "watch", list:? = list, from:% = source, revision:% = update.revision,
            count = update.entries.len(), whole = update.is_whole; "update received from a peer");
        let is_accepted = self.accept(list, update);
        self.notify_overrides(source, list, update);
        if is_accepted && update.is_whole && list == List::Operators {
            self.fetch_rollouts(source).await;
        }
        is_accepted
    }

    /// After a whole list has come from a peer that knows of no restore: notifies it of the
    /// overrides that this host has.
    fn notify_overrides(&self, source: &Name, list: List, update: &Update) {
        let has_overrides = self.follower(list).has_overrides();
        let is_known_to_source = !update.is_whole || update.overrides.is_some();
        if let Some(address) = self.directory.address(source)
            && has_overrides
            && !is_known_to_source
        {
            self.notify(Notice::Overrides(list, address));
        }
    }

    /// Fetches the states of roll-outs. Without them an order that was carried out long ago would
    /// look like a new one.
    async fn fetch_rollouts(&self, source: &Name) {
        let Some(address) = self.directory.address(source) else { return };
        match exchange::request_rollouts(address).await {
            Ok(records) => records.into_iter().for_each(|rollout| self.adopt_rollout(rollout)),
            Err(error) => {
                log::warn!(target: "watch", from:% = source, error:% = error;
                    "states of roll-outs not received from a peer, reading the store");
            }
        }
    }
}

impl<S: Store, C: Codec> exchange::Source for Watch<S, C> {
    fn availability(&self, list: List, least: Revision) -> Availability {
        let follower = self.follower(list);
        match follower.revision() {
            Some(revision) if revision >= least => Availability::UpTo(follower.last_change()),
            // This host's own source has the update, or will have it.
            None => Availability::Later,
            Some(_) if follower.is_fetching() => Availability::Later,
            Some(_) => Availability::Nothing,
        }
    }

    fn update_since(&self, list: List, after: Revision) -> Option<Update> {
        self.follower(list).update_since(after, clock::steady())
    }

    fn rollouts(&self) -> Vec<RolloutState> {
        self.catalog.rollout_states(clock::steady())
    }

    fn cached_parts(&self, max: usize) -> Vec<CachedPart> {
        let entries = self.state.prefixes.shared_entries(max, clock::steady()).into_iter();
        let entries = entries.take(max);
        entries
            .map(|(part, start, tokens, age_ms)| CachedPart { part, start, tokens, age_ms })
            .collect()
    }
}

fn random_host(hosts: &[(Name, u8)]) -> Option<&Name> {
    (!hosts.is_empty()).then(|| &hosts[rand::random_range(..hosts.len())].0)
}

/// A random fraction of the delay, which doubles for the next time.
fn random_delay(delay_ms: &mut u64) -> Duration {
    let drawn = Duration::from_millis(*delay_ms).mul_f64(rand::random());
    *delay_ms = (*delay_ms * 2).min(RETRY_DELAY_MAX_MS);
    drawn
}
