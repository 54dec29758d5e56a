//! When a host reads the rows in which hosts of other failure domains record their lost requests.
//!
//! Nothing is read while no server ends. When the list of backend servers shows that a server has
//! ended, hosts of other failure domains may know more about the cause and have written it by then,
//! so their rows are read once. While this host itself learns something new, the rows are read
//! repeatedly, at growing intervals.

use crate::time::Millis;

/// Delay of the read after the list shows a server's end, in milliseconds: servers that end
/// together show up in the list together or shortly one after the other, and one read covers them
/// all.
const SERVER_END_DELAY_MS: u64 = 500;
/// Interval between the first two reads, in milliseconds. What every host must know within three
/// seconds is read by then even if one call fails.
const INTERVAL_MIN_MS: u64 = 1_000;
/// Longest interval between two reads, in milliseconds.
const INTERVAL_MAX_MS: u64 = 4_000;
/// How long reads go on after this host learnt something new, in milliseconds.
const ACTIVE_MS: u64 = 5_000;

/// Schedule of the reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct Polls {
    active_until: Millis,
    next_at: Option<Millis>,
    interval_ms: u64,
}

impl Polls {
    /// Schedules a read because a server has ended or this host has started.
    pub fn schedule(&mut self, now: Millis) {
        self.next_at = self.next_at.or(Some(now + SERVER_END_DELAY_MS));
    }

    /// Schedules a read soon and restarts the intervals, because this host learnt something of a
    /// request: hosts of other failure domains may know more by now.
    pub fn restart(&mut self, now: Millis) {
        self.active_until = now + ACTIVE_MS;
        self.interval_ms = INTERVAL_MIN_MS;
        let soon = now + INTERVAL_MIN_MS;
        self.next_at = Some(self.next_at.map_or(soon, |next_at| next_at.min(soon)));
    }

    /// Whether the rows are to be read now.
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        self.next_at.is_some_and(|next_at| next_at <= now)
    }

    /// Whether a read is scheduled, for now or for later.
    #[must_use]
    pub fn is_scheduled(&self) -> bool {
        self.next_at.is_some()
    }

    /// Records that the rows were read, or that the read failed; `is_news` says whether they
    /// contained something new.
    pub fn record_read(&mut self, is_news: bool, now: Millis) {
        self.interval_ms =
            if is_news { INTERVAL_MIN_MS } else { (self.interval_ms * 2).min(INTERVAL_MAX_MS) };
        self.next_at = Some(now + self.interval_ms).filter(|next_at| *next_at <= self.active_until);
    }
}
