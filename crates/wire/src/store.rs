//! Types of the durable store, which holds rows, changed by conditional transactions, and objects.
//!
//! Controllers read and change the store in these terms. How the store is reached is left to the
//! implementation.

use std::fmt;

use policy::domain;
use policy::name::Name;
use policy::revision::Revision;

domain! {
    /// One row of the store.
    pub struct Row {
        /// Table that holds the row.
        pub table: Name,
        /// Key of the row within its table.
        pub key: Name,
        /// Revision of the store that the last change of the row created.
        pub version: Revision,
        /// Value of the row: JSON text.
        pub value: String,
    }

    /// Rows of one table, all read at the same revision.
    #[derive(Default)]
    pub struct Rows {
        /// Rows in the order of their keys.
        pub rows: Vec<Row>,
        /// Keys of removed rows; empty unless the call asked for changes since a revision.
        pub removed: Vec<Name>,
        /// Revision of the store at which the rows were read.
        pub revision: Revision,
        /// Time by the store's clock, in milliseconds; this clock never goes backward.
        pub now_ms: u64,
    }

    /// Writes that take effect together if every condition holds; otherwise none of them does.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Transaction {
        /// Group that all rows of the transaction belong to. The store limits changes per second
        /// for each group. Nearly all rows belong to the group with the empty name.
        #[serde(default)]
        pub group: Name,
        /// Conditions that must all hold.
        pub conditions: Vec<Condition>,
        /// Rows to write if all conditions hold.
        pub writes: Vec<Write>,
    }

    /// Requires that a row has a certain version.
    pub struct Condition {
        /// Table of the row.
        pub table: Name,
        /// Key of the row.
        pub key: Name,
        /// Version that the row must have. The number 0, in any era, requires that the row does not
        /// exist.
        pub version: Revision,
    }

    /// A row to write or delete.
    pub struct Write {
        /// Table of the row.
        pub table: Name,
        /// Key of the row.
        pub key: Name,
        /// New value of the row; none deletes the row.
        pub value: Option<String>,
    }

    /// Outcome of a transaction that the store answered.
    pub enum Outcome {
        /// The transaction took effect. All its rows now have this version.
        Committed(Revision),
        /// The transaction did not take effect. Holds the current state of the rows whose
        /// conditions failed, except those that don't exist.
        Conflict(Vec<Row>),
    }
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The call had no effect: no connection was made, or the store refused the call.
    Refused(String),
    /// No answer arrived. A change may have taken effect, or may still take effect.
    Lost(String),
    /// The answer was incomplete. A change may have taken effect, as after [`Self::Lost`].
    Partial(String),
    /// The store no longer has the requested history, so all rows must be read again.
    Forgotten,
    /// The answer was abandoned after its head, because it is longer than an answer with all rows.
    Declined,
    /// The answer can't be parsed or contradicts the protocol.
    Malformed(String),
}

impl Error {
    /// Label of the error in metrics.
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
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::Lost(reason) => write!(f, "no answer: {reason}"),
            Self::Partial(reason) => write!(f, "incomplete answer: {reason}"),
            Self::Forgotten => f.write_str("the store no longer has the requested history"),
            Self::Declined => f.write_str("the answer is longer than an answer with all rows"),
            Self::Malformed(reason) => write!(f, "malformed answer: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
