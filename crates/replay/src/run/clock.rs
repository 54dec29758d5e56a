//! A queue of scheduled items, ordered by time and then by insertion.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use policy::time::Millis;

/// Items scheduled for a time. Items for the same time come out in the order of insertion, so that
/// a replay is deterministic.
#[derive(Debug)]
pub struct Clock<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    number: u64,
}

#[derive(Debug)]
struct Entry<T> {
    at: Millis,
    number: u64,
    item: T,
}

impl<T> Default for Clock<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), number: 0 }
    }
}

impl<T> Clock<T> {
    /// Schedules an item for the time `at`.
    pub fn push(&mut self, at: Millis, item: T) {
        self.number += 1;
        self.heap.push(Reverse(Entry { at, number: self.number, item }));
    }

    /// Removes and returns the next item with its time; `None` if there is no item.
    pub fn pop(&mut self) -> Option<(Millis, T)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.item))
    }
}

impl<T> Entry<T> {
    fn key(&self) -> (Millis, u64) {
        (self.at, self.number)
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<T> Eq for Entry<T> {}
