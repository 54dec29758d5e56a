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
pub const KEEP_MS_MAX: u64 = 24 * 3_600_000;

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
    pub leaving: bool,
    records: Records,
    /// Records not known to be safe, in order.
    unsafe_yet: VecDeque<Record>,
    /// Number of the first of them: all before it are safe.
    safe_to: u64,
}

impl Owner {
    /// With records that are all safe. Their numbers are below `next`, which is at least 1, so
    /// that 0 can stand for any number of old.
    #[must_use]
    pub fn new(epoch: u64, deputy: Name, records: Records, next: u64) -> Self {
        let closed_until = Millis(0);
        let unsafe_yet = VecDeque::new();
        let (leaving, safe_to) = (false, next.max(1));
        Self { epoch, deputy, closed_until, leaving, records, unsafe_yet, safe_to }
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

    /// Records a claim if the key is free. The answer is [`Self::verdict`].
    ///
    /// # Errors
    /// When it can't be taken now.
    pub fn claim(
        &mut self,
        key: &Name,
        request: &Name,
        keep_ms: u64,
        now: Millis,
    ) -> Result<(), Refused> {
        match self.records.claimed(key, now) {
            Some(claimed) if !claimed.abandoned || claimed.request == *request => return Ok(()),
            Some(_) if self.leaving => return Err(Refused::Leaving),
            Some(_) => {}
            None => self.admit(now)?,
        }
        let (key, request) = (key.clone(), request.clone());
        self.push(Record::Claim { key, request, forget_at: now + keep_ms.min(KEEP_MS_MAX) });
        Ok(())
    }

    /// What a claim came to; none while the record that says so is not safe.
    ///
    /// Looked up afresh at each call: the claim may have been abandoned while it was waiting.
    #[must_use]
    pub fn verdict(&self, key: &str, request: &str, now: Millis) -> Option<Verdict> {
        match self.records.claimed(key, now) {
            Some(claimed) if claimed.number >= self.safe_to => None,
            Some(claimed) if &*claimed.request != request => {
                Some(Verdict::Taken { request: claimed.request.clone() })
            }
            Some(claimed) if claimed.abandoned => Some(Verdict::Vacant),
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
    /// [`Refused::Leaving`] during a hand-over: the next owner is to be asked.
    pub fn abandon(&mut self, key: &Name, request: &Name, now: Millis) -> Result<(), Refused> {
        match self.records.claimed(key, now) {
            Some(claimed) if claimed.request == *request && !claimed.abandoned => {}
            _ => return Ok(()),
        }
        if self.leaving {
            return Err(Refused::Leaving);
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
        keep_ms: u64,
        now: Millis,
    ) -> Result<(), Refused> {
        let keep_ms = keep_ms.min(KEEP_MS_MAX);
        let version = match self.records.pinned(key, now) {
            Some(pinned) if self.leaving || pinned.forget_at.since(now) > keep_ms / 2 => {
                return Ok(());
            }
            Some(pinned) => pinned.version.clone(),
            None => {
                self.admit(now)?;
                version.clone()
            }
        };
        self.push(Record::Pin { key: key.clone(), version, forget_at: now + keep_ms });
        Ok(())
    }

    /// A session's version; none while the record that says so is not safe.
    #[must_use]
    pub fn version(&self, key: &str, now: Millis) -> Option<Name> {
        let pinned = self.records.pinned(key, now)?;
        (pinned.number < self.safe_to).then(|| pinned.version.clone())
    }

    fn admit(&mut self, now: Millis) -> Result<(), Refused> {
        if self.leaving {
            return Err(Refused::Leaving);
        }
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

    fn push(&mut self, record: Record) {
        self.records.apply(&record, self.next());
        self.unsafe_yet.push_back(record);
    }

    /// The records that are not safe yet, a bounded number of them, for the deputy.
    #[must_use]
    pub fn unsafe_records(&self, home: &Home, owner: &Name, max: usize) -> Option<Append> {
        match self.unsafe_yet.is_empty() {
            true => None,
            false => Some(Append {
                home: home.clone(),
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

    /// Whether the deputy has all.
    #[must_use]
    pub fn is_safe(&self) -> bool {
        self.unsafe_yet.is_empty()
    }

    /// Its records, and the number of the next.
    #[must_use]
    pub fn into_records(self) -> (Records, u64) {
        let next = self.next();
        (self.records, next)
    }

    /// Drops records whose time is over.
    pub fn forget(&mut self, now: Millis) {
        self.records.forget(now);
    }
}
