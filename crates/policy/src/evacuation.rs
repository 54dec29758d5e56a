//! Failure domains that operators have evacuated: their backend servers get no new requests.
//!
//! Hosts receive the operators' orders as entries of a list, which they may read late or in an old
//! state. A known order must not end because an older state of the list lacks it: requests would go
//! to servers that are being removed. Nor may a withdrawn order return with an older state that
//! still has it.

use std::collections::{BTreeMap, BTreeSet};

use crate::domain;
use crate::name::Name;
use crate::revision::Revision;

domain! {
    /// A list's entry for one order.
    pub struct Entry {
        /// Key of the order's row.
        pub key: Name,
        /// Revision of the order's last change.
        pub revision: Revision,
        /// Failure domain to evacuate; none if the order was withdrawn.
        pub failure_domain: Option<Name>,
    }

    /// How entries changed which failure domains are evacuated.
    #[derive(Default)]
    pub struct Change {
        /// Failure domains that are evacuated from now on.
        pub begun: Vec<Name>,
        /// Failure domains whose backend servers get new requests again.
        pub ended: Vec<Name>,
    }
}

#[derive(Clone, Debug)]
struct Order {
    revision: Revision,
    failure_domain: Option<Name>,
}

/// The orders that one host knows, and the failure domains that these evacuate.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    orders: BTreeMap<Name, Order>,
    evacuated: BTreeSet<Name>,
}

impl Evacuations {
    /// Applies entries of a list that was read at `revision`: all of its entries if `is_whole`,
    /// else those that changed. Entries older than the known order are ignored.
    pub fn apply(&mut self, entries: &[Entry], revision: Revision, is_whole: bool) -> Change {
        if is_whole {
            self.end_missing(entries, revision);
        }
        for entry in entries {
            let known = self.orders.get(&entry.key);
            if known.is_none_or(|known| known.revision < entry.revision) {
                let (revision, failure_domain) = (entry.revision, entry.failure_domain.clone());
                self.orders.insert(entry.key.clone(), Order { revision, failure_domain });
            }
        }
        let evacuated = self.orders.values().filter_map(|order| order.failure_domain.clone());
        let before = std::mem::replace(&mut self.evacuated, evacuated.collect());
        Change {
            begun: self.evacuated.difference(&before).cloned().collect(),
            ended: before.difference(&self.evacuated).cloned().collect(),
        }
    }

    fn end_missing(&mut self, entries: &[Entry], revision: Revision) {
        let listed: BTreeSet<&Name> = entries.iter().map(|entry| &entry.key).collect();
        for (key, order) in &mut self.orders {
            if order.revision <= revision && !listed.contains(key) {
                *order = Order { revision, failure_domain: None };
            }
        }
    }

    /// Whether a failure domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, failure_domain: &Name) -> bool {
        self.evacuated.contains(failure_domain)
    }

    /// All evacuated failure domains.
    pub fn failure_domains(&self) -> impl Iterator<Item = &Name> {
        self.evacuated.iter()
    }
}
