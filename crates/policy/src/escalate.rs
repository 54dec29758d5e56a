//! Escalation from a small to a larger model, where the router chooses the model.
//!
//! A small model answers first. An engine reports its confidence with the head of the answer,
//! before the caller has received anything, so an answer of low confidence can be dropped and a
//! larger model asked instead. That costs the small model's reading of the prompt and little else.
//!
//! At peak load the engines can't serve every request with the large model. The confidence required
//! is lowered then, because late answers for all callers are worse than a few poor answers.

use crate::domain;

/// Confidence at which an answer is assumed to be as likely right as wrong. A measurement on one
/// deployment supports this: of 196 answers the large model reported less than 40 for 3, and the
/// small model reported 50 or more for about half, which is near its share of right answers.
const EVEN_ODDS_CONFIDENCE: f64 = 50.0;
/// Confidence by which the threshold falls for each step to a less urgent priority: the large
/// model's cost weighs more where an answer is worth less.
const CONFIDENCE_PER_PRIORITY: f64 = 5.0;
/// Latest start of a larger model's answer that counts as in time, as a fraction of the objective.
const IN_TIME_FRACTION: f64 = 0.9;
/// [`Doubt::delay`] from which the confidence threshold is lowered.
const BUSY_DELAY_FRACTION: f64 = 0.25;
/// [`Doubt::delay`] below which a larger model is asked even if its answer will be late.
const IDLE_DELAY_FRACTION: f64 = 0.2;
/// Reading time from which a prompt counts as long, as a fraction of the objective.
const LONG_READ_FRACTION: f64 = 0.4;
/// [`Doubt::delay`] from which no answer is escalated.
const FULL_DELAY_FRACTION: f64 = 0.6;

domain! {
    /// What is known about a request when a small model's answer begins.
    #[derive(Copy)]
    pub struct Doubt {
        /// The small model's confidence in its answer, 0 to 100; `None` if it reported none or has
        /// not been asked.
        pub confidence: Option<u8>,
        /// Urgency of the request; 0 is the most urgent.
        pub priority: u8,
        /// Time since the request arrived, in milliseconds.
        pub waited_ms: f64,
        /// Expected time until the larger model's answer would begin, in milliseconds.
        pub larger_ms: f64,
        /// Expected time that the larger model takes to read the prompt, in milliseconds; part of
        /// `larger_ms`.
        pub read_ms: f64,
        /// Time from the request's arrival within which its answer should begin, in milliseconds.
        pub objective_ms: f64,
        /// Recent mean time until callers' answers begin, as a fraction of the objective. Slots in
        /// use would say little: engines run short of time for prompts long before their slots are
        /// full.
        pub delay: f64,
    }
}

/// Confidence below which a larger model is asked, 0 to 100.
#[must_use]
pub fn threshold(priority: u8, delay: f64) -> f64 {
    let unloaded =
        EVEN_ODDS_CONFIDENCE + CONFIDENCE_PER_PRIORITY * (2.0 - f64::from(priority.min(4)));
    let headroom = ((FULL_DELAY_FRACTION - delay) / (FULL_DELAY_FRACTION - BUSY_DELAY_FRACTION))
        .clamp(0.0, 1.0);
    unloaded * headroom
}

/// Whether to ask the largest model first, for a host that has no repeat left to replace a small
/// model's answer.
///
/// A host earns repeats with its own requests. Where hundreds of hosts have a few requests each, a
/// host sometimes has none left while engines are idle, and would have to return a poor answer. For
/// requests that are not urgent the largest model costs more than it is worth.
#[must_use]
pub fn should_start_with_largest(doubt: &Doubt) -> bool {
    is_in_time(doubt)
        && doubt.delay < IDLE_DELAY_FRACTION
        && threshold(doubt.priority, doubt.delay) > EVEN_ODDS_CONFIDENCE
}

fn is_in_time(doubt: &Doubt) -> bool {
    doubt.waited_ms + doubt.larger_ms <= doubt.objective_ms * IN_TIME_FRACTION
}

/// What to do with a small model's answer, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Pass it on: no confidence was reported, or it reaches the threshold at the present load.
    Keep,
    /// Pass it on although the confidence is low: the larger model's answer would come too late.
    Late,
    /// Drop it and ask a larger model.
    Escalate,
}

/// Decides whether to drop the small model's answer and ask a larger model.
#[must_use]
pub fn decide(doubt: &Doubt) -> Verdict {
    let threshold = threshold(doubt.priority, doubt.delay);
    // While engines are idle, a right answer that comes late is still better than a poor one. This
    // doesn't hold if its own long prompt makes it late: reading the prompt would delay others too.
    let has_capacity = doubt.delay < IDLE_DELAY_FRACTION
        && doubt.read_ms < doubt.objective_ms * LONG_READ_FRACTION;
    match doubt.confidence {
        None => Verdict::Keep,
        Some(confidence) if f64::from(confidence) >= threshold => Verdict::Keep,
        Some(_) if is_in_time(doubt) || has_capacity => Verdict::Escalate,
        Some(_) => Verdict::Late,
    }
}
