//! Slowdown of an engine: how much longer its work takes than that of the service's other engines.
//!
//! Engines of one service may differ two- or threefold in speed, because of their machines or of
//! other work on these. They report their load as a number of requests. A slow engine that gets as
//! many requests as the others queues prompts and delays its streams, and only its answers show
//! that. One stream is weak evidence, since the paces of equal engines' streams differ by half.
//! Where there are many hosts and engines, each host has few streams per engine, so hosts share
//! their observations.

use crate::domain;
use crate::time::Millis;

/// Weight of one stream in the usual pace of its kind.
const USUAL_PACE_WEIGHT: f64 = 0.03;
/// Weight of one stream in the slowdown of its engine.
const STREAM_WEIGHT: f64 = 0.08;
/// Time in which the logarithm of an engine's slowdown halves, in milliseconds. An engine that is
/// avoided has few streams that could show that it has become faster.
const HALF_LIFE_MS: f64 = 60_000.0;
/// Maximum factor, slower or faster, that streams may show.
const FACTOR_MAX: f64 = 8.0;
/// Factor, slower or faster, below which an engine counts as equal to the others.
const EQUAL_FACTOR_MAX: f64 = 1.25;

/// Age at which a server's report of its speed at the moment counts half, in milliseconds. Machines
/// slow down for tenths of a second.
const MOMENT_HALF_LIFE_MS: f64 = 200.0;
/// Weight of one report in the usual speed that a server reports.
const USUAL_REPORT_WEIGHT: f64 = 0.05;

domain! {
    /// Time that work takes on a machine at the moment, as the server reports it.
    #[derive(Copy, Default)]
    pub struct Moment {
        /// Logarithm of the latest factor, 0 if work takes its usual time.
        log_factor: f64,
        /// Moving average of `log_factor`.
        usual_log: f64,
        /// Time of the latest report.
        at: Millis,
    }

    /// Usual pace of streams of one kind, as a moving average.
    #[derive(Copy, Default)]
    pub struct UsualPace {
        /// Logarithm of the milliseconds per event; `None` before the first stream.
        log_ms: Option<f64>,
    }

    /// Observation of one or more streams of one engine.
    #[derive(Copy, Default)]
    pub struct Observation {
        /// Number of streams.
        pub streams: u32,
        /// Mean logarithm of the factors by which the streams were slower than usual.
        pub log_factor: f64,
    }

    /// Slowdown of one engine, learnt from its streams.
    #[derive(Copy, Default)]
    pub struct Slowdown {
        log_factor: f64,
        /// Time to which `log_factor` is decayed.
        at: Millis,
    }
}

impl UsualPace {
    /// Records a stream's pace, in milliseconds per event, and returns the observation of its
    /// engine.
    pub fn record(&mut self, pace_ms: f64) -> Observation {
        let log_ms = pace_ms.max(f64::MIN_POSITIVE).ln();
        let usual = *self.log_ms.get_or_insert(log_ms);
        let max = FACTOR_MAX.ln();
        let log_factor = (log_ms - usual).clamp(-max, max);
        self.log_ms = Some(usual + USUAL_PACE_WEIGHT * log_factor);
        Observation { streams: 1, log_factor }
    }
}

impl Moment {
    /// Records a report, in percent of the usual time.
    pub fn record(&mut self, percent: u32, now: Millis) {
        let factor = f64::from(percent) / 100.0;
        self.log_factor = factor.clamp(1.0 / FACTOR_MAX, FACTOR_MAX).ln();
        self.usual_log += USUAL_REPORT_WEIGHT * (self.log_factor - self.usual_log);
        self.at = now;
    }

    /// Factor by which work takes longer now than the server's usual time.
    #[must_use]
    pub fn factor(&self, now: Millis) -> f64 {
        let weight = (-(now.since(self.at) as f64) / MOMENT_HALF_LIFE_MS).exp2();
        (weight * (self.log_factor - self.usual_log)).exp()
    }

    /// Factor by which the server's usual time differs from that of other servers, for servers
    /// without streams that show it.
    #[must_use]
    pub fn usual_factor(&self) -> f64 {
        self.usual_log.exp()
    }
}

impl Observation {
    /// Combines two observations of the same engine, weighted by their streams.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        let streams = self.streams.saturating_add(other.streams);
        let sum = |sample: Self| f64::from(sample.streams) * sample.log_factor;
        Self { streams, log_factor: (sum(self) + sum(other)) / f64::from(streams.max(1)) }
    }
}

impl Slowdown {
    /// Factor by which the engine's work takes longer than usual; 1 if the engine is about as fast
    /// as the others.
    #[must_use]
    pub fn factor(&self, now: Millis) -> f64 {
        let log_factor = self.decayed(now);
        if log_factor.abs() < EQUAL_FACTOR_MAX.ln() { 1.0 } else { log_factor.exp() }
    }

    /// Records an observation of the engine, made by this or another host.
    pub fn record(&mut self, observation: Observation, now: Millis) {
        if !observation.log_factor.is_finite() {
            return;
        }
        let previous = self.decayed(now);
        let max = FACTOR_MAX.ln();
        let previous_weight =
            (1.0 - STREAM_WEIGHT).powi(i32::try_from(observation.streams).unwrap_or(i32::MAX));
        self.log_factor = previous_weight * previous
            + (1.0 - previous_weight) * observation.log_factor.clamp(-max, max);
        self.at = now;
    }

    fn decayed(&self, now: Millis) -> f64 {
        self.log_factor * (-(now.since(self.at) as f64) / HALF_LIFE_MS).exp2()
    }
}
