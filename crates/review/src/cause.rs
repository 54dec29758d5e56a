//! Causes of late answers.

use policy::domain;

use crate::request::Request;

/// Delay over the expected time above which a backend server counts as slower than expected.
/// Smaller differences come from the steps in which an inference engine runs its batch.
const UNEXPECTED_DELAY_MS: u64 = 300;

domain! {
    /// Why an answer was late. If several causes apply, the first in this order counts.
    #[derive(Copy, Eq, Ord, PartialOrd)]
    #[serde(rename_all = "snake_case")]
    pub enum Cause {
        /// The answer began in time, but a later pause between two events was too long.
        Pause,
        /// The request was sent again, because a backend server failed or was given up as silent.
        SentAgain,
        /// The answer of a smaller model was dropped; the larger model then answered within the
        /// objective, counted from its own attempt.
        Lifted,
        /// A connection to a backend server did not open in time.
        Unsent,
        /// The backend server took longer than expected when the router chose it.
        LongerThanExpected,
        /// The answer was expected to be late when the request was sent, because of the length of
        /// its prompt or the requests ahead of it.
        ExpectedLate,
        /// The request waited on the host while all servers were full, and would have been in time
        /// otherwise.
        Waited,
        /// No other cause applies: the request waited before it was sent.
        Unsorted,
    }
}

/// Finds the cause of a late answer. Meaningful only for requests whose outcome is `Late`.
#[must_use]
pub fn classify(request: &Request) -> Cause {
    let intended_attempts = 1 + u64::from(request.is_lifted) + u64::from(request.is_hedged);
    let is_longer_than_expected = request.head_ms > request.expected_ms + UNEXPECTED_DELAY_MS;
    match () {
        () if request.first_ms <= request.objective_ms => Cause::Pause,
        () if request.sent > intended_attempts => Cause::SentAgain,
        () if request.is_lifted && request.head_ms <= request.objective_ms => Cause::Lifted,
        () if request.unsent > 0 => Cause::Unsent,
        () if is_longer_than_expected => Cause::LongerThanExpected,
        () if request.expected_ms > request.objective_ms => Cause::ExpectedLate,
        () if request.waited_ms > 0
            && request.first_ms.saturating_sub(request.waited_ms) <= request.objective_ms =>
        {
            Cause::Waited
        }
        () => Cause::Unsorted,
    }
}
