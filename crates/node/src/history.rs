//! What changed lately in a list of the store, for hosts that take it from this one.

use std::collections::BTreeMap;

use policy::name::Name;

use crate::store::{Entry, News};

/// Entries kept; of more, those that changed first are forgotten. The servers of the size designed
/// for change once each in some minutes.
const ENTRIES_MAX: usize = 2_048;

/// The last change of each entry, complete behind a revision.
#[derive(Debug, Default)]
pub struct History {
    entries: BTreeMap<Name, Entry>,
    /// Changes behind this revision are all here.
    base: u64,
    /// The newest revision taken in.
    revision: u64,
    /// That of the newest change.
    changed: u64,
}

impl History {
    /// The newest revision taken in; none before the list was read.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        (self.revision > 0).then_some(self.revision)
    }

    /// The revision of the newest change; the list is the same since.
    #[must_use]
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// The list was read whole: what changed before is not known one by one.
    pub fn begin(&mut self, revision: u64) {
        self.entries.clear();
        self.base = revision;
        self.revision = revision;
        self.changed = revision;
    }

    /// Changes came, all those between the newest revision and theirs.
    pub fn add(&mut self, news: &News) {
        for entry in &news.entries {
            self.changed = self.changed.max(entry.revision);
            let held = self.entries.get(&entry.key);
            if held.is_none_or(|held| held.revision < entry.revision) {
                self.entries.insert(entry.key.clone(), entry.clone());
            }
        }
        self.revision = self.revision.max(news.revision);
        while self.entries.len() > ENTRIES_MAX {
            let oldest = self.entries.values().min_by_key(|entry| entry.revision);
            let Some((key, revision)) = oldest.map(|entry| (entry.key.clone(), entry.revision))
            else {
                return;
            };
            self.entries.remove(&key);
            self.base = self.base.max(revision);
        }
    }

    /// Changes behind a revision, oldest first; none if not all of them are known.
    #[must_use]
    pub fn behind(&self, revision: u64) -> Option<News> {
        let is_complete = revision >= self.base && self.revision > 0;
        let newer = self.entries.values().filter(|entry| entry.revision > revision);
        let mut entries: Vec<Entry> = newer.cloned().collect();
        entries.sort_by_key(|entry| entry.revision);
        is_complete.then_some(News { entries, revision: self.revision })
    }
}
