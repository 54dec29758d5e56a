//! Service levels: how fast the errors that an objective allows are used up.
//!
//! Counts go into buckets of fixed length. Buckets of different hosts add up; two copies of one
//! host's buckets join to the fuller one, so a report gathered from several controls counts no
//! request twice.

use std::collections::BTreeMap;

use crate::domain;
use crate::time::Millis;

/// Length of a bucket, in milliseconds.
pub const BUCKET_MS: u64 = 10_000;
/// Buckets older than this are dropped, in milliseconds.
pub const KEPT_MS: u64 = 6 * 3_600_000;

domain! {
    /// Requests of a bucket or window.
    #[derive(Copy, Default, Eq)]
    pub struct Counts {
        /// Answered whole and in time.
        pub good: u64,
        /// All.
        pub total: u64,
    }

    /// Counts over time, of one service level.
    #[derive(Default, Eq)]
    #[serde(transparent)]
    pub struct Series {
        /// By number of the bucket since time 0.
        pub buckets: BTreeMap<u64, Counts>,
    }

    /// A window pair: an alert needs both to burn, the long one for weight, the short one for now.
    #[derive(Copy)]
    pub struct Window {
        /// Milliseconds.
        pub short_ms: u64,
        /// Milliseconds.
        pub long_ms: u64,
        /// Times the allowed rate of errors.
        pub threshold: f64,
    }

    /// What a window pair shows.
    #[derive(Copy)]
    pub struct Burn {
        /// The windows.
        pub window: Window,
        /// Counts in the short one.
        pub short: Counts,
        /// Counts in the long one.
        pub long: Counts,
        /// Times the allowed rate of errors in the short one; 1 uses up the budget exactly.
        pub short_rate: f64,
        /// The same in the long one.
        pub long_rate: f64,
        /// Whether both are over the threshold.
        pub alert: bool,
    }
}

/// Fast and slow burn, by the customary thresholds for a budget of 30 days.
pub const WINDOWS: [Window; 2] = [
    Window { short_ms: 300_000, long_ms: 3_600_000, threshold: 14.4 },
    Window { short_ms: 1_800_000, long_ms: 6 * 3_600_000, threshold: 6.0 },
];

impl Counts {
    /// Share of good ones; 1 if there are none at all.
    #[must_use]
    pub fn good_share(&self) -> f64 {
        match self.total {
            0 => 1.0,
            total => self.good as f64 / total as f64,
        }
    }

    /// Times the allowed rate of errors.
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

    /// Drops what no window reaches any more.
    pub fn prune(&mut self, now: Millis) {
        let oldest = (now - KEPT_MS).0 / BUCKET_MS;
        self.buckets = self.buckets.split_off(&oldest);
    }

    /// Adds another host's counts.
    pub fn add(&mut self, other: &Self) {
        for (bucket, counts) in &other.buckets {
            self.buckets.entry(*bucket).or_default().add(*counts);
        }
    }

    /// Joins another copy of the same host's counts: the fuller of each bucket.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, counts) in &other.buckets {
            let known = self.buckets.entry(*bucket).or_default();
            if counts.total > known.total {
                *known = *counts;
            }
        }
    }

    /// Counts of the last `window_ms`, in whole buckets.
    #[must_use]
    pub fn window(&self, window_ms: u64, now: Millis) -> Counts {
        let last = now.0 / BUCKET_MS;
        let first = (last + 1).saturating_sub(window_ms.div_ceil(BUCKET_MS));
        let mut sum = Counts::default();
        self.buckets.range(first..=last).for_each(|(_, counts)| sum.add(*counts));
        sum
    }

    /// How fast the budget of an objective burns in a pair of windows.
    #[must_use]
    pub fn burn(&self, objective: f64, window: Window, now: Millis) -> Burn {
        let short = self.window(window.short_ms, now);
        let long = self.window(window.long_ms, now);
        let (short_rate, long_rate) = (short.burn_rate(objective), long.burn_rate(objective));
        let alert = short_rate >= window.threshold && long_rate >= window.threshold;
        Burn { window, short, long, short_rate, long_rate, alert }
    }
}
