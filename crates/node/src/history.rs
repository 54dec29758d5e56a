//! A list of the store as this host knows it, for hosts that take it from this one.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::sync::Arc;

use policy::name::Name;
use policy::recovery::{self, Phase, Recovery};
use policy::revision::Revision;
use policy::time::Millis;
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
    before: Revision,
    /// As others are sent it.
    entry: Entry,
}

/// An entry as it was last changed.
#[derive(Clone, Debug)]
struct Held {
    entry: Entry,
    /// The store's counter at the change before, if this host knows that; 0 if there was none.
    before: Option<u64>,
}

impl Held {
    fn is_removed(&self) -> bool {
        self.entry.fact == Fact::Removed
    }

    /// Whether what a list has in place of this may be of before the copy that the store came back from, and
    /// would undo what was acknowledged.
    ///
    /// A server that leaves does so whoever says it; one that starts again under its id knows nothing of before.
    fn outlasts(&self, listed: &Entry) -> bool {
        match (&self.entry.fact, &listed.fact) {
            (held, listed) if is_same(held, listed) => false,
            (Fact::Table(held), Fact::Table(listed)) => listed.version < held.version,
            (_, Fact::Backend(listed)) if listed.draining => false,
            (Fact::Backend(held), Fact::Backend(listed))
                if !held.draining || held.born < listed.born =>
            {
                false
            }
            _ => recovery::is_doubtful(listed.revision, self.entry.revision, self.before),
        }
    }

    /// Whether a change of it is newer. Tables are numbered by operators, who go on from the highest.
    fn yields_to(&self, change: &Entry) -> bool {
        let is_older_table = match (&self.entry.fact, &change.fact) {
            (Fact::Table(held), Fact::Table(new)) => new.version < held.version,
            _ => false,
        };
        !is_older_table && self.entry.revision < change.revision
    }
}

/// Whether both say the same, whenever they were written.
fn is_same(one: &Fact, other: &Fact) -> bool {
    match (one, other) {
        (Fact::Order(one), Fact::Order(other)) => one.is_same(other),
        _ => one == other,
    }
}

/// What became of a whole list that was read after the store had come back from a copy.
#[derive(Debug)]
pub struct Reconciled<'a> {
    /// The list, with what is held on to against it.
    pub news: Cow<'a, News>,
    /// Entries that it lacks, and that are kept.
    pub missing: usize,
    /// Entries that it has otherwise, and that stay as they were.
    pub doubted: usize,
}

/// Each entry's last change. All entries are here, and changes behind a revision are complete.
#[derive(Debug)]
pub struct History {
    entries: BTreeMap<Name, Held>,
    /// How many of them are removals.
    removed: usize,
    /// Changes behind this revision are all here, removals included.
    base: Revision,
    /// The newest revision taken in; none before the list was read. An empty store is at revision
    /// 0, and a list read there has been read.
    revision: Option<Revision>,
    /// That of the newest change.
    changed: Revision,
    /// The last edits of the table, each made of what the one before it makes.
    edits: VecDeque<Edited>,
    /// Whether the store has come back from a copy lately.
    recovery: Recovery,
    /// What was held on to against the list since.
    unsettled: BTreeSet<Name>,
}

impl History {
    /// Nothing read yet, of a list whose entries are kept for so long though a copy lacks them, in milliseconds.
    #[must_use]
    pub fn new(missing_ms: u64) -> Self {
        Self {
            entries: BTreeMap::new(),
            removed: 0,
            base: Revision::NONE,
            revision: None,
            changed: Revision::NONE,
            edits: VecDeque::new(),
            recovery: Recovery::new(missing_ms),
            unsettled: BTreeSet::new(),
        }
    }

    /// The newest revision taken in; none before the list was read.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// The revision of the newest change; the list is the same since.
    #[must_use]
    pub fn changed(&self) -> Revision {
        self.changed
    }

    /// Whether the whole list, read now, would settle what was doubted when it was last read.
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        self.recovery.is_due(now)
    }

    /// Whether the list has long settled, and this host still holds on to something against it: whoever reads for
    /// it has never doubted that, and says nothing of it.
    #[must_use]
    pub fn is_unsettled(&self, now: Millis) -> bool {
        let era = self.revision.unwrap_or_default().era;
        let is_old = |held: &Held| {
            held.entry.revision.era < era && !matches!(held.entry.fact, Fact::Table(_))
        };
        let is_open = self.recovery.is_due(now) && self.recovery.phase(now) == Phase::Settled;
        let mut held = self.unsettled.iter().filter_map(|key| self.entries.get(key));
        is_open && held.any(is_old)
    }

    /// News as they are to be taken: of a whole list that is read soon after the store has come back from a copy,
    /// what this host knows goes before what may be of before the copy.
    pub fn reconcile<'a>(&mut self, news: &'a News, now: Millis) -> Reconciled<'a> {
        self.enter(news, now);
        let phase = self.recovery.phase(now);
        let is_plain = !news.is_whole || self.revision.is_none() || phase == Phase::Settled;
        if news.is_whole {
            self.recovery.read(phase);
        }
        if is_plain {
            return Reconciled { news: Cow::Borrowed(news), missing: 0, doubted: 0 };
        }
        let listed: HashSet<&Name> = news.entries.iter().map(|entry| &entry.key).collect();
        let (mut entries, mut doubted) = (Vec::new(), Vec::new());
        for entry in &news.entries {
            match self.entries.get(&entry.key) {
                Some(held) if held.outlasts(entry) => doubted.push(held.entry.clone()),
                _ => entries.push(entry.clone()),
            }
        }
        let is_kept = |held: &&Held| {
            !held.is_removed()
                && held.entry.revision.era < news.revision.era
                && !listed.contains(&held.entry.key)
        };
        let missing: Vec<Entry> = match phase {
            Phase::Missing => {
                self.entries.values().filter(is_kept).map(|held| held.entry.clone()).collect()
            }
            Phase::Changed | Phase::Settled => Vec::new(),
        };
        let counts = (missing.len(), doubted.len());
        self.unsettled.extend(missing.iter().chain(&doubted).map(|entry| entry.key.clone()));
        entries.extend(missing);
        entries.extend(doubted.into_iter().filter(|entry| entry.fact != Fact::Removed));
        let news = Cow::Owned(News { entries, ..news.clone() });
        Reconciled { news, missing: counts.0, doubted: counts.1 }
    }

    /// Notes that the store has come back from a copy, if these news are the first to show that.
    fn enter(&mut self, news: &News, now: Millis) {
        let is_first = self.revision.is_none();
        let is_back = self.revision.is_some_and(|own| own.era < news.revision.era);
        match news.restored_ms {
            Some(ago_ms) if is_first || is_back => self.recovery.begin(now - ago_ms),
            None if is_back => self.recovery.begin(now),
            _ => {}
        }
    }

    /// Takes in news: the whole list, or all changes between the newest revision and theirs.
    pub fn take(&mut self, news: &News) {
        let known = self.revision;
        match known {
            // From a store that answered late; nothing in it is missing here.
            Some(revision) if news.is_whole && news.revision < revision => return,
            // Changes say nothing of what was lost with the return from a copy.
            Some(revision) if !news.is_whole && news.revision.era > revision.era => return,
            Some(revision) if news.revision.era > revision.era => {
                self.note_removed(news);
                self.edits.clear();
                (self.base, self.changed) = (news.revision, news.revision);
            }
            None => {
                // What was removed before is not known.
                self.base = news.revision;
                self.changed = news.revision;
            }
            Some(_) if news.is_whole => self.note_removed(news),
            Some(_) => {}
        }
        for entry in &news.entries {
            // Others that know the list as of then have been told otherwise.
            let is_late = news.is_whole && known >= Some(entry.revision);
            let revision = if is_late { news.revision } else { entry.revision };
            self.put(Entry { revision, ..entry.clone() }, news.is_whole);
        }
        self.revision = self.revision.max(Some(news.revision));
        self.forget();
    }

    /// Takes in one entry, of a whole list or as it was changed.
    fn put(&mut self, entry: Entry, is_listed: bool) {
        let held = self.entries.get(&entry.key);
        if held.is_some_and(|held| !held.yields_to(&entry)) {
            return;
        }
        self.changed = self.changed.max(entry.revision);
        self.note_edit(&entry);
        let held = self.entries.get(&entry.key);
        let before = match held {
            Some(held) if is_same(&held.entry.fact, &entry.fact) => held.before,
            Some(held) if held.entry.revision.era == entry.revision.era => {
                Some(held.entry.revision.number)
            }
            None if !is_listed => Some(0),
            _ => None,
        };
        let was_removed = held.is_some_and(Held::is_removed);
        let held = Held { entry, before };
        self.removed += usize::from(held.is_removed());
        self.removed -= usize::from(was_removed);
        self.entries.insert(held.entry.key.clone(), held);
    }

    /// Keeps what makes a new table of the one before.
    fn note_edit(&mut self, entry: &Entry) {
        let Fact::Table(new) = &entry.fact else { return };
        let held = self.entries.get(&entry.key).map(|held| &held.entry);
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
            let held = match self.entries.get(&entry.key).map(|held| &held.entry.fact) {
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
        for (key, held) in &mut self.entries {
            if !listed.contains(key) && !held.is_removed() {
                held.before = Some(held.entry.revision.number);
                held.entry.fact = Fact::Removed;
                held.entry.revision = news.revision;
                self.removed += 1;
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
        let removed = self.entries.values().filter(|held| held.is_removed());
        let mut revisions: Vec<Revision> = removed.map(|held| held.entry.revision).collect();
        revisions.sort_unstable();
        let last = revisions[revisions.len() - kept - 1];
        self.entries.retain(|_, held| !held.is_removed() || held.entry.revision > last);
        self.removed = self.entries.values().filter(|held| held.is_removed()).count();
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
    pub fn behind(&self, revision: Revision, now: Millis) -> Option<News> {
        let newest = self.revision?;
        let is_whole = revision < self.base || revision == Revision::NONE;
        let is_wanted = |entry: &&Entry| match is_whole {
            true => entry.fact != Fact::Removed,
            false => entry.revision > revision,
        };
        let wanted = self.entries.values().map(|held| &held.entry).filter(is_wanted);
        let mut entries: Vec<Entry> = wanted
            .flat_map(|entry| match is_whole {
                true => vec![entry.clone()],
                false => self.edits_behind(revision, entry),
            })
            .collect();
        entries.sort_by_key(|entry| entry.revision);
        let restored_ms = self.recovery.age_ms(now);
        Some(News { entries, revision: newest, is_whole, restored_ms })
    }

    /// An entry as it is sent to those that know the list as of a revision: a table by its edits since,
    /// if they are all known.
    fn edits_behind(&self, revision: Revision, entry: &Entry) -> Vec<Entry> {
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
