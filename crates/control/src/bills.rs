//! Bills: held by two controls before an answer ends, then put into numbered batches.
//!
//! Each bill names the log it belongs to. The control whose log it is keeps it; another holds a
//! copy, and puts it into the same log should the keeper be gone. Why no bill stands twice is in
//! [`coordination::batch`].

mod audit;
mod book;
mod copy;
pub mod flush;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use policy::name::Name;
use tokio::sync::{Notify, watch};
use tokio_util::sync::{CancellationToken, DropGuard};
use wire::bill::{Audit, Bill, BillAnswer, HoldRequest};

use crate::bills::book::{Book, Id};
use crate::node::{Node, now};
use crate::store;

/// Longest time a call to another control may take.
const CALL: Duration = Duration::from_millis(500);
/// How often batches are put, and what is left over is looked after, among few controls.
const FLUSH: Duration = Duration::from_millis(250);
/// Longest time a shutdown waits for the platform to take what is pending.
const HAND_OVER: Duration = Duration::from_secs(5);
/// New work is refused from this share of the bound on, in percent: the rest is for the bills of
/// requests that run already.
const FULL_PERCENT: u64 = 90;

/// All bills on this control.
pub struct Ledger {
    inner: Arc<Inner>,
    _tasks: DropGuard,
}

struct Inner {
    node: Arc<Node>,
    own: Arc<Mutex<Book>>,
    /// Books by log and keeper, the own one among them.
    books: RwLock<BTreeMap<Id, Arc<Mutex<Book>>>>,
    /// Bills in all books.
    count: AtomicU64,
    /// Rounds of copying begun.
    begun: AtomicU64,
    /// Rounds of copying ended.
    ended: watch::Sender<u64>,
    work: Notify,
}

impl Ledger {
    /// Starts its tasks; they end when it is dropped.
    #[must_use]
    pub fn start(node: Arc<Node>) -> Arc<Self> {
        let id = Id { log: node.incarnation.clone(), keeper: node.incarnation.clone() };
        let own = Arc::new(Mutex::new(Book::new(id.clone())));
        let inner = Arc::new(Inner {
            node,
            own: Arc::clone(&own),
            books: RwLock::new(BTreeMap::from([(id, own)])),
            count: AtomicU64::new(0),
            begun: AtomicU64::new(0),
            ended: watch::Sender::new(0),
            work: Notify::new(),
        });
        let stop = CancellationToken::new();
        tokio::spawn(stop.clone().run_until_cancelled_owned(copy::run(Arc::clone(&inner))));
        tokio::spawn(stop.clone().run_until_cancelled_owned(flush::run(Arc::clone(&inner))));
        Arc::new(Self { inner, _tasks: stop.drop_guard() })
    }

    /// Takes bills; answers when another control holds them too, or none is in reach.
    pub async fn add(&self, bills: Vec<Bill>) -> BillAnswer {
        let me = &self.inner.node.incarnation;
        let mut by_log = BTreeMap::<Name, Vec<Bill>>::new();
        for mut bill in bills {
            if bill.log.is_empty() {
                bill.log = me.clone();
            }
            by_log.entry(bill.log.clone()).or_default().push(bill);
        }
        let mut worst = BillAnswer::Twice;
        for (log, bills) in by_log {
            let held = match &log {
                own if own == me => self.inner.keep(&log, bills).await,
                _ => self.add_elsewhere(log, bills).await,
            };
            worst = match (worst, held) {
                (BillAnswer::Full, _) | (_, BillAnswer::Full) => BillAnswer::Full,
                (BillAnswer::Once, _) | (_, BillAnswer::Once) => BillAnswer::Once,
                (BillAnswer::Twice, BillAnswer::Twice) => BillAnswer::Twice,
            };
        }
        worst
    }

    /// A bill whose log is another's: that one takes it if it can be reached.
    async fn add_elsewhere(&self, log: Name, bills: Vec<Bill>) -> BillAnswer {
        let hold = HoldRequest { log: log.clone(), keeper: log.clone(), from: 0, bills };
        match self.inner.hold_at(&log, &hold).await {
            true => BillAnswer::Twice,
            false => self.inner.keep(&log, hold.bills).await,
        }
    }

    /// Holds bills for another control; false at the memory bound.
    pub async fn hold(&self, hold: HoldRequest) -> bool {
        if hold.log == self.inner.node.incarnation {
            return matches!(self.inner.keep(&hold.log, hold.bills).await, BillAnswer::Twice);
        }
        self.inner.store(Id { log: hold.log, keeper: hold.keeper }, hold.from, hold.bills)
    }

    /// Drops bills that are in the object store now.
    pub async fn release(&self, log: Name, requests: Vec<Name>) {
        for book in self.inner.books_of(&log) {
            let mut book = lock(&book);
            for request in &requests {
                book.release(request);
            }
        }
        self.inner.recount();
    }

    /// Whether new work must be refused.
    #[must_use]
    pub fn full(&self) -> bool {
        self.inner.count() >= self.inner.node.settings.bills_max * FULL_PERCENT / 100
    }

    /// Bills held here that no batch is known to have.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.inner.count()
    }

    /// Reads every log.
    ///
    /// # Errors
    /// When the platform does not answer.
    pub async fn audit(&self) -> Result<Audit, store::Error> {
        let pending = lock(&self.inner.own).log.pending().len() as u64;
        audit::run(&self.inner.node.store, pending).await
    }

    /// Puts all bills into the log or, while the platform is down, with two other controls.
    pub async fn hand_over(&self) {
        let flushed = tokio::time::timeout(HAND_OVER, self.inner.flush_all()).await;
        match flushed {
            Ok(Ok(())) => log::info!("bills: all are stored"),
            _ => self.inner.copy_twice().await,
        }
    }
}

impl Inner {
    /// Keeps bills here, and waits until the copying that began after it is over.
    async fn keep(&self, log: &Name, bills: Vec<Bill>) -> BillAnswer {
        let requests: Vec<_> = bills.iter().map(|bill| bill.request.clone()).collect();
        let id = Id { log: log.clone(), keeper: self.node.incarnation.clone() };
        if !self.store(id.clone(), 0, bills) {
            return BillAnswer::Full;
        }
        let round = self.begun.load(Ordering::SeqCst) + 1;
        let mut ended = self.ended.subscribe();
        self.work.notify_one();
        if ended.wait_for(|ended| *ended >= round).await.is_err() {
            return BillAnswer::Once;
        }
        match self.with_book(&id, |book| requests.iter().all(|request| book.safe(request))) {
            true => BillAnswer::Twice,
            false => BillAnswer::Once,
        }
    }

    /// Takes bills into a book; none of them at the memory bound.
    fn store(&self, id: Id, from: u64, bills: Vec<Bill>) -> bool {
        if self.count() + bills.len() as u64 > self.node.settings.bills_max {
            log::warn!("bills: the memory bound is reached");
            return false;
        }
        let added = self.with_book(&id, |book| {
            let taken = bills.into_iter().filter(|bill| book.take(bill.clone(), from, now()));
            taken.count()
        });
        self.count.fetch_add(added as u64, Ordering::Relaxed);
        true
    }

    /// Another's book is used with the list locked: an empty book is dropped from the list, and a
    /// bill put into one just dropped would be lost.
    fn with_book<T>(&self, id: &Id, work: impl FnOnce(&mut Book) -> T) -> T {
        if id.log == self.node.incarnation {
            return work(&mut lock(&self.own));
        }
        let mut books = self.books.write().unwrap_or_else(PoisonError::into_inner);
        let book = books.entry(id.clone());
        let book = book.or_insert_with(|| Arc::new(Mutex::new(Book::new(id.clone()))));
        work(&mut lock(book))
    }

    fn all_books(&self) -> Vec<Arc<Mutex<Book>>> {
        let books = self.books.read().unwrap_or_else(PoisonError::into_inner);
        books.values().cloned().collect()
    }

    fn books_of(&self, log: &Name) -> Vec<Arc<Mutex<Book>>> {
        let books = self.books.read().unwrap_or_else(PoisonError::into_inner);
        books.iter().filter(|(id, _)| id.log == *log).map(|(_, book)| Arc::clone(book)).collect()
    }

    fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    fn recount(&self) {
        let held =
            self.all_books().iter().map(|book| lock(book).log.pending().len()).sum::<usize>();
        self.count.store(held as u64, Ordering::Relaxed);
    }

    /// Whether an incarnation answers, as far as is known here.
    fn alive(&self, incarnation: &str) -> bool {
        *incarnation == *self.node.incarnation || self.node.peers.is_alive(incarnation, now())
    }

    /// Asks one control to hold bills.
    async fn hold_at(&self, incarnation: &str, hold: &HoldRequest) -> bool {
        if !self.node.peers.is_alive(incarnation, now()) {
            return false;
        }
        let Some(peer) = self.node.peers.by_incarnation(incarnation) else { return false };
        let hold = hold.clone();
        let held = peer.link.call(CALL, async |client, context| client.hold(context, hold).await);
        matches!(held.await, Ok(true))
    }
}

fn lock(book: &Mutex<Book>) -> std::sync::MutexGuard<'_, Book> {
    book.lock().unwrap_or_else(PoisonError::into_inner)
}
