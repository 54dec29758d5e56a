//! A list of the store as this host knows it, for hosts that take it from this one.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

use policy::name::Name;
use wire::routing::{Edit, Table};

use crate::store::{Entry, Fact, News};

/// Removed entries kept, at least, and as many as are listed: all servers may be replaced within a
/// minute. Of more, those that changed first are forgotten.
const REMOVED_MIN: usize = 2_048;

/// Edits of the table kept: a host that missed some of a storm of changes is sent all of them at once.
const EDITS_MAX: usize = 16;
/// An edit that names more than this part of a table is as well sent whole.
const EDIT_PART_MAX: f64 = 0.25;

/// An edit of the table.
#[derive(Clone, Debug)]
struct Edited {
    /// Revision of the entry that it is made of.
    before: u64,
    /// As others are sent it.
    entry: Entry,
}

/// Each entry's last change. All entries are here, and changes behind a revision are complete.
#[derive(Debug, Default)]
pub struct History {
    entries: BTreeMap<Name, Entry>,
    /// How many of them are removals.
    removed: usize,
    /// Changes behind this revision are all here, removals included.
    base: u64,
    /// The newest revision taken in; none before the list was read. An empty store is at revision
    /// 0, and a list read there has been read.
    revision: Option<u64>,
    /// That of the newest change.
    changed: u64,
    /// The last edits of the table, each made of what the one before it makes.
    edits: VecDeque<Edited>,
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
                self.note_edit(entry);
                let before = self.entries.insert(entry.key.clone(), entry.clone());
                self.removed += usize::from(entry.fact == Fact::Removed);
                self.removed -= usize::from(before.is_some_and(|e| e.fact == Fact::Removed));
            }
        }
        self.revision = self.revision.max(Some(news.revision));
        self.forget();
    }

    /// Keeps what makes a new table of the one before.
    fn note_edit(&mut self, entry: &Entry) {
        let Fact::Table(new) = &entry.fact else { return };
        let held = self.entries.get(&entry.key);
        let Some(Entry { fact: Fact::Table(old), revision: before, .. }) = held else { return };
        let edit = Edit::between(old, new).filter(|edit| is_small(edit, new));
        match edit {
            Some(edit) => {
                let fact = Fact::Edit(Arc::new(edit));
                let (key, revision) = (entry.key.clone(), entry.revision);
                let entry = Entry { key, revision, fact };
                self.edits.push_back(Edited { before: *before, entry });
                self.edits.drain(..self.edits.len().saturating_sub(EDITS_MAX));
            }
            None => self.edits.clear(),
        }
    }

    /// News with the tables that their edits make; none if this host does not know what an edit is made
    /// of.
    #[must_use]
    pub fn resolve<'a>(&self, news: &'a News) -> Option<Cow<'a, News>> {
        let has_edit = |news: &News| news.entries.iter().any(|e| matches!(e.fact, Fact::Edit(_)));
        if !has_edit(news) {
            return Some(Cow::Borrowed(news));
        }
        let mut news = news.clone();
        let mut tables: BTreeMap<Name, Arc<Table>> = BTreeMap::new();
        for entry in &mut news.entries {
            let Fact::Edit(edit) = &entry.fact else { continue };
            let held = match self.entries.get(&entry.key).map(|held| &held.fact) {
                Some(Fact::Table(table)) => Some(table),
                _ => None,
            };
            let table = tables.get(&entry.key).or(held)?;
            // What this host knows already, or something newer, stays.
            let table = match table.version >= edit.to {
                true => Arc::clone(table),
                false => Arc::new(edit.apply(table)?),
            };
            tables.insert(entry.key.clone(), Arc::clone(&table));
            entry.fact = Fact::Table(table);
        }
        Some(Cow::Owned(news))
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
                self.removed += 1;
                entry.revision = news.revision;
                self.changed = self.changed.max(news.revision);
            }
        }
    }

    /// Forgets the oldest removals beyond those kept.
    fn forget(&mut self) {
        let kept = REMOVED_MIN.max(self.entries.len() - self.removed);
        if self.removed <= kept {
            return;
        }
        let removed = self.entries.values().filter(|entry| entry.fact == Fact::Removed);
        let mut revisions: Vec<u64> = removed.map(|entry| entry.revision).collect();
        revisions.sort_unstable();
        let last = revisions[revisions.len() - kept - 1];
        self.entries.retain(|_, entry| entry.fact != Fact::Removed || entry.revision > last);
        self.removed = self.entries.values().filter(|entry| entry.fact == Fact::Removed).count();
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
        let wanted = self.entries.values().filter(is_wanted);
        let mut entries: Vec<Entry> = wanted
            .flat_map(|entry| match is_whole {
                true => vec![entry.clone()],
                false => self.edits_behind(revision, entry),
            })
            .collect();
        entries.sort_by_key(|entry| entry.revision);
        Some(News { entries, revision: newest, is_whole })
    }

    /// An entry as it is sent to those that know the list as of a revision: a table by its edits since,
    /// if they are all known.
    fn edits_behind(&self, revision: u64, entry: &Entry) -> Vec<Entry> {
        let edits = self.edits.iter().filter(|edited| edited.entry.key == entry.key);
        let mut edits = edits.skip_while(|edited| edited.entry.revision <= revision).peekable();
        match (&entry.fact, edits.peek()) {
            (Fact::Table(_), Some(first)) if first.before <= revision => {
                edits.map(|edited| edited.entry.clone()).collect()
            }
            _ => vec![entry.clone()],
        }
    }
}

fn is_small(edit: &Edit, table: &Table) -> bool {
    let all = table.routes.len() + table.services.len() + table.accounts.len();
    edit.len() as f64 <= EDIT_PART_MAX * all as f64
}
