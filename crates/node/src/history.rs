//! A list of the store as this host knows it, for hosts that take it from this one.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

use policy::name::Name;
use policy::recovery::{self, Phase, Recovery};
use policy::revision::Revision;
use policy::time::Millis;
use wire::routing::{Edit, Table};

use crate::store::{Entry, Fact, Overrides, Update};

/// Removed entries kept, at least, and as many as are listed: all servers may be replaced within a
/// minute. Of more, those that changed first are forgotten.
const REMOVED_MIN: usize = 2_048;

/// Edits of the table kept: a host that missed some of a storm of changes is sent all of them at once.
const EDITS_MAX: usize = 16;
/// An edit that names more than this part of a table is as well sent whole.
const EDIT_FRACTION_MAX: f64 = 0.25;

/// An edit of the table.
#[derive(Clone, Debug)]
struct TableEdit {
    /// Revision of the entry that it is made of.
    base: Revision,
    /// As others are sent it.
    entry: Entry,
}

/// An entry as it was last changed.
#[derive(Clone, Debug)]
struct KnownEntry {
    entry: Entry,
    /// The store's counter at the change before, if this host knows that; 0 if there was none.
    previous_number: Option<u64>,
}

impl KnownEntry {
    fn is_removed(&self) -> bool {
        self.entry.fact == Fact::Removed
    }

    /// Whether what a list has in place of this may be of before the copy that the store came back from, and
    /// would undo what was acknowledged.
    ///
    /// A server that leaves does so whoever says it; one that starts again under its id knows nothing of before.
    fn overrides_listed(&self, listed: &Entry) -> bool {
        match (&self.entry.fact, &listed.fact) {
            (held, listed) if says_same(held, listed) => false,
            (Fact::Table(held), Fact::Table(listed)) => listed.version < held.version,
            (_, Fact::Backend(listed)) if listed.draining => false,
            (Fact::Backend(held), Fact::Backend(listed))
                if !held.draining || held.born < listed.born =>
            {
                false
            }
            _ => recovery::is_doubtful(listed.revision, self.entry.revision, self.previous_number),
        }
    }

    /// Whether a change of it is newer. Tables are numbered by operators, who go on from the highest.
    fn is_superseded_by(&self, change: &Entry) -> bool {
        let is_older_table = match (&self.entry.fact, &change.fact) {
            (Fact::Table(held), Fact::Table(new)) => new.version < held.version,
            _ => false,
        };
        !is_older_table && self.entry.revision < change.revision
    }
}

/// Whether both say the same, whenever they were written.
fn says_same(one: &Fact, other: &Fact) -> bool {
    match (one, other) {
        (Fact::Order(one), Fact::Order(other)) => one.is_same(other),
        _ => one == other,
    }
}

/// What became of a whole list that was read after the store had come back from a copy.
#[derive(Debug)]
pub struct Reconciled<'a> {
    /// The list, with what is held on to against it.
    pub update: Cow<'a, Update>,
    /// Entries that it lacks, and that are kept.
    pub missing: usize,
    /// Entries that it has otherwise, and that stay as they were.
    pub doubted: usize,
}

/// Each entry's last change. All entries are here, and changes behind a revision are complete.
#[derive(Debug)]
pub struct History {
    entries: BTreeMap<Name, KnownEntry>,
    /// How many of them are removals.
    removed: usize,
    /// Changes behind this revision are all here, removals included.
    complete_since: Revision,
    /// The newest revision taken in; none before the list was read. An empty store is at revision
    /// 0, and a list read there has been read.
    revision: Option<Revision>,
    /// That of the newest change.
    last_change: Revision,
    /// The last edits of the table, each made of what the one before it makes.
    edits: VecDeque<TableEdit>,
    /// Whether the store has come back from a copy lately.
    recovery: Recovery,
    /// What the list has in place of entries that are kept against it since; none of those that it lacks.
    overridden: BTreeMap<Name, Option<Entry>>,
}

impl History {
    /// Nothing read yet, of a list whose entries are kept for so long though a copy lacks them, in milliseconds.
    #[must_use]
    pub fn new(missing_ms: u64) -> Self {
        Self {
            entries: BTreeMap::new(),
            removed: 0,
            complete_since: Revision::NONE,
            revision: None,
            last_change: Revision::NONE,
            edits: VecDeque::new(),
            recovery: Recovery::new(missing_ms),
            overridden: BTreeMap::new(),
        }
    }

    /// The newest revision taken in; none before the list was read.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// The revision of the newest change; the list is the same since.
    #[must_use]
    pub fn last_change(&self) -> Revision {
        self.last_change
    }

    /// Whether this host holds on to something against the list.
    #[must_use]
    pub fn has_overrides(&self) -> bool {
        !self.overridden.is_empty()
    }

    /// What the list says in place of what was held on to for long enough; none if there is nothing.
    #[must_use]
    pub fn expire_overrides(&self, now: Millis) -> Option<Update> {
        let phase = self.recovery.phase(now);
        let is_due = |listed: &Option<Entry>| match listed {
            None => phase > Phase::Missing,
            Some(_) => phase == Phase::Settled,
        };
        let revision = self.revision?.next_step();
        let due = self.overridden.iter().filter(|(_, listed)| is_due(listed));
        let entries: Vec<Entry> = due
            .map(|(key, listed)| {
                let fact = listed.as_ref().map_or(Fact::Removed, |listed| listed.fact.clone());
                Entry { key: key.clone(), revision, fact }
            })
            .collect();
        (!entries.is_empty()).then(|| Update { entries, revision, ..Update::default() })
    }

    /// News as they are to be taken: of a whole list that is read soon after the store has come back from a copy,
    /// what this host knows goes before what may be of before the copy.
    pub fn reconcile<'a>(&mut self, update: &'a Update, now: Millis) -> Reconciled<'a> {
        let knows_state_before = self.detect_restore(update, now);
        let phase = self.recovery.phase(now);
        if !update.is_whole || !knows_state_before || phase == Phase::Settled {
            return Reconciled { update: self.with_own_steps(update), missing: 0, doubted: 0 };
        }
        let listed: HashSet<&Name> = update.entries.iter().map(|entry| &entry.key).collect();
        let inherited =
            update.overrides.as_ref().map(|overrides| overrides.held.clone()).unwrap_or_default();
        let (mut entries, mut doubted, mut held) = (Vec::new(), Vec::new(), inherited.clone());
        for entry in &update.entries {
            match self.entries.get(&entry.key) {
                Some(known) if self.is_override_of(known, entry) => {
                    doubted.push(known.entry.clone());
                    held.insert(entry.key.clone(), Some(entry.clone()));
                }
                _ => entries.push(entry.clone()),
            }
        }
        let is_lost = |known: &&KnownEntry| {
            let key = &known.entry.key;
            let is_of_before = known.entry.revision.era < update.revision.era;
            let is_held = is_of_before || self.overridden.get(key) == Some(&None);
            is_held && !known.is_removed() && !listed.contains(key) && !inherited.contains_key(key)
        };
        let lost = self.entries.values().filter(|_| phase == Phase::Missing).filter(is_lost);
        let missing: Vec<Entry> = lost.map(|known| known.entry.clone()).collect();
        let counts = (missing.len(), doubted.len());
        held.extend(missing.iter().map(|entry| (entry.key.clone(), None)));
        self.overridden = held;
        // Those that have the list as the store says it lack these.
        let own = self.revision.unwrap_or_default().max(update.revision);
        let revision = if counts == (0, 0) { own } else { own.next_step() };
        let kept = missing.into_iter().chain(doubted);
        entries.extend(kept.map(|entry| Entry { revision, ..entry }));
        let update = Cow::Owned(Update { entries, revision, ..update.clone() });
        Reconciled { update, missing: counts.0, doubted: counts.1 }
    }

    /// A whole list as of the revision that this host has, if that is the same in the store: it is no older.
    fn with_own_steps<'a>(&self, update: &'a Update) -> Cow<'a, Update> {
        match self.revision {
            Some(own) if update.is_whole && own.stored() == update.revision => {
                Cow::Owned(Update { revision: own, ..update.clone() })
            }
            _ => Cow::Borrowed(update),
        }
    }

    /// Whether an entry is held on to against what the list has in its place. What was held on to before is not of
    /// the list, whatever revision it was given here.
    fn is_override_of(&self, known: &KnownEntry, listed: &Entry) -> bool {
        match self.overridden.contains_key(&listed.key) {
            true => {
                let is_newer = known.entry.revision >= listed.revision;
                is_newer && !says_same(&known.entry.fact, &listed.fact)
            }
            false => known.overrides_listed(listed),
        }
    }

    /// Notes that the store has come back from a copy, if these news are the first to show that; whether this host
    /// knows the list as it was before.
    fn detect_restore(&mut self, update: &Update, now: Millis) -> bool {
        let Some(own) = self.revision else {
            self.adopt_overrides(update, now);
            return false;
        };
        let is_back = own.era < update.revision.era;
        let is_new = self.recovery.age_ms(now).is_none();
        match &update.overrides {
            Some(overrides) if is_back => self.recovery.begin(now - overrides.age_ms),
            None if is_back => self.recovery.begin(now),
            _ if is_new => self.adopt_overrides(update, now),
            _ => {}
        }
        if is_back {
            self.overridden.clear();
        }
        is_back || !is_new
    }

    /// Takes over what the giver of a list holds on to against it.
    fn adopt_overrides(&mut self, update: &Update, now: Millis) {
        if let Some(overrides) = &update.overrides {
            self.recovery.begin(now - overrides.age_ms);
            self.overridden = overrides.held.clone();
        }
    }

    /// Takes in news: the whole list, or all changes between the newest revision and theirs.
    pub fn apply(&mut self, update: &Update) {
        match self.revision {
            // From a store that answered late; nothing in it is missing here.
            Some(revision) if update.is_whole && update.revision < revision.stored() => return,
            // Changes say nothing of what was lost with the return from a copy.
            Some(revision) if !update.is_whole && update.revision.era > revision.era => return,
            Some(revision) if update.revision.era > revision.era => {
                self.record_removals(update);
                self.edits.clear();
                (self.complete_since, self.last_change) = (update.revision, update.revision);
            }
            None => {
                // What was removed before is not known.
                self.complete_since = update.revision;
                self.last_change = update.revision;
            }
            Some(_) if update.is_whole => self.record_removals(update),
            Some(_) => {}
        }
        for entry in &update.entries {
            self.apply_entry(entry.clone(), update.is_whole);
            if !update.is_whole {
                self.overridden.remove(&entry.key);
            }
        }
        self.revision = self.revision.max(Some(update.revision));
        self.evict_removals();
    }

    /// Takes in one entry, of a whole list or as it was changed.
    fn apply_entry(&mut self, entry: Entry, is_listed: bool) {
        let held = self.entries.get(&entry.key);
        if held.is_some_and(|held| !held.is_superseded_by(&entry)) {
            return;
        }
        self.last_change = self.last_change.max(entry.revision);
        self.record_edit(&entry);
        let held = self.entries.get(&entry.key);
        let previous_number = match held {
            Some(held) if says_same(&held.entry.fact, &entry.fact) => held.previous_number,
            Some(held) if held.entry.revision.era == entry.revision.era => {
                Some(held.entry.revision.number)
            }
            None if !is_listed => Some(0),
            _ => None,
        };
        let was_removed = held.is_some_and(KnownEntry::is_removed);
        let held = KnownEntry { entry, previous_number };
        self.removed += usize::from(held.is_removed());
        self.removed -= usize::from(was_removed);
        self.entries.insert(held.entry.key.clone(), held);
    }

    /// Keeps what makes a new table of the one before.
    fn record_edit(&mut self, entry: &Entry) {
        let Fact::Table(new) = &entry.fact else { return };
        let held = self.entries.get(&entry.key).map(|held| &held.entry);
        let Some(Entry { fact: Fact::Table(old), revision: base, .. }) = held else { return };
        let edit = Edit::between(old, new).filter(|edit| is_small(edit, new));
        match edit {
            Some(edit) => {
                let fact = Fact::Edit(Arc::new(edit));
                let (key, revision) = (entry.key.clone(), entry.revision);
                let entry = Entry { key, revision, fact };
                self.edits.push_back(TableEdit { base: *base, entry });
                self.edits.drain(..self.edits.len().saturating_sub(EDITS_MAX));
            }
            None => self.edits.clear(),
        }
    }

    /// News with the tables that their edits make; none if this host does not know what an edit is made
    /// of.
    #[must_use]
    pub fn resolve<'a>(&self, update: &'a Update) -> Option<Cow<'a, Update>> {
        let has_edit =
            |update: &Update| update.entries.iter().any(|e| matches!(e.fact, Fact::Edit(_)));
        if !has_edit(update) {
            return Some(Cow::Borrowed(update));
        }
        let mut update = update.clone();
        let mut tables: BTreeMap<Name, Arc<Table>> = BTreeMap::new();
        for entry in &mut update.entries {
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
        Some(Cow::Owned(update))
    }

    /// What a list read afresh no longer holds was removed since.
    ///
    /// With that, changes behind older revisions stay complete. Without it every host of the failure
    /// domain would have to read the whole list whenever the store has dropped its history.
    fn record_removals(&mut self, update: &Update) {
        let listed: HashSet<&Name> = update.entries.iter().map(|entry| &entry.key).collect();
        for (key, held) in &mut self.entries {
            if !listed.contains(key) && !held.is_removed() {
                held.previous_number = Some(held.entry.revision.number);
                held.entry.fact = Fact::Removed;
                held.entry.revision = update.revision;
                self.removed += 1;
                self.last_change = self.last_change.max(update.revision);
            }
        }
    }

    /// Forgets the oldest removals beyond those kept.
    fn evict_removals(&mut self) {
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
        self.complete_since = self.complete_since.max(last);
    }

    /// What a host lacks that knows the list as of a revision, 0 for nothing: the changes behind it,
    /// oldest first, or the whole list if not all changes behind it are known. None before it was
    /// read.
    ///
    /// The whole list is for a host that has lost the store, and for one that started while the
    /// store was away: nobody's changes reach back to what such a host knows, and without the list
    /// it would serve an old table, or none, for as long as the store is out of its reach.
    #[must_use]
    pub fn update_since(&self, revision: Revision, now: Millis) -> Option<Update> {
        let newest = self.revision?;
        let is_whole = revision < self.complete_since || revision == Revision::NONE;
        let is_wanted = |entry: &&Entry| match is_whole {
            true => entry.fact != Fact::Removed,
            false => entry.revision > revision,
        };
        let wanted = self.entries.values().map(|held| &held.entry).filter(is_wanted);
        let mut entries: Vec<Entry> = wanted
            .flat_map(|entry| match is_whole {
                true => vec![entry.clone()],
                false => self.edits_since(revision, entry),
            })
            .collect();
        entries.sort_by_key(|entry| entry.revision);
        let age_ms = self.recovery.age_ms(now);
        let overrides = age_ms.map(|age_ms| Overrides { age_ms, held: self.overridden.clone() });
        Some(Update {
            entries,
            revision: newest,
            is_whole,
            overrides: overrides.filter(|_| is_whole),
        })
    }

    /// An entry as it is sent to those that know the list as of a revision: a table by its edits since,
    /// if they are all known.
    fn edits_since(&self, revision: Revision, entry: &Entry) -> Vec<Entry> {
        let edits = self.edits.iter().filter(|edit| edit.entry.key == entry.key);
        let mut edits = edits.skip_while(|edit| edit.entry.revision <= revision).peekable();
        match (&entry.fact, edits.peek()) {
            (Fact::Table(_), Some(first)) if first.base <= revision => {
                edits.map(|edit| edit.entry.clone()).collect()
            }
            _ => vec![entry.clone()],
        }
    }
}

fn is_small(edit: &Edit, table: &Table) -> bool {
    let all = table.routes.len() + table.services.len() + table.accounts.len();
    edit.len() as f64 <= EDIT_FRACTION_MAX * all as f64
}
