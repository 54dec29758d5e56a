//! The platform's HTTP form: rows with conditional transactions, objects, the host list.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /rows/TABLE/KEY` | 200 and a [`Row`], or 404 |
//! | `GET /rows/TABLE` | 200 and a list of [`Row`] |
//! | `POST /transactions` | a [`Transaction`]; 200 and a [`Committed`], or 409 and a [`Conflict`] |
//! | `PUT /objects/NAME` with `If-None-Match: *` | 201, or 412 if it exists |
//! | `GET /objects/NAME` | 200 and the bytes, or 404 |
//! | `GET /objects?prefix=P` | 200 and a sorted list of names |
//! | `GET /hosts` | 200 and a [`crate::host::List`] |
//!
//! Reads of rows and of the host list carry an `ETag`; with it in `If-None-Match` the answer is 304
//! while nothing has changed. The host list's answer says in [`AS_OF`] when it was made, unchanged
//! or not.
//!
//! 429 and 503 say that nothing took effect; any broken connection leaves it unknown.

use policy::domain;
use policy::name::Name;

/// When the host list was made, in milliseconds since the epoch.
pub const AS_OF: &str = "platform-as-of";

domain! {
    /// One row.
    pub struct Row {
        /// Its table.
        pub table: Name,
        /// Its key.
        pub key: Name,
        /// 1 when first written, and one more with each write.
        pub version: u64,
        /// Any JSON, as text.
        pub value: String,
    }

    /// Writes that all take effect, or none, if every condition holds.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Transaction {
        /// What must hold.
        pub conditions: Vec<Condition>,
        /// What to write then.
        pub writes: Vec<Write>,
    }

    /// A row must be at a version.
    pub struct Condition {
        /// Its table.
        pub table: Name,
        /// Its key.
        pub key: Name,
        /// Its version; 0 if it must not exist.
        pub version: u64,
    }

    /// A row to write.
    pub struct Write {
        /// Its table.
        pub table: Name,
        /// Its key.
        pub key: Name,
        /// The new value; none deletes.
        pub value: Option<String>,
    }

    /// The transaction took effect.
    pub struct Committed {
        /// The new versions, in the order of the writes.
        pub versions: Vec<u64>,
    }

    /// It did not.
    pub struct Conflict {
        /// The rows, as they are, whose conditions failed; absent ones have version 0.
        pub rows: Vec<Row>,
    }
}
