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
use crate::exchange::{self, Given, Holds};
use crate::record::Snapshot;
use crate::store::{List, News, Store};

/// Part of the time in which changes must be in force that is left for finding a host that gives them.
/// Past it the store is asked: work must not go to a leaving server for much longer.
const FIND_PART: f64 = 0.5;
/// Longest wait for a host that is being given the news itself, in milliseconds. Another one is asked
/// then.
const PATIENCE_MS: u64 = 600;
/// Pause before a host that has nothing yet is asked again, first and longest; a part of it is drawn.
const PAUSE_MS: u64 = 40;
const PAUSE_MAX_MS: u64 = 320;
/// Hosts asked first, in the order that all hosts agree on.
const OWN_SOURCES: usize = 2;
/// Of the hosts asked behind those one in so many is the one that announced the news.
const OTHERS_BETWEEN: u32 = 3;

impl<S: Store, C: Codec> Watch<S, C> {
    /// Takes changes behind a revision, at `least` up to another one and however long they are, from
    /// the hosts that have them, or asks the store. `root` has announced them.
    pub(super) async fn catch_up(
        self: Arc<Self>,
        root: Name,
        list: List,
        after: Revision,
        least: Revision,
    ) {
        let change_ms = self.follow(list).relay().change_ms();
        let until = clock::steady() + (change_ms as f64 * FIND_PART) as u64;
        let waits = || clock::steady() < until;
        let is_taken = self.take_from_others(&root, list, after, least, waits).await;
        self.end_taking(list, is_taken);
    }

    /// Takes all of a list from other hosts, until it is had or this host's turn has come to read it
    /// from the store. `changed` is the list's newest change, as the other one announced, and `fresh`
    /// when nothing newer was there.
    pub(super) async fn take_first(
        self: Arc<Self>,
        root: Name,
        list: List,
        changed: Revision,
        fresh: Millis,
    ) {
        let relay = || self.follow(list).relay();
        let waits = || {
            relay().defer_first_read(clock::steady());
            relay().may_start_from_peer(fresh, clock::steady())
        };
        let is_taken = self.take_from_others(&root, list, Revision::NONE, changed, waits).await;
        if is_taken {
            relay().record_start_from_peer(fresh);
        }
        self.end_taking(list, is_taken);
    }

    /// What another host has was taken, or is to be had from the store.
    fn end_taking(&self, list: List, is_taken: bool) {
        let follow = self.follow(list);
        follow.end_taking();
        if !is_taken {
            log::info!(target: "watch", list:? = list; "news not had from peers");
            follow.relay().force_read();
        }
        follow.wake();
    }

    /// Takes what this host lacks from one of those whose turn it is to give it, or else from any that
    /// has it; false if nobody gave it, at `least` up to a revision, while this host waits.
    async fn take_from_others(
        &self,
        root: &Name,
        list: List,
        after: Revision,
        least: Revision,
        waits: impl Fn() -> bool,
    ) -> bool {
        let alive = self.directory.alive(clock::steady());
        let hosts = alive.iter().map(|(name, class)| (name, *class));
        let first =
            tree::sources((&self.host, self.class), root, hosts).into_iter().take(OWN_SOURCES);
        // When those are lost to many hosts, all asking the one that announced the news would keep it from
        // giving them to anybody. Others have them by then.
        let others = (1..).map(|number| match number % OTHERS_BETWEEN {
            0 => root.clone(),
            _ => any(&alive).unwrap_or(root).clone(),
        });
        let mut sources = first.chain(others);
        let mut pause_ms = PAUSE_MS;
        while waits() {
            let Some(source) = sources.next() else { break };
            let until = clock::steady() + PATIENCE_MS;
            while waits() {
                if after > Revision::NONE && self.follow(list).revision() >= Some(least) {
                    return true;
                }
                match self.ask(&source, list, after, least).await {
                    Given::News(news) => return self.take_given(&source, list, &news).await,
                    Given::Later if clock::steady() < until => {}
                    Given::Later | Given::Nothing => break,
                }
                tokio::time::sleep(drawn(&mut pause_ms)).await;
            }
            tokio::time::sleep(drawn(&mut pause_ms)).await;
        }
        false
    }

    /// What another host has to give; nothing if it can't be reached.
    async fn ask(&self, source: &Name, list: List, after: Revision, least: Revision) -> Given {
        let Some(address) = self.directory.address(source) else { return Given::Nothing };
        let given = exchange::ask(address, (list, after, least), &self.shelf).await;
        let outcome = match &given {
            Ok(Given::News(_)) => "answered",
            Ok(Given::Later) => "later",
            Ok(Given::Nothing) => "nothing",
            Err(error) => error.label(),
        };
        metrics::counter!("node_relay_calls_total", "list" => list.name(), "outcome" => outcome)
            .increment(1);
        given.unwrap_or_else(|error| {
            log::info!(target: "watch", list:? = list, from:% = source, error:% = error;
                "news not given by a peer");
            Given::Nothing
        })
    }

    async fn take_given(&self, source: &Name, list: List, news: &News) -> bool {
        log::info!(target: "watch", list:? = list, from:% = source, revision:% = news.revision,
            count = news.entries.len(), whole = news.is_whole; "news taken from a peer");
        let is_taken = self.take(list, news);
        self.tell_doubts(source, list, news);
        if is_taken && news.is_whole && list == List::Operators {
            self.take_records(source).await;
        }
        is_taken
    }

    /// Tells the host that gave all of a list that this one knows of something which the store may have lost, and which
    /// that host has never heard of.
    fn tell_doubts(&self, source: &Name, list: List, news: &News) {
        let is_doubted = self.follow(list).is_doubting();
        let is_told = !news.is_whole || news.doubts.is_some();
        if let Some(address) = self.directory.address(source)
            && is_doubted
            && !is_told
        {
            self.notify(Notice::Doubts(list, address));
        }
    }

    /// Takes over how roll-outs stand. Without that an order that was carried out long ago would
    /// look like one that has just come.
    async fn take_records(&self, source: &Name) {
        let Some(address) = self.directory.address(source) else { return };
        match exchange::ask_records(address).await {
            Ok(records) => records.into_iter().for_each(|snapshot| self.adopt(snapshot)),
            Err(error) => {
                log::warn!(target: "watch", from:% = source, error:% = error;
                    "no roll-outs from a peer, the store is asked");
            }
        }
    }
}

impl<S: Store, C: Codec> exchange::Source for Watch<S, C> {
    fn holds(&self, list: List, least: Revision) -> Holds {
        let follow = self.follow(list);
        match follow.revision() {
            Some(revision) if revision >= least => Holds::Up(follow.changed()),
            // Its own source has it, or will have.
            None => Holds::Later,
            Some(_) if follow.is_taking() => Holds::Later,
            Some(_) => Holds::Nothing,
        }
    }

    fn news(&self, list: List, after: Revision) -> Option<News> {
        self.follow(list).behind(after, clock::steady())
    }

    fn records(&self) -> Vec<Snapshot> {
        self.catalog.records(clock::steady())
    }
}

fn any(hosts: &[(Name, u8)]) -> Option<&Name> {
    (!hosts.is_empty()).then(|| &hosts[rand::random_range(..hosts.len())].0)
}

/// A part of the pause; the next one is longer.
fn drawn(pause_ms: &mut u64) -> Duration {
    let drawn = Duration::from_millis(*pause_ms).mul_f64(rand::random());
    *pause_ms = (*pause_ms * 2).min(PAUSE_MAX_MS);
    drawn
}
