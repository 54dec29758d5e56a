//! A list of the store as this host knows it, for hosts that take it from this one.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

use policy::name::Name;
use policy::recovery::{self, Phase, Recovery};
use policy::revision::Revision;
use policy::time::Millis;
use wire::routing::{Edit, Table};

use crate::store::{Doubts, Entry, Fact, News};

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
struct Known {
    entry: Entry,
    /// The store's counter at the change before, if this host knows that; 0 if there was none.
    before: Option<u64>,
}

impl Known {
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
    entries: BTreeMap<Name, Known>,
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
    /// What the list has in place of entries that are kept against it since; none of those that it lacks.
    doubts: BTreeMap<Name, Option<Entry>>,
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
            doubts: BTreeMap::new(),
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

    /// Whether this host holds on to something against the list.
    #[must_use]
    pub fn is_doubting(&self) -> bool {
        !self.doubts.is_empty()
    }

    /// What the list says in place of what was held on to for long enough; none if there is nothing.
    #[must_use]
    pub fn settle(&self, now: Millis) -> Option<News> {
        let phase = self.recovery.phase(now);
        let is_due = |listed: &Option<Entry>| match listed {
            None => phase > Phase::AllDoubted,
            Some(_) => phase == Phase::Settled,
        };
        let revision = self.revision?.next_step();
        let due = self.doubts.iter().filter(|(_, listed)| is_due(listed));
        let entries: Vec<Entry> = due
            .map(|(key, listed)| {
                let fact = listed.as_ref().map_or(Fact::Removed, |listed| listed.fact.clone());
                Entry { key: key.clone(), revision, fact }
            })
            .collect();
        (!entries.is_empty()).then(|| News { entries, revision, ..News::default() })
    }

    /// News as they are to be taken: of a whole list that is read soon after the store has come back from a copy,
    /// what this host knows goes before what may be of before the copy.
    pub fn reconcile<'a>(&mut self, news: &'a News, now: Millis) -> Reconciled<'a> {
        let knows_before = self.enter(news, now);
        let phase = self.recovery.phase(now);
        if !news.is_whole || !knows_before || phase == Phase::Settled {
            return Reconciled { news: self.with_own_steps(news), missing: 0, doubted: 0 };
        }
        let listed: HashSet<&Name> = news.entries.iter().map(|entry| &entry.key).collect();
        let given = news.doubts.as_ref().map(|doubts| doubts.held.clone()).unwrap_or_default();
        let (mut entries, mut doubted, mut held) = (Vec::new(), Vec::new(), given.clone());
        for entry in &news.entries {
            match self.entries.get(&entry.key) {
                Some(known) if self.is_held_against(known, entry) => {
                    doubted.push(known.entry.clone());
                    held.insert(entry.key.clone(), Some(entry.clone()));
                }
                _ => entries.push(entry.clone()),
            }
        }
        let is_lost = |known: &&Known| {
            let key = &known.entry.key;
            let is_of_before = known.entry.revision.era < news.revision.era;
            let is_held = is_of_before || self.doubts.get(key) == Some(&None);
            is_held && !known.is_removed() && !listed.contains(key) && !given.contains_key(key)
        };
        let lost = self.entries.values().filter(|_| phase == Phase::AllDoubted).filter(is_lost);
        let missing: Vec<Entry> = lost.map(|known| known.entry.clone()).collect();
        let counts = (missing.len(), doubted.len());
        held.extend(missing.iter().map(|entry| (entry.key.clone(), None)));
        self.doubts = held;
        // Those that have the list as the store says it lack these.
        let own = self.revision.unwrap_or_default().max(news.revision);
        let revision = if counts == (0, 0) { own } else { own.next_step() };
        let kept = missing.into_iter().chain(doubted);
        entries.extend(kept.map(|entry| Entry { revision, ..entry }));
        let news = Cow::Owned(News { entries, revision, ..news.clone() });
        Reconciled { news, missing: counts.0, doubted: counts.1 }
    }

    /// A whole list as of the revision that this host has, if that is the same in the store: it is no older.
    fn with_own_steps<'a>(&self, news: &'a News) -> Cow<'a, News> {
        match self.revision {
            Some(own) if news.is_whole && own.stored() == news.revision => {
                Cow::Owned(News { revision: own, ..news.clone() })
            }
            _ => Cow::Borrowed(news),
        }
    }

    /// Whether an entry is held on to against what the list has in its place. What was held on to before is not of
    /// the list, whatever revision it was given here.
    fn is_held_against(&self, known: &Known, listed: &Entry) -> bool {
        match self.doubts.contains_key(&listed.key) {
            true => {
                let is_newer = known.entry.revision >= listed.revision;
                is_newer && !is_same(&known.entry.fact, &listed.fact)
            }
            false => known.outlasts(listed),
        }
    }

    /// Notes that the store has come back from a copy, if these news are the first to show that; whether this host
    /// knows the list as it was before.
    fn enter(&mut self, news: &News, now: Millis) -> bool {
        let Some(own) = self.revision else {
            self.doubt_with(news, now);
            return false;
        };
        let is_back = own.era < news.revision.era;
        let is_new = self.recovery.age_ms(now).is_none();
        match &news.doubts {
            Some(doubts) if is_back => self.recovery.begin(now - doubts.age_ms),
            None if is_back => self.recovery.begin(now),
            _ if is_new => self.doubt_with(news, now),
            _ => {}
        }
        if is_back {
            self.doubts.clear();
        }
        is_back || !is_new
    }

    /// Takes over what the giver of a list holds on to against it.
    fn doubt_with(&mut self, news: &News, now: Millis) {
        if let Some(doubts) = &news.doubts {
            self.recovery.begin(now - doubts.age_ms);
            self.doubts = doubts.held.clone();
        }
    }

    /// Takes in news: the whole list, or all changes between the newest revision and theirs.
    pub fn take(&mut self, news: &News) {
        match self.revision {
            // From a store that answered late; nothing in it is missing here.
            Some(revision) if news.is_whole && news.revision < revision.stored() => return,
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
            self.put(entry.clone(), news.is_whole);
            if !news.is_whole {
                self.doubts.remove(&entry.key);
            }
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
        let was_removed = held.is_some_and(Known::is_removed);
        let held = Known { entry, before };
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
        let age_ms = self.recovery.age_ms(now);
        let doubts = age_ms.map(|age_ms| Doubts { age_ms, held: self.doubts.clone() });
        Some(News { entries, revision: newest, is_whole, doubts: doubts.filter(|_| is_whole) })
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
