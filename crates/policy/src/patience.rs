//! How long to wait for an answer before another backend server is tried.
//!
//! The estimate is the one that TCP uses for its retransmissions: a smoothed mean and a smoothed
//! deviation. It follows the load, so a busy pool is not flooded with repeats of requests that
//! are merely slow.

use crate::domain;
use crate::time::Millis;

/// Weight of a new sample in the mean (RFC 6298).
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new sample in the deviation (RFC 6298).
const DEVIATION_GAIN: f64 = 0.25;
/// Deviations waited beyond the mean (RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// A wait that was cut short says only that the answer takes longer: it counts as this many times
/// the wait, so that the estimate grows until it is met.
const CUT_FACTOR: f64 = 1.5;
/// Time in which the mean halves without samples, in milliseconds. Where a high mean keeps requests
/// away there are no samples to lower it, and one slow answer would rule for good.
const HALF_LIFE_MS: f64 = 2_000.0;

domain! {
    /// Times of one kind of request.
    #[derive(Copy, Default)]
    pub struct Patience {
        mean_ms: f64,
        deviation_ms: f64,
        samples: u32,
        at: Millis,
    }
}

impl Patience {
    /// An answer took this long, in milliseconds.
    pub fn note(&mut self, ms: f64, now: Millis) {
        self.at = now;
        match self.samples {
            0 => {
                self.mean_ms = ms;
                self.deviation_ms = ms / 2.0;
            }
            _ => {
                let off = ms - self.mean_ms;
                self.deviation_ms += DEVIATION_GAIN * (off.abs() - self.deviation_ms);
                self.mean_ms += MEAN_GAIN * off;
            }
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// No answer came for this long, in milliseconds, and then it was no longer waited for.
    pub fn note_cut(&mut self, ms: f64, now: Millis) {
        self.note(ms * CUT_FACTOR, now);
    }

    /// The mean, in milliseconds; `first` while nothing is known.
    #[must_use]
    pub fn mean_ms(&self, first: f64) -> f64 {
        if self.samples == 0 { first } else { self.mean_ms }
    }

    /// The mean as it may be believed now, in milliseconds; `first` while nothing is known.
    #[must_use]
    pub fn faded_ms(&self, first: f64, now: Millis) -> f64 {
        self.mean_ms(first) * (-(now.since(self.at) as f64) / HALF_LIFE_MS).exp2()
    }

    /// How long to wait, in milliseconds, within two bounds.
    #[must_use]
    pub fn wait_ms(&self, least: f64, most: f64) -> f64 {
        let wait = self.mean_ms + DEVIATIONS * self.deviation_ms;
        let wait = if self.samples == 0 { most } else { wait };
        wait.max(least).min(most.max(least))
    }
}
