//! The attempt loop of the data plane: sends a request to one backend server after another until
//! one answers it.
//!
//! Chat completions, calls of plain services, routed requests and streams that are resumed at
//! another server differ in how the next server is chosen, in what must be done before the first
//! byte goes out, and in what counts as an answer. The loop is the same for all of them: servers
//! are attempted one at a time, a failure is attributed before the next attempt, and no further
//! attempt is made unless [`Request::may_retry`] allows it.

use wire::refusal::Refusal;

/// The result of one attempt.
pub enum Step<A, F> {
    /// The backend server gave the answer that the caller gets.
    Answered(A),
    /// The backend server answered, but the answer was discarded to look for a better one.
    Dropped,
    /// The attempt gave no answer.
    Failed(F),
    /// The request itself is refused, and no other backend server is attempted.
    Refused(Refusal),
}

/// A request that [`carry`] sends to backend servers.
pub trait Request: Send {
    /// The backend server of an attempt.
    type Server: Send + Sync;
    /// The answer for the caller.
    type Answer: Send;
    /// Why an attempt gave no answer.
    type Failure: Send;

    /// Chooses the backend server of the next attempt; `None` ends the loop with
    /// [`Request::give_up`].
    fn choose(&mut self) -> Option<Self::Server>;

    /// Makes one attempt at a backend server.
    fn attempt(
        &mut self,
        server: &Self::Server,
    ) -> impl Future<Output = Step<Self::Answer, Self::Failure>> + Send;

    /// Records a failed attempt: attributes it, and notes whether the request may have run.
    fn record_failure(&mut self, server: &Self::Server, failure: Self::Failure);

    /// Whether another attempt may be made. Returns false if it could run a request twice that may
    /// run only once. Takes the cost of the attempt from the retry budget.
    fn may_retry(&mut self) -> bool;

    /// The result for the caller when no further attempt is made.
    ///
    /// # Errors
    /// The refusal for the caller. It says "not run" only if no server can have run the request.
    fn give_up(&mut self) -> Result<Self::Answer, Refusal>;
}

/// Attempts one backend server after another until one answers or no further attempt is allowed.
///
/// # Errors
/// The refusal of [`Step::Refused`] or of [`Request::give_up`].
pub async fn carry<R: Request>(request: &mut R) -> Result<R::Answer, Refusal> {
    loop {
        let Some(server) = request.choose() else { return request.give_up() };
        match request.attempt(&server).await {
            Step::Answered(answer) => return Ok(answer),
            Step::Refused(refusal) => return Err(refusal),
            Step::Dropped => {}
            Step::Failed(failure) => request.record_failure(&server, failure),
        }
        if !request.may_retry() {
            return request.give_up();
        }
    }
}
