//! What a control does for one shard, again and again: as owner, as deputy, or as neither.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coordination::shard::{Role, Transition};
use tokio::time::Instant;
use wire::shard::{Append, AppendReply};

use crate::node::now;
use crate::shards::balance::Balance;
use crate::shards::cell::Cell;
use crate::shards::{CALL, Inner, LOAD, TICK};

/// How often records whose time is over are dropped.
const FORGET: Duration = Duration::from_secs(60);
/// Records in one message at most.
const APPEND_MAX: usize = 4_000;

/// Which half is here, without the data.
#[derive(Clone, Copy, PartialEq)]
pub enum Part {
    /// None.
    Idle,
    /// Owner.
    Owner,
    /// Deputy.
    Deputy,
}

/// Looks after a shard for ever.
pub async fn run(inner: Arc<Inner>, cell: Arc<Cell>) {
    let mut balance = Balance::default();
    let mut tick = Instant::now();
    let mut forget_at = tick + FORGET;
    loop {
        let _ = tokio::time::timeout_at(tick, cell.work.notified()).await;
        let _change = cell.change.lock().await;
        inner.save(&cell).await;
        let suspected = cell.suspected();
        let due = Instant::now() >= tick;
        if !due && !suspected {
            continue;
        }
        match part(&cell) {
            Part::Owner => inner.follow(&cell, suspected),
            Part::Deputy => inner.watch(&cell, suspected).await,
            Part::Idle => inner.adopt(&cell).await,
        }
        if due {
            inner.balance(&cell, &mut balance).await;
            inner.forget(&cell, &mut forget_at);
            tick = Instant::now() + TICK;
        }
    }
}

/// Which half is here.
pub fn part(cell: &Cell) -> Part {
    match &cell.lock().role {
        Role::Idle => Part::Idle,
        Role::Owner(_) => Part::Owner,
        Role::Deputy(_) => Part::Deputy,
    }
}

impl Inner {
    /// Makes all records of an owned shard safe: at the deputy, or in the object store if there
    /// is none. One call at a time; what comes in meanwhile goes with the next.
    pub async fn save(&self, cell: &Cell) {
        loop {
            let (deputy, append) = {
                let mut shard = cell.lock();
                let Some(owner) = shard.owner() else { return };
                let records =
                    owner.unreplicated_records(&cell.home, &self.node.incarnation, APPEND_MAX);
                let Some(append) = records else { return };
                (owner.deputy.clone(), append)
            };
            let saved = match deputy.is_empty() {
                true => self.save_alone(cell, &append).await,
                false => self.save_at_deputy(cell, &deputy, &append).await,
            };
            if !saved {
                return;
            }
        }
    }

    async fn save_at_deputy(&self, cell: &Cell, deputy: &str, append: &Append) -> bool {
        match self.send(deputy, append).await {
            Some(AppendReply::Up { to }) => {
                self.saved(cell, append.epoch, to);
                true
            }
            Some(AppendReply::Fenced { .. }) => {
                // The deputy is taking over, or has; the row tells.
                self.read_row(cell).await;
                false
            }
            Some(AppendReply::Behind) | None => {
                log::info!("shards: {}: deputy {deputy} does not answer", cell.home.row_key());
                self.replace_deputy(cell, self.candidates(cell, deputy), true).await
            }
        }
    }

    /// Notes what is safe, unless the shard changed hands meanwhile.
    pub fn saved(&self, cell: &Cell, epoch: u64, to: u64) {
        match cell.lock().owner() {
            Some(owner) if owner.epoch == epoch => owner.mark_replicated(to),
            _ => {}
        }
        cell.wake();
    }

    /// Sends records to a control.
    pub async fn send(&self, incarnation: &str, append: &Append) -> Option<AppendReply> {
        let peer = self.node.peers.by_incarnation(incarnation)?;
        let within = if append.whole { LOAD } else { CALL };
        let append = append.clone();
        let sent =
            peer.link.call(within, async |client, context| client.append(context, append).await);
        sent.await.ok()
    }

    /// Reads the row and follows it; false if the platform does not answer.
    pub async fn read_row(&self, cell: &Cell) -> bool {
        match self.table.read(&cell.home).await {
            Ok(row) => {
                self.observe(cell, &row.holder);
                true
            }
            Err(_) => false,
        }
    }

    /// Follows what the row says.
    pub fn observe(&self, cell: &Cell, holder: &wire::shard::Holder) {
        let standing = cell.lock().apply_row(&self.node.incarnation, holder);
        match standing {
            Transition::Unchanged => return,
            Transition::Dropped => log::info!("shards: {}: not held here now", cell.home.row_key()),
            Transition::Promoted => log::info!("shards: {}: owned here now", cell.home.row_key()),
        }
        metrics::counter!("shards_changed_hands_total").increment(1);
        cell.wake();
        cell.work.notify_one();
    }

    /// An owner follows the table. It never waits for the platform here: in an outage each such
    /// wait would hold up the claims of a healthy pair.
    fn follow(self: &Arc<Self>, cell: &Cell, suspected: bool) {
        if suspected {
            let inner = Arc::clone(self);
            self.spawn(async move { _ = inner.table.refresh().await });
        }
        if let Some(known) = self.table.holder(&cell.home) {
            self.observe(cell, &known);
        }
    }

    fn forget(&self, cell: &Cell, due: &mut Instant) {
        if Instant::now() >= *due {
            *due = Instant::now() + FORGET;
            cell.lock().owner().into_iter().for_each(|owner| owner.remove_expired(now()));
        }
    }

    /// A deputy takes over when the owner does not answer.
    async fn watch(&self, cell: &Cell, suspected: bool) {
        let (owner, epoch) = match &cell.lock().role {
            Role::Deputy(deputy) => (deputy.owner.clone(), deputy.epoch),
            _ => return,
        };
        let known = self.table.holder(&cell.home).map_or(0, |holder| holder.epoch);
        let silent = !self.is_alive(&owner);
        if !(suspected || silent || known > epoch) {
            return;
        }
        if self.read_row(cell).await && part(cell) == Part::Deputy {
            let leaving = self.leaving.load(Ordering::Relaxed);
            if !leaving && !self.answers(cell, &owner).await {
                self.take_over(cell).await;
            }
        }
    }

    /// Whether a control was heard from lately.
    pub fn is_alive(&self, incarnation: &str) -> bool {
        *incarnation == *self.node.incarnation || self.node.peers.is_alive(incarnation, now())
    }

    async fn answers(&self, cell: &Cell, incarnation: &str) -> bool {
        let Some(peer) = self.node.peers.by_incarnation(incarnation) else { return false };
        let home = cell.home.clone();
        let call =
            peer.link.call(CALL, async |client, context| client.changed(context, home).await);
        call.await.is_ok()
    }
}
