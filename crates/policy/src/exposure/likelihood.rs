//! A sequential likelihood ratio test that restarts each time it accepts the version as good.

use super::{ANSWERS_PER_FALSE_ALARM, Hypotheses, Test, Verdict};
use crate::domain;

/// Log likelihood ratio at which a version counts as good and the test restarts.
pub const ACCEPT_LOG_RATIO: f64 = -2.0;

domain! {
    /// The test statistic of one version.
    #[derive(Copy, Default)]
    pub struct Likelihood {
        /// Log likelihood ratio of all answers since the test last restarted; positive if they are
        /// likelier from a bad version.
        pub ratio: f64,
        /// Whether the version was found bad. That is final: only a new document of an operator
        /// starts a new test.
        pub bad: bool,
    }
}

impl Test for Likelihood {
    fn observe(&mut self, good: bool, hypotheses: &Hypotheses) -> Verdict {
        self.ratio += hypotheses.log_ratio(good);
        if self.ratio <= ACCEPT_LOG_RATIO {
            self.ratio = 0.0;
        }
        self.bad |= self.ratio >= reject_log_ratio(hypotheses);
        self.verdict()
    }

    fn verdict(&self) -> Verdict {
        match self.ratio {
            _ if self.bad => Verdict::Bad,
            ratio if ratio > 0.0 => Verdict::Suspect,
            _ => Verdict::Good,
        }
    }
}

/// Log likelihood ratio at which a version counts as bad: Wald's bound. It allows one false alarm
/// in [`ANSWERS_PER_FALSE_ALARM`] answers, divided by the number of answers after which a test
/// accepts a good version and restarts.
fn reject_log_ratio(hypotheses: &Hypotheses) -> f64 {
    let (good, bad) = (hypotheses.log_ratio(true), hypotheses.log_ratio(false));
    let drift = hypotheses.expected * good + (1.0 - hypotheses.expected) * bad;
    let answers = (ACCEPT_LOG_RATIO / drift).max(1.0);
    (ANSWERS_PER_FALSE_ALARM / answers).ln()
}
