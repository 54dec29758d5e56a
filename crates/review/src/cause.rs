//! Why an answer was late.

use policy::domain;

use crate::request::Request;

/// A backend server's answer counts as later than expected from this much on, in milliseconds.
/// Below it the difference is the step of an engine's batch.
const UNEXPECTED_DELAY_MS: u64 = 300;

domain! {
    /// What made an answer late; where several things did, the first of them in this order.
    #[derive(Copy, Eq, Ord, PartialOrd)]
    #[serde(rename_all = "snake_case")]
    pub enum Cause {
        /// The first event came in time, and a pause behind it was too long.
        Pause,
        /// It was sent again: a backend server had failed, or had been left for its silence.
        SentAgain,
        /// A smaller model's answer was dropped, and the larger one's came within its own time.
        Lifted,
        /// A connection did not open.
        Unsent,
        /// The backend server took longer than was expected when it was chosen.
        LongerThanExpected,
        /// It was expected to be late when it was sent: its own prompt, or what was ahead of it.
        ExpectedLate,
        /// None of these: it waited before it was sent.
        Unsorted,
    }
}

/// Why a late answer was late.
#[must_use]
pub fn classify(request: &Request) -> Cause {
    let intended_attempts = 1 + u64::from(request.is_lifted);
    let is_longer_than_expected = request.head_ms > request.expected_ms + UNEXPECTED_DELAY_MS;
    match () {
        () if request.first_ms <= request.objective_ms => Cause::Pause,
        () if request.sent > intended_attempts => Cause::SentAgain,
        () if request.is_lifted && request.head_ms <= request.objective_ms => Cause::Lifted,
        () if request.unsent > 0 => Cause::Unsent,
        () if is_longer_than_expected => Cause::LongerThanExpected,
        () if request.expected_ms > request.objective_ms => Cause::ExpectedLate,
        () => Cause::Unsorted,
    }
}
