//! What hosts of a failure domain tell each other of the lists, and take from each other.

use std::net::SocketAddr;
use std::sync::Arc;

use entry::clock;
use gateway::Codec;
use policy::name::Name;

use super::{DRIFT_MS, Watch};
use crate::exchange;
use crate::follow::{Changes, Position};
use crate::record::Snapshot;
use crate::store::{Entry, Fact, List, News, Store};

/// A table with more routes and keys than this is had from the store by each host: its link is
/// wider than a host's.
const RELAYED_MAX: usize = 250;

impl<S: Store, C: Codec> Watch<S, C> {
    /// Another host reads a change of a list that is too long to be passed on.
    pub fn incoming(&self, peer: &Name, list: List) {
        let follow = self.follow(list);
        if !follow.is_incoming() {
            follow.relay().incoming(peer, clock::steady());
            follow.wake();
        }
    }

    /// Takes over how a roll-out stands, unless it is known.
    pub fn adopt(&self, snapshot: Snapshot) {
        let now = clock::steady();
        let Some(before) = self.catalog.rollout(&snapshot.service) else { return };
        let is_news = before.record.as_ref() != Some(&snapshot.record);
        let began = now - snapshot.age_ms;
        let parted_ms = began.since(before.began).max(before.began.since(began));
        if (!is_news && parted_ms <= DRIFT_MS) || !self.catalog.set_record(&snapshot, now) {
            return;
        }
        if is_news {
            let record = &snapshot.record;
            log::info!(target: "rollout", service:% = snapshot.service, version:% = record.target,
                base:% = record.base, stage:? = record.stage, row = snapshot.version,
                since_ms = snapshot.age_ms; "roll-out stands");
        }
        self.publish();
    }

    /// What this host tells the others of the lists that it reads.
    #[must_use]
    pub fn positions(&self) -> Vec<Position> {
        let now = clock::steady();
        self.follows.iter().filter_map(|follow| follow.position(now)).collect()
    }

    /// Another host of the failure domain is there.
    pub fn met(&self, peer: &Name) {
        for follow in self.follows.iter() {
            follow.relay().met(peer, clock::steady());
        }
    }

    /// Another host says how new its state of a list is; what this one lacks is had from there.
    pub fn hear_position(self: &Arc<Self>, peer: &Name, from: SocketAddr, position: Position) {
        let follow = self.follow(position.list);
        let now = clock::steady();
        follow.relay().heard(peer, now - position.age_ms, now);
        follow.note_bytes(position.bytes, false);
        self.reached(position.list, now - position.age_ms);
        if follow.revision().is_some_and(|own| own < position.changed) {
            follow.note_missing(position.changed, from, now);
        }
        match (follow.revision(), &position.changes) {
            (Some(own), Some(Changes { after, news }))
                if own < position.changed && *after <= own =>
            {
                log::info!(target: "watch", list:? = position.list, from:% = from, after = own,
                    revision = news.revision, count = news.entries.len(); "news sent by a peer");
                if !self.take(position.list, news) {
                    follow.relay().force();
                }
                follow.wake();
            }
            // This host is being sent it, or something newer.
            (Some(own), None) if own < position.changed && follow.is_incoming() => {}
            (Some(own), _) if own < position.changed => {
                if follow.begin_taking() {
                    let (list, changed) = (position.list, position.changed);
                    tokio::spawn(Arc::clone(self).catch_up(from, list, own, changed));
                }
            }
            (Some(_), _) => {
                let nothing = News { revision: position.revision, ..News::default() };
                follow.taken(&nothing, now);
                follow.wake();
            }
            (None, _) if follow.relay().may_take(now - position.age_ms, now) => {
                if follow.begin_taking() {
                    let (list, changed) = (position.list, position.changed);
                    let fresh = now - position.age_ms;
                    tokio::spawn(Arc::clone(self).take_first(from, list, changed, fresh));
                }
            }
            (None, _) => follow.wake(),
        }
    }

    /// Takes over the lists that this host could not read, from another one of its failure domain.
    ///
    /// A host that starts while the store is away would refuse every caller until it is back, with
    /// neighbours beside it that serve theirs by what they have read.
    pub fn take_over(self: &Arc<Self>, from: SocketAddr) {
        for list in List::ALL {
            let follow = self.follow(list);
            if follow.is_wanting() && follow.begin_taking() {
                tokio::spawn(Arc::clone(self).catch_up(from, list, 0, 0));
            }
        }
    }

    /// Takes a change that this host has heard of and could not read, however long it is.
    ///
    /// Long changes are read from the store by each host for itself; one that can't reach it would
    /// serve by the table before for as long as that lasts.
    pub(super) fn take_without_the_store(self: &Arc<Self>, list: List) {
        let follow = self.follow(list);
        if let (Some(own), Some(from)) = (follow.revision(), follow.missing_source())
            && follow.begin_taking()
        {
            tokio::spawn(Arc::clone(self).catch_up(from, list, own, own));
        }
    }

    /// Takes what another host has behind a revision, at `least` up to another one.
    async fn catch_up(self: Arc<Self>, from: SocketAddr, list: List, after: u64, least: u64) {
        let follow = self.follow(list);
        let answer = exchange::ask(from, list, after).await;
        // Too long for one message. The store's price is each call's, and a table that changes ten
        // times in a few seconds was read by each of hundreds of hosts each time. One so long that
        // passed on it would be late is announced, and read by all at once.
        if answer == Ok(None) {
            return self.take_long(from, list, after, least).await;
        }
        follow.end_taking();
        let outcome = match &answer {
            Ok(Some(_)) => "answered",
            Ok(None) => "sent_on",
            Err(error) => error.label(),
        };
        metrics::counter!("node_relay_calls_total", "list" => list.name(), "outcome" => outcome)
            .increment(1);
        match answer {
            Ok(Some(news)) => {
                log::info!(target: "watch", list:? = list, from:% = from, after,
                    revision = news.revision, count = news.entries.len(); "news taken from a peer");
                if !self.take(list, &news) {
                    follow.relay().force();
                }
                if news.is_whole && list == List::Operators {
                    self.take_records(from).await;
                }
            }
            Ok(None) => follow.relay().force(),
            Err(error) => {
                log::warn!(target: "watch", list:? = list, from:% = from, error:% = error;
                    "no news from a peer, the store is asked");
                follow.relay().force();
            }
        }
        follow.wake();
    }

    /// Takes over how roll-outs stand. Without that an order that was carried out long ago would
    /// look like one that has just come.
    pub(super) async fn take_records(&self, from: SocketAddr) {
        match exchange::ask_records(from).await {
            Ok(records) => records.into_iter().for_each(|snapshot| self.adopt(snapshot)),
            Err(error) => {
                log::warn!(target: "watch", from:% = from, error:% = error;
                    "no roll-outs from a peer, the store is asked");
            }
        }
    }
}

/// Whether a list's changes are small enough to be had from another host.
fn is_small(news: &News) -> bool {
    let weight = |entry: &Entry| match &entry.fact {
        Fact::Table(table) => table.routes.len() + table.accounts.len(),
        Fact::Edit(edit) => edit.len(),
        _ => 1,
    };
    news.entries.iter().map(weight).sum::<usize>() <= RELAYED_MAX
}

impl<S: Store, C: Codec> exchange::Source for Watch<S, C> {
    fn news(&self, list: List, after: u64) -> Option<News> {
        self.follow(list).behind(after).filter(is_small)
    }

    fn all_news(&self, list: List, after: u64) -> Option<News> {
        self.follow(list).behind(after)
    }

    fn records(&self) -> Vec<Snapshot> {
        self.catalog.records(clock::steady())
    }
}
