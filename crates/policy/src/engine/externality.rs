//! What reading a prompt at an engine costs the streams that run there.
//!
//! Load: long prompts among short ones, on engines and models of uneven speed. Engines read a
//! prompt in chunks between the tokens of running streams. On a slow engine with a large model each
//! chunk takes so long that an event of several tokens nearly takes the whole pause that callers
//! allow, and a machine that slows down for a moment then makes all streams there late. The wait of
//! the request itself does not show this.

use super::{Demand, Engine};
use crate::domain;

/// Prompt tokens that an engine reads between two tokens of its running streams.
const CHUNK_TOKENS: f64 = 1_024.0;
/// Share of the allowed pause that one event may take without risk. The rest is a reserve for
/// machines that slow down by a factor of 2.5 for tenths of a second.
const SAFE_PAUSE_SHARE: f64 = 0.4;
/// Cost of too long a pause in a running stream, as a fraction of the cost of an answer that begins
/// late: its caller has had a part of the answer in time and can use it.
const LATE_STREAM_WEIGHT: f64 = 0.3;

domain! {
    /// What the callers of running streams need.
    #[derive(Copy)]
    pub struct Streams {
        /// Tokens of one event.
        pub event_tokens: f64,
        /// Longest pause between two events that the route allows, in milliseconds.
        pub gap_ms: f64,
        /// Cost of a late answer, in milliseconds.
        pub late_ms: f64,
    }
}

/// Cost to running streams of reading `missing` prompt tokens at an engine, in milliseconds.
#[must_use]
pub fn cost_ms(engine: &Engine, missing: f64, demand: &Demand, streams: &Streams) -> f64 {
    let running = engine.load().min(f64::from(engine.slots.max(1)));
    let risk = pause_risk(engine, missing, demand, streams);
    LATE_STREAM_WEIGHT * running * risk * streams.late_ms
}

/// Risk that a running stream pauses for too long while `missing` tokens are read: 0 while an event
/// takes at most [`SAFE_PAUSE_SHARE`] of the allowed pause, 1 if it takes all of it.
fn pause_risk(engine: &Engine, missing: f64, demand: &Demand, streams: &Streams) -> f64 {
    let event_ms = engine.read_ms(missing.min(streams.event_tokens * CHUNK_TOKENS), demand);
    let share = event_ms / streams.gap_ms.max(1.0);
    let excess = ((share - SAFE_PAUSE_SHARE) / (1.0 - SAFE_PAUSE_SHARE)).clamp(0.0, 1.0);
    excess * excess
}
