//! Failure domains that operators have evacuated: their backend servers get no new requests.
//!
//! Orders come by a list that may be read late or from an old state. An order that has been heard of
//! must not be taken for ended because an older list does not have it, nor come back by one that
//! still has it: requests would go to servers that are being taken away.

use std::collections::{BTreeMap, BTreeSet};

use crate::domain;
use crate::name::Name;
use crate::revision::Revision;

domain! {
    /// What a list says of one order.
    pub struct Entry {
        /// Names the order.
        pub key: Name,
        /// Of its last change.
        pub revision: Revision,
        /// The failure domain that is to be evacuated; none if the order was taken back.
        pub failure_domain: Option<Name>,
    }

    /// What became of orders.
    #[derive(Default)]
    pub struct Change {
        /// Failure domains evacuated from now on.
        pub begun: Vec<Name>,
        /// Those that take requests again.
        pub ended: Vec<Name>,
    }
}

#[derive(Clone, Debug)]
struct Known {
    revision: Revision,
    failure_domain: Option<Name>,
}

/// Orders as one host knows them.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    known: BTreeMap<Name, Known>,
    evacuated: BTreeSet<Name>,
}

impl Evacuations {
    /// Takes changes of a list that were read at a revision, or all orders that it had then.
    pub fn apply(&mut self, entries: &[Entry], revision: Revision, is_whole: bool) -> Change {
        if is_whole {
            self.end_missing(entries, revision);
        }
        for entry in entries {
            let held = self.known.get(&entry.key);
            if held.is_none_or(|held| held.revision < entry.revision) {
                let (revision, failure_domain) = (entry.revision, entry.failure_domain.clone());
                self.known.insert(entry.key.clone(), Known { revision, failure_domain });
            }
        }
        let evacuated = self.known.values().filter_map(|known| known.failure_domain.clone());
        let before = std::mem::replace(&mut self.evacuated, evacuated.collect());
        Change {
            begun: self.evacuated.difference(&before).cloned().collect(),
            ended: before.difference(&self.evacuated).cloned().collect(),
        }
    }

    fn end_missing(&mut self, entries: &[Entry], revision: Revision) {
        let listed: BTreeSet<&Name> = entries.iter().map(|entry| &entry.key).collect();
        for (key, known) in &mut self.known {
            if known.revision <= revision && !listed.contains(key) {
                *known = Known { revision, failure_domain: None };
            }
        }
    }

    /// Whether a failure domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, failure_domain: &Name) -> bool {
        self.evacuated.contains(failure_domain)
    }

    /// All that are.
    pub fn failure_domains(&self) -> impl Iterator<Item = &Name> {
        self.evacuated.iter()
    }
}
