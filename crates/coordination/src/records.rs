//! What a shard remembers: claimed keys and pinned sessions.

use std::collections::HashMap;

use policy::name::Name;
use policy::time::Millis;

use crate::message::Record;

/// Who holds a key.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The request.
    pub request: Name,
    /// When it may be forgotten.
    pub forget_at: Millis,
    /// Number of the record that says so.
    pub number: u64,
    /// The request never ran and never will: another may take the key. Kept rather than removed,
    /// so that a delayed duplicate of the abandoned claim doesn't take it again.
    pub is_abandoned: bool,
}

/// A session's version.
#[derive(Clone, Debug)]
pub struct Pin {
    /// The version.
    pub version: Name,
    /// When it may be forgotten.
    pub forget_at: Millis,
    /// Number of the record that says so.
    pub number: u64,
}

/// All records of one shard.
#[derive(Clone, Debug, Default)]
pub struct Records {
    claims: HashMap<Name, Claim>,
    pins: HashMap<Name, Pin>,
}

impl Records {
    /// How many keys and sessions there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len() + self.pins.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Who holds a key, unless its time is over.
    #[must_use]
    pub fn find_claim(&self, key: &str, now: Millis) -> Option<&Claim> {
        self.claims.get(key).filter(|claim| claim.forget_at > now)
    }

    /// A session's version, unless its time is over.
    #[must_use]
    pub fn find_pin(&self, key: &str, now: Millis) -> Option<&Pin> {
        self.pins.get(key).filter(|pin| pin.forget_at > now)
    }

    /// Takes in one record.
    pub fn apply(&mut self, record: &Record, number: u64) {
        match record.clone() {
            Record::Claim { key, request, forget_at } => {
                let claim = Claim { request, forget_at, number, is_abandoned: false };
                self.claims.insert(key, claim);
            }
            Record::Abandon { key, request } => match self.claims.get_mut(&key) {
                Some(claim) if claim.request == request => {
                    claim.is_abandoned = true;
                    claim.number = number;
                }
                _ => {}
            },
            Record::Pin { key, version, forget_at } => {
                self.pins.insert(key, Pin { version, forget_at, number });
            }
        }
    }

    /// Drops those whose time is over.
    pub fn remove_expired(&mut self, now: Millis) {
        self.claims.retain(|_, claim| claim.forget_at > now);
        self.pins.retain(|_, pin| pin.forget_at > now);
    }

    /// Records that build the same, in no particular order but for each key.
    #[must_use]
    pub fn dump(&self) -> Vec<Record> {
        let mut records = Vec::with_capacity(self.len());
        for (key, Claim { request, forget_at, is_abandoned, .. }) in &self.claims {
            let (key, request, forget_at) = (key.clone(), request.clone(), *forget_at);
            records.push(Record::Claim { key: key.clone(), request: request.clone(), forget_at });
            if *is_abandoned {
                records.push(Record::Abandon { key, request });
            }
        }
        for (key, Pin { version, forget_at, .. }) in &self.pins {
            let (key, version) = (key.clone(), version.clone());
            records.push(Record::Pin { key, version, forget_at: *forget_at });
        }
        records
    }
}

impl<'a> FromIterator<&'a Record> for Records {
    fn from_iter<T: IntoIterator<Item = &'a Record>>(records: T) -> Self {
        let mut all = Self::default();
        for record in records {
            all.apply(record, 0);
        }
        all
    }
}
