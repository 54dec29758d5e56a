//! News of a list as hosts of a failure domain take them from each other.

use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use gateway::Codec;
use policy::name::Name;
use policy::revision::Revision;
use policy::time::Millis;
use policy::tree;

use super::{Notice, Watch};
use crate::exchange::{self, Availability, Reply};
use crate::record::RolloutState;
use crate::store::{List, Store, Update};

/// Part of the time in which changes must be in force that is left for finding a host that gives them.
/// Past it the store is asked: work must not go to a leaving server for much longer.
const FETCH_TIME_FRACTION: f64 = 0.5;
/// Longest wait for a host that is being given the news itself, in milliseconds. Another one is asked
/// then.
const SOURCE_TIMEOUT_MS: u64 = 600;
/// Pause before a host that has nothing yet is asked again, first and longest; a part of it is drawn.
const RETRY_DELAY_MIN_MS: u64 = 40;
const RETRY_DELAY_MAX_MS: u64 = 320;
/// Hosts asked first, in the order that all hosts agree on.
const ASSIGNED_SOURCES_COUNT: usize = 2;
/// Of the hosts asked behind those one in so many is the one that announced the news.
const ROOT_INTERVAL: u32 = 3;

impl<S: Store, C: Codec> Watch<S, C> {
    /// Takes changes behind a revision, at `least` up to another one and however long they are, from
    /// the hosts that have them, or asks the store. `root` has announced them.
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

    /// Takes all of a list from other hosts, until it is had or this host's turn has come to read it
    /// from the store. `changed` is the list's newest change, as the other one announced, and `fresh`
    /// when nothing newer was there.
    pub(super) async fn fetch_first(
        self: Arc<Self>,
        root: Name,
        list: List,
        changed: Revision,
        fresh_at: Millis,
    ) {
        let relay = || self.follower(list).relay();
        let has_time = || {
            relay().taking(clock::steady());
            relay().may_take(fresh_at, clock::steady())
        };
        let is_accepted =
            self.fetch_from_peers(&root, list, Revision::NONE, changed, has_time).await;
        if is_accepted {
            relay().took(fresh_at);
        }
        self.end_fetch(list, is_accepted);
    }

    /// What another host has was taken, or is to be had from the store.
    fn end_fetch(&self, list: List, is_accepted: bool) {
        let follower = self.follower(list);
        follower.end_fetch();
        if !is_accepted {
            log::info!(target: "watch", list:? = list; "news not had from peers");
            follower.relay().force();
        }
        follower.wake();
    }

    /// Takes what this host lacks from one of those whose turn it is to give it, or else from any that
    /// has it; false if nobody gave it, at `least` up to a revision, while this host waits.
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
        // When those are lost to many hosts, all asking the one that announced the news would keep it from
        // giving them to anybody. Others have them by then.
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

    /// What another host has to give; nothing if it can't be reached.
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
                "news not given by a peer");
            Reply::Nothing
        })
    }

    async fn accept_from(&self, source: &Name, list: List, update: &Update) -> bool {
        log::info!(target: "watch", list:? = list, from:% = source, revision:% = update.revision,
            count = update.entries.len(), whole = update.is_whole; "news taken from a peer");
        let is_accepted = self.accept(list, update);
        self.notify_overrides(source, list, update);
        if is_accepted && update.is_whole && list == List::Operators {
            self.fetch_rollouts(source).await;
        }
        is_accepted
    }

    /// Tells the host that gave all of a list that this one knows of something which the store may have lost, and which
    /// that host has never heard of.
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

    /// Takes over how roll-outs stand. Without that an order that was carried out long ago would
    /// look like one that has just come.
    async fn fetch_rollouts(&self, source: &Name) {
        let Some(address) = self.directory.address(source) else { return };
        match exchange::request_rollouts(address).await {
            Ok(records) => records.into_iter().for_each(|rollout| self.adopt_rollout(rollout)),
            Err(error) => {
                log::warn!(target: "watch", from:% = source, error:% = error;
                    "no roll-outs from a peer, the store is asked");
            }
        }
    }
}

impl<S: Store, C: Codec> exchange::Source for Watch<S, C> {
    fn availability(&self, list: List, least: Revision) -> Availability {
        let follower = self.follower(list);
        match follower.revision() {
            Some(revision) if revision >= least => Availability::UpTo(follower.last_change()),
            // Its own source has it, or will have.
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
}

fn random_host(hosts: &[(Name, u8)]) -> Option<&Name> {
    (!hosts.is_empty()).then(|| &hosts[rand::random_range(..hosts.len())].0)
}

/// A part of the pause; the next one is longer.
fn random_delay(delay_ms: &mut u64) -> Duration {
    let drawn = Duration::from_millis(*delay_ms).mul_f64(rand::random());
    *delay_ms = (*delay_ms * 2).min(RETRY_DELAY_MAX_MS);
    drawn
}
