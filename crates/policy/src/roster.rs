//! Which backend servers exist, from a list that may be late, stale, or empty after an outage.
//!
//! Three failures are prevented:
//! - A leaving server comes back because an old list is read again. For each id the newest row
//!   wins, and an id that is leaving or removed never returns to work.
//! - Servers whose entries lapsed while the list was unreachable count as dead. Their entries are
//!   kept for a short time after the outage.
//! - A server that is really gone is kept for long.

use std::collections::{BTreeMap, HashSet};

use crate::domain;
use crate::name::Name;
use crate::revision::Revision;
use crate::time::Millis;

/// How long after an outage a lapsed entry is kept, in milliseconds. Live servers renew theirs
/// within about two seconds of the list's return.
pub const LAPSE_GRACE_MS: u64 = 2_000;
/// How long a removed id is remembered, in milliseconds; no stale list is that old.
const REMOVED_RETENTION_MS: u64 = 120_000;

/// A backend server's entry in the list.
pub trait Entry: Clone {
    /// The server's id.
    fn id(&self) -> &Name;
    /// When the server started, in milliseconds since the Unix epoch; 0 if the entry does not say.
    fn born(&self) -> u64;
    /// Whether the server is leaving.
    fn is_leaving(&self) -> bool;
    /// Returns the entry marked as leaving.
    #[must_use]
    fn into_leaving(self) -> Self;
}

domain! {
    /// Whether an entry is in use, and since or until when it is not.
    #[derive(Copy, Eq)]
    enum Status {
        /// The entry is in the list.
        Listed,
        /// The entry lapsed while the list was unreachable and is kept until the given time.
        Lapsed(Millis),
        /// The entry was removed at the given time.
        Removed(Millis),
    }
}

/// What became of an entry that was removed from the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Removal {
    /// The roster knows no such entry, or something newer of it.
    Ignored,
    /// The entry is given up.
    Final,
    /// The entry is kept until the given time, because the list was unreachable and the entry may
    /// have lapsed.
    Kept(Millis),
}

/// What the roster knows of one id.
#[derive(Clone, Debug)]
struct Record<T> {
    entry: Option<T>,
    revision: Revision,
    status: Status,
    /// Whether the server has said that it is leaving.
    is_leaving: bool,
}

/// The list of backend servers as this host believes it.
#[derive(Clone, Debug)]
pub struct Roster<T> {
    records: BTreeMap<Name, Record<T>>,
    /// Newest revision of the list that the roster contains.
    pub revision: Revision,
    /// When the list was last unreachable.
    unreachable_at: Option<Millis>,
    /// When the list was first reached after it was last unreachable.
    reached_at: Option<Millis>,
}

impl<T> Default for Roster<T> {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            revision: Revision::NONE,
            unreachable_at: None,
            reached_at: None,
        }
    }
}

impl<T: Entry> Roster<T> {
    /// Records that the list could not be read.
    pub fn record_unreachable(&mut self, now: Millis) {
        self.unreachable_at = Some(now);
        self.reached_at = None;
    }

    /// Records that the list was reached.
    pub fn record_reached(&mut self, now: Millis) {
        if self.unreachable_at.is_some() && self.reached_at.is_none() {
            self.reached_at = Some(now);
        }
    }

    /// Adds or replaces an entry as of a revision, unless something newer is known of its id.
    pub fn put(&mut self, entry: T, revision: Revision) {
        let id = entry.id().clone();
        let before = self.records.get(&id);
        if before.is_some_and(|record| record.revision >= revision) {
            return;
        }
        // A server may start again under its id. What it said before the restart no longer holds:
        // if a leave were remembered, the restarted server would never get work. A late write from
        // before the restart changes nothing.
        let born_before = before.and_then(|record| record.entry.as_ref()).map(Entry::born);
        if born_before.is_some_and(|before| entry.born() < before) {
            return;
        }
        let before = before.filter(|_| born_before.is_none_or(|before| entry.born() == before));
        let is_leaving = before.is_some_and(|record| record.is_leaving) || entry.is_leaving();
        let removed = before.is_some_and(|record| matches!(record.status, Status::Removed(_)));
        // A lapsed entry that comes back belongs to the same start of the same server. A removed
        // one that comes back had left in between, or its lapse was not waited for any longer; the
        // server is used again unless it had said that it is leaving.
        let entry = if is_leaving { entry.into_leaving() } else { entry };
        let status = match (removed, is_leaving) {
            (true, true) => return,
            _ => Status::Listed,
        };
        self.records.insert(id, Record { entry: Some(entry), revision, status, is_leaving });
        self.revision = self.revision.max(revision);
    }

    /// Removes an entry as of a revision. After an outage the removal counts as a lapse, and the
    /// entry is kept for a short time, unless its server is leaving.
    pub fn remove(&mut self, id: &Name, revision: Revision, now: Millis) -> Removal {
        self.revision = self.revision.max(revision);
        let lapsing = self.lapse_deadline(now);
        let known = self.records.get_mut(id).filter(|record| record.revision < revision);
        let Some(record) = known else { return Removal::Ignored };
        record.revision = revision;
        let (status, removal) = match (lapsing, record.is_leaving) {
            (Some(until), false) => (Status::Lapsed(until), Removal::Kept(until)),
            _ => (Status::Removed(now), Removal::Final),
        };
        record.status = status;
        removal
    }

    /// Whether the id's entry is kept although it was removed from the list.
    #[must_use]
    pub fn is_kept(&self, id: &Name) -> bool {
        self.records.get(id).is_some_and(|record| matches!(record.status, Status::Lapsed(_)))
    }

    /// The ids of entries that are kept although they were removed from the list, each with the
    /// time until which it is.
    pub fn kept(&self) -> impl Iterator<Item = (&Name, Millis)> {
        self.records.iter().filter_map(|(id, record)| match record.status {
            Status::Lapsed(until) => Some((id, until)),
            _ => None,
        })
    }

    /// Removes an entry that was replaced by an unreadable one, which names no usable server. The
    /// removal never counts as a lapse, because somebody has written the new entry.
    pub fn withdraw(&mut self, id: &Name, revision: Revision, now: Millis) {
        self.revision = self.revision.max(revision);
        let record = self.records.get_mut(id).filter(|record| record.revision < revision);
        if let Some(record) = record {
            record.revision = revision;
            record.status = Status::Removed(now);
        }
    }

    /// Replaces the whole list as of a revision. Returns false, and changes nothing, if that
    /// revision is older than the roster's.
    pub fn replace(
        &mut self,
        entries: Vec<(T, Revision)>,
        revision: Revision,
        now: Millis,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        let listed: HashSet<Name> = entries.iter().map(|(entry, _)| entry.id().clone()).collect();
        for (entry, revision) in entries {
            self.put(entry, revision);
        }
        let held = self.records.iter().filter(|(_, record)| record.status == Status::Listed);
        let missing: Vec<Name> =
            held.map(|(id, _)| id.clone()).filter(|id| !listed.contains(id)).collect();
        for id in missing {
            // What becomes of each is asked of `kept`.
            let _ = self.remove(&id, revision.max(Revision::from(1)), now);
        }
        self.revision = revision;
        true
    }

    /// Returns the servers that exist now, leaving ones included. Nothing is given up by this: see
    /// [`Self::expire`].
    #[must_use]
    pub fn entries(&self, now: Millis) -> Vec<T> {
        self.records
            .values()
            .filter_map(|record| match record.status {
                Status::Listed => record.entry.clone(),
                Status::Lapsed(until) if now < until => record.entry.clone(),
                Status::Lapsed(_) | Status::Removed(_) => None,
            })
            .collect()
    }

    /// Whether the id is listed, or was until recently.
    #[must_use]
    pub fn remembers(&self, id: &Name) -> bool {
        self.records.contains_key(id)
    }

    /// When the next lapsed entry must be given up by [`Self::expire`]; none if no entry has lapsed.
    #[must_use]
    pub fn next_lapse(&self) -> Option<Millis> {
        let lapses = self.records.values().filter_map(|record| match record.status {
            Status::Lapsed(until) => Some(until),
            _ => None,
        });
        lapses.min()
    }

    /// Until when an entry that is removed now is kept as lapsed; none if the removal is final.
    fn lapse_deadline(&self, now: Millis) -> Option<Millis> {
        match (self.unreachable_at, self.reached_at) {
            (Some(_), Some(at)) if now < at + LAPSE_GRACE_MS => Some(at + LAPSE_GRACE_MS),
            (Some(_), None) => Some(now + LAPSE_GRACE_MS),
            _ => None,
        }
    }

    /// Gives up lapsed entries whose time is over, and forgets ids that were removed long ago.
    ///
    /// Only whoever tells requests of it afterwards may call this: [`Self::next_lapse`] no longer
    /// names the entries, and requests would go on to their servers for good.
    pub fn expire(&mut self, now: Millis) {
        for record in self.records.values_mut() {
            match record.status {
                Status::Lapsed(until) if until <= now => {
                    record.status = Status::Removed(now);
                }
                _ => {}
            }
        }
        self.records.retain(|_, record| match record.status {
            Status::Removed(at) => now.since(at) < REMOVED_RETENTION_MS,
            _ => true,
        });
    }
}
