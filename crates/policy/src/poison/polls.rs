//! When a host reads what the hosts of other failure domains know of lost requests.
//!
//! Nothing is read while no server ends. When one does, those who were told elsewhere may know more
//! of its cause, so their rows are read again and again, less and less often while they say nothing
//! new.

use crate::time::Millis;

/// Between the first two reads, in milliseconds. What every host must know within three seconds is
/// read by then, also if a call fails.
const FIRST_MS: u64 = 1_000;
/// Between two reads at most, in milliseconds.
const LONGEST_MS: u64 = 4_000;
/// How long after a server's end is read, in milliseconds: until every host has heard of it.
const FOR_MS: u64 = 5_000;

/// When the rows are read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Polls {
    until: Millis,
    next: Millis,
    pause_ms: u64,
}

impl Polls {
    /// A server ended, or something new was learnt of a request.
    pub fn alarm(&mut self, now: Millis) {
        let is_asleep = now > self.until;
        self.until = now + FOR_MS;
        if is_asleep {
            self.next = now;
            self.pause_ms = FIRST_MS;
        }
    }

    /// A request is held, or may be held soon: others must not be later than need be.
    pub fn hurry(&mut self, now: Millis) {
        self.alarm(now);
        self.pause_ms = FIRST_MS;
        self.next = self.next.min(now + FIRST_MS);
    }

    /// Whether they are read now.
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        now <= self.until && now >= self.next
    }

    /// When that is to be looked at next; none while nothing is read.
    #[must_use]
    pub fn next(&self, now: Millis) -> Option<Millis> {
        (now <= self.until).then_some(self.next)
    }

    /// They were read, or could not be.
    pub fn read(&mut self, is_news: bool, now: Millis) {
        self.pause_ms = if is_news { FIRST_MS } else { (self.pause_ms * 2).min(LONGEST_MS) };
        self.next = now + self.pause_ms;
    }
}
