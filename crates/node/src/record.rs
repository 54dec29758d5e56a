//! Rows about roll-outs that the hosts keep in the store.

use policy::canary::Stage;
use policy::domain;
use policy::name::Name;
use policy::revision::Revision;
use wire::store::{Condition, Transaction, Write};

use crate::counts::CountsByHost;

/// The table of these rows.
pub const TABLE: &str = "rollout";
/// The group of rows that belong to no failure domain.
pub const NO_GROUP: &str = "";

domain! {
    /// State of a service's roll-out. All hosts share one row for it and change it only if its
    /// revision is still the one they read.
    #[derive(Default)]
    pub struct Record {
        /// Identifies the order that the record belongs to: the revision at which it was written.
        pub order: Revision,
        /// The version that the service changes to.
        pub target: Name,
        /// The version that the service changes from.
        pub base: Name,
        /// How far the roll-out has come.
        pub stage: Stage,
        /// When the roll-out began, in milliseconds of the store's clock.
        pub began_ms: u64,
    }

    /// Row with counts of answers: those of all hosts of a failure domain, or of one host that
    /// reads the store for itself alone.
    #[derive(Default)]
    pub struct CountsRow {
        /// Identifies the order that was counted for: the revision at which it was written.
        pub order: Revision,
        /// Counts by host. Two rows may have counts of the same host, and one of them is older.
        pub hosts: CountsByHost,
    }

    /// State of a roll-out as one host sends it to another.
    pub struct RolloutState {
        /// The service that is rolled out.
        pub service: Name,
        /// Revision of the record's row.
        pub version: Revision,
        /// The record, as that row holds it.
        pub record: Record,
        /// How long ago the roll-out began, in milliseconds. An age instead of a time, because
        /// hosts share no clock.
        pub age_ms: u64,
    }
}

impl Record {
    /// Whether the record belongs to the order with this id and target version.
    #[must_use]
    pub fn belongs_to(&self, order_id: Revision, target: &Name) -> bool {
        is_same_order(self.order, order_id) && self.target == *target
    }

    /// Whether the record is of an earlier stage than `other`, a record of the same roll-out. A
    /// roll-out never goes back to an earlier stage.
    #[must_use]
    pub fn is_behind(&self, other: &Self) -> bool {
        self.stage.is_before(other.stage)
    }
}

/// Whether `order`, an id that stands in a row, means the order with `order_id`. A row written
/// before the store was restored from a copy has the id of an earlier era; the number in it is the
/// same if the copy holds both the row and the order.
#[must_use]
pub fn is_same_order(order: Revision, order_id: Revision) -> bool {
    order.number == order_id.number && order.era <= order_id.era
}

/// Key of a service's record.
#[must_use]
pub fn key(service: &Name) -> Name {
    Name::from(format!("{service}/record"))
}

/// Key of the row with counts that `writer` writes: a failure domain or, for a host that reads the
/// store for itself alone, that host.
#[must_use]
pub fn counts_key(service: &Name, writer: &str) -> Name {
    Name::from(format!("{service}/counted/{writer}"))
}

/// Prefix of the keys of all rows of a service.
#[must_use]
pub fn prefix(service: &Name) -> String {
    format!("{service}/")
}

/// Parses the value of a row.
///
/// # Errors
/// The parser's message, if the value is not a `T`.
pub fn parse<T: serde::de::DeserializeOwned>(value: &str) -> Result<T, String> {
    serde_json::from_str(value).map_err(|error| error.to_string())
}

/// Serializes the value of a row.
///
/// # Errors
/// The serializer's message.
pub fn serialize<T: serde::Serialize>(value: &T) -> Result<String, String> {
    serde_json::to_string(value).map_err(|error| error.to_string())
}

/// Transaction that writes a row if its revision is still `expected`: revision 0 means that the row
/// must not exist, `None` that it may have any revision.
#[must_use]
pub fn put(table: &str, key: Name, expected: Option<Revision>, value: String) -> Transaction {
    let table = Name::from(table);
    let condition = |version| Condition { table: table.clone(), key: key.clone(), version };
    let conditions = expected.map(condition).into_iter().collect();
    let write = Write { table: table.clone(), key: key.clone(), value: Some(value) };
    Transaction { conditions, writes: vec![write], ..Transaction::default() }
}

/// The base version of a new roll-out, given the record of the `previous` one: the target version
/// if that one succeeded, else its base version. Without a record it is `current`, the version that
/// requests go to now.
#[must_use]
pub fn base_version(previous: Option<&Record>, current: &Name) -> Name {
    match previous {
        Some(record) if record.stage == Stage::Done => record.target.clone(),
        Some(record) if !record.base.is_empty() => record.base.clone(),
        _ => current.clone(),
    }
}
