//! How long to wait for an answer before another backend server is tried.
//!
//! The estimate is the one that TCP uses for its retransmissions: a smoothed mean and a smoothed
//! deviation. It follows the load, so a busy pool is not flooded with repeats of requests that
//! are merely slow.

use crate::domain;

/// Weight of a new sample in the mean (RFC 6298).
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new sample in the deviation (RFC 6298).
const DEVIATION_GAIN: f64 = 0.25;
/// Deviations waited beyond the mean (RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// A wait that was cut short says only that the answer takes longer: it counts as this many times
/// the wait, so that the estimate grows until it is met.
const CUT_FACTOR: f64 = 1.5;

domain! {
    /// Times of one kind of request.
    #[derive(Copy, Default)]
    pub struct Patience {
        mean_ms: f64,
        deviation_ms: f64,
        samples: u32,
    }
}

impl Patience {
    /// An answer took this long, in milliseconds.
    pub fn note(&mut self, ms: f64) {
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
    pub fn note_cut(&mut self, ms: f64) {
        self.note(ms * CUT_FACTOR);
    }

    /// The mean, in milliseconds; `first` while nothing is known.
    #[must_use]
    pub fn mean_ms(&self, first: f64) -> f64 {
        if self.samples == 0 { first } else { self.mean_ms }
    }

    /// How long to wait, in milliseconds, within two bounds.
    #[must_use]
    pub fn wait_ms(&self, least: f64, most: f64) -> f64 {
        let wait = self.mean_ms + DEVIATIONS * self.deviation_ms;
        let wait = if self.samples == 0 { most } else { wait };
        wait.max(least).min(most.max(least))
    }
}
