//! Latency estimates, and the timeout after which a request is sent to another backend server.
//!
//! The estimate is the one that TCP uses for its retransmission timeout: a smoothed mean and a
//! smoothed deviation. It follows the load, so that a busy pool isn't flooded with repeats of
//! requests that are merely slow.

use crate::domain;
use crate::time::Millis;

/// Weight of a new sample in the mean (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a new sample in the deviation (RFC 6298).
const DEVIATION_WEIGHT: f64 = 0.25;
/// Number of deviations that the timeout adds to the mean (RFC 6298).
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Factor on the time waited for an answer that was abandoned. The time waited is only a lower
/// bound of the latency; with the factor the estimate grows until answers come within the timeout.
const ABANDONED_FACTOR: f64 = 1.5;
/// Time in which the mean halves without samples, in milliseconds. Where a high mean keeps requests
/// away, no samples arrive to lower it, and one slow answer would keep them away for good.
const HALF_LIFE_MS: f64 = 2_000.0;

domain! {
    /// Smoothed time of one kind of request or event, and its smoothed deviation.
    #[derive(Copy, Default)]
    pub struct Latency {
        mean_ms: f64,
        deviation_ms: f64,
        samples: u32,
        /// Time of the last sample.
        at: Millis,
    }
}

impl Latency {
    /// Records the latency of an answer, in milliseconds.
    pub fn record(&mut self, ms: f64, now: Millis) {
        self.at = now;
        match self.samples {
            0 => {
                self.mean_ms = ms;
                self.deviation_ms = ms / 2.0;
            }
            _ => {
                let error = ms - self.mean_ms;
                self.deviation_ms += DEVIATION_WEIGHT * (error.abs() - self.deviation_ms);
                self.mean_ms += MEAN_WEIGHT * error;
            }
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Records that an answer was abandoned after waiting this long, in milliseconds.
    pub fn record_abandoned(&mut self, ms: f64, now: Millis) {
        self.record(ms * ABANDONED_FACTOR, now);
    }

    /// Mean latency, in milliseconds; `initial` before the first sample.
    #[must_use]
    pub fn mean_ms(&self, initial: f64) -> f64 {
        if self.samples == 0 { initial } else { self.mean_ms }
    }

    /// Mean latency after its decay since the last sample, in milliseconds; before the first sample
    /// `initial`, decayed since time 0.
    #[must_use]
    pub fn decayed_mean_ms(&self, initial: f64, now: Millis) -> f64 {
        self.mean_ms(initial) * (-(now.since(self.at) as f64) / HALF_LIFE_MS).exp2()
    }

    /// Timeout for an answer, between `min` and `max`, in milliseconds; `max` before the first
    /// sample. `min` prevails if it exceeds `max`.
    #[must_use]
    pub fn timeout_ms(&self, min: f64, max: f64) -> f64 {
        let timeout = self.mean_ms + TIMEOUT_DEVIATIONS * self.deviation_ms;
        let timeout = if self.samples == 0 { max } else { timeout };
        timeout.max(min).min(max.max(min))
    }
}
