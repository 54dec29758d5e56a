//! A list of the store as this host knows it, for hosts that take it from this one.

use std::collections::{BTreeMap, HashSet};

use policy::name::Name;

use crate::store::{Entry, Fact, News};

/// Removed entries kept; of more, those that changed first are forgotten. The servers of the size
/// designed for change once each in some minutes.
const REMOVED_MAX: usize = 2_048;

/// Each entry's last change. All entries are here, and changes behind a revision are complete.
#[derive(Debug, Default)]
pub struct History {
    entries: BTreeMap<Name, Entry>,
    /// Changes behind this revision are all here, removals included.
    base: u64,
    /// The newest revision taken in; none before the list was read. An empty store is at revision
    /// 0, and a list read there has been read.
    revision: Option<u64>,
    /// That of the newest change.
    changed: u64,
}

impl History {
    /// The newest revision taken in; none before the list was read.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// The revision of the newest change; the list is the same since.
    #[must_use]
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Takes in news: the whole list, or all changes between the newest revision and theirs.
    pub fn take(&mut self, news: &News) {
        match self.revision {
            // From a store that answered late; nothing in it is missing here.
            Some(revision) if news.is_whole && news.revision < revision => return,
            None => {
                // What was removed before is not known.
                self.base = news.revision;
                self.changed = news.revision;
            }
            Some(_) if news.is_whole => self.note_removed(news),
            Some(_) => {}
        }
        for entry in &news.entries {
            self.changed = self.changed.max(entry.revision);
            let held = self.entries.get(&entry.key);
            if held.is_none_or(|held| held.revision < entry.revision) {
                self.entries.insert(entry.key.clone(), entry.clone());
            }
        }
        self.revision = self.revision.max(Some(news.revision));
        self.forget();
    }

    /// What a list read afresh no longer holds was removed since.
    ///
    /// With that, changes behind older revisions stay complete. Without it every host of the failure
    /// domain would have to read the whole list whenever the store has dropped its history.
    fn note_removed(&mut self, news: &News) {
        let listed: HashSet<&Name> = news.entries.iter().map(|entry| &entry.key).collect();
        for (key, entry) in &mut self.entries {
            if !listed.contains(key) && entry.fact != Fact::Removed {
                entry.fact = Fact::Removed;
                entry.revision = news.revision;
                self.changed = self.changed.max(news.revision);
            }
        }
    }

    /// Forgets the oldest removals beyond those kept.
    fn forget(&mut self) {
        let removed = self.entries.values().filter(|entry| entry.fact == Fact::Removed);
        let mut revisions: Vec<u64> = removed.map(|entry| entry.revision).collect();
        if revisions.len() <= REMOVED_MAX {
            return;
        }
        revisions.sort_unstable();
        let last = revisions[revisions.len() - REMOVED_MAX - 1];
        self.entries.retain(|_, entry| entry.fact != Fact::Removed || entry.revision > last);
        self.base = self.base.max(last);
    }

    /// What a host lacks that knows the list as of a revision, 0 for nothing: the changes behind it,
    /// oldest first, or the whole list if not all changes behind it are known. None before it was
    /// read.
    ///
    /// The whole list is for a host that has lost the store, and for one that started while the
    /// store was away: nobody's changes reach back to what such a host knows, and without the list
    /// it would serve an old table, or none, for as long as the store is out of its reach.
    #[must_use]
    pub fn behind(&self, revision: u64) -> Option<News> {
        let newest = self.revision?;
        let is_whole = revision < self.base || revision == 0;
        let is_wanted = |entry: &&Entry| match is_whole {
            true => entry.fact != Fact::Removed,
            false => entry.revision > revision,
        };
        let mut entries: Vec<Entry> = self.entries.values().filter(is_wanted).cloned().collect();
        entries.sort_by_key(|entry| entry.revision);
        Some(News { entries, revision: newest, is_whole })
    }
}
