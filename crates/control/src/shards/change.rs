//! Changes of hands: another deputy, takeover, hand-over. Each is one swap of the row.

use std::sync::atomic::Ordering;

use coordination::home::rank;
use coordination::owner::Owner;
use policy::name::Name;
use wire::shard::{Append, AppendReply, Holder};

use crate::node::now;
use crate::shards::Inner;
use crate::shards::cell::Cell;
use crate::shards::table::{Swap, Versioned};

/// A deputy loaded for the next epoch; its name is empty if there is none.
pub struct Loaded {
    /// Who.
    pub deputy: Name,
    /// The load.
    pub whole: Append,
}

impl Inner {
    /// Controls that can be deputy, best first: alive, and of the shard's failure domain before
    /// others. A deputy elsewhere is better than none: keys then go on without the platform.
    pub fn candidates(&self, cell: &Cell, without: &str) -> Vec<Name> {
        let alive = self.node.peers.alive(now());
        let hosts: Vec<_> = alive.iter().map(|peer| peer.host.clone()).collect();
        let mut ranked = rank(&cell.home.row_key(), &hosts);
        let far = |host: &Name| {
            let peer = alive.iter().find(|peer| peer.host == *host);
            peer.is_none_or(|peer| peer.failure_domain != cell.home.failure_domain)
        };
        ranked.sort_by_key(far);
        let found = ranked.iter().filter_map(|host| alive.iter().find(|p| p.host == *host));
        found.map(|p| p.incarnation.clone()).filter(|name| **name != *without).collect()
    }

    /// Loads all records into a deputy for the next epoch, before the row names it: grants made
    /// in between would rest on a deputy that does not have them.
    ///
    /// If none of the candidates takes the load it goes to the object store, if `or_alone`.
    pub async fn load(
        &self,
        cell: &Cell,
        whole: Append,
        candidates: Vec<Name>,
        or_alone: bool,
    ) -> Option<Loaded> {
        for deputy in candidates {
            match self.send(&deputy, &whole).await {
                Some(AppendReply::Up { to }) if to == whole.first => {
                    return Some(Loaded { deputy, whole });
                }
                _ => {}
            }
        }
        let stored = or_alone && self.store_whole(cell, &whole).await;
        stored.then(|| Loaded { deputy: Name::default(), whole })
    }

    /// Swaps a deputy that does not answer for another. While this is under way nothing is sent
    /// to the old one, so no grant rests on it after the new one was loaded.
    pub async fn replace_deputy(&self, cell: &Cell, candidates: Vec<Name>, or_alone: bool) -> bool {
        let Ok(row) = self.table.read(&cell.home).await else { return false };
        self.observe(cell, &row.holder);
        let closed_until_ms = match cell.lock().owner() {
            Some(owner) if owner.epoch == row.holder.epoch => owner.closed_until.0,
            _ => return false,
        };
        let whole = cell.lock().full_load(&cell.home, &self.node.incarnation);
        let Some(whole) = whole else { return false };
        let loaded = self.load(cell, whole, candidates, or_alone).await;
        let Some(Loaded { deputy, whole }) = loaded else { return false };
        let owner = self.node.incarnation.clone();
        let holder = Holder { epoch: whole.epoch, owner, deputy: deputy.clone(), closed_until_ms };
        match self.table.swap(&cell.home, row.version, &holder).await {
            Swap::Done => {
                log::info!("shards: {}: deputy is now '{deputy}'", cell.home.row_key());
                if let Some(owner) = cell.lock().owner() {
                    owner.set_deputy(whole.epoch, deputy, whole.first);
                }
                cell.wake();
                true
            }
            Swap::Beaten(row) => {
                self.observe(cell, &row.holder);
                false
            }
            Swap::Refused => false,
        }
    }

    /// As deputy: fence, then swap, then serve.
    pub async fn take_over(&self, cell: &Cell) {
        let Ok(row) = self.table.read(&cell.home).await else { return };
        let named = row.holder.deputy == self.node.incarnation;
        if !named || !cell.lock().fence(&row.holder) {
            self.observe(cell, &row.holder);
            return;
        }
        let whole = cell.lock().full_load(&cell.home, &self.node.incarnation);
        let candidates = self.candidates(cell, &row.holder.owner);
        let loaded = match whole {
            Some(whole) => self.load(cell, whole, candidates, true).await,
            None => None,
        };
        let Some(loaded) = loaded else {
            // Nothing was swapped, so the owner may go on.
            cell.lock().unfence();
            return;
        };
        let holder = Holder {
            epoch: loaded.whole.epoch,
            owner: self.node.incarnation.clone(),
            deputy: loaded.deputy,
            closed_until_ms: row.holder.closed_until_ms,
        };
        match self.table.swap(&cell.home, row.version, &holder).await {
            Swap::Done => self.observe(cell, &holder),
            Swap::Beaten(row) => self.observe(cell, &row.holder),
            Swap::Refused => cell.lock().unfence(),
        }
    }

    /// As owner: the deputy becomes owner, and this one its deputy, or nothing if it is leaving.
    pub async fn hand_over(&self, cell: &Cell) {
        let Ok(row) = self.table.read(&cell.home).await else { return };
        let to = {
            let mut shard = cell.lock();
            match shard.owner() {
                Some(owner) if owner.epoch == row.holder.epoch => owner.is_leaving = true,
                _ => return,
            }
            row.holder.deputy.clone()
        };
        // Without a deputy all is in the object store, and the next to start reads it there.
        if to.is_empty() {
            return;
        }
        self.save(cell).await;
        let swapped = self.swap_owner(cell, &row, to).await;
        if let Some(owner) = cell.lock().owner() {
            owner.is_leaving = swapped && owner.is_leaving;
        }
        cell.wake();
    }

    async fn swap_owner(&self, cell: &Cell, row: &Versioned, to: Name) -> bool {
        // `save` may have replaced the deputy; then the next tick decides anew.
        let ready = |owner: &mut Owner| owner.epoch == row.holder.epoch && owner.is_replicated();
        if !cell.lock().owner().is_some_and(ready) {
            return false;
        }
        let deputy = match self.leaving.load(Ordering::Relaxed) {
            true => Name::default(),
            false => self.node.incarnation.clone(),
        };
        let holder =
            Holder { epoch: row.holder.epoch + 1, owner: to.clone(), deputy, ..row.holder.clone() };
        match self.table.swap(&cell.home, row.version, &holder).await {
            Swap::Done => {
                cell.lock().hand_over(holder.epoch, to.clone());
                self.tell(cell, &to).await;
                true
            }
            Swap::Beaten(row) => {
                self.observe(cell, &row.holder);
                false
            }
            Swap::Refused => false,
        }
    }

    /// Has another control read the row.
    async fn tell(&self, cell: &Cell, incarnation: &str) {
        let Some(peer) = self.node.peers.by_incarnation(incarnation) else { return };
        let home = cell.home.clone();
        let sent = peer
            .link
            .call(super::CALL, async |client, context| client.changed(context, home).await);
        // A control that was not informed finds out at its next read of the table.
        let _ = sent.await;
    }

    /// At a shutdown: hands an owned shard to its deputy, or to another that is not stopping too;
    /// if there is none, all its records go to the object store.
    pub async fn leave(&self, cell: &Cell) {
        let _change = cell.change.lock().await;
        self.save(cell).await;
        let Some((deputy, question)) = self.question(cell) else { return };
        let willing = !deputy.is_empty()
            && matches!(self.send(&deputy, &question).await, Some(AppendReply::Up { .. }));
        if !willing && !self.is_stored(cell).await {
            self.replace_deputy(cell, self.candidates(cell, &deputy), true).await;
        }
        self.hand_over(cell).await;
    }

    /// An owner's deputy, and a message without records to it.
    fn question(&self, cell: &Cell) -> Option<(Name, Append)> {
        let mut shard = cell.lock();
        let owner = shard.owner()?;
        let (home, me) = (cell.home.clone(), self.node.incarnation.clone());
        let (epoch, first) = (owner.epoch, owner.replicated_to());
        let question = Append { home, epoch, owner: me, first, records: Vec::new(), whole: false };
        Some((owner.deputy.clone(), question))
    }
}
