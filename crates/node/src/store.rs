//! The platform's store as controllers see it: two lists to follow, rows of our own to agree by.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use policy::name::Name;
use wire::routing::{Backend, Order, Progress, Table};

/// Why a call brought nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The store says that nothing was done, or no connection was made.
    Refused(String),
    /// No answer came: a change may have been made, or may be made later.
    Lost(String),
    /// The history asked for is no longer kept; the list must be read afresh.
    Forgotten,
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
            Self::Forgotten => "forgotten",
            Self::Malformed(_) => "malformed",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::Lost(why) => write!(f, "no answer: {why}"),
            Self::Forgotten => f.write_str("the history asked for is gone"),
            Self::Malformed(why) => write!(f, "malformed answer: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// A list that the store keeps for us to read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum List {
    /// The table of routes, and orders to change versions.
    Operators,
    /// Backend servers, as they report themselves.
    Backends,
}

impl List {
    /// For people.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Backends => "backends",
        }
    }
}

/// What an entry of a list says.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// The table of routes.
    Table(Box<Table>),
    /// An order to change a version.
    Order(Order),
    /// A backend server.
    Backend(Backend),
    /// The entry was removed.
    Removed,
    /// It can't be read; why.
    Unreadable(String),
}

/// An entry of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its key; of a backend server its id.
    pub key: Name,
    /// Of its last change.
    pub revision: u64,
    /// What it says.
    pub fact: Fact,
}

/// Entries of a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct News {
    /// All of them, or those changed, oldest change first.
    pub entries: Vec<Entry>,
    /// The store's newest revision at that moment.
    pub revision: u64,
}

/// A row of our own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Its key.
    pub key: Name,
    /// Of its last change.
    pub revision: u64,
    /// What it holds.
    pub value: Bytes,
}

/// Rows of our own, as of one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Rows {
    /// In the order of their keys.
    pub rows: Vec<Row>,
    /// The store's clock, in milliseconds; it only goes forward.
    pub now_ms: u64,
}

/// Changes that are all made, or none of them.
#[derive(Clone, Debug, Default)]
pub struct Change {
    /// Rows that must be at these revisions; 0 for one that must not exist.
    pub expected: Vec<(Name, u64)>,
    /// Rows to write.
    pub writes: Vec<(Name, Bytes)>,
    /// What to tell operators of an order.
    pub progress: Option<(Order, Progress)>,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was made; the revision of its rows.
    Made(u64),
    /// A row was not at the revision expected.
    Conflict,
}

/// The store. Own rows lie in one table, which the process has to itself.
pub trait Store: Send + Sync + 'static {
    /// A whole list.
    fn read(&self, list: List) -> impl Future<Output = Result<News, Error>> + Send;

    /// What has changed in a list behind a revision, as soon as there is something; nothing if
    /// there is none within the wait.
    fn follow(
        &self,
        list: List,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<News, Error>> + Send;

    /// Own rows whose keys begin so.
    fn rows(&self, prefix: &str) -> impl Future<Output = Result<Rows, Error>> + Send;

    /// Makes changes if every row is as expected.
    fn commit(&self, change: &Change) -> impl Future<Output = Result<Outcome, Error>> + Send;
}
