//! Puts what is pending into the logs, and tells holders to drop what is stored.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use policy::name::Name;
use wire::bill::{self, Batch, Bill, HoldRequest};

use crate::bills::book::Book;
use crate::bills::copy::HOLD_MAX;
use crate::bills::{CALL, FLUSH, Inner, lock};
use crate::node::{host_of, now};
use crate::store::Error;

/// Bills of one batch at most.
const BATCH_MAX: usize = 4_000;

/// Puts a second, of all controls together, that the platform is given at most at rest. It takes
/// several hundred, and other things are written as well.
const PUTS_PER_SECOND: u64 = 200;

/// Time between two rounds, by the number of controls.
///
/// Each control puts one batch a round. At a fixed pace four hundred of them would ask more of the
/// platform than it takes, whatever the requests; bills are safe with two holders meanwhile.
#[must_use]
pub fn interval(controls: usize) -> Duration {
    let shared_ms = (controls as u64).saturating_mul(1_000) / PUTS_PER_SECOND;
    FLUSH.max(Duration::from_millis(shared_ms))
}

/// Looks after all books, now and then.
pub(super) async fn run(inner: Arc<Inner>) {
    loop {
        tokio::time::sleep(interval(1 + inner.node.peers.len())).await;
        inner.look_after().await;
    }
}

impl Inner {
    async fn look_after(&self) {
        for book in self.kept_books() {
            lock(&book).lose_copies(|holder| self.alive(holder));
            self.give_back(&book).await;
        }
        self.work.notify_one();
        if let Err(error) = self.flush_all().await {
            log::debug!("bills: not stored yet: {error}");
        }
        for book in self.all_books() {
            self.settle(&book).await;
        }
        self.drop_done();
        metrics::gauge!("bills_held").set(self.count() as f64);
    }

    /// Puts all that is pending in the books this control must see to.
    pub async fn flush_all(&self) -> Result<(), Error> {
        let mut result = Ok(());
        for book in self.kept_books() {
            let flushed = self.flush(&book).await;
            result = result.and(flushed);
        }
        self.recount();
        result
    }

    async fn flush(&self, book: &Mutex<Book>) -> Result<(), Error> {
        loop {
            let (log, number, bills, at_end) = {
                let mut book = lock(book);
                book.start_reading();
                let Some((number, bills)) = book.log.next_batch(BATCH_MAX) else { return Ok(()) };
                (book.id.log.clone(), number, bills, book.at_end)
            };
            match at_end {
                false => self.read(book, &log, number).await?,
                true => self.put(book, &log, number, bills).await?,
            }
        }
    }

    async fn read(&self, book: &Mutex<Book>, log: &Name, number: u64) -> Result<(), Error> {
        let object = self.node.store.object(&bill::object_name(log, number)).await?;
        let Some(bytes) = object else {
            lock(book).at_end = true;
            return Ok(());
        };
        let batch: Batch =
            serde_json::from_slice(&bytes).map_err(|e| Error::Malformed(e.to_string()))?;
        lock(book).stands(number, &batch.bills, now());
        Ok(())
    }

    /// A put without an answer may have taken effect, now or later. So the number is read next;
    /// if nothing stands there, putting again is safe, because only one put can succeed.
    async fn put(
        &self,
        book: &Mutex<Book>,
        log: &Name,
        number: u64,
        bills: Vec<Bill>,
    ) -> Result<(), Error> {
        let writer = self.node.incarnation.clone();
        let batch = Batch { incarnation: log.clone(), number, writer, bills };
        let bytes = serde_json::to_vec(&batch).map_err(|e| Error::Refused(e.to_string()))?;
        let name = bill::object_name(log, number);
        match self.node.store.put_if_absent(&name, bytes.into()).await {
            Ok(true) => lock(book).stands(number, &batch.bills, now()),
            Ok(false) => lock(book).at_end = false,
            Err(error) => {
                lock(book).at_end = false;
                return Err(error);
            }
        }
        Ok(())
    }

    /// Bills of a log whose own control answers again: it takes them.
    async fn give_back(&self, book: &Mutex<Book>) {
        let hold = {
            let book = lock(book);
            let log = book.id.log.clone();
            let bills: Vec<_> = book.log.pending().values().take(HOLD_MAX).cloned().collect();
            HoldRequest { keeper: log.clone(), log, from: 0, bills }
        };
        let foreign = hold.log != self.node.incarnation;
        if foreign && !hold.bills.is_empty() && self.hold_at(&hold.log, &hold).await {
            let mut book = lock(book);
            for bill in &hold.bills {
                book.release(&bill.request);
            }
        }
    }

    /// Tells holders what they may drop.
    async fn settle(&self, book: &Mutex<Book>) {
        let (log, owed) = {
            let book = lock(book);
            (book.id.log.clone(), book.owed())
        };
        for (holder, requests) in owed {
            if !self.alive(&holder) {
                continue;
            }
            let Some(peer) = self.node.peers.by_incarnation(&holder) else { continue };
            let (log, ids) = (log.clone(), requests.clone());
            let sent = peer
                .link
                .call(CALL, async |client, context| client.release(context, log, ids).await);
            if sent.await.is_ok() {
                lock(book).settled(&holder, &requests);
            }
        }
    }

    /// Forgets others' books that are empty, and what gone holders were to be asked.
    fn drop_done(&self) {
        let mut books = self.books.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        books.retain(|id, book| {
            let mut book = lock(book);
            for (holder, requests) in book.owed() {
                if self.replaced(&holder) {
                    book.settled(&holder, &requests);
                }
            }
            id.log == self.node.incarnation || !book.is_done()
        });
    }

    /// Whether another incarnation runs on that one's host now.
    pub fn replaced(&self, incarnation: &str) -> bool {
        let peer = self.node.peers.get(&host_of(incarnation));
        peer.is_some_and(|peer| !peer.incarnation.is_empty() && *peer.incarnation != *incarnation)
    }
}
