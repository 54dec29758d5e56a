//! Detects that a version has turned bad, from the ratings and failures of all hosts, to limit how
//! many requests are exposed to it.
//!
//! Two sequential tests implement one trait, so both can be measured on the same traces: a CUSUM,
//! and a sequential likelihood ratio test that restarts whenever it has accepted the version as
//! good.

pub mod cusum;
pub mod likelihood;
pub mod rating;

use crate::domain;

/// Mean number of rated answers between two false alarms of one test, for a version that stays as
/// good as expected. Each host runs its own test and sees the newest ratings in its own order, and
/// the first verdict counts for all hosts: with seven hosts that doubles the false alarms, so one
/// test is kept well below the goal of one in 10,000.
pub const ANSWERS_PER_FALSE_ALARM: f64 = 50_000.0;
/// Largest share of good answers that a version is tested against: a document that claims more
/// would give one bad answer the weight of a verdict.
pub const EXPECTED_SHARE_MAX: f64 = 0.98;
/// Smallest share of good answers that a version is tested against: a version that is expected to
/// be bad can't be detected to have turned bad.
pub const EXPECTED_SHARE_MIN: f64 = 0.2;
/// Odds of a good answer from a bad version, as a fraction of the odds from a version that is as
/// expected.
pub const BAD_ODDS_FRACTION: f64 = 0.13;

domain! {
    /// The two hypotheses that a test compares for a version on one task.
    #[derive(Copy)]
    pub struct Hypotheses {
        /// Share of good answers of a version that is as expected.
        pub expected: f64,
        /// Share of good answers of a version that has turned bad.
        pub bad: f64,
    }

    /// Share of good answers that is expected of a version on one task, as ratings correct it.
    ///
    /// The operators' document may claim too much for a version. Tested against that claim, a
    /// version that is only a little worse would end in quarantine. So ratings lower the
    /// expectation, but only while the test has nothing against the version: one that is turning
    /// bad must not lower its own expectation.
    #[derive(Copy, Default)]
    pub struct Expectation {
        /// Share of good answers estimated when the test last had nothing against the version; none
        /// before the first rated answer.
        pub believed: Option<f64>,
    }

    /// What a test concludes about a version.
    #[derive(Copy, Eq)]
    pub enum Verdict {
        /// Nothing speaks against the version.
        Good,
        /// Some evidence speaks against the version: more of its answers should be rated.
        Suspect,
        /// The version has turned bad and should be quarantined.
        Bad,
    }
}

impl Hypotheses {
    /// Hypotheses for a version of which this share of good answers is expected, 0 to 1.
    #[must_use]
    pub fn from_expected(share: f64) -> Self {
        let expected = share.clamp(EXPECTED_SHARE_MIN, EXPECTED_SHARE_MAX);
        let odds = expected / (1.0 - expected) * BAD_ODDS_FRACTION;
        Self { expected, bad: odds / (1.0 + odds) }
    }

    /// Log likelihood ratio of one answer: positive if it is likelier from a bad version than from
    /// one that is as expected.
    #[must_use]
    pub fn log_ratio(&self, good: bool) -> f64 {
        match good {
            true => (self.bad / self.expected).ln(),
            false => ((1.0 - self.bad) / (1.0 - self.expected)).ln(),
        }
    }
}

impl Expectation {
    /// The hypotheses to test the next rated answer against. `verdict` is the test's so far,
    /// `prior` the share of good answers that the document claims, and `mean` the share estimated
    /// from the ratings before that answer.
    pub fn hypotheses(&mut self, verdict: Verdict, prior: f64, mean: f64) -> Hypotheses {
        if verdict == Verdict::Good {
            self.believed = Some(mean.min(prior));
        }
        Hypotheses::from_expected(self.believed.unwrap_or(prior))
    }
}

/// A sequential test of one version.
pub trait Test: Default {
    /// Adds one rated answer to the test and returns the new verdict; `hypotheses` are those of the
    /// version on the answer's task.
    fn observe(&mut self, good: bool, hypotheses: &Hypotheses) -> Verdict;

    /// The verdict on the answers so far.
    fn verdict(&self) -> Verdict;
}
