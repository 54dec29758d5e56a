//! This host's copy of a list, from which it tells what a peer with an older copy lacks.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

use policy::name::Name;
use policy::recovery::{self, Phase, Recovery};
use policy::revision::Revision;
use policy::time::Millis;
use wire::routing::{Edit, Table};

use crate::store::{Entry, Fact, Overrides, Update};

/// Removed entries that are kept at least; as many as are listed are kept if that is more, since
/// all servers may be replaced within a minute. Beyond that, the oldest removals are evicted.
const REMOVED_MIN: usize = 2_048;

/// Edits of the routing table that are kept. A peer that missed some of many quick changes is sent
/// all of them at once.
const EDITS_MAX: usize = 16;
/// Largest edit that is sent in place of the table, as a fraction of the table's routes, services
/// and accounts. A longer edit saves nothing.
const EDIT_FRACTION_MAX: f64 = 0.25;

/// Change of the routing table from one version to the next.
#[derive(Clone, Debug)]
struct TableEdit {
    /// Revision of the table's entry that the edit is based on.
    base: Revision,
    /// The edit as it is sent to peers.
    entry: Entry,
}

/// An entry as of its last change.
#[derive(Clone, Debug)]
struct KnownEntry {
    entry: Entry,
    /// Number of the revision of the change before; 0 if there was none, `None` if this host does
    /// not know it.
    previous_number: Option<u64>,
}

impl KnownEntry {
    fn is_removed(&self) -> bool {
        self.entry.fact == Fact::Removed
    }

    /// Whether this entry overrides what the list has in its place, because that may be older than
    /// the copy that the store was restored from and would undo an acknowledged change.
    ///
    /// A server that is listed as draining is draining, whoever says so. A server that was started
    /// again under the same id is not bound by what its previous run said.
    fn overrides_listed(&self, listed: &Entry) -> bool {
        match (&self.entry.fact, &listed.fact) {
            (known, listed) if says_same(known, listed) => false,
            (Fact::Table(known), Fact::Table(listed)) => listed.version < known.version,
            (_, Fact::Backend(listed)) if listed.draining => false,
            (Fact::Backend(known), Fact::Backend(listed))
                if !known.draining || known.born < listed.born =>
            {
                false
            }
            _ => recovery::is_doubtful(listed.revision, self.entry.revision, self.previous_number),
        }
    }

    /// Whether a change of the entry is newer than this one. A routing table with a lower version
    /// is never newer, because operators number on from the highest version.
    fn is_superseded_by(&self, change: &Entry) -> bool {
        let is_older_table = match (&self.entry.fact, &change.fact) {
            (Fact::Table(known), Fact::Table(new)) => new.version < known.version,
            _ => false,
        };
        !is_older_table && self.entry.revision < change.revision
    }
}

/// Whether two contents say the same, no matter when they were written.
fn says_same(one: &Fact, other: &Fact) -> bool {
    match (one, other) {
        (Fact::Order(one), Fact::Order(other)) => one.has_same_content(other),
        _ => one == other,
    }
}

/// An update that was checked against this host's own entries, after a restore of the store from a
/// copy.
#[derive(Debug)]
pub struct Reconciled<'a> {
    /// The update, with this host's own entries where they override it.
    pub update: Cow<'a, Update>,
    /// Number of entries that the list lacks and that are kept.
    pub missing: usize,
    /// Number of entries that the list has with other content and that stay as they were.
    pub doubted: usize,
}

/// All entries of a list with their last changes, among them a bounded number of removals.
#[derive(Debug)]
pub struct History {
    entries: BTreeMap<Name, KnownEntry>,
    /// Number of removed entries among `entries`.
    removed: usize,
    /// All changes behind this revision are known, removals included.
    complete_since: Revision,
    /// The newest revision that the copy includes; `None` before the list was read. Revision 0 is
    /// not `None`: the list of an empty store has been read.
    revision: Option<Revision>,
    /// Revision of the newest change.
    last_change: Revision,
    /// The last edits of the routing table, oldest first; each is based on the table that the edit
    /// before it results in.
    edits: VecDeque<TableEdit>,
    /// Whether the store was restored from a copy recently.
    recovery: Recovery,
    /// Keys of this host's own entries that are kept against the list since the restore, with what
    /// the list has instead; `None` for entries that the list lacks.
    overridden: BTreeMap<Name, Option<Entry>>,
}

impl History {
    /// Copy of a list that has not been read yet. `missing_ms` is how long entries are kept that
    /// the list lacks after a restore, in milliseconds.
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

    /// The newest revision that the copy includes; `None` before the list was read.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Revision of the newest change; the list has stayed the same since.
    #[must_use]
    pub fn last_change(&self) -> Revision {
        self.last_change
    }

    /// Whether this host holds entries of its own against the list.
    #[must_use]
    pub fn has_overrides(&self) -> bool {
        !self.overridden.is_empty()
    }

    /// Update that gives up the overrides whose time has come, and takes what the list says
    /// instead; `None` if there are none.
    #[must_use]
    pub fn expired_overrides(&self, now: Millis) -> Option<Update> {
        let phase = self.recovery.phase(now);
        let is_due = |listed: &Option<Entry>| match listed {
            None => phase > Phase::AllDoubted,
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

    /// The update as it must be applied. If the whole list is read soon after a restore of the
    /// store from a copy, this host's entries override those that may be older than the copy.
    pub fn reconcile<'a>(&mut self, update: &'a Update, now: Millis) -> Reconciled<'a> {
        let has_state_before_restore = self.detect_restore(update, now);
        let phase = self.recovery.phase(now);
        if !update.is_whole || !has_state_before_restore || phase == Phase::Settled {
            return Reconciled { update: self.with_own_steps(update), missing: 0, doubted: 0 };
        }
        let listed: HashSet<&Name> = update.entries.iter().map(|entry| &entry.key).collect();
        let inherited =
            update.overrides.as_ref().map(|overrides| overrides.held.clone()).unwrap_or_default();
        let (mut entries, mut doubted, mut overridden) =
            (Vec::new(), Vec::new(), inherited.clone());
        for entry in &update.entries {
            match self.entries.get(&entry.key) {
                Some(known) if self.is_override_of(known, entry) => {
                    doubted.push(known.entry.clone());
                    overridden.insert(entry.key.clone(), Some(entry.clone()));
                }
                _ => entries.push(entry.clone()),
            }
        }
        let is_lost = |known: &&KnownEntry| {
            let key = &known.entry.key;
            let is_from_before = known.entry.revision.era < update.revision.era;
            let is_held = is_from_before || self.overridden.get(key) == Some(&None);
            is_held && !known.is_removed() && !listed.contains(key) && !inherited.contains_key(key)
        };
        let lost = self.entries.values().filter(|_| phase == Phase::AllDoubted).filter(is_lost);
        let missing: Vec<Entry> = lost.map(|known| known.entry.clone()).collect();
        let counts = (missing.len(), doubted.len());
        overridden.extend(missing.iter().map(|entry| (entry.key.clone(), None)));
        self.overridden = overridden;
        // A peer that has the list as the store gives it lacks the overrides, so this copy gets a
        // newer revision.
        let own = self.revision.unwrap_or_default().max(update.revision);
        let revision = if counts == (0, 0) { own } else { own.next_step() };
        let kept = missing.into_iter().chain(doubted);
        entries.extend(kept.map(|entry| Entry { revision, ..entry }));
        let update = Cow::Owned(Update { entries, revision, ..update.clone() });
        Reconciled { update, missing: counts.0, doubted: counts.1 }
    }

    /// A whole list at the same stored revision as this host's copy gets the copy's own revision,
    /// steps included, so that it does not count as older.
    fn with_own_steps<'a>(&self, update: &'a Update) -> Cow<'a, Update> {
        match self.revision {
            Some(own) if update.is_whole && own.stored() == update.revision => {
                Cow::Owned(Update { revision: own, ..update.clone() })
            }
            _ => Cow::Borrowed(update),
        }
    }

    /// Whether an entry overrides what the list has in its place. An entry that already does is
    /// compared by content too: the revision that it was given here is this host's, not the list's.
    fn is_override_of(&self, known: &KnownEntry, listed: &Entry) -> bool {
        match self.overridden.contains_key(&listed.key) {
            true => {
                let is_newer = known.entry.revision >= listed.revision;
                is_newer && !says_same(&known.entry.fact, &listed.fact)
            }
            false => known.overrides_listed(listed),
        }
    }

    /// Detects a restore of the store from a copy, if this update is the first to show it. Returns
    /// whether this host's copy holds state from before a recent restore.
    fn detect_restore(&mut self, update: &Update, now: Millis) -> bool {
        let Some(own) = self.revision else {
            self.adopt_overrides(update, now);
            return false;
        };
        let is_restored = own.era < update.revision.era;
        let is_new = self.recovery.age_ms(now).is_none();
        match &update.overrides {
            Some(overrides) if is_restored => self.recovery.begin(now - overrides.age_ms),
            None if is_restored => self.recovery.begin(now),
            _ if is_new => self.adopt_overrides(update, now),
            _ => {}
        }
        if is_restored {
            self.overridden.clear();
        }
        is_restored || !is_new
    }

    /// Takes over the overrides of the peer that sent the list.
    fn adopt_overrides(&mut self, update: &Update, now: Millis) {
        if let Some(overrides) = &update.overrides {
            self.recovery.begin(now - overrides.age_ms);
            self.overridden = overrides.held.clone();
        }
    }

    /// Applies an update: the whole list, or all changes between this copy's revision and the
    /// update's.
    pub fn apply(&mut self, update: &Update) {
        match self.revision {
            // A late answer of the store. This copy already includes everything in it.
            Some(revision) if update.is_whole && update.revision < revision.stored() => return,
            // Changes don't tell which entries were lost with the restore; only the whole list
            // does.
            Some(revision) if !update.is_whole && update.revision.era > revision.era => return,
            Some(revision) if update.revision.era > revision.era => {
                self.record_removals(update);
                self.edits.clear();
                (self.complete_since, self.last_change) = (update.revision, update.revision);
            }
            None => {
                // Entries that were removed earlier are unknown.
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

    /// Applies one entry of a whole list (`is_listed`) or of a change.
    fn apply_entry(&mut self, entry: Entry, is_listed: bool) {
        let known = self.entries.get(&entry.key);
        if known.is_some_and(|known| !known.is_superseded_by(&entry)) {
            return;
        }
        self.last_change = self.last_change.max(entry.revision);
        self.record_edit(&entry);
        let known = self.entries.get(&entry.key);
        let previous_number = match known {
            Some(known) if says_same(&known.entry.fact, &entry.fact) => known.previous_number,
            Some(known) if known.entry.revision.era == entry.revision.era => {
                Some(known.entry.revision.number)
            }
            None if !is_listed => Some(0),
            _ => None,
        };
        let was_removed = known.is_some_and(KnownEntry::is_removed);
        let known = KnownEntry { entry, previous_number };
        self.removed += usize::from(known.is_removed());
        self.removed -= usize::from(was_removed);
        self.entries.insert(known.entry.key.clone(), known);
    }

    /// Records the edit that turns the current routing table into a new one.
    fn record_edit(&mut self, entry: &Entry) {
        let Fact::Table(new) = &entry.fact else { return };
        let known = self.entries.get(&entry.key).map(|known| &known.entry);
        let Some(Entry { fact: Fact::Table(old), revision: base, .. }) = known else { return };
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

    /// The update with whole routing tables in place of edits; `None` if this host lacks the table
    /// that an edit is based on.
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
            let known = match self.entries.get(&entry.key).map(|known| &known.entry.fact) {
                Some(Fact::Table(table)) => Some(table),
                _ => None,
            };
            let table = tables.get(&entry.key).or(known)?;
            // A table of the same or a newer version stays.
            let table = match table.version >= edit.to {
                true => Arc::clone(table),
                false => Arc::new(edit.apply(table)?),
            };
            tables.insert(entry.key.clone(), Arc::clone(&table));
            entry.fact = Fact::Table(table);
        }
        Some(Cow::Owned(update))
    }

    /// Marks entries that a whole list no longer has as removed.
    ///
    /// This keeps the changes behind older revisions complete. Without it, all hosts of the failure
    /// domain would have to read the whole list whenever the store has dropped its history.
    fn record_removals(&mut self, update: &Update) {
        let listed: HashSet<&Name> = update.entries.iter().map(|entry| &entry.key).collect();
        for (key, known) in &mut self.entries {
            if !listed.contains(key) && !known.is_removed() {
                known.previous_number = Some(known.entry.revision.number);
                known.entry.fact = Fact::Removed;
                known.entry.revision = update.revision;
                self.removed += 1;
                self.last_change = self.last_change.max(update.revision);
            }
        }
    }

    /// Evicts the oldest removals beyond the number that is kept.
    fn evict_removals(&mut self) {
        let kept = REMOVED_MIN.max(self.entries.len() - self.removed);
        if self.removed <= kept {
            return;
        }
        let removed = self.entries.values().filter(|known| known.is_removed());
        let mut revisions: Vec<Revision> = removed.map(|known| known.entry.revision).collect();
        revisions.sort_unstable();
        let last = revisions[revisions.len() - kept - 1];
        self.entries.retain(|_, known| !known.is_removed() || known.entry.revision > last);
        self.removed = self.entries.values().filter(|known| known.is_removed()).count();
        self.complete_since = self.complete_since.max(last);
    }

    /// What a peer lacks whose copy is at `revision` (0 for no copy): the changes behind it, oldest
    /// first, or the whole list if not all of these are known. `None` if this host has not read the
    /// list.
    ///
    /// The whole list is for a peer that has lost the store, or was started while the store was
    /// away. No host has all changes since such a peer's revision, and without the list it would
    /// serve by an old table, or none, for as long as it can't reach the store.
    #[must_use]
    pub fn update_since(&self, revision: Revision, now: Millis) -> Option<Update> {
        let newest = self.revision?;
        let is_whole = revision < self.complete_since || revision == Revision::NONE;
        let is_wanted = |entry: &&Entry| match is_whole {
            true => entry.fact != Fact::Removed,
            false => entry.revision > revision,
        };
        let wanted = self.entries.values().map(|known| &known.entry).filter(is_wanted);
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

    /// An entry as it is sent to peers whose copies are at `revision`: a routing table as the edits
    /// since then, if all of them are known.
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
