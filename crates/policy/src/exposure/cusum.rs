//! The CUSUM test: evidence against a version adds up, and evidence for it can at most bring the
//! sum back to 0.

use super::{ANSWERS_PER_FALSE_ALARM, Hypotheses, Test, Verdict};
use crate::domain;

/// Bisection steps in the search for the threshold; they resolve it far more finely than needed.
const BISECTION_STEPS: u32 = 40;
/// Upper bound of the search for the threshold: a larger one would mean fewer false alarms than one
/// in all answers that are ever rated.
const THRESHOLD_MAX: f64 = 30.0;

domain! {
    /// The CUSUM statistic of one version.
    #[derive(Copy, Default)]
    pub struct Cusum {
        /// Evidence against the version, as a log likelihood ratio; never below 0.
        pub sum: f64,
        /// The sum at which the version counts as bad, for the hypotheses of the newest answer.
        pub threshold: f64,
        /// Whether the version was found bad. That is final: only a new document of an operator
        /// starts a new test.
        pub bad: bool,
    }
}

impl Test for Cusum {
    fn observe(&mut self, good: bool, hypotheses: &Hypotheses) -> Verdict {
        self.threshold = threshold(hypotheses, ANSWERS_PER_FALSE_ALARM);
        self.sum = (self.sum + hypotheses.log_ratio(good)).max(0.0);
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

/// The sum at which a version that is as expected raises one false alarm in `answers_per_alarm`
/// answers on average.
///
/// From the corrected diffusion approximation of a Bernoulli CUSUM (Reynolds and Stoumbos, 1999).
#[must_use]
pub fn threshold(hypotheses: &Hypotheses, answers_per_alarm: f64) -> f64 {
    let (mut low, mut high) = (0.0, THRESHOLD_MAX);
    for _ in 0..BISECTION_STEPS {
        let middle = (low + high) / 2.0;
        if run_length(hypotheses, middle) < answers_per_alarm {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Mean number of answers between two false alarms at a threshold.
fn run_length(hypotheses: &Hypotheses, threshold: f64) -> f64 {
    let bad_share = 1.0 - hypotheses.expected;
    let step = hypotheses.log_ratio(false) - hypotheses.log_ratio(true);
    let drift = (bad_share * step + hypotheses.log_ratio(true)).abs();
    let corrected =
        threshold + step * overshoot(bad_share) * (bad_share * (1.0 - bad_share)).sqrt();
    (corrected.exp() - corrected - 1.0) / drift
}

/// Mean amount by which the sum exceeds its threshold when it crosses it, in standard deviations of
/// one answer; `share` is the share of bad answers, up to one half.
fn overshoot(share: f64) -> f64 {
    let log = share.clamp(0.01, 0.5).ln();
    0.410 - 0.0842 * log - 0.0391 * log.powi(3) - 0.00376 * log.powi(4) - 0.000_008 * log.powi(7)
}
