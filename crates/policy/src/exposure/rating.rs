//! Which answers are sent to the rating service, whose capacity is bounded.
//!
//! A version long known needs few ratings; a candidate, or one with a first bad sign, is judged
//! good from bad sooner the more of its answers are rated. So those are served first.

use super::Verdict;
use crate::domain;

/// Part of the rated share that a version long known gets.
pub const STEADY_PART: f64 = 0.6;
/// Ratings that may be saved up for a suspect version.
pub const SAVED_MAX: f64 = 30.0;

domain! {
    /// What is known of the version that gave an answer.
    #[derive(Copy, Eq)]
    pub enum Interest {
        /// Long known, nothing against it.
        Steady,
        /// A roll-out's candidate.
        Candidate,
        /// A bad sign.
        Suspect,
    }

    /// One entry host's ratings.
    #[derive(Copy)]
    pub struct Sampler {
        /// Share of answers that may be rated over time, 0 to 1.
        pub share: f64,
        /// Ratings saved up.
        saved: f64,
    }
}

impl Interest {
    /// From a version's standing and what the test says.
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
    /// One that rates a share of answers, 0 to 1.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self { share, saved: SAVED_MAX * share.clamp(0.0, 1.0) }
    }

    /// Whether to rate an answer; `unit` is a uniform draw from 0 to 1.
    pub fn should_rate(&mut self, interest: Interest, unit: f64) -> bool {
        self.saved = (self.saved + self.share).min(SAVED_MAX);
        let wish = match interest {
            Interest::Steady => self.share * STEADY_PART,
            Interest::Candidate | Interest::Suspect => 1.0,
        };
        let rates = self.saved >= 1.0 && unit < wish;
        self.saved -= if rates { 1.0 } else { 0.0 };
        rates
    }
}
