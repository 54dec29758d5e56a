//! The platform's store as controllers see it: two lists to follow, rows of our own to agree by.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use policy::domain;
use policy::name::Name;
use policy::revision::Revision;
use wire::routing::{Backend, Edit, Order, Progress, Table};
use wire::store::{Error, Outcome, Rows, Transaction};

domain! {
    /// A list that the store keeps for us to read.
    #[derive(Copy, Eq, Ord, PartialOrd)]
    pub enum List {
        /// The table of routes, and orders: to change versions, to evacuate failure domains.
        Operators,
        /// Backend servers, as they report themselves.
        Backends,
    }

    /// What an entry of a list says.
    pub enum Fact {
        /// The table of routes; shared, since it can be long and each host keeps it to pass on.
        Table(Arc<Table>),
        /// What makes it of the version before, as hosts tell each other.
        Edit(Arc<Edit>),
        /// An order to change a version.
        Order(Order),
        /// An order to send nothing more to a failure domain's backend servers.
        Evacuation(Name),
        /// A backend server.
        Backend(Backend),
        /// The entry was removed.
        Removed,
        /// It can't be read; why.
        Unreadable(String),
    }

    /// An entry of a list.
    pub struct Entry {
        /// Its key; of a backend server its id.
        pub key: Name,
        /// Of its last change.
        pub revision: Revision,
        /// What it says.
        pub fact: Fact,
    }

    /// Entries of a list.
    #[derive(Default)]
    pub struct Update {
        /// All of them, or those changed, oldest change first.
        pub entries: Vec<Entry>,
        /// The store's newest revision at that moment.
        pub revision: Revision,
        /// These are all entries of the list; what is not among them is no longer there.
        #[serde(default)]
        pub is_whole: bool,
        /// What the host that gives them knows of the store's return from a copy; none if it has not seen one, or
        /// the store gives them.
        #[serde(default)]
        #[serde(rename = "doubts")]
        pub overrides: Option<Overrides>,
    }

    /// What a host makes of a list since the store came back from a copy.
    pub struct Overrides {
        /// How long ago it saw that, in milliseconds.
        pub age_ms: u64,
        /// What the list has in place of entries that it holds on to, by key; none of those that the list lacks.
        pub held: BTreeMap<Name, Option<Entry>>,
    }
}

/// How an answer came. A store that is slow and an answer that is long look alike without it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Arrival {
    /// From the question to the head of the answer, in milliseconds.
    pub head_ms: u64,
    /// From the question to the last byte, in milliseconds.
    pub whole_ms: u64,
    /// Length of the body.
    pub bytes: u64,
}

/// What the store answered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// What it says.
    pub update: Update,
    /// How it came.
    pub arrival: Arrival,
}

impl Arrival {
    /// Of two answers, one asked for after the other.
    #[must_use]
    pub fn then(self, next: Self) -> Self {
        let is_first = self == Self::default();
        Self {
            head_ms: if is_first { next.head_ms } else { self.head_ms },
            whole_ms: self.whole_ms + next.whole_ms,
            bytes: self.bytes + next.bytes,
        }
    }
}

impl List {
    /// All lists.
    pub const ALL: [Self; 2] = [Self::Operators, Self::Backends];

    /// For people.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Backends => "backends",
        }
    }
}

/// What operators learn of an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The order.
    pub order: Order,
    /// How far it has come.
    pub progress: Progress,
}

/// The store.
pub trait Store: Send + Sync + 'static {
    /// A whole list.
    fn read(&self, list: List) -> impl Future<Output = Result<Answer, Error>> + Send;

    /// What has changed in a list behind a revision, as soon as there is something; nothing if
    /// there is none within the wait; [`Error::Forgotten`] also if the store has come back from a copy since
    /// that revision. `on_head` is given the length of the answer when its head
    /// has come, 0 if the head does not say it, and
    /// says whether to read on; [`Error::Declined`] if not.
    fn follow(
        &self,
        list: List,
        after: Revision,
        wait: Duration,
        on_head: impl FnOnce(u64) -> bool + Send,
    ) -> impl Future<Output = Result<Answer, Error>> + Send;

    /// Rows of a group, in a table of our own, whose keys begin so.
    fn rows(
        &self,
        group: &str,
        table: &str,
        prefix: &str,
    ) -> impl Future<Output = Result<Rows, Error>> + Send;

    /// Changes rows of our own if all are as expected, and tells operators of an order with it.
    fn commit(
        &self,
        change: &Transaction,
        report: Option<&Report>,
    ) -> impl Future<Output = Result<Outcome, Error>> + Send;
}
