//! Which backend servers exist, from a list that may be late, stale, or empty after an outage.
//!
//! Three things must not happen. A server that is leaving must not come back because an old list
//! is read afresh: each id's newest row wins, and a leaving or removed id never returns to work.
//! Servers whose entries lapsed because the list was out of their reach must not be taken for
//! dead: they are kept for a moment after the outage. And a server that is really gone must not
//! be kept for long.

use std::collections::{BTreeMap, HashSet};

use crate::domain;
use crate::name::Name;
use crate::revision::Revision;
use crate::time::Millis;

/// How long an entry that lapsed during an outage is waited for after it, in milliseconds. Live
/// servers renew theirs within about two seconds of the list's return.
pub const LAPSE_MS: u64 = 2_000;
/// How long a removed id is remembered, in milliseconds; no stale list is as old.
const REMEMBER_MS: u64 = 120_000;

/// One entry of the list, as the roster sees it.
pub trait Entry: Clone {
    /// Names one server.
    fn id(&self) -> &Name;
    /// When this start of it began, in milliseconds since the epoch; 0 if it does not say.
    fn born(&self) -> u64;
    /// Whether it is leaving.
    fn is_leaving(&self) -> bool;
    /// The same, leaving.
    #[must_use]
    fn leaving(self) -> Self;
}

domain! {
    /// Where an entry stands.
    #[derive(Copy, Eq)]
    enum Status {
        /// Listed.
        Listed,
        /// Lapsed while the list was away; kept until then.
        Lapsed(Millis),
        /// Removed then.
        Removed(Millis),
    }
}

#[derive(Clone, Debug)]
struct Known<T> {
    entry: Option<T>,
    revision: Revision,
    status: Status,
    left: bool,
}

/// The list as this host believes it.
#[derive(Clone, Debug)]
pub struct Roster<T> {
    known: BTreeMap<Name, Known<T>>,
    /// Newest revision of the list that was taken in.
    pub revision: Revision,
    /// When the list was last out of reach.
    away_at: Option<Millis>,
    /// When it was first reached after that.
    back_at: Option<Millis>,
}

impl<T> Default for Roster<T> {
    fn default() -> Self {
        Self { known: BTreeMap::new(), revision: Revision::NONE, away_at: None, back_at: None }
    }
}

impl<T: Entry> Roster<T> {
    /// The list could not be read.
    pub fn away(&mut self, now: Millis) {
        self.away_at = Some(now);
        self.back_at = None;
    }

    /// The list was reached.
    pub fn reached(&mut self, now: Millis) {
        if self.away_at.is_some() && self.back_at.is_none() {
            self.back_at = Some(now);
        }
    }

    /// One entry as of a revision.
    pub fn put(&mut self, entry: T, revision: Revision) {
        let id = entry.id().clone();
        let before = self.known.get(&id);
        if before.is_some_and(|known| known.revision >= revision) {
            return;
        }
        // A server may start again under its id. What the start before said ends with it: were a
        // leave remembered, the new start would never get work. A late write of an old start
        // changes nothing.
        let born_before = before.and_then(|known| known.entry.as_ref()).map(Entry::born);
        if born_before.is_some_and(|before| entry.born() < before) {
            return;
        }
        let before = before.filter(|_| born_before.is_none_or(|before| entry.born() == before));
        let left = before.is_some_and(|known| known.left) || entry.is_leaving();
        let removed = before.is_some_and(|known| matches!(known.status, Status::Removed(_)));
        // A lapsed entry that comes back is the same start of the same server. One that was
        // removed and comes back had left in between or was given up; it serves on, unless it
        // had said that it was leaving.
        let entry = if left { entry.leaving() } else { entry };
        let status = match (removed, left) {
            (true, true) => return,
            _ => Status::Listed,
        };
        self.known.insert(id, Known { entry: Some(entry), revision, status, left });
        self.revision = self.revision.max(revision);
    }

    /// An entry was removed as of a revision.
    pub fn remove(&mut self, id: &Name, revision: Revision, now: Millis) {
        self.revision = self.revision.max(revision);
        let lapsing = self.lapsing_until(now);
        let Some(known) = self.known.get_mut(id) else { return };
        if known.revision >= revision {
            return;
        }
        known.revision = revision;
        known.status = match (lapsing, known.left) {
            (Some(until), false) => Status::Lapsed(until),
            _ => Status::Removed(now),
        };
    }

    /// An entry was replaced by one that can't be read. It names no server to use; unlike one that
    /// lapsed it is not waited for, since somebody has written it.
    pub fn withdraw(&mut self, id: &Name, revision: Revision, now: Millis) {
        self.revision = self.revision.max(revision);
        let known = self.known.get_mut(id).filter(|known| known.revision < revision);
        if let Some(known) = known {
            known.revision = revision;
            known.status = Status::Removed(now);
        }
    }

    /// The whole list as of a revision; false if it is older than what is known.
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
        let held = self.known.iter().filter(|(_, known)| known.status == Status::Listed);
        let missing: Vec<Name> =
            held.map(|(id, _)| id.clone()).filter(|id| !listed.contains(id)).collect();
        for id in missing {
            self.remove(&id, revision.max(Revision::from(1)), now);
        }
        self.revision = revision;
        true
    }

    /// Servers that exist now, leaving ones included.
    pub fn entries(&mut self, now: Millis) -> Vec<T> {
        self.settle(now);
        self.known
            .values()
            .filter_map(|known| match known.status {
                Status::Listed | Status::Lapsed(_) => known.entry.clone(),
                Status::Removed(_) => None,
            })
            .collect()
    }

    /// Whether an entry of that id was listed lately.
    #[must_use]
    pub fn remembers(&self, id: &Name) -> bool {
        self.known.contains_key(id)
    }

    /// When the next lapsed entry is given up, if any is waited for.
    #[must_use]
    pub fn next_lapse(&self) -> Option<Millis> {
        let lapses = self.known.values().filter_map(|known| match known.status {
            Status::Lapsed(until) => Some(until),
            _ => None,
        });
        lapses.min()
    }

    fn lapsing_until(&self, now: Millis) -> Option<Millis> {
        match (self.away_at, self.back_at) {
            (Some(_), Some(back)) if now < back + LAPSE_MS => Some(back + LAPSE_MS),
            (Some(_), None) => Some(now + LAPSE_MS),
            _ => None,
        }
    }

    fn settle(&mut self, now: Millis) {
        for known in self.known.values_mut() {
            match known.status {
                Status::Lapsed(until) if until <= now => {
                    known.status = Status::Removed(now);
                }
                _ => {}
            }
        }
        self.known.retain(|_, known| match known.status {
            Status::Removed(at) => now.since(at) < REMEMBER_MS,
            _ => true,
        });
    }
}
