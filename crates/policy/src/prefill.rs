//! Prefill speed: how fast engines read prompts with one model, learnt from their answers.
//!
//! Prompts have a few hundred to tens of thousands of tokens, and models differ tenfold in speed.
//! Placement counts the time that prompts keep an engine busy. If this time is underestimated by
//! half, requests queue behind long prompts that seem almost read. An estimate per route that moved
//! slowly away from an initial guess would stay wrong for most of a day.

use crate::domain;

/// Speed assumed before a model's first answer, in tokens per millisecond: between the speeds of a
/// large and a small model on one accelerator. The first answer replaces it.
const INITIAL_TOKENS_PER_MS: f64 = 50.0;
/// Weights of an answer that shows a higher and of one that shows a lower speed than learnt. An
/// answer may also have waited for prompts that this host doesn't know of, so high speeds are
/// closer to the truth.
const FASTER_WEIGHT: f64 = 0.3;
const SLOWER_WEIGHT: f64 = 0.1;
/// Length at which a prompt counts half as much as a very long one, in tokens. The shorter the
/// prompt, the more of the time is not spent reading it. Twice [`PROMPT_TOKENS_MIN`].
const HALF_WEIGHT_TOKENS: f64 = 2_000.0;
/// Minimum length of a prompt whose answer is used as a sample, in tokens.
const PROMPT_TOKENS_MIN: f64 = 1_000.0;
/// Bounds on the speed shown by one answer, in tokens per millisecond.
const TOKENS_PER_MS_MIN: f64 = 0.1;
const TOKENS_PER_MS_MAX: f64 = 10_000.0;

domain! {
    /// Learnt speed at which engines read prompts with one model.
    #[derive(Copy, Default)]
    pub struct Speed {
        /// Moving average of the speed, in tokens per millisecond; 0 before the first answer.
        learnt: f64,
    }
}

impl Speed {
    /// Tokens read per millisecond.
    #[must_use]
    pub fn tokens_per_ms(&self) -> f64 {
        if self.learnt > 0.0 { self.learnt } else { INITIAL_TOKENS_PER_MS }
    }

    /// Records an answer that began `ms` milliseconds after its request was sent. `waited_ms` is
    /// the time that was expected to pass before the engine read its prompt, and `tokens` the
    /// number of uncached tokens in the prompt.
    pub fn record(&mut self, ms: f64, waited_ms: f64, tokens: f64) {
        if tokens < PROMPT_TOKENS_MIN {
            return;
        }
        let sample = (tokens / ms.max(1.0)).clamp(TOKENS_PER_MS_MIN, TOKENS_PER_MS_MAX);
        let direction_weight = match () {
            () if self.learnt == 0.0 => 1.0,
            () if sample > self.learnt => FASTER_WEIGHT,
            // The answer waited for other prompts, for an unknown time.
            () if waited_ms > 0.0 => return,
            () => SLOWER_WEIGHT,
        };
        let length_weight =
            if self.learnt == 0.0 { 1.0 } else { tokens / (tokens + HALF_WEIGHT_TOKENS) };
        self.learnt += direction_weight * length_weight * (sample - self.learnt);
    }
}
