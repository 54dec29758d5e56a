//! What is known of a version's quality on a task: the document's prior, then ratings.
//!
//! A Beta posterior in two numbers. Old ratings fade, so that a version that drifts is judged by
//! what it does now; when all have faded, the prior is left.

use crate::domain;
use crate::time::Millis;

/// Ratings that the document's word is worth.
pub const PRIOR_WEIGHT: f64 = 80.0;
/// After this time a rating counts half, in milliseconds.
pub const HALF_LIFE_MS: u64 = 600_000;
/// Expected share of good answers where the document says nothing.
pub const UNKNOWN_MEAN: f64 = 0.5;
/// Ratings that "nothing said" is worth.
const UNKNOWN_WEIGHT: f64 = 2.0;
/// Priors are kept off 0 and 1, where no evidence could move them.
const EDGE: f64 = 0.005;

domain! {
    /// A posterior of one version's share of good answers on one task.
    #[derive(Copy)]
    pub struct Estimate {
        /// Share of good answers expected before any rating, 0 to 1.
        pub prior_mean: f64,
        /// Ratings that the prior is worth.
        pub prior_weight: f64,
        /// Answers rated good, as faded at `at`.
        pub good: f64,
        /// Answers rated, as faded at `at`.
        pub rated: f64,
        /// When the counts were last brought up to date.
        pub at: Millis,
        /// After this time a rating counts half, in milliseconds; 0 keeps them for ever.
        pub half_life_ms: u64,
    }
}

impl Default for Estimate {
    fn default() -> Self {
        Self::unknown()
    }
}

impl Estimate {
    /// From the share of good answers that the document expects.
    #[must_use]
    pub fn prior(mean: f64) -> Self {
        Self {
            prior_mean: mean.clamp(EDGE, 1.0 - EDGE),
            prior_weight: PRIOR_WEIGHT,
            good: 0.0,
            rated: 0.0,
            at: Millis(0),
            half_life_ms: HALF_LIFE_MS,
        }
    }

    /// Where the document says nothing.
    #[must_use]
    pub fn unknown() -> Self {
        Self { prior_weight: UNKNOWN_WEIGHT, ..Self::prior(UNKNOWN_MEAN) }
    }

    /// Sets how many ratings the prior is worth.
    #[must_use]
    pub fn with_prior_weight(mut self, weight: f64) -> Self {
        self.prior_weight = weight;
        self
    }

    /// Sets the half-life of a rating, in milliseconds.
    #[must_use]
    pub fn with_half_life(mut self, ms: u64) -> Self {
        self.half_life_ms = ms;
        self
    }

    /// Puts in counts that were faded elsewhere, as of `at`.
    #[must_use]
    pub fn with_counts(mut self, good: f64, rated: f64, at: Millis) -> Self {
        self.good = good;
        self.rated = rated;
        self.at = at;
        self
    }

    /// Takes in one rating.
    pub fn observe(&mut self, good: bool, now: Millis) {
        let kept = self.kept(now);
        self.good = self.good * kept + f64::from(u8::from(good));
        self.rated = self.rated * kept + 1.0;
        self.at = self.at.max(now);
    }

    /// Expected share of good answers.
    #[must_use]
    pub fn mean(&self, now: Millis) -> f64 {
        let kept = self.kept(now);
        (self.prior_mean * self.prior_weight + self.good * kept) / self.weight(kept)
    }

    /// Standard deviation of the share of good answers.
    #[must_use]
    pub fn deviation(&self, now: Millis) -> f64 {
        let mean = self.mean(now);
        (mean * (1.0 - mean) / (self.weight(self.kept(now)) + 1.0)).sqrt()
    }

    /// The share that is reached with confidence: `z` deviations below the mean, at least 0.
    #[must_use]
    pub fn lower(&self, z: f64, now: Millis) -> f64 {
        (self.mean(now) - z * self.deviation(now)).max(0.0)
    }

    /// The share that is possible: `z` deviations above the mean, at most 1.
    #[must_use]
    pub fn upper(&self, z: f64, now: Millis) -> f64 {
        (self.mean(now) + z * self.deviation(now)).min(1.0)
    }

    fn weight(&self, kept: f64) -> f64 {
        self.prior_weight + self.rated * kept
    }

    fn kept(&self, now: Millis) -> f64 {
        match self.half_life_ms {
            0 => 1.0,
            half_life => 0.5_f64.powf(now.since(self.at) as f64 / half_life as f64),
        }
    }
}
