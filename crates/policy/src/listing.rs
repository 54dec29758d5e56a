//! How a host that starts lists itself where the others of its failure domain find it, and finds them.
//!
//! The load this answers: all hosts of a deployment start within the same second, and each writes a
//! row. The store carries out so many changes a second in one group of rows. It turns away those that
//! would wait for too long, and those before them wait until their hosts have given up, but are made
//! all the same. Were they written again without a look, the group would never be free: hosts would
//! stay unknown to each other, and each would read all lists for itself. So a host that got no answer
//! reads first, which costs the group nothing, and waits longer each time.

use crate::domain;
use crate::time::Millis;

/// Mean pause after the first failed call, in milliseconds; twice as long after each further one.
const PAUSE_MS: f64 = 500.0;
/// Longest mean pause, in milliseconds: a store that is back must be found soon.
const PAUSE_MAX_MS: f64 = 4_000.0;

domain! {
    /// What a host does next.
    #[derive(Copy, Eq)]
    pub enum Step {
        /// It reads who is listed.
        Read,
        /// It lists itself.
        Write,
        /// It tries again then.
        Wait(Millis),
        /// It is listed, and knows who else is.
        Done,
    }

    /// How far a host has come.
    #[derive(Copy)]
    pub struct Listing {
        is_listed: bool,
        has_read: bool,
        /// It looks before it writes.
        looks_first: bool,
        failures: u32,
        until: Millis,
    }
}

impl Listing {
    /// Of a host that starts. When the whole deployment starts for the first time nobody is listed
    /// yet, and there is nothing to look for.
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

    /// What to do now.
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

    /// It has read who is listed, and whether it is itself. Of two hosts that list themselves at the
    /// same time the one that reads later finds the other, so a host reads once more behind its write.
    pub fn read(&mut self, is_listed: bool) {
        self.looks_first = false;
        self.has_read = is_listed;
        self.is_listed = is_listed;
    }

    /// Whether what it has read is older than its own row, which the store took. Answered with another row it
    /// would write and read for as long as the store answers from that state, without a pause.
    #[must_use]
    pub fn is_outdated(&self, is_listed: bool) -> bool {
        self.is_listed && !is_listed
    }

    /// It has listed itself.
    pub fn wrote(&mut self) {
        self.is_listed = true;
    }

    /// A call failed; whether it was carried out is not known. `draw` is a uniform draw from 0 to 1.
    pub fn failed(&mut self, draw: f64, now: Millis) {
        let mean_ms = PAUSE_MS * f64::from(self.failures).exp2();
        self.until = now + (mean_ms.min(PAUSE_MAX_MS) * (0.5 + draw)) as u64;
        self.failures += 1;
        self.looks_first = true;
    }
}
