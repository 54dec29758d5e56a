//! Second tries and hedges: how many, and of which requests.
//!
//! Both are paid from one budget that first tries fill. Without it a slow pool would get more
//! work the slower it is, and a short fault would be kept up by its own retries.

use crate::domain;

/// Second tries allowed for each first try.
pub const SHARE: f64 = 0.1;
/// Second tries that may come at once after a quiet time.
pub const BURST: f64 = 10.0;

domain! {
    /// Second tries of one client account or pool that are still allowed.
    #[derive(Copy)]
    pub struct Budget {
        /// Second tries left.
        tokens: f64,
    }

    /// What is known of a try that failed or is slow.
    #[derive(Copy, Eq, Default)]
    pub struct Attempt {
        /// Whether the request may run more than once.
        pub may_repeat: bool,
        /// Whether its first byte was written to a backend server.
        pub first_byte_written: bool,
        /// Whether the first byte of an answer was passed on to the caller.
        pub answer_begun: bool,
        /// Milliseconds that the caller still waits.
        pub left_ms: u64,
        /// Milliseconds that another try is expected to take.
        pub expected_ms: u64,
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: BURST }
    }
}

impl Budget {
    /// A first try was made.
    pub fn fill(&mut self) {
        self.tokens = (self.tokens + SHARE).min(BURST);
    }

    /// Whether a second try is left.
    #[must_use]
    pub fn has_one(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a second try, if one is left.
    pub fn take(&mut self) -> bool {
        let left = self.has_one();
        self.tokens -= if left { 1.0 } else { 0.0 };
        left
    }
}

/// Takes one second try from both budgets, or from none of them.
pub fn take_both(account: &mut Budget, pool: &mut Budget) -> bool {
    account.has_one() && pool.has_one() && account.take() && pool.take()
}

/// Whether a failed try may be made again on another backend server.
///
/// Once a byte was written, a request that may not be repeated may have run: a second try could
/// double it, so it is never made.
#[must_use]
pub fn may_try_elsewhere(attempt: &Attempt) -> bool {
    let cannot_double = attempt.may_repeat || !attempt.first_byte_written;
    cannot_double && !attempt.answer_begun && attempt.expected_ms <= attempt.left_ms
}

/// Whether a slow try may be joined by a second one, on a new connection.
///
/// A hedge runs beside the first try, so only requests that may be repeated are hedged.
#[must_use]
pub fn may_hedge(attempt: &Attempt, waited_ms: u64, usual_ms: u64) -> bool {
    attempt.may_repeat
        && !attempt.answer_begun
        && waited_ms >= usual_ms
        && attempt.expected_ms <= attempt.left_ms
}
