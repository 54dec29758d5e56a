//! The store that what must last lies in: rows changed by conditional transactions, and objects.
//!
//! How it is reached is the business of whoever implements it; these are the terms in which
//! controllers read and change it.

use std::fmt;

use policy::domain;
use policy::name::Name;
use policy::revision::Revision;

domain! {
    /// One row.
    pub struct Row {
        /// Its table.
        pub table: Name,
        /// Its key.
        pub key: Name,
        /// The revision of the store that its last change made.
        pub version: Revision,
        /// Any JSON, as text.
        pub value: String,
    }

    /// Rows of one table, as of one moment.
    #[derive(Default)]
    pub struct Rows {
        /// In the order of their keys.
        pub rows: Vec<Row>,
        /// Keys of rows that were removed; only when changes were asked for.
        pub removed: Vec<Name>,
        /// The store's newest revision at that moment.
        pub revision: Revision,
        /// The store's clock, in milliseconds; it only goes forward.
        pub now_ms: u64,
    }

    /// Writes that all take effect, or none, if every condition holds.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Transaction {
        /// The group that all its rows lie in; each takes only so many changes a second. Nearly all rows
        /// lie in the one without a name.
        #[serde(default)]
        pub group: Name,
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
        /// Its version; 0 of any era if it must not exist.
        pub version: Revision,
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

    /// What became of a transaction that the store answered.
    pub enum Outcome {
        /// It took effect; the version that all its rows have now.
        Committed(Revision),
        /// It did not; the rows whose conditions failed, as they are. Absent ones are left out.
        Conflict(Vec<Row>),
    }
}

/// Why a call brought nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// Nothing took effect: no connection was made, or the store says so.
    Refused(String),
    /// No answer came: a change may have been made, or may be made later.
    Lost(String),
    /// An answer began and did not end; of a change the same holds as after [`Self::Lost`].
    Partial(String),
    /// The history asked for is no longer kept; the rows must be read afresh.
    Forgotten,
    /// The answer was not read on behind its head: it is longer than the rows read afresh.
    Declined,
    /// The answer makes no sense.
    Malformed(String),
}

impl Error {
    /// For metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Refused(_) => "refused",
            Self::Lost(_) => "lost",
            Self::Partial(_) => "partial",
            Self::Forgotten => "forgotten",
            Self::Declined => "declined",
            Self::Malformed(_) => "malformed",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::Lost(why) => write!(f, "no answer: {why}"),
            Self::Partial(why) => write!(f, "half an answer: {why}"),
            Self::Forgotten => f.write_str("the history asked for is gone"),
            Self::Declined => f.write_str("the answer is longer than the rows themselves"),
            Self::Malformed(why) => write!(f, "malformed answer: {why}"),
        }
    }
}

impl std::error::Error for Error {}
