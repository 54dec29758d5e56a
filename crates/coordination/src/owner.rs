//! The owner's side of a shard: it decides on claims and pins, and answers after replication.
//!
//! A record is replicated once the deputy has it, or the object store if the shard has no deputy.

use std::collections::VecDeque;

use policy::name::Name;
use policy::time::Millis;

use crate::home::Home;
use crate::message::{Append, Record};
use crate::records::Records;

/// Largest number of claims and pins in one shard; a full load must fit into one message.
pub const RECORDS_MAX: usize = 100_000;
/// Longest time a claim or pin is kept after its last use, in milliseconds. A shard that lost
/// records refuses unknown keys for the same time, because any of them may have been claimed.
pub const RETENTION_MS_MAX: u64 = 24 * 3_600_000;

/// Why an owner refuses a claim, an abandon or a pin now. Nothing was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A cold takeover happened: the unknown key may have been claimed in records that are lost.
    Closed {
        /// When unknown keys are accepted again.
        until: Millis,
    },
    /// The shard has [`RECORDS_MAX`] unexpired records.
    Full,
    /// The shard is being handed over to another owner.
    Leaving,
}

/// The outcome of a claim, once its record is replicated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The asking request holds the key.
    Granted,
    /// Another request holds the key, or held it and abandoned it.
    Taken {
        /// Identifier of that other request.
        request: Name,
    },
    /// The key is unclaimed: the asking request's claim was abandoned or has expired.
    Vacant,
}

/// The state of a shard at its owner.
#[derive(Clone, Debug)]
pub struct Owner {
    /// Epoch under which the shard is owned.
    pub epoch: u64,
    /// Incarnation of the deputy; empty if there is no deputy.
    pub deputy: Name,
    /// Until when unknown keys are refused; 0 for not at all.
    pub closed_until: Millis,
    /// Whether the shard is being handed over; the owner then makes no new records.
    pub is_leaving: bool,
    records: Records,
    /// Records not known to be replicated, in order.
    unreplicated: VecDeque<Record>,
    /// Number of the first record in `unreplicated`; all records before it are replicated.
    replicated_to: u64,
}

impl Owner {
    /// Creates an owner whose records are all replicated and have numbers below `next_number`.
    /// Numbers start at 1: records from a full load count as number 0, and so as replicated.
    #[must_use]
    pub fn new(epoch: u64, deputy: Name, records: Records, next_number: u64) -> Self {
        let closed_until = Millis(0);
        let unreplicated = VecDeque::new();
        let (is_leaving, replicated_to) = (false, next_number.max(1));
        Self { epoch, deputy, closed_until, is_leaving, records, unreplicated, replicated_to }
    }

    /// Sets until when unknown keys are refused.
    #[must_use]
    pub fn closed_until(mut self, until: Millis) -> Self {
        self.closed_until = until;
        self
    }

    /// Number before which all records are replicated.
    #[must_use]
    pub fn replicated_to(&self) -> u64 {
        self.replicated_to
    }

    /// Number that the next record gets.
    #[must_use]
    pub fn next_number(&self) -> u64 {
        self.replicated_to + self.unreplicated.len() as u64
    }

    /// Claims and pins of the shard, replicated or not.
    #[must_use]
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Records a claim if the key is free. [`Self::verdict`] tells which request got the key.
    ///
    /// # Errors
    /// [`Refusal`] if the key would need a new record and the owner makes none now.
    pub fn claim(
        &mut self,
        key: &Name,
        request: &Name,
        retention_ms: u64,
        now: Millis,
    ) -> Result<(), Refusal> {
        match self.records.find_claim(key, now) {
            Some(claim) if !claim.is_abandoned || claim.request == *request => return Ok(()),
            Some(_) if self.is_leaving => return Err(Refusal::Leaving),
            Some(_) => {}
            None => self.admit(now)?,
        }
        let (key, request) = (key.clone(), request.clone());
        self.push(Record::Claim {
            key,
            request,
            forget_at: now + retention_ms.min(RETENTION_MS_MAX),
        });
        Ok(())
    }

    /// The outcome of a claim. `None` until the record that decides it is replicated.
    ///
    /// The outcome is looked up anew at each call, because the claim may have been abandoned while
    /// its request was waiting.
    #[must_use]
    pub fn verdict(&self, key: &str, request: &str, now: Millis) -> Option<Verdict> {
        match self.records.find_claim(key, now) {
            Some(claim) if claim.number >= self.replicated_to => None,
            Some(claim) if &*claim.request != request => {
                Some(Verdict::Taken { request: claim.request.clone() })
            }
            Some(claim) if claim.is_abandoned => Some(Verdict::Vacant),
            Some(_) => Some(Verdict::Granted),
            None => Some(Verdict::Vacant),
        }
    }

    /// Records that a request never ran and never will, if the request holds the key.
    ///
    /// This is refused while the shard is being handed over. The next owner would lack the record,
    /// but this control process, by then the deputy, would have it, so their record numbers would
    /// differ by one. The deputy would skip the next owner's first claim as already known, and
    /// after a takeover it would grant that key again.
    ///
    /// # Errors
    /// [`Refusal::Leaving`] during a hand-over; the caller must ask the next owner.
    pub fn abandon(&mut self, key: &Name, request: &Name, now: Millis) -> Result<(), Refusal> {
        match self.records.find_claim(key, now) {
            Some(claim) if claim.request == *request && !claim.is_abandoned => {}
            _ => return Ok(()),
        }
        if self.is_leaving {
            return Err(Refusal::Leaving);
        }
        let (key, request) = (key.clone(), request.clone());
        self.push(Record::Abandon { key, request });
        Ok(())
    }

    /// Pins a session to a version, unless it has a pin. [`Self::version`] tells the pinned
    /// version.
    ///
    /// An existing pin is prolonged by a new record only after half of its time, since otherwise
    /// each use of the session would cost a record.
    ///
    /// # Errors
    /// [`Refusal`] if the session has no pin and the owner makes no new records now.
    pub fn pin(
        &mut self,
        key: &Name,
        version: &Name,
        retention_ms: u64,
        now: Millis,
    ) -> Result<(), Refusal> {
        let retention_ms = retention_ms.min(RETENTION_MS_MAX);
        let version = match self.records.find_pin(key, now) {
            Some(pin) if self.is_leaving || pin.forget_at.since(now) > retention_ms / 2 => {
                return Ok(());
            }
            Some(pin) => pin.version.clone(),
            None => {
                self.admit(now)?;
                version.clone()
            }
        };
        self.push(Record::Pin { key: key.clone(), version, forget_at: now + retention_ms });
        Ok(())
    }

    /// The version of a session. `None` without an unexpired pin, or while its latest record is not
    /// replicated.
    #[must_use]
    pub fn version(&self, key: &str, now: Millis) -> Option<Name> {
        let pin = self.records.find_pin(key, now)?;
        (pin.number < self.replicated_to).then(|| pin.version.clone())
    }

    fn admit(&mut self, now: Millis) -> Result<(), Refusal> {
        if self.is_leaving {
            return Err(Refusal::Leaving);
        }
        if now < self.closed_until {
            return Err(Refusal::Closed { until: self.closed_until });
        }
        if self.records.len() >= RECORDS_MAX {
            self.records.remove_expired(now);
        }
        match self.records.len() {
            count if count >= RECORDS_MAX => Err(Refusal::Full),
            _ => Ok(()),
        }
    }

    fn push(&mut self, record: Record) {
        self.records.apply(&record, self.next_number());
        self.unreplicated.push_back(record);
    }

    /// A message to the deputy with the first `max` unreplicated records. `None` if there are none.
    #[must_use]
    pub fn unreplicated_records(&self, home: &Home, owner: &Name, max: usize) -> Option<Append> {
        match self.unreplicated.is_empty() {
            true => None,
            false => Some(Append {
                home: home.clone(),
                epoch: self.epoch,
                owner: owner.clone(),
                first: self.replicated_to,
                records: self.unreplicated.iter().take(max).cloned().collect(),
                whole: false,
            }),
        }
    }

    /// Marks all records before a number as replicated. A number that is already passed changes
    /// nothing.
    pub fn mark_replicated(&mut self, number: u64) {
        let count =
            usize::try_from(number.saturating_sub(self.replicated_to)).unwrap_or(usize::MAX);
        let count = count.min(self.unreplicated.len());
        self.unreplicated.drain(..count);
        self.replicated_to += count as u64;
    }

    /// Sets a new deputy and the epoch that the swap of the row gave the shard. The new deputy's
    /// full load has all records before `replicated_to`.
    pub fn set_deputy(&mut self, epoch: u64, deputy: Name, replicated_to: u64) {
        self.epoch = epoch;
        self.deputy = deputy;
        self.mark_replicated(replicated_to);
    }

    /// Whether all records are replicated.
    #[must_use]
    pub fn is_replicated(&self) -> bool {
        self.unreplicated.is_empty()
    }

    /// Claims and pins of the shard, and the number that the next record gets.
    #[must_use]
    pub fn into_records(self) -> (Records, u64) {
        let next_number = self.next_number();
        (self.records, next_number)
    }

    /// Removes expired claims and pins.
    pub fn remove_expired(&mut self, now: Millis) {
        self.records.remove_expired(now);
    }
}
