//! Service levels: how fast a service uses up the error budget that its objective allows.
//!
//! Requests are counted in buckets of fixed length. Buckets of different hosts add up. Two copies
//! of one host's bucket merge to the fuller one, so a report gathered from several controls counts
//! no request twice.

use std::collections::BTreeMap;

use crate::domain;
use crate::time::Millis;

/// Length of a bucket, in milliseconds.
pub const BUCKET_MS: u64 = 10_000;
/// Age at which buckets are dropped, in milliseconds; the longest window of [`WINDOWS`].
pub const RETENTION_MS: u64 = 6 * 3_600_000;

domain! {
    /// Counts of the requests in a bucket or window.
    #[derive(Copy, Default, Eq)]
    pub struct Counts {
        /// Requests that were answered completely and in time.
        pub good: u64,
        /// All requests.
        pub total: u64,
    }

    /// Counts of one service level over time.
    #[derive(Default, Eq)]
    #[serde(transparent)]
    pub struct Series {
        /// Counts by the bucket's number: its start in units of [`BUCKET_MS`] since time 0.
        pub buckets: BTreeMap<u64, Counts>,
    }

    /// A pair of windows. An alert needs a high burn rate in both: the long window shows that the
    /// errors matter, the short one that they still occur.
    #[derive(Copy)]
    pub struct Window {
        /// Length of the short window, in milliseconds.
        pub short_ms: u64,
        /// Length of the long window, in milliseconds.
        pub long_ms: u64,
        /// Burn rate in both windows from which an alert is raised.
        pub threshold: f64,
    }

    /// Burn rates of a service level in a pair of windows.
    #[derive(Copy)]
    pub struct Burn {
        /// The pair of windows.
        pub window: Window,
        /// Counts in the short window.
        pub short: Counts,
        /// Counts in the long window.
        pub long: Counts,
        /// Burn rate in the short window: errors as a multiple of the allowed ones; 1 uses up the
        /// budget exactly.
        pub short_rate: f64,
        /// Burn rate in the long window.
        pub long_rate: f64,
        /// Whether both burn rates have reached the threshold.
        pub alert: bool,
    }
}

/// Window pairs for fast and slow burn, with the customary thresholds for a budget of 30 days.
pub const WINDOWS: [Window; 2] = [
    Window { short_ms: 300_000, long_ms: 3_600_000, threshold: 14.4 },
    Window { short_ms: 1_800_000, long_ms: 6 * 3_600_000, threshold: 6.0 },
];

impl Counts {
    /// Share of good requests, 0 to 1; 1 if there were no requests.
    #[must_use]
    pub fn good_share(&self) -> f64 {
        match self.total {
            0 => 1.0,
            total => self.good as f64 / total as f64,
        }
    }

    /// Share of errors as a multiple of the share that an objective, 0 to 1, allows.
    #[must_use]
    pub fn burn_rate(&self, objective: f64) -> f64 {
        let allowed = (1.0 - objective).max(f64::EPSILON);
        (1.0 - self.good_share()) / allowed
    }

    fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }
}

impl Series {
    /// Counts one request that ended at `at`.
    pub fn count(&mut self, good: bool, at: Millis) {
        let counts = Counts { good: u64::from(good), total: 1 };
        self.buckets.entry(at.0 / BUCKET_MS).or_default().add(counts);
    }

    /// Drops buckets older than [`RETENTION_MS`], which no window includes.
    pub fn prune(&mut self, now: Millis) {
        let oldest = (now - RETENTION_MS).0 / BUCKET_MS;
        self.buckets = self.buckets.split_off(&oldest);
    }

    /// Adds another host's counts.
    pub fn add(&mut self, other: &Self) {
        for (bucket, counts) in &other.buckets {
            self.buckets.entry(*bucket).or_default().add(*counts);
        }
    }

    /// Merges another copy of the same host's counts: keeps the fuller one of each bucket.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, counts) in &other.buckets {
            let known = self.buckets.entry(*bucket).or_default();
            if counts.total > known.total {
                *known = *counts;
            }
        }
    }

    /// Counts of the last `window_ms` milliseconds, rounded up to whole buckets.
    #[must_use]
    pub fn window(&self, window_ms: u64, now: Millis) -> Counts {
        let last = now.0 / BUCKET_MS;
        let first = (last + 1).saturating_sub(window_ms.div_ceil(BUCKET_MS));
        let mut counted = Counts::default();
        self.buckets.range(first..=last).for_each(|(_, counts)| counted.add(*counts));
        counted
    }

    /// Burn rates of an objective's budget in a pair of windows, and whether they raise an alert.
    #[must_use]
    pub fn burn(&self, objective: f64, window: Window, now: Millis) -> Burn {
        let short = self.window(window.short_ms, now);
        let long = self.window(window.long_ms, now);
        let (short_rate, long_rate) = (short.burn_rate(objective), long.burn_rate(objective));
        let alert = short_rate >= window.threshold && long_rate >= window.threshold;
        Burn { window, short, long, short_rate, long_rate, alert }
    }
}
