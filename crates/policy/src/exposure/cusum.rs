//! The CUSUM test: evidence against a version adds up, evidence for it only cancels that.

use super::{FALSE_ALARM_EVERY, Hypotheses, Test, Verdict};
use crate::domain;

/// Bisection steps for the threshold; more than a `f64` has bits of use here.
const STEPS: u32 = 40;
/// A threshold above this would mean a false alarm in more answers than anyone rates.
const THRESHOLD_MAX: f64 = 30.0;

domain! {
    /// One version's sum.
    #[derive(Copy, Default)]
    pub struct Cusum {
        /// Evidence against it, as a log likelihood ratio; never below 0.
        pub sum: f64,
        /// Where it counts as turned bad, for what was last expected.
        pub threshold: f64,
        /// Once bad, always bad: only an operator's document starts a new test.
        pub bad: bool,
    }
}

impl Test for Cusum {
    fn observe(&mut self, good: bool, expecting: &Hypotheses) -> Verdict {
        self.threshold = threshold(expecting, FALSE_ALARM_EVERY);
        self.sum = (self.sum + expecting.log_ratio(good)).max(0.0);
        self.bad |= self.sum >= self.threshold;
        self.verdict()
    }

    fn verdict(&self) -> Verdict {
        match self.sum {
            _ if self.bad => Verdict::Bad,
            sum if sum > 0.0 => Verdict::Suspect,
            _ => Verdict::Good,
        }
    }
}

/// The sum at which a good version raises one false alarm in `every` answers on average.
///
/// From the corrected diffusion approximation of a Bernoulli CUSUM (Reynolds and Stoumbos, 1999).
#[must_use]
pub fn threshold(expecting: &Hypotheses, every: f64) -> f64 {
    let (mut low, mut high) = (0.0, THRESHOLD_MAX);
    for _ in 0..STEPS {
        let middle = (low + high) / 2.0;
        if run_length(expecting, middle) < every {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Answers between two false alarms at a threshold.
fn run_length(expecting: &Hypotheses, threshold: f64) -> f64 {
    let bad_share = 1.0 - expecting.expected;
    let step = expecting.log_ratio(false) - expecting.log_ratio(true);
    let drift = (bad_share * step + expecting.log_ratio(true)).abs();
    let corrected =
        threshold + step * overshoot(bad_share) * (bad_share * (1.0 - bad_share)).sqrt();
    (corrected.exp() - corrected - 1.0) / drift
}

/// How far a sum overshoots its threshold, for a share of bad answers up to one half.
fn overshoot(share: f64) -> f64 {
    let log = share.clamp(0.01, 0.5).ln();
    0.410 - 0.0842 * log - 0.0391 * log.powi(3) - 0.00376 * log.powi(4) - 0.000_008 * log.powi(7)
}
