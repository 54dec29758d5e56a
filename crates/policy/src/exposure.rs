//! Telling that a version turned bad, from ratings and failures of all hosts.
//!
//! Two sequential tests stand here behind one trait, so both can be measured on the same traces:
//! a CUSUM, and a sequential likelihood ratio test that starts over whenever it has accepted the
//! version as good.

pub mod cusum;
pub mod likelihood;
pub mod rating;

use crate::domain;

/// Rated answers between two false alarms of one test, of a version that stays as good as
/// expected. Each host tests on its own and sees the newest ratings in its own order, and the first
/// verdict counts for all: with seven hosts that doubles false alarms, so one test is kept well
/// under the goal of one in 10,000.
pub const FALSE_ALARM_EVERY: f64 = 50_000.0;
/// Expected shares are kept below this: a document that claims more would make one bad answer
/// weigh as much as a verdict.
pub const EXPECTED_MAX: f64 = 0.98;
/// And above this: a version that is expected to be bad can't be seen to have turned bad.
pub const EXPECTED_MIN: f64 = 0.2;
/// A version is bad when its odds of a good answer have fallen to this part of the expected.
pub const BAD_ODDS: f64 = 0.13;

domain! {
    /// What "good" and "bad" mean for a version on a task.
    #[derive(Copy)]
    pub struct Hypotheses {
        /// Share of good answers of a version that is as expected.
        pub expected: f64,
        /// Share of good answers of one that has turned bad.
        pub bad: f64,
    }

    /// What is expected of a version on one task.
    ///
    /// The document may praise a version too much; measured by its word, one that is merely a
    /// little worse would be put under quarantine in the end. So ratings lower what is expected,
    /// but not while there is a bad sign: a version turning bad must not drag it down.
    #[derive(Copy, Default)]
    pub struct Expectation {
        /// Share of good answers that was believed in before the bad sign.
        pub believed: Option<f64>,
    }

    /// What a test says after an answer.
    #[derive(Copy, Eq)]
    pub enum Verdict {
        /// Nothing against it.
        Good,
        /// A bad sign: rate more of its answers.
        Suspect,
        /// It has turned bad: quarantine.
        Bad,
    }
}

impl Hypotheses {
    /// From the share of good answers that is expected, 0 to 1.
    #[must_use]
    pub fn from_expected(share: f64) -> Self {
        let expected = share.clamp(EXPECTED_MIN, EXPECTED_MAX);
        let odds = expected / (1.0 - expected) * BAD_ODDS;
        Self { expected, bad: odds / (1.0 + odds) }
    }

    /// The logarithm of how much likelier an answer is from a bad version than from a good one.
    #[must_use]
    pub fn log_ratio(&self, good: bool) -> f64 {
        match good {
            true => (self.bad / self.expected).ln(),
            false => ((1.0 - self.bad) / (1.0 - self.expected)).ln(),
        }
    }
}

impl Expectation {
    /// What the next rated answer is tested against, given what the test says so far, the
    /// document's word and the mean of the estimate before that answer.
    pub fn hypotheses(&mut self, verdict: Verdict, prior: f64, mean: f64) -> Hypotheses {
        if verdict == Verdict::Good {
            self.believed = Some(mean.min(prior));
        }
        Hypotheses::from_expected(self.believed.unwrap_or(prior))
    }
}

/// A sequential test of one version.
pub trait Test: Default {
    /// Takes in one rated answer, given what was expected of the version on its task.
    fn observe(&mut self, good: bool, expecting: &Hypotheses) -> Verdict;

    /// What it says now.
    fn verdict(&self) -> Verdict;
}
