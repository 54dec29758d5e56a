//! Rows and objects, their history, and the record of all that took effect.

use std::collections::BTreeMap;

use bytes::Bytes;
use policy::domain;
use policy::name::Name;
use wire::store::{Condition, Row, Transaction, Write};

domain! {
    /// Something that took effect.
    #[serde(rename_all = "snake_case")]
    pub enum Record {
        /// A transaction.
        Transaction {
            /// What it wrote, and under which conditions.
            transaction: Transaction,
            /// The version that its rows got.
            version: u64,
        },
        /// An object put.
        Put {
            /// Its name.
            name: Name,
            /// Its length.
            bytes: usize,
        },
    }
}

/// Rows by group and key.
type Table = BTreeMap<(Name, Name), Row>;

/// A change of a row.
#[derive(Clone, Debug)]
pub struct Changed {
    /// The version that it made.
    pub version: u64,
    /// The row's table.
    pub table: Name,
    /// The row's key.
    pub key: Name,
    /// The row now; none if it was removed.
    pub row: Option<Row>,
}

/// A past state of the platform, to come back to.
#[derive(Clone, Debug, Default)]
pub struct Backup {
    tables: BTreeMap<Name, Table>,
    objects: BTreeMap<Name, Bytes>,
    version: u64,
}

/// The platform's memory.
#[derive(Default)]
pub struct Store {
    tables: BTreeMap<Name, Table>,
    objects: BTreeMap<Name, Bytes>,
    records: Vec<Record>,
    /// Changes, oldest first.
    history: Vec<Changed>,
    /// Changes up to here are no longer kept.
    forgotten: u64,
    version: u64,
    /// How often it has come back from a copy.
    era: u64,
    /// A past state that reads are answered from.
    stale: Option<(BTreeMap<Name, Table>, u64)>,
}

/// The write that makes a row what it is.
#[must_use]
pub fn write(row: Row) -> Write {
    Write { table: row.table, key: row.key, value: Some(row.value) }
}

impl Store {
    /// One row of those without a group, if there is one.
    #[must_use]
    pub fn row(&self, table: &str, key: &str) -> Option<Row> {
        self.row_of(&Name::default(), table, key)
    }

    fn row_of(&self, group: &Name, table: &str, key: &str) -> Option<Row> {
        self.tables.get(table)?.get(&(group.clone(), Name::from(key))).cloned()
    }

    /// All rows of a table, by group and key.
    #[must_use]
    pub fn rows(&self, table: &str) -> Vec<Row> {
        self.tables.get(table).map(|rows| rows.values().cloned().collect()).unwrap_or_default()
    }

    /// The newest version of any row.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What a reader gets: a range of a group's rows of a table, and the version that they are as of.
    #[must_use]
    pub fn read(&self, group: &Name, table: &str, from: &str, end: &str) -> (Vec<Row>, u64) {
        let (tables, version) = match &self.stale {
            Some((tables, version)) => (tables, *version),
            None => (&self.tables, self.version),
        };
        let from = (group.clone(), Name::from(from));
        let rows = tables.get(table).into_iter().flat_map(|rows| rows.range(from.clone()..));
        let rows =
            rows.take_while(|((of, key), _)| of == group && (end.is_empty() || key.as_str() < end));
        (rows.map(|(_, row)| row.clone()).collect(), version)
    }

    /// How often it has come back from a copy.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Its state as of now.
    #[must_use]
    pub fn backup(&self) -> Backup {
        let (tables, objects) = (self.tables.clone(), self.objects.clone());
        Backup { tables, objects, version: self.version }
    }

    /// Comes back as it was. What was written since is gone, and its versions are given out again.
    pub fn restore(&mut self, backup: Backup) {
        let Backup { tables, objects, version } = backup;
        (self.tables, self.objects, self.version) = (tables, objects, version);
        self.history.retain(|changed| changed.version <= version);
        self.forgotten = self.forgotten.min(version);
        self.stale = None;
        self.era += 1;
    }

    /// Changes of a table behind a version; none if they are no longer kept, or it has no such version.
    #[must_use]
    pub fn changes(&self, table: &str, after: u64) -> Option<Vec<Changed>> {
        let behind = |changed: &&Changed| changed.version > after && *changed.table == *table;
        let is_kept = (self.forgotten..=self.version).contains(&after);
        is_kept.then(|| self.history.iter().filter(behind).cloned().collect())
    }

    /// Forgets its history.
    pub fn forget_history(&mut self) {
        self.history.clear();
        self.forgotten = self.version;
    }

    /// Answers reads from its state as of now, whatever changes, or from the newest again.
    pub fn set_stale(&mut self, stale: bool) {
        self.stale = stale.then(|| (self.tables.clone(), self.version));
    }

    /// Applies all writes if all conditions hold, and none otherwise; the version that they make.
    ///
    /// # Errors
    /// The rows whose conditions failed; absent ones are left out.
    pub fn transact(&mut self, transaction: Transaction) -> Result<u64, Vec<Row>> {
        let group = &transaction.group;
        let conditions = transaction.conditions.iter();
        let failed: Vec<&Condition> = conditions.filter(|one| !self.holds(group, one)).collect();
        if !failed.is_empty() {
            let rows = failed.iter().filter_map(|c| self.row_of(group, &c.table, &c.key));
            return Err(rows.collect());
        }
        let version = self.apply_to(group, transaction.writes.clone());
        self.records.push(Record::Transaction { transaction, version });
        Ok(version)
    }

    fn holds(&self, group: &Name, condition: &Condition) -> bool {
        let held = self.row_of(group, &condition.table, &condition.key);
        held.map_or(0, |row| row.version.number) == condition.version.number
    }

    /// Makes changes, as others than the system do; they are no records.
    pub fn apply(&mut self, writes: Vec<Write>) -> u64 {
        self.apply_to(&Name::default(), writes)
    }

    fn apply_to(&mut self, group: &Name, writes: Vec<Write>) -> u64 {
        self.version += 1;
        for Write { table, key, value } in writes {
            let rows = self.tables.entry(table.clone()).or_default();
            let version = self.version;
            let row = value.map(|value| Row {
                table: table.clone(),
                key: key.clone(),
                version: version.into(),
                value,
            });
            let place = (group.clone(), key.clone());
            match &row {
                Some(row) => drop(rows.insert(place, row.clone())),
                None => drop(rows.remove(&place)),
            }
            self.history.push(Changed { version, table, key, row });
        }
        self.version
    }

    /// Puts an object unless one of that name exists; says whether it did.
    pub fn put(&mut self, name: &str, bytes: Bytes) -> bool {
        if self.objects.contains_key(name) {
            return false;
        }
        let name = Name::from(name);
        self.records.push(Record::Put { name: name.clone(), bytes: bytes.len() });
        self.objects.insert(name, bytes);
        true
    }

    /// An object's bytes.
    #[must_use]
    pub fn object(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    /// Names of objects that begin with a prefix, sorted.
    #[must_use]
    pub fn names(&self, prefix: &str) -> Vec<Name> {
        self.with_prefix(prefix).into_iter().map(|(name, _)| name).collect()
    }

    /// Objects whose names begin with a prefix, sorted.
    #[must_use]
    pub fn with_prefix(&self, prefix: &str) -> Vec<(Name, Bytes)> {
        let from = self.objects.range(Name::from(prefix)..);
        let found = from.take_while(|(name, _)| name.starts_with(prefix));
        found.map(|(name, bytes)| (name.clone(), bytes.clone())).collect()
    }

    /// Everything that took effect, in order.
    #[must_use]
    pub fn records(&self) -> &[Record] {
        &self.records
    }
}
