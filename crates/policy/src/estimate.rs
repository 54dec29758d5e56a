//! Estimate of a version's quality on a task, from the configuration document's prior and ratings.
//!
//! The estimate is a Beta posterior, kept as two counts of ratings. The counts decay, so that a
//! version whose quality drifts is judged by its recent answers; once they have decayed, only the
//! prior remains.

use crate::domain;
use crate::time::Millis;

/// Weight of the share of good answers that the document states, as a number of ratings.
pub const PRIOR_WEIGHT: f64 = 80.0;
/// Time after which a rating counts half, in milliseconds.
pub const HALF_LIFE_MS: u64 = 600_000;
/// Expected share of good answers where the document states none, 0 to 1.
pub const UNKNOWN_MEAN: f64 = 0.5;
/// Weight of [`UNKNOWN_MEAN`], as a number of ratings.
const UNKNOWN_PRIOR_WEIGHT: f64 = 2.0;
/// Minimum distance of a prior mean from 0 and 1, where no evidence could change it.
const PRIOR_MARGIN: f64 = 0.005;

domain! {
    /// Posterior of one version's share of good answers on one task.
    #[derive(Copy)]
    pub struct Estimate {
        /// Expected share of good answers before any rating, 0 to 1.
        pub prior_mean: f64,
        /// Weight of the prior, as a number of ratings.
        pub prior_weight: f64,
        /// Number of answers rated good, decayed to the time `at`.
        pub good: f64,
        /// Number of rated answers, decayed to the time `at`.
        pub rated: f64,
        /// Time to which `good` and `rated` are decayed.
        pub at: Millis,
        /// Time after which a rating counts half, in milliseconds; 0 disables the decay.
        pub half_life_ms: u64,
    }
}

impl Default for Estimate {
    fn default() -> Self {
        Self::unknown()
    }
}

impl Estimate {
    /// Creates an estimate from the share of good answers that the document states, 0 to 1.
    #[must_use]
    pub fn prior(mean: f64) -> Self {
        Self {
            prior_mean: mean.clamp(PRIOR_MARGIN, 1.0 - PRIOR_MARGIN),
            prior_weight: PRIOR_WEIGHT,
            good: 0.0,
            rated: 0.0,
            at: Millis(0),
            half_life_ms: HALF_LIFE_MS,
        }
    }

    /// Creates an estimate for a version and task without a quality in the document.
    #[must_use]
    pub fn unknown() -> Self {
        Self { prior_weight: UNKNOWN_PRIOR_WEIGHT, ..Self::prior(UNKNOWN_MEAN) }
    }

    /// Sets the weight of the prior, as a number of ratings.
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

    /// Sets the counts of good and of all ratings, already decayed to the time `at`.
    #[must_use]
    pub fn with_counts(mut self, good: f64, rated: f64, at: Millis) -> Self {
        self.good = good;
        self.rated = rated;
        self.at = at;
        self
    }

    /// Adds one rating.
    pub fn observe(&mut self, good: bool, now: Millis) {
        let decay = self.decay(now);
        self.good = self.good * decay + f64::from(u8::from(good));
        self.rated = self.rated * decay + 1.0;
        self.at = self.at.max(now);
    }

    /// Expected share of good answers, 0 to 1.
    #[must_use]
    pub fn mean(&self, now: Millis) -> f64 {
        let decay = self.decay(now);
        (self.prior_mean * self.prior_weight + self.good * decay) / self.weight(decay)
    }

    /// Standard deviation of the share of good answers.
    #[must_use]
    pub fn deviation(&self, now: Millis) -> f64 {
        let mean = self.mean(now);
        (mean * (1.0 - mean) / (self.weight(self.decay(now)) + 1.0)).sqrt()
    }

    /// Lower confidence bound of the share: `z` standard deviations below the mean, at least 0.
    #[must_use]
    pub fn lower_bound(&self, z: f64, now: Millis) -> f64 {
        (self.mean(now) - z * self.deviation(now)).max(0.0)
    }

    /// Upper confidence bound of the share: `z` standard deviations above the mean, at most 1.
    #[must_use]
    pub fn upper_bound(&self, z: f64, now: Millis) -> f64 {
        (self.mean(now) + z * self.deviation(now)).min(1.0)
    }

    /// Total weight of the prior and the ratings.
    fn weight(&self, decay: f64) -> f64 {
        self.prior_weight + self.rated * decay
    }

    /// Factor by which the counts decay from `at` to `now`.
    fn decay(&self, now: Millis) -> f64 {
        match self.half_life_ms {
            0 => 1.0,
            half_life => 0.5_f64.powf(now.since(self.at) as f64 / half_life as f64),
        }
    }
}
