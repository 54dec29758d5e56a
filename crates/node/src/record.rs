//! Rows of our own about roll-outs.

use policy::canary::Stage;
use policy::domain;
use policy::name::Name;
use policy::revision::Revision;
use wire::store::{Condition, Transaction, Write};

use crate::counts::ByHost;

/// The table that they lie in.
pub const TABLE: &str = "rollout";
/// The group of rows that lie in none of their own.
pub const NO_GROUP: &str = "";

domain! {
    /// How a service's roll-out stands; one row, changed only under its revision.
    #[derive(Default)]
    pub struct Record {
        /// The order that it belongs to, by when it was written.
        pub order: Revision,
        /// The version wanted.
        pub target: Name,
        /// The version before.
        pub base: Name,
        /// How far it has come.
        pub stage: Stage,
        /// When it began, by the store's clock in milliseconds.
        pub began_ms: u64,
    }

    /// What hosts counted: a failure domain's, or one host's if it stands alone.
    #[derive(Default)]
    pub struct Counted {
        /// The order that it was counted for, by when it was written.
        pub order: Revision,
        /// By host. Two rows may have the same host's, one of them older.
        pub hosts: ByHost,
    }

    /// How a roll-out stands, as one host tells the others.
    pub struct Snapshot {
        /// The service.
        pub service: Name,
        /// The row's version.
        pub version: Revision,
        /// The row.
        pub record: Record,
        /// How long ago the roll-out began, in milliseconds.
        pub age_ms: u64,
    }
}

impl Record {
    /// Whether it belongs to an order.
    #[must_use]
    pub fn is_of(&self, issued: Revision, target: &Name) -> bool {
        is_of(self.order, issued) && self.target == *target
    }

    /// Whether it stands as it did before another state of the same roll-out: no roll-out goes back.
    #[must_use]
    pub fn is_behind(&self, other: &Self) -> bool {
        self.stage.is_before(other.stage)
    }
}

/// Whether what names an order means the one issued then: what was written before the store came back from a copy
/// names it by its counter of that time, which the order has kept if the copy has both.
#[must_use]
pub fn is_of(order: Revision, issued: Revision) -> bool {
    order.number == issued.number && order.era <= issued.era
}

/// Key of a service's record.
#[must_use]
pub fn key(service: &Name) -> Name {
    Name::from(format!("{service}/record"))
}

/// Key of the counts that one host writes, for its failure domain or for itself.
#[must_use]
pub fn counted_key(service: &Name, of: &str) -> Name {
    Name::from(format!("{service}/counted/{of}"))
}

/// What all rows of a service begin with.
#[must_use]
pub fn prefix(service: &Name) -> String {
    format!("{service}/")
}

/// Reads a row.
///
/// # Errors
/// Why it can't be read.
pub fn read<T: serde::de::DeserializeOwned>(value: &str) -> Result<T, String> {
    serde_json::from_str(value).map_err(|error| error.to_string())
}

/// Writes a row.
///
/// # Errors
/// Why it can't be written.
pub fn write<T: serde::Serialize>(value: &T) -> Result<String, String> {
    serde_json::to_string(value).map_err(|error| error.to_string())
}

/// Writes a row, if it is still at a version; 0 if it must not exist, none if it may be anything.
#[must_use]
pub fn change(table: &str, key: Name, expected: Option<Revision>, value: String) -> Transaction {
    let table = Name::from(table);
    let condition = |version| Condition { table: table.clone(), key: key.clone(), version };
    let conditions = expected.map(condition).into_iter().collect();
    let write = Write { table: table.clone(), key: key.clone(), value: Some(value) };
    Transaction { conditions, writes: vec![write], ..Transaction::default() }
}

/// The version before, when an order comes on top of an earlier roll-out.
#[must_use]
pub fn base(before: Option<&Record>, seen: &Name) -> Name {
    match before {
        Some(record) if record.stage == Stage::Done => record.target.clone(),
        Some(record) if !record.base.is_empty() => record.base.clone(),
        _ => seen.clone(),
    }
}
