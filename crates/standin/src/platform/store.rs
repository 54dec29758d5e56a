//! The rows and objects of the platform's store, the history of changes, and the record of writes.

use std::collections::BTreeMap;

use bytes::Bytes;
use policy::domain;
use policy::name::Name;
use wire::store::{Condition, Row, Transaction, Write};

domain! {
    /// A write that took effect.
    #[serde(rename_all = "snake_case")]
    pub enum Record {
        /// A transaction was committed.
        Transaction {
            /// The transaction, with its conditions and writes.
            transaction: Transaction,
            /// The revision that the transaction's rows got.
            version: u64,
        },
        /// An object was put.
        Put {
            /// Name of the object.
            name: Name,
            /// Length of the object.
            bytes: usize,
        },
    }
}

/// The rows of a table by group and key.
type Table = BTreeMap<(Name, Name), Row>;

/// A change of a row.
#[derive(Clone, Debug)]
pub struct Changed {
    /// The revision that the change made.
    pub revision: u64,
    /// Table of the changed row.
    pub table: Name,
    /// Key of the changed row.
    pub key: Name,
    /// The row after the change; `None` if the change removed it.
    pub row: Option<Row>,
}

/// A copy of the store's state, for [`Store::restore`].
#[derive(Clone, Debug, Default)]
pub struct Backup {
    tables: BTreeMap<Name, Table>,
    objects: BTreeMap<Name, Bytes>,
    revision: u64,
}

/// The state of the platform's store.
#[derive(Default)]
pub struct Store {
    tables: BTreeMap<Name, Table>,
    objects: BTreeMap<Name, Bytes>,
    records: Vec<Record>,
    /// Changes that are kept, oldest first.
    history: Vec<Changed>,
    /// Revision up to which changes are no longer kept.
    forgotten_revision: u64,
    revision: u64,
    /// Number of times that the store was restored from a copy.
    era: u64,
    /// Past rows, with their revision, from which reads are answered; `None` for the newest state.
    stale: Option<(BTreeMap<Name, Table>, u64)>,
}

/// The write that gives a row its present value.
#[must_use]
pub fn to_write(row: Row) -> Write {
    Write { table: row.table, key: row.key, value: Some(row.value) }
}

impl Store {
    /// A row without a group; `None` if it is absent.
    #[must_use]
    pub fn row(&self, table: &str, key: &str) -> Option<Row> {
        self.row_in_group(&Name::default(), table, key)
    }

    fn row_in_group(&self, group: &Name, table: &str, key: &str) -> Option<Row> {
        self.tables.get(table)?.get(&(group.clone(), Name::from(key))).cloned()
    }

    /// All rows of a table, ordered by group and key.
    #[must_use]
    pub fn rows(&self, table: &str) -> Vec<Row> {
        self.tables.get(table).map(|rows| rows.values().cloned().collect()).unwrap_or_default()
    }

    /// The revision of the newest change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The answer to a read: the rows of one group in a range of a table's keys, and the revision
    /// of the state that they come from. The range ends before `end`; an empty `end` is no end.
    #[must_use]
    pub fn read(&self, group: &Name, table: &str, from: &str, end: &str) -> (Vec<Row>, u64) {
        let (tables, revision) = match &self.stale {
            Some((tables, revision)) => (tables, *revision),
            None => (&self.tables, self.revision),
        };
        let from = (group.clone(), Name::from(from));
        let rows = tables.get(table).into_iter().flat_map(|rows| rows.range(from.clone()..));
        let rows =
            rows.take_while(|((g, key), _)| g == group && (end.is_empty() || key.as_str() < end));
        (rows.map(|(_, row)| row.clone()).collect(), revision)
    }

    /// Number of times that the store was restored from a copy.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era
    }

    /// A copy of the present rows and objects.
    #[must_use]
    pub fn backup(&self) -> Backup {
        let (tables, objects) = (self.tables.clone(), self.objects.clone());
        Backup { tables, objects, revision: self.revision }
    }

    /// Replaces the state by a copy. Writes since the copy are lost, and later writes get their
    /// revisions again.
    pub fn restore(&mut self, backup: Backup) {
        let Backup { tables, objects, revision } = backup;
        (self.tables, self.objects, self.revision) = (tables, objects, revision);
        self.history.retain(|changed| changed.revision <= revision);
        self.forgotten_revision = self.forgotten_revision.min(revision);
        self.stale = None;
        self.era += 1;
    }

    /// Changes of a table after a revision; `None` if they are no longer kept, or if the store
    /// hasn't reached that revision.
    #[must_use]
    pub fn changes(&self, table: &str, after: u64) -> Option<Vec<Changed>> {
        let is_after = |changed: &&Changed| changed.revision > after && *changed.table == *table;
        let is_kept = (self.forgotten_revision..=self.revision).contains(&after);
        is_kept.then(|| self.history.iter().filter(is_after).cloned().collect())
    }

    /// Drops the history of changes.
    pub fn forget_history(&mut self) {
        self.history.clear();
        self.forgotten_revision = self.revision;
    }

    /// With `true`, answers all further reads from the present rows, even after changes. With
    /// `false`, answers reads from the newest rows again.
    pub fn set_stale(&mut self, stale: bool) {
        self.stale = stale.then(|| (self.tables.clone(), self.revision));
    }

    /// Applies all writes if all conditions hold, and none otherwise. Returns the new revision.
    ///
    /// # Errors
    /// The present rows for which a condition failed; absent rows are left out.
    pub fn commit(&mut self, transaction: Transaction) -> Result<u64, Vec<Row>> {
        let group = &transaction.group;
        let conditions = transaction.conditions.iter();
        let failed: Vec<&Condition> =
            conditions.filter(|condition| !self.holds(group, condition)).collect();
        if !failed.is_empty() {
            let rows = failed.iter().filter_map(|c| self.row_in_group(group, &c.table, &c.key));
            return Err(rows.collect());
        }
        let version = self.apply_in_group(group, transaction.writes.clone());
        self.records.push(Record::Transaction { transaction, version });
        Ok(version)
    }

    fn holds(&self, group: &Name, condition: &Condition) -> bool {
        let row = self.row_in_group(group, &condition.table, &condition.key);
        row.map_or(0, |row| row.version.number) == condition.version.number
    }

    /// Applies writes of parties other than the system under test: they aren't recorded.
    pub fn apply(&mut self, writes: Vec<Write>) -> u64 {
        self.apply_in_group(&Name::default(), writes)
    }

    fn apply_in_group(&mut self, group: &Name, writes: Vec<Write>) -> u64 {
        self.revision += 1;
        for Write { table, key, value } in writes {
            let rows = self.tables.entry(table.clone()).or_default();
            let revision = self.revision;
            let row = value.map(|value| Row {
                table: table.clone(),
                key: key.clone(),
                version: revision.into(),
                value,
            });
            let row_key = (group.clone(), key.clone());
            match &row {
                Some(row) => drop(rows.insert(row_key, row.clone())),
                None => drop(rows.remove(&row_key)),
            }
            self.history.push(Changed { revision, table, key, row });
        }
        self.revision
    }

    /// Stores an object unless one of that name exists; false if one does.
    pub fn put(&mut self, name: &str, bytes: Bytes) -> bool {
        if self.objects.contains_key(name) {
            return false;
        }
        let name = Name::from(name);
        self.records.push(Record::Put { name: name.clone(), bytes: bytes.len() });
        self.objects.insert(name, bytes);
        true
    }

    /// The content of an object; `None` if it is absent.
    #[must_use]
    pub fn object(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    /// Names of the objects whose names begin with a prefix, sorted.
    #[must_use]
    pub fn object_names(&self, prefix: &str) -> Vec<Name> {
        self.objects_with_prefix(prefix).into_iter().map(|(name, _)| name).collect()
    }

    /// The objects whose names begin with a prefix, sorted by name.
    #[must_use]
    pub fn objects_with_prefix(&self, prefix: &str) -> Vec<(Name, Bytes)> {
        let range = self.objects.range(Name::from(prefix)..);
        let found = range.take_while(|(name, _)| name.starts_with(prefix));
        found.map(|(name, bytes)| (name.clone(), bytes.clone())).collect()
    }

    /// The recorded writes, in order.
    #[must_use]
    pub fn records(&self) -> &[Record] {
        &self.records
    }
}
