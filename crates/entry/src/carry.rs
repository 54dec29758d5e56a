//! Carries a request to a backend server that answers it: the one loop of the data plane.
//!
//! Chat completions, calls of plain services, routed requests and streams that go on elsewhere
//! differ in which server is next, in what must be done before the first byte goes out, and in
//! what counts as an answer. That a server is tried after another, that a failure is laid at
//! somebody's door before the next try, and that nothing is tried without leave, is the same for
//! all of them and stands here.

use wire::refusal::Refusal;

/// What one try came to.
pub enum Step<A, F> {
    /// An answer that the caller gets.
    Answered(A),
    /// An answer that is dropped for a better one.
    Dropped,
    /// No answer.
    Failed(F),
    /// The request is not to be tried any more.
    Refused(Refusal),
}

/// A request as the loop sees it.
pub trait Request: Send {
    /// Where a try goes.
    type Server: Send + Sync;
    /// What the caller gets.
    type Answer: Send;
    /// Why a try gave no answer.
    type Failure: Send;

    /// The server that is tried next; none if there is none.
    fn choose(&mut self) -> Option<Self::Server>;

    /// Makes one try.
    fn attempt(
        &mut self,
        server: &Self::Server,
    ) -> impl Future<Output = Step<Self::Answer, Self::Failure>> + Send;

    /// A try failed: who is to blame, and what is known of the request now.
    fn record_failure(&mut self, server: &Self::Server, failure: Self::Failure);

    /// Whether another try may be made. It must not be one that could run a request twice which
    /// may run once only, and what it costs is paid here.
    fn may_retry(&mut self) -> bool;

    /// What the caller gets when nothing more is tried.
    ///
    /// # Errors
    /// A refusal; one that says "not run" only if no server can have run the request.
    fn give_up(&mut self) -> Result<Self::Answer, Refusal>;
}

/// Tries one server after another.
///
/// # Errors
/// The refusal of the request itself, see [`Request::give_up`] and [`Step::Refused`].
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
