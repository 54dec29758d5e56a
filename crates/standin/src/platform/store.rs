//! Rows and objects, and the record of all that took effect.

use std::collections::BTreeMap;

use bytes::Bytes;
use policy::domain;
use policy::name::Name;
use wire::platform::{Condition, Conflict, Row, Transaction, Write};

domain! {
    /// Something that took effect.
    #[serde(rename_all = "snake_case")]
    pub enum Record {
        /// A transaction.
        Transaction {
            /// What it wrote, and under which conditions.
            transaction: Transaction,
            /// The versions it gave; 0 for a deleted row.
            versions: Vec<u64>,
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

/// The platform's memory.
#[derive(Default)]
pub struct Store {
    tables: BTreeMap<Name, BTreeMap<Name, Row>>,
    objects: BTreeMap<Name, Bytes>,
    records: Vec<Record>,
}

/// The write that makes a row what it is.
#[must_use]
pub fn write(row: Row) -> Write {
    Write { table: row.table, key: row.key, value: Some(row.value) }
}

impl Store {
    /// One row, if there is one.
    #[must_use]
    pub fn row(&self, table: &str, key: &str) -> Option<Row> {
        self.tables.get(table)?.get(key).cloned()
    }

    /// All rows of a table, by key.
    #[must_use]
    pub fn rows(&self, table: &str) -> Vec<Row> {
        self.tables.get(table).map(|rows| rows.values().cloned().collect()).unwrap_or_default()
    }

    /// Applies all writes if all conditions hold, and none otherwise.
    ///
    /// # Errors
    /// The rows whose conditions failed.
    pub fn transact(&mut self, transaction: Transaction) -> Result<Vec<u64>, Conflict> {
        let rows: Vec<Row> = transaction.conditions.iter().filter_map(|c| self.failed(c)).collect();
        if !rows.is_empty() {
            return Err(Conflict { rows });
        }
        let versions: Vec<u64> = transaction.writes.iter().map(|write| self.apply(write)).collect();
        self.records.push(Record::Transaction { transaction, versions: versions.clone() });
        Ok(versions)
    }

    fn failed(&self, condition: &Condition) -> Option<Row> {
        let row = self.row(&condition.table, &condition.key).unwrap_or_else(|| Row {
            table: condition.table.clone(),
            key: condition.key.clone(),
            version: 0,
            value: String::new(),
        });
        (row.version != condition.version).then_some(row)
    }

    fn apply(&mut self, write: &Write) -> u64 {
        let rows = self.tables.entry(write.table.clone()).or_default();
        let Some(value) = &write.value else {
            rows.remove(&write.key);
            return 0;
        };
        let version = rows.get(&write.key).map_or(1, |row| row.version + 1);
        let row = Row {
            table: write.table.clone(),
            key: write.key.clone(),
            version,
            value: value.clone(),
        };
        rows.insert(write.key.clone(), row);
        version
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
