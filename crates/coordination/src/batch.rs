//! A numbered log in the object store to which several writers append each entry exactly once.
//!
//! Each entry belongs to one log, which is named before the entry is first sent to any host. The
//! batches of a log are objects numbered 0, 1, 2 …, and each is put only if it is absent. A writer
//! puts batch N after reading all batches before N, and omits the entries that they hold. If batch
//! N already exists, the writer reads it too and continues at N + 1. So no entry is stored twice,
//! however many writers there are. After a put whose answer was lost, the writer reads batch N to
//! learn whether the put took effect. A writer that was presumed lost and returns needs no fencing:
//! it finds batch N present and reads it.

use std::collections::{BTreeMap, HashMap};

use policy::name::Name;
use policy::time::Millis;

/// An entry of a log.
pub trait Entry: Clone {
    /// The identifier by which a log recognizes an entry that it already has.
    fn id(&self) -> &Name;
}

/// The state of one log at one of its writers.
#[derive(Clone, Debug)]
pub struct Log<E> {
    /// This writer has read or written all batches before this number.
    next_number: u64,
    pending: BTreeMap<Name, E>,
    /// Entries known to be stored in the log, and when this writer learned it.
    stored: HashMap<Name, Millis>,
}

impl<E> Default for Log<E> {
    fn default() -> Self {
        Self { next_number: 0, pending: BTreeMap::new(), stored: HashMap::new() }
    }
}

impl<E: Entry> Log<E> {
    /// Number of the batch to read or to put next.
    #[must_use]
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Entries that this writer holds and that no batch is known to contain, by identifier.
    #[must_use]
    pub fn pending(&self) -> &BTreeMap<Name, E> {
        &self.pending
    }

    /// Continues at a batch number. A lower number reads batches again in which pending entries may
    /// be stored; a higher number skips batches that can contain none of the pending entries.
    #[must_use]
    pub fn starting_at(mut self, number: u64) -> Self {
        self.next_number = number;
        self
    }

    /// Adds a pending entry. Returns false if the entry is already pending or known to be stored.
    pub fn add(&mut self, entry: E) -> bool {
        if self.stored.contains_key(entry.id()) || self.pending.contains_key(entry.id()) {
            return false;
        }
        self.pending.insert(entry.id().clone(), entry);
        true
    }

    /// Removes a pending entry that another writer has stored in the log.
    pub fn remove(&mut self, id: &str) -> Option<E> {
        self.pending.remove(id)
    }

    /// The batch to put next: its number and up to `max` pending entries. `None` if no entry is
    /// pending.
    #[must_use]
    pub fn next_batch(&self, max: usize) -> Option<(u64, Vec<E>)> {
        match self.pending.is_empty() {
            true => None,
            false => Some((self.next_number, self.pending.values().take(max).cloned().collect())),
        }
    }

    /// Records the contents of the stored batch `number`, whichever writer put it. Returns the
    /// entries that were pending at this writer until now. Does nothing unless `number` is
    /// [`Self::next_number`].
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

    /// Forgets stored entries that this writer learned of before a time, to bound memory: by then
    /// no host sends these entries again.
    pub fn forget(&mut self, before: Millis) {
        self.stored.retain(|_, at| *at >= before);
    }
}
