//! Which requests a process that was told to stop still passes on.
//!
//! At the end of its time a process cuts off what is not answered yet. A caller whose request was
//! passed on can't know then whether it has run. A refusal that says that it has not costs the
//! caller little: another host takes it.

/// Time after the signal in which the load balancer still sends callers, in milliseconds.
const EARLY_MS: u64 = 3_000;
/// How many times its usual time an answer may take.
const USUAL_FACTOR: f64 = 3.0;
/// Time before the end from which requests that are still unanswered get a final answer, in
/// milliseconds.
pub const ANSWER_RESERVE_MS: u64 = 400;

/// A request that is about to be sent to a server for the first time.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// How long its caller waits for the answer, in milliseconds.
    pub patience_ms: u64,
    /// How long requests of its kind usually take, in milliseconds; none if that is not known.
    pub usual_ms: Option<f64>,
    /// Whether it may run again if its answer is lost.
    pub may_repeat: bool,
}

/// Whether a request is passed on `since_ms` after the signal, with `left_ms` until the end.
#[must_use]
pub fn admits(request: &Request, since_ms: u64, left_ms: u64) -> bool {
    match () {
        () if request.patience_ms <= left_ms => true,
        () if since_ms >= EARLY_MS => false,
        () if request.may_repeat => true,
        () => request.usual_ms.is_some_and(|usual| usual * USUAL_FACTOR <= left_ms as f64),
    }
}
