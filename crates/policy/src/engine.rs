//! Which model engine takes a request: the one that is expected to begin its answer first.
//!
//! The load this answers: long prompts among short ones, sent by several hosts that don't see
//! each other's requests. A prompt that is being read delays every answer that begins behind it,
//! so the time that reading will take counts, not the number of requests; a large model
//! reads ten times as long as a small one. Reports are old when they
//! come and all hosts read the same ones; a host's own requests since then are added, and old
//! reports fade.

use crate::domain;
use crate::place::{REPORT_HALF_LIFE_MS, mix};
use crate::time::Millis;

/// Time that a full batch adds to the beginning of an answer, in milliseconds: the engine reads
/// prompts in pieces between the steps of the requests under way.
const FULL_BATCH_MS: f64 = 250.0;
/// Time that each request that waits for a place adds, as a part of the mean service time.
const WAITING_PART: f64 = 1.0;
/// What is believed of a cached prefix that another host may have left at the engine that all
/// hosts prefer for it.
const SHARED_BELIEF: f64 = 0.5;
/// Spread of equal engines, in milliseconds: without it all hosts would take the same first one.
const SPREAD_MS: f64 = 4.0;

domain! {
    /// One engine as a host knows it.
    #[derive(Copy, Default)]
    pub struct Engine {
        /// This host's requests there.
        pub own: u32,
        /// Requests there by its last report, others' included.
        pub reported: u32,
        /// This host's requests there at the time of that report.
        pub own_then: u32,
        /// Age of that report, in milliseconds; none if there is none.
        pub report_age_ms: Option<u64>,
        /// Requests that it works on at once.
        pub slots: u32,
        /// Time until it would begin to read the request's prompt, in milliseconds.
        pub wait_ms: f64,
        /// Tokens of the request's prompt believed to be cached there.
        pub cached: f64,
        /// Whether it is the one that all hosts prefer for the prompt's shared part.
        pub preferred: bool,
        /// Whether it stands in this host's failure domain.
        pub near: bool,
        /// Share of requests that it is expected to fail, 0 to 1.
        pub suspicion: f64,
        /// Part by which its work takes longer than usual; 0 if as long.
        pub slowdown: f64,
    }

    /// The request, and what is known of its like.
    #[derive(Copy)]
    pub struct Ask {
        /// Tokens of the prompt.
        pub prompt: f64,
        /// Of them, tokens that other requests share.
        pub shared: f64,
        /// Prompt tokens that an engine reads in a millisecond, for the model wanted.
        pub tokens_per_ms: f64,
        /// Mean time of a request at an engine, in milliseconds.
        pub service_ms: f64,
        /// What another failure domain costs, in milliseconds that one would wait instead.
        pub far_ms: f64,
        /// What a failed try costs, in milliseconds.
        pub failure_ms: f64,
    }
}

impl Engine {
    /// Requests believed to be there.
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

    /// What the request is expected to cost there, in milliseconds until its answer begins.
    #[must_use]
    pub fn cost_ms(&self, ask: &Ask) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let load = self.load();
        let pace = 1.0 + self.slowdown;
        let waiting = (load - slots).max(0.0) / slots;
        let cached = match self.preferred {
            true => self.cached.max(ask.shared * SHARED_BELIEF),
            false => self.cached,
        };
        let read_ms = (ask.prompt - cached).max(0.0) / ask.tokens_per_ms.max(1e-3);
        let work_ms = (load / slots).min(1.0) * FULL_BATCH_MS
            + waiting * ask.service_ms * WAITING_PART
            + read_ms;
        work_ms * pace
            + self.wait_ms
            + if self.near { 0.0 } else { ask.far_ms }
            + self.suspicion * ask.failure_ms
    }
}

/// The index of the engine with the least cost; none if there is none. `draw` is a uniform draw.
#[must_use]
pub fn choose(engines: &[Engine], ask: &Ask, draw: u64) -> Option<usize> {
    let spread = |index: usize| {
        SPREAD_MS * (mix(draw.wrapping_add(index as u64)) >> 11) as f64 / (1_u64 << 53) as f64
    };
    let costs = engines.iter().enumerate();
    let costs = costs.map(|(index, engine)| (index, engine.cost_ms(ask) + spread(index)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

/// How old a time is, if there is one.
#[must_use]
pub fn age(at: Millis, now: Millis) -> Option<u64> {
    (at > Millis(0)).then(|| now.since(at))
}
