//! How much longer one engine takes for its work than the others of its service.
//!
//! The load this answers: engines of one service that differ two- or threefold in speed, because of
//! their machines or of what else runs there. They report their load in requests. Sent as many as
//! the others, a slow one reads prompts behind each other and holds up its streams. Only its
//! answers show that. One stream says little, since equal engines' streams part by half, and where
//! there are many hosts and engines a host has few streams of each. So hosts tell each other what
//! theirs showed.

use crate::domain;
use crate::time::Millis;

/// Weight of one stream in the usual pace of its kind.
const GAIN_USUAL: f64 = 0.03;
/// Weight of one stream in what is known of its engine.
const GAIN: f64 = 0.08;
/// Time in which what is known of an engine fades by half, in milliseconds: one that is avoided has
/// few streams to show that it has become faster.
const HALF_LIFE_MS: f64 = 60_000.0;
/// The most that streams may show, as a factor.
const FACTOR_MAX: f64 = 8.0;
/// An engine that parts by a smaller factor from the usual one is taken for equal.
const FACTOR_EQUAL: f64 = 1.25;

domain! {
    /// The pace that streams of one kind usually have.
    #[derive(Copy, Default)]
    pub struct Usual {
        /// The logarithm of its milliseconds an event; none before the first stream.
        log_ms: Option<f64>,
    }

    /// What streams of one engine showed.
    #[derive(Copy, Default)]
    pub struct Shown {
        /// How many.
        pub streams: u32,
        /// The mean logarithm of the factors by which they took longer than usual.
        pub log_factor: f64,
    }

    /// Of one engine.
    #[derive(Copy, Default)]
    pub struct Slowdown {
        log_factor: f64,
        at: Millis,
    }
}

impl Usual {
    /// A stream had a pace, in milliseconds an event; what that shows of its engine.
    pub fn note(&mut self, pace_ms: f64) -> Shown {
        let log_ms = pace_ms.max(f64::MIN_POSITIVE).ln();
        let usual = *self.log_ms.get_or_insert(log_ms);
        let max = FACTOR_MAX.ln();
        let log_factor = (log_ms - usual).clamp(-max, max);
        self.log_ms = Some(usual + GAIN_USUAL * log_factor);
        Shown { streams: 1, log_factor }
    }
}

impl Shown {
    /// Both together.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        let streams = self.streams.saturating_add(other.streams);
        let sum = |shown: Self| f64::from(shown.streams) * shown.log_factor;
        Self { streams, log_factor: (sum(self) + sum(other)) / f64::from(streams.max(1)) }
    }
}

impl Slowdown {
    /// The factor by which its work takes longer than usual; 1 for one that is about as fast as the
    /// others.
    #[must_use]
    pub fn factor(&self, now: Millis) -> f64 {
        let log_factor = self.faded(now);
        if log_factor.abs() < FACTOR_EQUAL.ln() { 1.0 } else { log_factor.exp() }
    }

    /// Streams of it were seen, by this host or by another one.
    pub fn note(&mut self, shown: Shown, now: Millis) {
        if !shown.log_factor.is_finite() {
            return;
        }
        let held = self.faded(now);
        let max = FACTOR_MAX.ln();
        let kept = (1.0 - GAIN).powi(i32::try_from(shown.streams).unwrap_or(i32::MAX));
        self.log_factor = kept * held + (1.0 - kept) * shown.log_factor.clamp(-max, max);
        self.at = now;
    }

    fn faded(&self, now: Millis) -> f64 {
        self.log_factor * (-(now.since(self.at) as f64) / HALF_LIFE_MS).exp2()
    }
}
