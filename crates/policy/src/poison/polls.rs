//! When a host reads what the hosts of other failure domains know of lost requests.
//!
//! Nothing is read while no server ends. When the list of servers says that one has, hosts elsewhere may
//! know more of its cause, and have written it by then: their rows are read once. While this host
//! itself learns something new they are read again and again, less and less often.

use crate::time::Millis;

/// From what the list says to the read, in milliseconds: servers that end together are listed
/// together, or one soon after the other.
const GATHER_MS: u64 = 500;
/// Between the first two reads, in milliseconds. What every host must know within three seconds is
/// read by then, also if a call fails.
const FIRST_MS: u64 = 1_000;
/// Between two reads at most, in milliseconds.
const LONGEST_MS: u64 = 4_000;
/// How long is read after something new was learnt, in milliseconds.
const FOR_MS: u64 = 5_000;

/// When the rows are read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Polls {
    until: Millis,
    next: Option<Millis>,
    pause_ms: u64,
}

impl Polls {
    /// A server ended, or this host has started.
    pub fn schedule(&mut self, now: Millis) {
        self.next = self.next.or(Some(now + GATHER_MS));
    }

    /// Something was learnt of a request: hosts elsewhere may know more by now.
    pub fn restart(&mut self, now: Millis) {
        self.until = now + FOR_MS;
        self.pause_ms = FIRST_MS;
        let soon = now + FIRST_MS;
        self.next = Some(self.next.map_or(soon, |next| next.min(soon)));
    }

    /// Whether they are read now.
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        self.next.is_some_and(|next| next <= now)
    }

    /// Whether they are read, now or soon.
    #[must_use]
    pub fn is_scheduled(&self) -> bool {
        self.next.is_some()
    }

    /// They were read, or could not be.
    pub fn record_read(&mut self, is_news: bool, now: Millis) {
        self.pause_ms = if is_news { FIRST_MS } else { (self.pause_ms * 2).min(LONGEST_MS) };
        self.next = Some(now + self.pause_ms).filter(|next| *next <= self.until);
    }
}
