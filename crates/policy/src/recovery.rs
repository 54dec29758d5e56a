//! What a host believes of a list after the store has come back from a copy.
//!
//! The copy is some seconds old. What was acknowledged since is missing in it, or stands there as it was before,
//! until whoever wrote it writes it again. A host that took the list as it is would send to servers that have said that
//! they leave, end evacuations and begin roll-outs anew. So for a while what the host knew holds on where the
//! list says something else, unless it can tell that this was written after the return; behind that time
//! the list holds.

use crate::revision::Revision;
use crate::time::Millis;

/// How long after the return an entry that stands as it was before is taken for one that will be written again,
/// in milliseconds. To end an evacuation too soon, or to use a server that was gone, breaks a promise; to hold on
/// to one too long costs some of the capacity.
pub const REWRITTEN_MS: u64 = 10_000;

/// How far the time has come in which a list is doubted.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// What the list lacks is kept, and what it has otherwise is not taken.
    Missing,
    /// What it lacks is gone; what it has otherwise is still not taken.
    Changed,
    /// The list holds.
    #[default]
    Settled,
}

/// One list's recovery at one host.
#[derive(Clone, Copy, Debug)]
pub struct Recovery {
    /// How long entries that the list lacks are kept, in milliseconds.
    missing_ms: u64,
    began: Option<Millis>,
}

impl Recovery {
    /// Of a list whose entries are kept for so long though it lacks them, in milliseconds.
    #[must_use]
    pub fn new(missing_ms: u64) -> Self {
        Self { missing_ms, began: None }
    }

    /// The store was first known to be back at a time.
    pub fn begin(&mut self, began: Millis) {
        self.began = Some(began);
    }

    /// How long ago that was, in milliseconds; none if it has not come back.
    #[must_use]
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.began.map(|began| now.since(began))
    }

    /// What is made of the list now.
    #[must_use]
    pub fn phase(&self, now: Millis) -> Phase {
        match self.age_ms(now) {
            Some(age_ms) if age_ms < self.missing_ms => Phase::Missing,
            Some(age_ms) if age_ms < REWRITTEN_MS => Phase::Changed,
            _ => Phase::Settled,
        }
    }
}

/// Whether an entry that a list has otherwise than a host knows it may stand there as it was before the copy was
/// made. `held` is the revision at which the host knows it, `before` the number of what was there before that, as far
/// as the host knows.
///
/// The copy can have nothing newer than what the lost entry replaced; whatever was written after the return
/// has a number above the copy's.
#[must_use]
pub fn is_doubtful(listed: Revision, held: Revision, before: Option<u64>) -> bool {
    listed.era > held.era && listed.number <= before.unwrap_or(held.number)
}
