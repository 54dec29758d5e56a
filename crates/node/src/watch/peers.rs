//! What hosts of a failure domain tell each other of the lists, and take from each other.

use std::sync::Arc;

use entry::clock;
use gateway::Codec;
use policy::name::Name;
use policy::revision::Revision;

use super::{DRIFT_MS, Watch};
use crate::follow::{Changes, Position};
use crate::record::Snapshot;
use crate::store::{List, News, Store};

impl<S: Store, C: Codec> Watch<S, C> {
    /// Another host reads a change of a list that is too long to be passed on.
    pub fn incoming(&self, peer: &Name, list: List) {
        let follow = self.follow(list);
        if !follow.is_incoming() {
            follow.relay().record_long_change(peer, clock::steady());
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
                base:% = record.base, stage:? = record.stage, row:% = snapshot.version,
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
    pub fn met(&self, peer: &Name, class: u8) {
        for follow in self.follows.iter() {
            follow.relay().record_peer_class(peer, class, clock::steady());
        }
    }

    /// Another host says how new its state of a list is; what this one lacks is had from there.
    pub fn hear_position(self: &Arc<Self>, peer: &Name, position: Position) {
        let follow = self.follow(position.list);
        let now = clock::steady();
        follow.relay().record_peer_read(peer, now - position.age_ms, now);
        follow.note_bytes(position.bytes, false);
        self.reached(position.list, now - position.age_ms);
        if follow.revision().is_some_and(|own| own < position.changed) {
            follow.note_missing(position.changed, peer, now);
        }
        match (follow.revision(), &position.changes) {
            (Some(own), Some(Changes { after, news }))
                if own < position.changed && *after <= own =>
            {
                log::info!(target: "watch", list:? = position.list, from:% = peer, after:% = own,
                    revision:% = news.revision, count = news.entries.len(); "news sent by a peer");
                if !self.take(position.list, news) {
                    follow.relay().force_read();
                }
                follow.wake();
            }
            // This host is being sent it, or something newer.
            (Some(own), None) if own < position.changed && follow.is_incoming() => {}
            (Some(own), _) if own < position.changed => {
                if follow.begin_taking() {
                    let (list, changed) = (position.list, position.changed);
                    tokio::spawn(Arc::clone(self).catch_up(peer.clone(), list, own, changed));
                }
            }
            (Some(_), _) => {
                let nothing = News { revision: position.revision, ..News::default() };
                follow.taken(&nothing, now);
                follow.wake();
            }
            (None, _) if follow.relay().may_start_from_peer(now - position.age_ms, now) => {
                if follow.begin_taking() {
                    let (list, changed) = (position.list, position.changed);
                    let fresh = now - position.age_ms;
                    tokio::spawn(Arc::clone(self).take_first(peer.clone(), list, changed, fresh));
                }
            }
            (None, _) => follow.wake(),
        }
    }

    /// Another host holds on to something that the store may have lost with its return from a copy. If this host started
    /// behind that, it has taken what the store says, and takes the other's list in its place.
    pub fn hear_doubts(self: &Arc<Self>, peer: &Name, list: List, revision: Revision) {
        let follow = self.follow(list);
        let own = follow.revision().filter(|own| own.era == revision.era && *own < revision);
        if let Some(own) = own
            && follow.begin_taking()
        {
            tokio::spawn(Arc::clone(self).catch_up(peer.clone(), list, own, revision));
        }
    }

    /// Takes over the lists that this host could not read, from another one of its failure domain.
    ///
    /// A host that starts while the store is away would refuse every caller until it is back, with
    /// neighbours beside it that serve theirs by what they have read.
    pub fn take_over(self: &Arc<Self>, peer: &Name) {
        for list in List::ALL {
            let follow = self.follow(list);
            if follow.is_wanting() && follow.begin_taking() {
                let nothing = Revision::NONE;
                tokio::spawn(Arc::clone(self).catch_up(peer.clone(), list, nothing, nothing));
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
}
