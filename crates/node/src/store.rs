//! The platform's store as a host uses it: two lists to follow, and rows by which the hosts agree.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use policy::domain;
use policy::name::Name;
use policy::revision::Revision;
use wire::routing::{Backend, Edit, Progress, RolloutOrder, Table};
use wire::store::{Error, Outcome, Rows, Transaction};

domain! {
    /// A list in the store that hosts read and never write.
    #[derive(Copy, Eq, Ord, PartialOrd)]
    pub enum List {
        /// The routing table, and operators' orders to change versions and to evacuate failure
        /// domains.
        Operators,
        /// Backend servers, as they report themselves.
        Backends,
    }

    /// Content of a list's entry.
    pub enum Fact {
        /// The routing table. Shared, since it can be long and each host keeps it to pass it on.
        Table(Arc<Table>),
        /// What changed in the routing table since its version before. Only peers send it to each
        /// other; the store always sends the whole table.
        Edit(Arc<Edit>),
        /// An order to change a service's version.
        Order(RolloutOrder),
        /// An order to send no more requests to a failure domain's backend servers.
        Evacuation(Name),
        /// A backend server.
        Backend(Backend),
        /// The entry was removed from the list.
        Removed,
        /// The entry can't be parsed; the text says why.
        Unreadable(String),
    }

    /// An entry of a list.
    pub struct Entry {
        /// Key of the entry; a backend server's key is its id.
        pub key: Name,
        /// Revision of the entry's last change.
        pub revision: Revision,
        /// Content of the entry.
        pub fact: Fact,
    }

    /// Changes of a list, or all of it.
    #[derive(Default)]
    pub struct Update {
        /// All entries, or only the changed ones; the oldest change comes first.
        pub entries: Vec<Entry>,
        /// The store's newest revision when it answered.
        pub revision: Revision,
        /// Whether these are all entries of the list. An entry that is missing here has then been
        /// removed.
        #[serde(default)]
        pub is_whole: bool,
        /// Entries that the sending host overrides since the store was restored from a copy. `None`
        /// in an update from the store, and from a host that has not seen a restore.
        #[serde(default)]
        #[serde(rename = "doubts")]
        pub overrides: Option<Overrides>,
    }

    /// A host's own entries that it holds against a list after the store was restored from a copy,
    /// because the copy may lack changes that the store had acknowledged.
    pub struct Overrides {
        /// How long ago the host noticed the restore, in milliseconds.
        pub age_ms: u64,
        /// What the list says in place of each overridden entry, by key; `None` for an entry that
        /// the list lacks.
        pub held: BTreeMap<Name, Option<Entry>>,
    }
}

/// How long an answer took to arrive. It tells a store that answers late from an answer that is
/// long.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Arrival {
    /// From sending the request to the head of the answer, in milliseconds.
    pub head_ms: u64,
    /// From sending the request to the last byte of the answer, in milliseconds.
    pub whole_ms: u64,
    /// Length of the answer's body.
    pub bytes: u64,
}

/// Answer of the store to a call that reads or follows a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// What the store says of the list.
    pub update: Update,
    /// How long the answer took to arrive.
    pub arrival: Arrival,
    /// The store's clock when it answered, in milliseconds; 0 if it does not tell.
    pub store_ms: u64,
}

impl Arrival {
    /// Total of two answers, where the second was requested after the first had come.
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
    /// Both lists, in the order in which [`Watch::followers`](crate::watch::Watch::followers) has
    /// them.
    pub const ALL: [Self; 2] = [Self::Operators, Self::Backends];

    /// Name of the list in metrics and in `GET /status`.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Backends => "backends",
        }
    }
}

/// What operators are told of an order, together with a change of the roll-out's record.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The order that is carried out.
    pub order: RolloutOrder,
    /// How far the roll-out has come.
    pub progress: Progress,
}

/// Calls of the platform's store.
pub trait Store: Send + Sync + 'static {
    /// Reads all of a list.
    fn read(&self, list: List) -> impl Future<Output = Result<Answer, Error>> + Send;

    /// Waits until a list has changes behind the revision `after` and returns them, or returns an
    /// empty update when `wait` is over. An answer whose head has not come `overdue` after that is
    /// given up.
    ///
    /// `on_head` is called when the head of the answer has come, with the length of the body, or 0
    /// if the head does not tell it. It returns whether to read on.
    ///
    /// # Errors
    /// [`Error::Forgotten`] if the store does not have all changes behind `after`, also because it
    /// was restored from a copy since. [`Error::Declined`] if `on_head` returned false.
    fn follow(
        &self,
        list: List,
        after: Revision,
        wait: Duration,
        overdue: Duration,
        on_head: impl FnOnce(u64) -> bool + Send,
    ) -> impl Future<Output = Result<Answer, Error>> + Send;

    /// Reads the rows of a group whose keys begin with `prefix`, from a table that the hosts write.
    fn rows(
        &self,
        group: &str,
        table: &str,
        prefix: &str,
    ) -> impl Future<Output = Result<Rows, Error>> + Send;

    /// Changes rows if all conditions of the transaction hold. `report` tells operators of an
    /// order's progress in the same transaction.
    fn commit(
        &self,
        change: &Transaction,
        report: Option<&Report>,
    ) -> impl Future<Output = Result<Outcome, Error>> + Send;
}
