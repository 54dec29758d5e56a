//! How a starting host lists itself in the store for the other hosts of its failure domain, and
//! finds them there.
//!
//! The critical case is a whole deployment whose hosts all start within the same second, each
//! writing a row. The store carries out a limited number of changes a second in one group of rows.
//! It rejects those that would wait too long. Changes that wait less are still carried out,
//! although their hosts have stopped waiting for the answer. If hosts repeated such writes blindly,
//! the group would stay overloaded, hosts would not learn of each other, and each would read all
//! lists for itself. A host that got no answer therefore reads first, which costs the group
//! nothing, and waits longer after each failure.

use crate::domain;
use crate::time::Millis;

/// Mean pause after the first failed call, in milliseconds; it doubles with each further failure.
const BACKOFF_MS: f64 = 500.0;
/// Longest mean pause, in milliseconds: a store that is back must be found soon.
const BACKOFF_MAX_MS: f64 = 4_000.0;

domain! {
    /// What a host does next to be listed.
    #[derive(Copy, Eq)]
    pub enum Step {
        /// Read which hosts are listed.
        Read,
        /// Write the host's own row.
        Write,
        /// Ask for the next step at the given time.
        Wait(Millis),
        /// Nothing: the host is listed and has read which others are.
        Done,
    }

    /// The progress of one host in listing itself.
    #[derive(Copy)]
    pub struct Listing {
        /// Whether the host's own row is in the store.
        is_listed: bool,
        /// Whether the host has read the others' rows since its own is there.
        has_read: bool,
        /// Whether the host must read before it writes its row.
        looks_first: bool,
        failures: u32,
        /// When the pause after the last failure ends.
        until: Millis,
    }
}

impl Listing {
    /// Creates the progress of a host that starts. When the whole deployment starts for the first
    /// time no host is listed yet, so a host need not read before it writes.
    #[must_use]
    pub fn new(is_first_start: bool) -> Self {
        Self {
            is_listed: false,
            has_read: false,
            looks_first: !is_first_start,
            failures: 0,
            until: Millis(0),
        }
    }

    /// Returns what the host does now.
    #[must_use]
    pub fn step(&self, now: Millis) -> Step {
        match () {
            () if now < self.until => Step::Wait(self.until),
            () if self.looks_first => Step::Read,
            () if !self.is_listed => Step::Write,
            () if !self.has_read => Step::Read,
            () => Step::Done,
        }
    }

    /// Records that the host has read the rows, and whether its own was among them. A host reads
    /// once more after its write: of two hosts that write at the same time, the one that reads
    /// later finds the other.
    pub fn record_read(&mut self, is_listed: bool) {
        self.looks_first = false;
        self.has_read = is_listed;
        self.is_listed = is_listed;
    }

    /// Whether a read is older than the host's own row, which the store has accepted. A host that
    /// answered such a read with another write would write and read without a pause for as long as
    /// the store answers from an old state.
    #[must_use]
    pub fn is_outdated(&self, is_listed: bool) -> bool {
        self.is_listed && !is_listed
    }

    /// Records that the store has accepted the host's row.
    pub fn record_write(&mut self) {
        self.is_listed = true;
    }

    /// Records a failed call, which the store may have carried out or not, and sets the pause;
    /// `draw` is a uniform draw from 0 to 1.
    pub fn record_failure(&mut self, draw: f64, now: Millis) {
        let mean_ms = BACKOFF_MS * f64::from(self.failures).exp2();
        self.until = now + (mean_ms.min(BACKOFF_MAX_MS) * (0.5 + draw)) as u64;
        self.failures += 1;
        self.looks_first = true;
    }
}
