//! Claims of idempotency keys and pins of sessions, each at its home.
//!
//! The rules are in [`coordination::shard`]; here are the calls between owner, deputy and
//! platform, and the way of a claim to its home.

mod alone;
mod balance;
mod cell;
mod change;
mod cold;
mod duty;
mod layout;
mod route;
mod table;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use coordination::home::Home;
use policy::time::Millis;
use tokio_util::sync::{CancellationToken, DropGuard};
use wire::claim::{Claim, ClaimAnswer, Pin, PinAnswer};
use wire::host::List;
use wire::shard::{Append, AppendReply, Reply, ShardTable};

use crate::node::Node;
use crate::shards::cell::Cell;
use crate::shards::table::Table;

/// Longest time that one call from owner to deputy, or on the way to a home, may take.
const CALL: Duration = Duration::from_millis(400);
/// Longest wait for an owner's answer before its deputy is asked: time for the owner to find its own
/// deputy silent and take another, and not much more.
const ANSWER: Duration = Duration::from_millis(700);
/// Longest time that a first load of a deputy may take.
const LOAD: Duration = Duration::from_secs(1);
/// Longest time that a claim waits at its owner until it is safe.
const SAFE: Duration = Duration::from_millis(1_500);
/// Longest time that a claim is on its way, with all tries.
const ROUTE: Duration = Duration::from_millis(2_500);
/// How often each shard is looked after when nothing happens.
const TICK: Duration = Duration::from_millis(500);
/// How often the table of shards is read when nothing happens. Changes are noticed earlier, by
/// calls that fail or are answered by another.
const REFRESH: Duration = Duration::from_secs(5);
/// How long a stopping control looks whether shards are handed to it: longer than another takes from
/// asking it to the swap.
const LINGER: Duration = Duration::from_millis(1_500);
/// When a refused claim may be tried again.
const RETRY_AFTER_MS: u64 = 1_000;

/// All shards that this control has a part in, and the ways to the others.
pub struct Shards {
    inner: Arc<Inner>,
    _tasks: DropGuard,
}

struct Inner {
    node: Arc<Node>,
    table: Table,
    cells: RwLock<HashMap<Home, Arc<Cell>>>,
    /// Set at shutdown: nothing new is taken over.
    leaving: AtomicBool,
    /// The host list, and when it was read.
    hosts: tokio::sync::Mutex<(Millis, Option<Arc<List>>)>,
    stop: CancellationToken,
}

impl Shards {
    /// Starts its tasks; they end when it is dropped.
    #[must_use]
    pub fn start(node: Arc<Node>) -> Arc<Self> {
        let stop = CancellationToken::new();
        let inner = Arc::new(Inner {
            table: Table::new(node.store.clone()),
            node,
            cells: RwLock::default(),
            leaving: AtomicBool::new(false),
            hosts: tokio::sync::Mutex::default(),
            stop: stop.clone(),
        });
        inner.spawn(layout::run(Arc::clone(&inner)));
        Arc::new(Self { inner, _tasks: stop.drop_guard() })
    }

    /// Claims a key, wherever its home is.
    pub async fn claim(&self, claim: Claim) -> ClaimAnswer {
        let answer = self.inner.route(claim).await;
        let label = match &answer {
            ClaimAnswer::Granted => "granted",
            ClaimAnswer::Taken { .. } => "taken",
            ClaimAnswer::Unavailable { .. } => "unavailable",
        };
        metrics::counter!("claims_total", "answer" => label).increment(1);
        answer
    }

    /// Pins a session, wherever its home is.
    pub async fn pin(&self, pin: Pin) -> PinAnswer {
        self.inner.route(pin).await
    }

    /// Gives a claim back, wherever its home is; true once that is safe.
    pub async fn abandon(&self, claim: Claim) -> bool {
        self.inner.route(route::Abandon(claim)).await
    }

    /// A claim for a shard owned here.
    pub async fn owner_claim(&self, home: Home, claim: Claim) -> Reply<ClaimAnswer> {
        self.inner.answer(&home, &claim).await
    }

    /// A pin for a shard owned here.
    pub async fn owner_pin(&self, home: Home, pin: Pin) -> Reply<PinAnswer> {
        self.inner.answer(&home, &pin).await
    }

    /// An abandoned claim for a shard owned here.
    pub async fn owner_abandon(&self, home: Home, claim: Claim) -> Reply<bool> {
        self.inner.answer(&home, &route::Abandon(claim)).await
    }

    /// Records of a shard whose deputy is here.
    pub async fn append(&self, append: Append) -> AppendReply {
        let leaving = self.inner.leaving.load(Ordering::Relaxed);
        match append {
            // No records is a question: whether this control would take the shard over now.
            load if leaving && (load.whole || load.records.is_empty()) => {
                AppendReply::Fenced { epoch: 0 }
            }
            append => self.inner.cell(&append.home).lock().receive(&append),
        }
    }

    /// What is known here of the table.
    #[must_use]
    pub fn known(&self) -> ShardTable {
        self.inner.table.known()
    }

    /// The row of a shard may have changed.
    pub async fn changed(&self, home: Home) {
        let cell = self.inner.cell(&home);
        cell.suspect();
    }

    /// Hands all shards owned here to their deputies, before a shutdown.
    pub async fn hand_over(&self) {
        self.inner.leaving.store(true, Ordering::Relaxed);
        self.inner.leave_all().await;
        // A control that stops at the same time may have handed shards here just before.
        tokio::time::sleep(LINGER).await;
        self.inner.leave_all().await;
        log::info!("shards: handed over");
    }
}

impl Inner {
    fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        tokio::spawn(stop.run_until_cancelled_owned(work));
    }

    /// The state of a shard here; made at its first use, with the task that looks after it.
    fn cell(self: &Arc<Self>, home: &Home) -> Arc<Cell> {
        let cells = self.cells.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(cell) = cells.get(home) {
            return Arc::clone(cell);
        }
        drop(cells);
        let mut cells = self.cells.write().unwrap_or_else(PoisonError::into_inner);
        let cell = cells.entry(home.clone()).or_insert_with(|| {
            let cell = Arc::new(Cell::new(home.clone()));
            self.spawn(duty::run(Arc::clone(self), Arc::clone(&cell)));
            cell
        });
        Arc::clone(cell)
    }

    async fn leave_all(&self) {
        let cells = self.all_cells();
        futures::future::join_all(cells.iter().map(|cell| self.leave(cell))).await;
    }

    fn all_cells(&self) -> Vec<Arc<Cell>> {
        let cells = self.cells.read().unwrap_or_else(PoisonError::into_inner);
        cells.values().cloned().collect()
    }
}
