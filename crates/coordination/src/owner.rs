//! The owner's half of a shard: it decides, and waits for its records to be safe.

use std::collections::VecDeque;

use policy::name::Name;
use policy::time::Millis;

use crate::home::Home;
use crate::message::{Append, Record};
use crate::records::Records;

/// Keys and sessions of one shard at most; a whole load must fit one message.
pub const RECORDS_MAX: usize = 100_000;

/// Why a claim or pin can't be taken now. Nothing was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// After a cold takeover: the key may have been claimed in records that are lost.
    Closed {
        /// Until when.
        until: Millis,
    },
    /// The bound on records is reached.
    Full,
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
    records: Records,
    /// Records not known to be safe, in order.
    unsafe_yet: VecDeque<Record>,
    /// Number of the first of them: all before it are safe.
    safe_to: u64,
}

impl Owner {
    /// With records that are all safe.
    #[must_use]
    pub fn new(epoch: u64, deputy: Name, records: Records, next: u64) -> Self {
        let closed_until = Millis(0);
        let unsafe_yet = VecDeque::new();
        Self { epoch, deputy, closed_until, records, unsafe_yet, safe_to: next }
    }

    /// Refuses unknown keys until a time.
    #[must_use]
    pub fn closed_until(mut self, until: Millis) -> Self {
        self.closed_until = until;
        self
    }

    /// All records before this number are safe.
    #[must_use]
    pub fn safe_to(&self) -> u64 {
        self.safe_to
    }

    /// The number that the next record gets.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.safe_to + self.unsafe_yet.len() as u64
    }

    /// The records.
    #[must_use]
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Records a claim if the key is free. The answer is [`Self::verdict`], and may be given only
    /// once [`Self::safe_to`] has passed the number returned.
    ///
    /// # Errors
    /// When it can't be taken now.
    pub fn claim(
        &mut self,
        key: &Name,
        request: &Name,
        keep_ms: u64,
        now: Millis,
    ) -> Result<u64, Refused> {
        match self.records.claimed(key, now) {
            Some(claimed) if !claimed.abandoned || claimed.request == *request => {
                return Ok(claimed.number);
            }
            Some(_) => {}
            None => self.admit(now)?,
        }
        let (key, request) = (key.clone(), request.clone());
        Ok(self.push(Record::Claim { key, request, forget_at: now + keep_ms }))
    }

    /// What a claim came to.
    #[must_use]
    pub fn verdict(&self, key: &str, request: &str, now: Millis) -> Verdict {
        match self.records.claimed(key, now) {
            Some(claimed) if &*claimed.request != request => {
                Verdict::Taken { request: claimed.request.clone() }
            }
            Some(claimed) if claimed.abandoned => Verdict::Vacant,
            Some(_) => Verdict::Granted,
            None => Verdict::Vacant,
        }
    }

    /// Records that a request never ran and never will, if it holds the key.
    pub fn abandon(&mut self, key: &Name, request: &Name, now: Millis) -> Option<u64> {
        match self.records.claimed(key, now) {
            Some(claimed) if claimed.request == *request && !claimed.abandoned => {}
            _ => return None,
        }
        let (key, request) = (key.clone(), request.clone());
        Some(self.push(Record::Abandon { key, request }))
    }

    /// Pins a session, or keeps the pin it has. The version may be told once its number is safe.
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
        keep_ms: u64,
        now: Millis,
    ) -> Result<(Name, u64), Refused> {
        let version = match self.records.pinned(key, now) {
            Some(pinned) if Millis(pinned.forget_at.0).since(now) > keep_ms / 2 => {
                return Ok((pinned.version.clone(), pinned.number));
            }
            Some(pinned) => pinned.version.clone(),
            None => {
                self.admit(now)?;
                version.clone()
            }
        };
        let key = key.clone();
        let record = Record::Pin { key, version: version.clone(), forget_at: now + keep_ms };
        Ok((version, self.push(record)))
    }

    fn admit(&mut self, now: Millis) -> Result<(), Refused> {
        if now < self.closed_until {
            return Err(Refused::Closed { until: self.closed_until });
        }
        if self.records.len() >= RECORDS_MAX {
            self.records.forget(now);
        }
        match self.records.len() {
            full if full >= RECORDS_MAX => Err(Refused::Full),
            _ => Ok(()),
        }
    }

    fn push(&mut self, record: Record) -> u64 {
        let number = self.next();
        self.records.apply(&record, number);
        self.unsafe_yet.push_back(record);
        number
    }

    /// The records that are not safe yet, a bounded number of them, for the deputy.
    #[must_use]
    pub fn unsafe_records(&self, home: &Home, owner: &Name, max: usize) -> Option<Append> {
        match self.unsafe_yet.is_empty() {
            true => None,
            false => Some(Append {
                failure_domain: home.failure_domain.clone(),
                shard: home.shard,
                epoch: self.epoch,
                owner: owner.clone(),
                first: self.safe_to,
                records: self.unsafe_yet.iter().take(max).cloned().collect(),
                whole: false,
            }),
        }
    }

    /// All before a number are safe.
    pub fn saved(&mut self, to: u64) {
        let count = usize::try_from(to.saturating_sub(self.safe_to)).unwrap_or(usize::MAX);
        let count = count.min(self.unsafe_yet.len());
        self.unsafe_yet.drain(..count);
        self.safe_to += count as u64;
    }

    /// Another deputy, loaded up to a number, under the next epoch.
    pub fn moved(&mut self, epoch: u64, deputy: Name, loaded_to: u64) {
        self.epoch = epoch;
        self.deputy = deputy;
        self.saved(loaded_to);
    }

    /// Drops records whose time is over.
    pub fn forget(&mut self, now: Millis) {
        self.records.forget(now);
    }
}
