//! Which entries of a list a host trusts after the store has come back from a copy.
//!
//! The copy is some seconds old. Changes acknowledged since it was made are missing in it, or show
//! their previous state, until whoever wrote them writes them again. A host that used the list as
//! it is would send requests to servers that have said that they leave, end evacuations early and
//! start roll-outs again. For a limited time the host therefore keeps what it knew where the list
//! differs, unless it can tell that the list's entry was written after the return. After that time
//! the list holds.

use crate::revision::Revision;
use crate::time::Millis;

/// How long after the return an entry that shows its previous state is expected to be written
/// again, in milliseconds. Ending an evacuation too early, or using a server that has gone, breaks
/// a promise; keeping either for too long only costs some capacity.
pub const REWRITE_TIMEOUT_MS: u64 = 10_000;

/// How far a host trusts a list since the store's return; later phases trust it more.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Known entries that the list lacks are kept, and doubtful entries of the list are rejected
    /// (see [`is_doubtful`]).
    AllDoubted,
    /// Known entries that the list lacks are dropped; doubtful entries of the list are still
    /// rejected.
    ChangedDoubted,
    /// The list is used as it is.
    #[default]
    Settled,
}

/// The recovery of one list at one host.
#[derive(Clone, Copy, Debug)]
pub struct Recovery {
    /// How long entries that the list lacks are kept after the return, in milliseconds.
    missing_ms: u64,
    /// When this host first knew of the last return; none if the store has not come back from a
    /// copy.
    began_at: Option<Millis>,
}

impl Recovery {
    /// Creates the recovery of a list whose known entries are kept for `missing_ms` milliseconds
    /// after a return although the list lacks them.
    #[must_use]
    pub fn new(missing_ms: u64) -> Self {
        Self { missing_ms, began_at: None }
    }

    /// Records that the store has come back from a copy and that this was first known at
    /// `began_at`.
    pub fn begin(&mut self, began_at: Millis) {
        self.began_at = Some(began_at);
    }

    /// Time since the return was first known, in milliseconds; none if the store has not come back
    /// from a copy.
    #[must_use]
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.began_at.map(|began_at| now.since(began_at))
    }

    /// Returns how far the list is trusted now.
    #[must_use]
    pub fn phase(&self, now: Millis) -> Phase {
        match self.age_ms(now) {
            Some(age_ms) if age_ms < self.missing_ms => Phase::AllDoubted,
            Some(age_ms) if age_ms < REWRITE_TIMEOUT_MS => Phase::ChangedDoubted,
            _ => Phase::Settled,
        }
    }
}

/// Whether an entry that differs in the list from what a host knows may be the entry's previous
/// state from before the copy was made.
///
/// `listed` is its revision in the list, `held` the revision that the host knows, and `before` the
/// number of the state that `held` replaced, if the host knows that. The copy can hold nothing
/// newer than the state that the lost change replaced, and whatever was written after the return
/// has a number above the copy's.
#[must_use]
pub fn is_doubtful(listed: Revision, held: Revision, before: Option<u64>) -> bool {
    listed.era > held.era && listed.number <= before.unwrap_or(held.number)
}
