//! How long an engine is kept by prompts that were sent to it.
//!
//! An engine reads prompts one after another, whoever sent them. What it has still to read is
//! worked out from what was sent and the time since; nothing needs to be told when a prompt is
//! done, and a host that is lost in between leaves nothing behind.

use crate::domain;
use crate::time::Millis;

/// Longest time that is believed, in milliseconds: estimates add up, and so do their errors.
const MOST_MS: f64 = 10_000.0;

domain! {
    /// Of one engine.
    #[derive(Copy, Default)]
    pub struct Reading {
        until_ms: f64,
    }
}

impl Reading {
    /// A prompt was sent that takes this long to read, in milliseconds.
    pub fn add(&mut self, ms: f64, now: Millis) {
        let now = now.0 as f64;
        self.until_ms = (self.until_ms.max(now) + ms).min(now + MOST_MS);
    }

    /// How long it still reads, in milliseconds.
    #[must_use]
    pub fn left_ms(&self, now: Millis) -> f64 {
        (self.until_ms - now.0 as f64).max(0.0)
    }
}
