//! Choice of the larger model to ask after an answer of low confidence: the smallest model that is
//! likely to reach the confidence required.
//!
//! At a peak, four in ten requests go to a larger model while engines are short of time for
//! prompts. The largest model reads and writes several times as slowly as the next smaller one, and
//! costs more, so asking it every time is expensive and delays other requests. An answer just below
//! the threshold needs only a little more confidence. How much confidence each model adds is learnt
//! from requests that both models answered.

use crate::domain;

/// Confidence that a model is assumed to add before it and the smallest model have answered the
/// same request, in points: a tenth of the scale, so that a model between the smallest and the
/// largest is asked only where little confidence is missing.
const INITIAL_POINTS: f64 = 10.0;
/// Minimum gain assumed, in points. A model assumed to add nothing would never be asked, and
/// nothing more would be learnt about it.
const POINTS_MIN: f64 = 3.0;
/// Weight of a new sample in the moving average, which spans about the last ten.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Bounds of the confidence scale. An answer at a bound doesn't show the difference between two
/// models, since it is cut off there.
const CONFIDENCE_MIN: u8 = 0;
const CONFIDENCE_MAX: u8 = 100;

domain! {
    /// Learnt difference between the confidence of one model and that of the smallest model.
    #[derive(Copy, Default)]
    pub struct Gain {
        /// Moving average of the difference, in points; `None` before the first sample.
        learnt: Option<f64>,
    }
}

impl Gain {
    /// Confidence that the model is expected to add to the smallest model's, in points.
    #[must_use]
    pub fn points(&self) -> f64 {
        self.learnt.unwrap_or(INITIAL_POINTS).max(POINTS_MIN)
    }

    /// Records the confidences of the smallest and of this larger model for the same request.
    pub fn record(&mut self, small: u8, larger: u8) {
        if small == CONFIDENCE_MIN || larger == CONFIDENCE_MAX {
            return;
        }
        let sample = f64::from(larger) - f64::from(small);
        let average = self.learnt.unwrap_or(INITIAL_POINTS);
        self.learnt = Some(average + SAMPLE_WEIGHT * (sample - average));
    }
}

/// Returns the index of the larger model to ask: the first that is expected to reach the confidence
/// `wanted`, else the last. `larger` holds the gains of all larger models but the last, smallest
/// model first.
#[must_use]
pub fn choose(confidence: u8, wanted: f64, larger: &[Gain]) -> usize {
    let is_enough = |gain: &Gain| f64::from(confidence) + gain.points() >= wanted;
    larger.iter().position(is_enough).unwrap_or(larger.len())
}
