//! Handles what peers say about the lists and roll-outs.

use std::sync::Arc;

use entry::clock;
use gateway::Codec;
use policy::name::Name;
use policy::revision::Revision;

use super::{CLOCK_DRIFT_MAX_MS, Watch};
use crate::follow::{Changes, Position};
use crate::record::RolloutState;
use crate::store::{List, Store, Update};

impl<S: Store, C: Codec> Watch<S, C> {
    /// A peer is reading a change that is too long to be passed on, so this host reads it from the
    /// store as well.
    pub fn accept_incoming(&self, peer: &Name, list: List) {
        let follower = self.follower(list);
        if !follower.is_incoming() {
            follower.relay().record_long_change(peer, clock::steady());
            follower.wake();
        }
    }

    /// Takes over the state of a roll-out unless it is known already.
    pub fn adopt_rollout(&self, rollout: RolloutState) {
        let now = clock::steady();
        let Some(before) = self.catalog.rollout(&rollout.service) else { return };
        let is_new = before.record.as_ref() != Some(&rollout.record);
        let started_at = now - rollout.age_ms;
        let drift_ms = started_at.since(before.started_at).max(before.started_at.since(started_at));
        if (!is_new && drift_ms <= CLOCK_DRIFT_MAX_MS) || !self.catalog.accept_record(&rollout, now)
        {
            return;
        }
        if is_new {
            let record = &rollout.record;
            log::info!(target: "rollout", service:% = rollout.service, version:% = record.target,
                base:% = record.base, stage:? = record.stage, row:% = rollout.version,
                since_ms = rollout.age_ms; "state of the roll-out changed");
        }
        self.publish();
    }

    /// Positions of the lists that this host reads for its peers.
    #[must_use]
    pub fn positions(&self) -> Vec<Position> {
        let now = clock::steady();
        self.followers.iter().filter_map(|follower| follower.position(now)).collect()
    }

    /// Records that a peer is alive.
    pub fn record_peer(&self, peer: &Name, class: u8) {
        for follower in self.followers.iter() {
            follower.relay().record_peer_class(peer, class, clock::steady());
        }
    }

    /// Handles a peer's position in a list. If this host lacks something, it applies the changes
    /// that came along or fetches the update from the peer.
    pub fn accept_position(self: &Arc<Self>, peer: &Name, position: Position) {
        let follower = self.follower(position.list);
        let now = clock::steady();
        follower.relay().record_peer_read(peer, now - position.age_ms, now);
        follower.record_bytes(position.bytes, false);
        follower.record_announced(now - position.age_ms);
        self.publish_currency();
        self.record_contact(position.list, now - position.age_ms);
        if follower.revision().is_some_and(|own| own < position.changed) {
            follower.record_missing(position.changed, peer, now);
        }
        match (follower.revision(), &position.changes) {
            (Some(own), Some(Changes { after, update }))
                if own < position.changed && *after <= own =>
            {
                log::info!(target: "watch", list:? = position.list, from:% = peer, after:% = own,
                    revision:% = update.revision, count = update.entries.len();
                    "changes received from a peer");
                if !self.accept(position.list, update) {
                    follower.relay().force_read();
                }
                follower.wake();
            }
            // The store is sending this host the change, or a newer one.
            (Some(own), None) if own < position.changed && follower.is_incoming() => {}
            (Some(own), _) if own < position.changed => {
                if follower.begin_fetch() {
                    let (list, changed) = (position.list, position.changed);
                    tokio::spawn(Arc::clone(self).fetch_update(peer.clone(), list, own, changed));
                }
            }
            (Some(_), _) => {
                let nothing = Update { revision: position.revision, ..Update::default() };
                follower.record_accepted(&nothing, now);
                follower.wake();
            }
            (None, _) if follower.relay().may_start_from_peer(now - position.age_ms, now) => {
                if follower.begin_fetch() {
                    let (list, changed) = (position.list, position.changed);
                    let fresh_at = now - position.age_ms;
                    tokio::spawn(Arc::clone(self).fetch_first(
                        peer.clone(),
                        list,
                        changed,
                        fresh_at,
                    ));
                }
            }
            (None, _) => follower.wake(),
        }
    }

    /// A peer overrides entries that the store may have lost when it was restored from a copy. If
    /// this host was started after the restore, it has what the store says, and fetches the peer's
    /// list in its place.
    pub fn fetch_overrides(self: &Arc<Self>, peer: &Name, list: List, revision: Revision) {
        let follower = self.follower(list);
        let own = follower.revision().filter(|own| own.era == revision.era && *own < revision);
        if let Some(own) = own
            && follower.begin_fetch()
        {
            tokio::spawn(Arc::clone(self).fetch_update(peer.clone(), list, own, revision));
        }
    }

    /// Fetches the lists that this host could not read from a peer that has sent a message.
    ///
    /// Without this, a host that starts while the store is away would reject all requests until the
    /// store is back, although its neighbours serve theirs by what they have read before.
    pub fn adopt_lists(self: &Arc<Self>, peer: &Name) {
        for list in List::ALL {
            let follower = self.follower(list);
            if follower.accepts_any_peer() && follower.begin_fetch() {
                let nothing = Revision::NONE;
                tokio::spawn(Arc::clone(self).fetch_update(peer.clone(), list, nothing, nothing));
            }
        }
    }

    /// Fetches a change that this host has heard of and could not read from the store, however long
    /// it is.
    ///
    /// Usually each host reads long changes from the store itself. A host that can't reach the
    /// store would serve by the old routing table for as long as that lasts.
    pub(super) fn fetch_missing(self: &Arc<Self>, list: List) {
        let follower = self.follower(list);
        if let (Some(own), Some(from)) = (follower.revision(), follower.missing_update_source())
            && follower.begin_fetch()
        {
            tokio::spawn(Arc::clone(self).fetch_update(from, list, own, own));
        }
    }
}
