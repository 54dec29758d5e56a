//! The records of a shard: claimed idempotency keys and pinned sessions.

use std::collections::HashMap;

use policy::name::Name;
use policy::time::Millis;

use crate::message::Record;

/// The claim of an idempotency key by a request.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Identifier of the request that holds the key.
    pub request: Name,
    /// When the claim expires.
    pub forget_at: Millis,
    /// Number of the latest record about this claim; 0 if it was part of a full load.
    pub number: u64,
    /// Whether the request never ran and never will, so that another request may claim the key. An
    /// abandoned claim is kept rather than removed: a delayed duplicate of it would otherwise claim
    /// the key again.
    pub is_abandoned: bool,
}

/// The version that a session keeps.
#[derive(Clone, Debug)]
pub struct Pin {
    /// Version that serves the session.
    pub version: Name,
    /// When the pin expires.
    pub forget_at: Millis,
    /// Number of the latest record about this pin; 0 if it was part of a full load.
    pub number: u64,
}

/// The claims and pins of one shard, by account and key.
#[derive(Clone, Debug, Default)]
pub struct Records {
    claims: HashMap<Name, Claim>,
    pins: HashMap<Name, Pin>,
}

impl Records {
    /// Number of claims and pins, including expired ones that have not been removed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len() + self.pins.len()
    }

    /// Whether there are no claims and no pins.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The unexpired claim of a key, even if it was abandoned.
    #[must_use]
    pub fn find_claim(&self, key: &str, now: Millis) -> Option<&Claim> {
        self.claims.get(key).filter(|claim| claim.forget_at > now)
    }

    /// The unexpired pin of a session.
    #[must_use]
    pub fn find_pin(&self, key: &str, now: Millis) -> Option<&Pin> {
        self.pins.get(key).filter(|pin| pin.forget_at > now)
    }

    /// Applies a record with its number.
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

    /// Removes expired claims and pins.
    pub fn remove_expired(&mut self, now: Millis) {
        self.claims.retain(|_, claim| claim.forget_at > now);
        self.pins.retain(|_, pin| pin.forget_at > now);
    }

    /// Records that rebuild this state. The records of one key are in order; the keys are not.
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
