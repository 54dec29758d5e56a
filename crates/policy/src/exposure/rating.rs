//! Which answers are sent to the rating service, whose capacity is bounded.
//!
//! An established version needs few ratings. A candidate, or a version with some evidence against
//! it, is judged sooner the more of its answers are rated, so their answers go first.

use super::Verdict;
use crate::domain;

/// Probability that an established version's answer is rated, as a fraction of the share of answers
/// that may be rated over time. The rest is saved for candidates and suspects.
pub const STEADY_FRACTION: f64 = 0.6;
/// Most ratings that a host can save up for a candidate or suspect.
pub const SAVED_RATINGS_MAX: f64 = 30.0;

domain! {
    /// How useful ratings of a version's answers are.
    #[derive(Copy, Eq)]
    pub enum Interest {
        /// The version is established and nothing speaks against it.
        Steady,
        /// The version is a roll-out's candidate.
        Candidate,
        /// Some evidence speaks against the version.
        Suspect,
    }

    /// Decides which answers one entry host sends to the rating service.
    #[derive(Copy)]
    pub struct Sampler {
        /// Share of answers that may be rated over time, 0 to 1.
        pub share: f64,
        /// Ratings that may be requested at once; a token bucket of [`SAVED_RATINGS_MAX`].
        saved: f64,
    }
}

impl Interest {
    /// Interest in a version from whether it is a roll-out's candidate, and its test's verdict.
    #[must_use]
    pub fn new(is_candidate: bool, verdict: Verdict) -> Self {
        match verdict {
            Verdict::Suspect | Verdict::Bad => Self::Suspect,
            Verdict::Good if is_candidate => Self::Candidate,
            Verdict::Good => Self::Steady,
        }
    }
}

impl Sampler {
    /// A sampler that has a share of answers rated over time, 0 to 1.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self { share, saved: SAVED_RATINGS_MAX * share.clamp(0.0, 1.0) }
    }

    /// Whether to rate an answer, and if so uses up one rating; `unit` is a uniform draw from 0 to
    /// 1.
    pub fn should_rate(&mut self, interest: Interest, unit: f64) -> bool {
        self.saved = (self.saved + self.share).min(SAVED_RATINGS_MAX);
        let probability = match interest {
            Interest::Steady => self.share * STEADY_FRACTION,
            Interest::Candidate | Interest::Suspect => 1.0,
        };
        let is_rated = self.saved >= 1.0 && unit < probability;
        self.saved -= if is_rated { 1.0 } else { 0.0 };
        is_rated
    }
}
