//! A numbered log in the object store that several writers append to, no entry twice.
//!
//! Each entry belongs to one log, named before it is first sent anywhere. A log's batches are
//! put at 0, 1, 2 … only if absent. Who puts number N has read all before it, and leaves out what
//! they hold; if N is there already, it reads that one too and goes on. So no entry stands twice,
//! however many write, and whether a lost put took effect need not be known: reading N tells.
//! A writer that was taken for lost and returns needs no fence: it finds N taken and reads it.

use std::collections::{BTreeMap, HashMap};

use policy::name::Name;
use policy::time::Millis;

/// What a log holds.
pub trait Entry: Clone {
    /// What doubles are found by.
    fn id(&self) -> &Name;
}

/// One log, as one of its writers has it.
#[derive(Clone, Debug)]
pub struct Log<E> {
    /// All batches before this number have been read or written here.
    next_number: u64,
    pending: BTreeMap<Name, E>,
    /// Entries known to be in the log, with the time that this was learnt.
    stored: HashMap<Name, Millis>,
}

impl<E> Default for Log<E> {
    fn default() -> Self {
        Self { next_number: 0, pending: BTreeMap::new(), stored: HashMap::new() }
    }
}

impl<E: Entry> Log<E> {
    /// The next number to read or to put.
    #[must_use]
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Entries that no batch is known to hold.
    #[must_use]
    pub fn pending(&self) -> &BTreeMap<Name, E> {
        &self.pending
    }

    /// Goes on at a number: back, for entries that may stand in batches read past long ago, or
    /// ahead, when no batch before it can have any of the pending ones.
    #[must_use]
    pub fn starting_at(mut self, number: u64) -> Self {
        self.next_number = number;
        self
    }

    /// Takes an entry; false if it is in the log already, or pending.
    pub fn add(&mut self, entry: E) -> bool {
        if self.stored.contains_key(entry.id()) || self.pending.contains_key(entry.id()) {
            return false;
        }
        self.pending.insert(entry.id().clone(), entry);
        true
    }

    /// Drops an entry that another writer has put in the log.
    pub fn remove(&mut self, id: &str) -> Option<E> {
        self.pending.remove(id)
    }

    /// The next batch, at most so many entries; none if nothing is pending.
    #[must_use]
    pub fn next_batch(&self, max: usize) -> Option<(u64, Vec<E>)> {
        match self.pending.is_empty() {
            true => None,
            false => Some((self.next_number, self.pending.values().take(max).cloned().collect())),
        }
    }

    /// Takes in what stands at a number, whoever put it there. Returns the entries that were
    /// pending here until now. Other numbers than the next are ignored.
    pub fn apply_batch<'a>(
        &mut self,
        number: u64,
        ids: impl IntoIterator<Item = &'a Name>,
        now: Millis,
    ) -> Vec<E> {
        if number != self.next_number {
            return Vec::new();
        }
        self.next_number += 1;
        let mut settled = Vec::new();
        for id in ids {
            settled.extend(self.pending.remove(id));
            self.stored.insert(id.clone(), now);
        }
        settled
    }

    /// Forgets entries learnt to be stored before a time: nobody sends them again.
    pub fn forget(&mut self, before: Millis) {
        self.stored.retain(|_, at| *at >= before);
    }
}
