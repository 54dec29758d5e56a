//! The owner's half of a shard: it decides, and waits for its records to be safe.

use std::collections::VecDeque;

use policy::name::Name;
use policy::time::Millis;

use crate::home::Home;
use crate::message::{Append, Record};
use crate::records::Records;

/// Keys and sessions of one shard at most; a whole load must fit one message.
pub const RECORDS_MAX: usize = 100_000;
/// Longest time a key is remembered after its last use, in milliseconds. Also how long a shard
/// that lost records refuses unknown keys: any of them may have been claimed.
pub const RETENTION_MS_MAX: u64 = 24 * 3_600_000;

/// Why a claim or pin can't be taken now. Nothing was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// After a cold takeover: the key may have been claimed in records that are lost.
    Closed {
        /// Until when.
        until: Millis,
    },
    /// The bound on records is reached.
    Full,
    /// The shard is being handed over.
    Leaving,
}

/// What a claim came to, once its record is safe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This request holds the key.
    Granted,
    /// Another one does.
    Taken {
        /// Which.
        request: Name,
    },
    /// No one does any more.
    Vacant,
}

/// A shard as its owner has it.
#[derive(Clone, Debug)]
pub struct Owner {
    /// The epoch it is held under.
    pub epoch: u64,
    /// The deputy; empty for none.
    pub deputy: Name,
    /// Until when unknown keys are refused.
    pub closed_until: Millis,
    /// Takes nothing new: it is being handed over.
    pub is_leaving: bool,
    records: Records,
    /// Records not known to be safe, in order.
    unreplicated: VecDeque<Record>,
    /// Number of the first of them: all before it are safe.
    replicated_to: u64,
}

impl Owner {
    /// With records that are all safe. Their numbers are below `next`, which is at least 1, so
    /// that 0 can stand for any number of old.
    #[must_use]
    pub fn new(epoch: u64, deputy: Name, records: Records, next_number: u64) -> Self {
        let closed_until = Millis(0);
        let unreplicated = VecDeque::new();
        let (is_leaving, replicated_to) = (false, next_number.max(1));
        Self { epoch, deputy, closed_until, is_leaving, records, unreplicated, replicated_to }
    }

    /// Refuses unknown keys until a time.
    #[must_use]
    pub fn closed_until(mut self, until: Millis) -> Self {
        self.closed_until = until;
        self
    }

    /// All records before this number are safe.
    #[must_use]
    pub fn replicated_to(&self) -> u64 {
        self.replicated_to
    }

    /// The number that the next record gets.
    #[must_use]
    pub fn next_number(&self) -> u64 {
        self.replicated_to + self.unreplicated.len() as u64
    }

    /// The records.
    #[must_use]
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Records a claim if the key is free. The answer is [`Self::verdict`].
    ///
    /// # Errors
    /// When it can't be taken now.
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

    /// What a claim came to; none while the record that says so is not safe.
    ///
    /// Looked up afresh at each call: the claim may have been abandoned while it was waiting.
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

    /// Records that a request never ran and never will, if it holds the key.
    ///
    /// Not while the shard is being handed over: the next owner would not have the record, but
    /// this control, its deputy then, would, and their numbers would differ by one. The deputy
    /// would skip the next owner's first claim as one it knows, and grant it again after a
    /// takeover.
    ///
    /// # Errors
    /// [`Refusal::Leaving`] during a hand-over: the next owner is to be asked.
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

    /// Pins a session, or keeps the pin it has. The answer is [`Self::version`].
    ///
    /// A pin is recorded again only when half its time is over: its use would otherwise cost a
    /// record each time.
    ///
    /// # Errors
    /// When it can't be taken now.
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

    /// A session's version; none while the record that says so is not safe.
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
            full if full >= RECORDS_MAX => Err(Refusal::Full),
            _ => Ok(()),
        }
    }

    fn push(&mut self, record: Record) {
        self.records.apply(&record, self.next_number());
        self.unreplicated.push_back(record);
    }

    /// The records that are not safe yet, a bounded number of them, for the deputy.
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

    /// All before a number are safe.
    pub fn mark_replicated(&mut self, number: u64) {
        let count =
            usize::try_from(number.saturating_sub(self.replicated_to)).unwrap_or(usize::MAX);
        let count = count.min(self.unreplicated.len());
        self.unreplicated.drain(..count);
        self.replicated_to += count as u64;
    }

    /// Another deputy, loaded up to a number, under the next epoch.
    pub fn set_deputy(&mut self, epoch: u64, deputy: Name, replicated_to: u64) {
        self.epoch = epoch;
        self.deputy = deputy;
        self.mark_replicated(replicated_to);
    }

    /// Whether the deputy has all.
    #[must_use]
    pub fn is_replicated(&self) -> bool {
        self.unreplicated.is_empty()
    }

    /// Its records, and the number of the next.
    #[must_use]
    pub fn into_records(self) -> (Records, u64) {
        let next_number = self.next_number();
        (self.records, next_number)
    }

    /// Drops records whose time is over.
    pub fn remove_expired(&mut self, now: Millis) {
        self.records.remove_expired(now);
    }
}
