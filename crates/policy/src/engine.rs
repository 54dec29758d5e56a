//! Placement among model engines: chooses the engine that is expected to begin the answer first.
//!
//! Several hosts send long prompts among short ones and don't see each other's requests. An engine
//! that reads a prompt delays every answer that begins behind it, so placement compares the time
//! that reading takes rather than the number of requests: a large model reads ten times as long as
//! a small one. Load reports are old when they arrive, and all hosts read the same ones. So each
//! host counts its own current requests in place of those that it had at the report, and reports
//! lose weight with age.

use crate::domain;
use crate::place::{REPORT_HALF_LIFE_MS, mix};
use crate::time::Millis;

/// Time by which a full batch delays the beginning of an answer, in milliseconds: an engine reads
/// prompts in chunks between the steps of the requests in flight.
const FULL_BATCH_DELAY_MS: f64 = 250.0;
/// Time that each request waiting per slot adds, as a fraction of the mean service time.
const WAITING_SERVICE_FRACTION: f64 = 1.0;
/// Fraction of a prompt's shared prefix that is assumed to be cached at the engine that all hosts
/// prefer for the prefix, where another host may have sent it.
const SHARED_CACHED_FRACTION: f64 = 0.5;
/// Maximum random cost added to each engine, in milliseconds. Without it all hosts would choose the
/// first of several equal engines.
const TIE_BREAK_MAX_MS: f64 = 4.0;

domain! {
    /// State of one engine as this host knows it.
    #[derive(Copy, Default)]
    pub struct Engine {
        /// This host's requests in flight at the engine.
        pub own: u32,
        /// Requests of all hosts in flight at the engine, according to its last report.
        pub reported: u32,
        /// This host's requests in flight at the engine when that report arrived.
        pub own_then: u32,
        /// Age of the last report, in milliseconds; `None` if the engine has not reported.
        pub report_age_ms: Option<u64>,
        /// Requests that the engine works on at once.
        pub slots: u32,
        /// Time until the engine would begin to read the request's prompt, in milliseconds.
        pub wait_ms: f64,
        /// Tokens of the request's prompt that the engine is believed to have cached.
        pub cached: f64,
        /// Whether all hosts prefer this engine for the prompt's shared prefix.
        pub preferred: bool,
        /// Whether the engine is in this host's failure domain.
        pub near: bool,
        /// Share of requests that are expected to fail at the engine, 0 to 1.
        pub suspicion: f64,
        /// Extra time that the engine's work takes, as a fraction of the usual time; negative if
        /// the engine is faster than usual.
        pub slowdown: f64,
    }

    /// What a request needs from an engine, and the costs to weigh.
    #[derive(Copy)]
    pub struct Demand {
        /// Length of the prompt, in tokens.
        pub prompt: f64,
        /// Length of the prompt's prefix that other requests share, in tokens.
        pub shared: f64,
        /// Prompt tokens that an engine reads per millisecond with the requested model.
        pub tokens_per_ms: f64,
        /// Mean time that a request spends at an engine, in milliseconds.
        pub service_ms: f64,
        /// Cost of an engine in another failure domain, as the time in milliseconds that a request
        /// would rather wait for a near one.
        pub far_ms: f64,
        /// Cost of a failed attempt, in milliseconds.
        pub failure_ms: f64,
    }
}

impl Engine {
    /// Estimated requests in flight at the engine, with those of other hosts weighted by the age of
    /// the report.
    #[must_use]
    pub fn load(&self) -> f64 {
        let own = f64::from(self.own);
        match self.report_age_ms {
            None => own,
            Some(age) => {
                let others = f64::from(self.reported.saturating_sub(self.own_then));
                own + others * REPORT_HALF_LIFE_MS / (REPORT_HALF_LIFE_MS + age as f64)
            }
        }
    }

    /// Expected cost of sending the request to this engine: the time until its answer begins, plus
    /// the costs of distance and failure, in milliseconds.
    #[must_use]
    pub fn cost_ms(&self, demand: &Demand) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let load = self.load();
        let slowdown_factor = 1.0 + self.slowdown;
        let waiting = (load - slots).max(0.0) / slots;
        let cached = match self.preferred {
            true => self.cached.max(demand.shared * SHARED_CACHED_FRACTION),
            false => self.cached,
        };
        let read_ms = (demand.prompt - cached).max(0.0) / demand.tokens_per_ms.max(1e-3);
        let work_ms = (load / slots).min(1.0) * FULL_BATCH_DELAY_MS
            + waiting * demand.service_ms * WAITING_SERVICE_FRACTION
            + read_ms;
        work_ms * slowdown_factor
            + self.wait_ms
            + if self.near { 0.0 } else { demand.far_ms }
            + self.suspicion * demand.failure_ms
    }
}

/// Returns the index of the engine with the least cost, or `None` if there are no engines. `draw`
/// is a uniform random number that separates equal engines.
#[must_use]
pub fn choose(engines: &[Engine], demand: &Demand, draw: u64) -> Option<usize> {
    let tie_break = |index: usize| {
        TIE_BREAK_MAX_MS * (mix(draw.wrapping_add(index as u64)) >> 11) as f64
            / (1_u64 << 53) as f64
    };
    let costs = engines.iter().enumerate();
    let costs = costs.map(|(index, engine)| (index, engine.cost_ms(demand) + tie_break(index)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

/// Milliseconds since `at`; `None` if `at` is 0, which stands for never.
#[must_use]
pub fn age_ms(at: Millis, now: Millis) -> Option<u64> {
    (at > Millis(0)).then(|| now.since(at))
}
