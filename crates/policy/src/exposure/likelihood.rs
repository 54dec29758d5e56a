//! A sequential likelihood ratio test that starts over each time it accepts the version as good.

use super::{FALSE_ALARM_EVERY, Hypotheses, Test, Verdict};
use crate::domain;

/// Log ratio at which a version counts as good and the test starts over.
pub const ACCEPT: f64 = -2.0;

domain! {
    /// One version's ratio.
    #[derive(Copy, Default)]
    pub struct Likelihood {
        /// How much likelier all answers since the last start are from a bad version, as a
        /// logarithm.
        pub ratio: f64,
        /// Once bad, always bad: only an operator's document starts a new test.
        pub bad: bool,
    }
}

impl Test for Likelihood {
    fn observe(&mut self, good: bool, expecting: &Hypotheses) -> Verdict {
        self.ratio += expecting.log_ratio(good);
        if self.ratio <= ACCEPT {
            self.ratio = 0.0;
        }
        self.bad |= self.ratio >= reject(expecting);
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

/// Log ratio at which a version counts as bad: Wald's bound, with one test's false alarms spread
/// over the answers it takes to accept a good version.
fn reject(expecting: &Hypotheses) -> f64 {
    let (good, bad) = (expecting.log_ratio(true), expecting.log_ratio(false));
    let drift = expecting.expected * good + (1.0 - expecting.expected) * bad;
    let answers = (ACCEPT / drift).max(1.0);
    (FALSE_ALARM_EVERY / answers).ln()
}
