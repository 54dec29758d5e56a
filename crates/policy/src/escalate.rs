//! Which model answers when the choice is ours: a small one first, a larger one where the small
//! one doubts its answer.
//!
//! An engine's confidence comes with the head of its answer, before the caller has got anything,
//! so a doubtful answer costs the prompt read by the small model and little else. The load this
//! answers: at the peak there is not room for the large model on every request. Then more doubt is
//! accepted, since an answer that is late for everybody is worth less than a few poor ones.

use crate::domain;

/// Confidence taken as that of an answer as likely right as wrong. An assumption that a measurement
/// on one deployment supports: of 196 answers the large model reported less than 40 for 3, and the
/// small model 50 or more for about half, which is near its share of right answers.
const EVEN: f64 = 50.0;
/// Confidence more or less that is asked for each step of urgency: the price of the large model
/// weighs more where an answer is worth less.
const URGENCY_STEP: f64 = 5.0;
/// Part of the objective by which the large model's answer must begin.
const IN_TIME: f64 = 0.9;
/// Pressure from which more doubt is accepted.
const BUSY: f64 = 0.25;
/// Pressure under which a larger model is asked even if its answer will be late.
const IDLE: f64 = 0.2;
/// A prompt that takes this part of the objective to read is long.
const LONG: f64 = 0.4;
/// Pressure at which no answer is asked for again.
const FULL: f64 = 0.6;

domain! {
    /// What is known when a small model's answer begins.
    #[derive(Copy)]
    pub struct Doubt {
        /// The model's opinion of its answer, 0 to 100; none if it said nothing.
        pub confidence: Option<u8>,
        /// The request's urgency; 0 is the highest.
        pub priority: u8,
        /// Time since the request came in, in milliseconds.
        pub waited_ms: f64,
        /// Time until the larger model's answer would begin, in milliseconds.
        pub larger_ms: f64,
        /// Of that, time that the engine reads the prompt, in milliseconds.
        pub read_ms: f64,
        /// Time within which the answer is of full use, in milliseconds.
        pub objective_ms: f64,
        /// How long callers wait for their answers to begin lately, as a part of the objective.
        /// Places taken say little: engines are short of time for prompts long before.
        pub delay: f64,
    }
}

/// Confidence below which a larger model is asked.
#[must_use]
pub fn threshold(priority: u8, delay: f64) -> f64 {
    let wanted = EVEN + URGENCY_STEP * (2.0 - f64::from(priority.min(4)));
    let room = ((FULL - delay) / (FULL - BUSY)).clamp(0.0, 1.0);
    wanted * room
}

/// Whether a request begins with the largest model, where its host has no repeat left for a second
/// answer; `doubt` is of a small model that was not asked yet.
///
/// The load this answers: hundreds of hosts with a few requests each. Repeats come by a host's own requests,
/// so that now and then it has none left while engines stand idle, and would have to pass a poor answer on.
/// The largest model costs more than it brings where requests are not urgent.
#[must_use]
pub fn begins_with_largest(doubt: &Doubt) -> bool {
    is_in_time(doubt) && doubt.delay < IDLE && threshold(doubt.priority, doubt.delay) > EVEN
}

fn is_in_time(doubt: &Doubt) -> bool {
    doubt.waited_ms + doubt.larger_ms <= doubt.objective_ms * IN_TIME
}

/// Whether the answer is dropped and a larger model asked.
#[must_use]
pub fn escalate(doubt: &Doubt) -> bool {
    let Some(confidence) = doubt.confidence else { return false };
    let in_time = is_in_time(doubt);
    // With room to spare a late right answer is still better than a poor one. But not one that is
    // late because of its own prompt: reading it would make others late as well.
    let has_room = doubt.delay < IDLE && doubt.read_ms < doubt.objective_ms * LONG;
    (in_time || has_room) && f64::from(confidence) < threshold(doubt.priority, doubt.delay)
}
