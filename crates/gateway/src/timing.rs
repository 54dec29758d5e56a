//! Times of answers, by route and model, as requests and roll-outs are judged by.

use policy::patience::Patience;
use policy::time::Millis;

/// First guess of how fast an engine reads a prompt, in tokens a millisecond.
const TOKENS_PER_MS: f64 = 50.0;
/// Weight of a new sample of that when it is faster, and when it is slower. An answer also waits
/// for others' prompts, so the fast samples are nearer to the truth.
const GAIN_FASTER: f64 = 0.3;
const GAIN_SLOWER: f64 = 0.03;
/// Shorter prompts say too little of it.
const TOKENS_MIN: f64 = 1_000.0;
/// Bounds on the estimate.
const RATE_MIN: f64 = 1.0;
const RATE_MAX: f64 = 1_000.0;

/// Times of one route's answers by one model.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// From sending a request to the beginning of its answer.
    pub first: Patience,
    /// From sending a request to the end of its answer.
    pub whole: Patience,
    /// The same for each event of a stream, or for a whole plain answer.
    pub pace: Patience,
    /// Prompt tokens that an engine reads in a millisecond.
    pub tokens_per_ms: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            first: Patience::default(),
            whole: Patience::default(),
            pace: Patience::default(),
            tokens_per_ms: TOKENS_PER_MS,
        }
    }
}

impl Timing {
    /// An answer began, for which so many tokens had to be read.
    pub fn note_first(&mut self, ms: f64, tokens: f64, now: Millis) {
        self.first.note(ms, now);
        if tokens >= TOKENS_MIN {
            let rate = (tokens / ms.max(1.0)).clamp(RATE_MIN, RATE_MAX);
            let gain = if rate > self.tokens_per_ms { GAIN_FASTER } else { GAIN_SLOWER };
            self.tokens_per_ms += gain * (rate - self.tokens_per_ms);
        }
    }
}
