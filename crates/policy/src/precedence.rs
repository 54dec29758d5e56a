//! Rank of a request in the order in which an engine reads the prompts that wait there.
//!
//! An overloaded engine may have prompts waiting that take three milliseconds to read, and others
//! that take two seconds. It reads one prompt at a time without interruption, so each prompt delays
//! all later ones by its own reading time. A short prompt read first costs a long one almost
//! nothing, while a long prompt read first makes the short one late. An order by the urgency of
//! routes alone ignores this.

/// Rank of the most urgent new request with the shortest prompt. Requests that were sent before,
/// and have waited already, rank lower and are read earlier.
const NEW_RANK: u8 = 3;
/// Highest rank that engines support; read last.
const RANK_MAX: u8 = 9;
/// Reading times, in milliseconds, each of which raises the rank by one when reached. They span
/// from an engine's step to the objective of short answers, each four times the previous one, so
/// that a prompt waits only for prompts of equal rank that are at most four times as long as
/// itself.
const READ_STEPS_MS: [f64; 4] = [15.0, 60.0, 250.0, 1_000.0];
/// Maximum rank added for low urgency. More would read a long urgent prompt before a short prompt
/// of another route, which would be late.
const PRIORITY_STEPS_MAX: u8 = 2;

/// Properties of a waiting request that determine its rank.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// Time that the engine takes to read the request's prompt, in milliseconds.
    pub read_ms: f64,
    /// Urgency of the request; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request was sent before, so that work was already spent on it.
    pub is_repeat: bool,
    /// Whether the caller has received part of the answer. A pause in an answer counts as late
    /// sooner than its start does.
    pub is_resumed: bool,
}

/// Rank of a request; the lowest is read first.
#[must_use]
pub fn rank(request: &Request) -> u8 {
    let length_steps = READ_STEPS_MS.iter().filter(|step| request.read_ms >= **step).count() as u8;
    let penalty = length_steps + request.priority.min(PRIORITY_STEPS_MAX);
    let bonus = u8::from(request.is_repeat) + u8::from(request.is_resumed);
    (NEW_RANK + penalty - bonus).min(RANK_MAX)
}
