//! Second copies: one call at a time for all bills that came in during the last one.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

use policy::name::Name;
use wire::bill::HoldRequest;

use crate::bills::book::Book;
use crate::bills::{Inner, lock};
use crate::node::now;

/// Bills in one message at most.
pub const HOLD_MAX: usize = 4_000;

/// Copies whenever bills came in.
pub async fn run(inner: Arc<Inner>) {
    loop {
        inner.work.notified().await;
        let round = inner.begun.fetch_add(1, Ordering::SeqCst) + 1;
        for book in inner.kept_books() {
            inner.copy(&book).await;
        }
        inner.ended.send_replace(round);
    }
}

impl Inner {
    /// Books that this control must see to: its own, and those whose keeper does not answer.
    pub fn kept_books(&self) -> Vec<Arc<Mutex<Book>>> {
        let mut books = self.all_books();
        books.retain(|book| {
            let keeper = lock(book).id.keeper.clone();
            keeper == self.node.incarnation || !self.alive(&keeper)
        });
        books
    }

    /// Other controls that can hold bills, those of the own failure domain first.
    fn holders(&self) -> Vec<Name> {
        let mut peers = self.node.peers.alive(now());
        peers.sort_by_key(|peer| peer.failure_domain != *self.node.failure_domain());
        peers.into_iter().map(|peer| peer.incarnation).collect()
    }

    async fn copy(&self, book: &Mutex<Book>) {
        for holder in self.holders() {
            loop {
                let mut bills = lock(book).without_copy();
                if bills.is_empty() {
                    return;
                }
                bills.truncate(HOLD_MAX);
                if !self.copy_to(book, &holder, bills).await {
                    break;
                }
            }
        }
    }

    async fn copy_to(
        &self,
        book: &Mutex<Book>,
        holder: &Name,
        bills: Vec<wire::bill::Bill>,
    ) -> bool {
        let hold = {
            let book = lock(book);
            let (log, keeper) = (book.id.log.clone(), self.node.incarnation.clone());
            HoldRequest { log, keeper, from: book.floor(), bills }
        };
        let held = self.hold_at(holder, &hold).await;
        if held {
            lock(book).copied(&hold.bills, holder);
        }
        held
    }

    /// At a shutdown with the platform down: each bill with two others.
    pub async fn copy_twice(&self) {
        for book in self.kept_books() {
            // Some holder may be gone too and not known to be: the next one is asked.
            for holder in self.holders() {
                let bills = lock(&book).with_fewer_copies(2, &holder);
                for bills in bills.chunks(HOLD_MAX) {
                    self.copy_to(&book, &holder, bills.to_vec()).await;
                }
            }
            let alone = lock(&book).without_copy().len();
            if alone > 0 {
                log::error!("bills: {alone} could be handed to nobody");
            }
        }
    }
}
