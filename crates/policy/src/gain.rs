//! Which larger model is asked where a small one doubts its answer: the smallest that is likely to
//! be sure of its own.
//!
//! The load this answers: engines short of time for prompts at a peak, when four in ten requests go
//! on to a larger model. The largest reads and writes several times as slowly as the next one, and
//! costs more. An answer that was doubted by a little needs only a little more; how much more
//! confidence a model brings is learnt from requests that both have answered. Always asking the
//! largest costs more, and makes others wait for it.

use crate::domain;

/// Points of confidence that a model is believed to bring before both have answered a request: a
/// tenth of the scale, so that the next model is tried only where the doubt is small.
const FIRST_POINTS: f64 = 10.0;
/// Least points believed. With none it would never be asked, and nothing learnt.
const LEAST_POINTS: f64 = 3.0;
/// Weight of a new observation: about the mean of the last ten.
const GAIN: f64 = 0.1;
/// Bounds of confidence; an answer that reaches one says nothing of the distance.
const NONE: u8 = 0;
const FULL: u8 = 100;

domain! {
    /// How much more confidence a model has in its answers than the smallest one, in points.
    #[derive(Copy, Default)]
    pub struct Gain {
        learnt: Option<f64>,
    }
}

impl Gain {
    /// Points expected.
    #[must_use]
    pub fn points(&self) -> f64 {
        self.learnt.unwrap_or(FIRST_POINTS).max(LEAST_POINTS)
    }

    /// Both models have answered a request, with these confidences.
    pub fn note(&mut self, small: u8, larger: u8) {
        if small == NONE || larger == FULL {
            return;
        }
        let shown = f64::from(larger) - f64::from(small);
        let known = self.learnt.unwrap_or(FIRST_POINTS);
        self.learnt = Some(known + GAIN * (shown - known));
    }
}

/// The index of the larger model to ask: the first whose expected confidence is enough, else the
/// last. `larger` holds what all but the last are expected to bring.
#[must_use]
pub fn choose(confidence: u8, wanted: f64, larger: &[Gain]) -> usize {
    let is_enough = |gain: &Gain| f64::from(confidence) + gain.points() >= wanted;
    larger.iter().position(is_enough).unwrap_or(larger.len())
}
