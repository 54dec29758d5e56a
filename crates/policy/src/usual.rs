//! The usual time of an answer, which trouble of some seconds hardly moves.
//!
//! It is what new versions are compared with. A mean of the latest answers follows trouble of the
//! old version's servers at once, and a slow version then passes as usual.

use crate::domain;
use crate::time::Millis;

/// Number of answers from which on the usual time is known.
const ANSWERS_MIN: u32 = 4;
/// Number of answers after which the usual time follows slowly.
const SETTLED_ANSWERS: u32 = 24;
/// Time in which a settled usual time may double or halve, in milliseconds: several times as long
/// as a roll-out takes.
const DOUBLING_MS: f64 = 60_000.0;
/// Least time that is told from others, in milliseconds.
const TIME_MIN_MS: f64 = 0.1;

domain! {
    /// A running median of times, on a logarithmic scale.
    #[derive(Copy, Default)]
    pub struct Usual {
        log_ms: f64,
        answers: u32,
        /// Time of the last answer.
        at: Millis,
    }
}

impl Usual {
    /// Records the time of an answer, in milliseconds.
    pub fn record(&mut self, ms: f64, now: Millis) {
        let log_ms = ms.max(TIME_MIN_MS).ln();
        let step = match self.answers {
            0 => f64::INFINITY,
            few if few < SETTLED_ANSWERS => 1.0 / f64::from(few),
            _ => now.since(self.at) as f64 * std::f64::consts::LN_2 / DOUBLING_MS,
        };
        self.log_ms += (log_ms - self.log_ms).clamp(-step, step);
        self.answers = self.answers.saturating_add(1);
        self.at = now;
    }

    /// The usual time, in milliseconds; `None` before enough answers.
    #[must_use]
    pub fn ms(&self) -> Option<f64> {
        (self.answers >= ANSWERS_MIN).then(|| self.log_ms.exp())
    }
}
