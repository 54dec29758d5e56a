//! A shard that nobody holds: a new one, or one whose owner and deputy are both gone.

use std::sync::atomic::Ordering;

use coordination::owner::{Owner, RETENTION_MS_MAX};
use coordination::records::Records;
use wire::shard::{Append, Holder, Record};

use crate::node::now;
use crate::shards::cell::Cell;
use crate::shards::table::{Swap, Versioned};
use crate::shards::{Inner, TICK};

/// What a cold takeover starts from.
struct Remains {
    records: Vec<Record>,
    closed_until_ms: u64,
}

impl Inner {
    /// Takes a shard that nobody holds, if it is for this control to take.
    pub async fn adopt(&self, cell: &Cell) {
        if self.leaving.load(Ordering::Relaxed)
            || cell.home.failure_domain != *self.node.failure_domain()
        {
            return;
        }
        let known = self.table.holder(&cell.home).unwrap_or_default();
        if !self.is_abandoned(&known).await {
            return;
        }
        // The others wait, so that most shards are taken by who should have them.
        let ideal = self.ideal(cell);
        let rank = ideal.iter().position(|name| *name == self.node.incarnation).unwrap_or(0);
        tokio::time::sleep(TICK * u32::try_from(rank).unwrap_or(0)).await;
        let Ok(row) = self.table.read(&cell.home).await else { return };
        if row.holder == known {
            self.take_cold(cell, &row).await;
        }
    }

    /// A shard without a row, one that was left in good order, or one whose holders are gone.
    async fn is_abandoned(&self, holder: &Holder) -> bool {
        match holder {
            none if none.epoch == 0 => true,
            held if self.is_alive(&held.owner) || self.is_alive(&held.deputy) => false,
            alone if alone.deputy.is_empty() => self.is_gone(&alone.owner).await,
            pair => self.is_gone(&pair.owner).await && self.is_gone(&pair.deputy).await,
        }
    }

    async fn take_cold(&self, cell: &Cell, row: &Versioned) {
        let Some(remains) = self.remains(cell, &row.holder).await else { return };
        let (epoch, owner) = (row.holder.epoch + 1, self.node.incarnation.clone());
        let home = cell.home.clone();
        let records = remains.records;
        let whole = Append { home, epoch, owner: owner.clone(), first: 1, records, whole: true };
        let candidates = self.candidates(cell, &row.holder.owner);
        let Some(loaded) = self.load(cell, whole, candidates, true).await else { return };
        let (deputy, closed_until_ms) = (loaded.deputy, remains.closed_until_ms);
        let holder = Holder { epoch, owner, deputy: deputy.clone(), closed_until_ms };
        match self.table.swap(&cell.home, row.version, &holder).await {
            Swap::Done => {
                let records: Records = loaded.whole.records.iter().collect();
                let owner = Owner::new(epoch, deputy, records, 1);
                cell.lock().become_owner(owner.closed_until(policy::time::Millis(closed_until_ms)));
                log::info!("shards: {}: owned here now", cell.home.row_key());
                cell.wake();
            }
            Swap::Beaten(row) => self.observe(cell, &row.holder),
            Swap::Refused => {}
        }
    }

    /// What is left of a shard. An owner without a deputy had every grant in the store, so nothing
    /// is lost. Of a pair all may be lost, and any key a caller sends again may have run: unknown
    /// keys are refused for as long as any of them can be remembered.
    async fn remains(&self, cell: &Cell, holder: &Holder) -> Option<Remains> {
        if holder.epoch == 0 {
            return Some(Remains { records: Vec::new(), closed_until_ms: 0 });
        }
        let pieces = self.end(cell, holder.epoch, &holder.owner).await?;
        let complete = holder.deputy.is_empty() && pieces.whole;
        let closed_until_ms = match complete {
            true => holder.closed_until_ms,
            false => (now() + RETENTION_MS_MAX).0,
        };
        if !complete {
            log::warn!("shards: {}: records lost; unknown keys are refused", cell.home.row_key());
        }
        Some(Remains { records: pieces.records, closed_until_ms })
    }
}
