//! Retries and hedges: how many, and of which requests.
//!
//! Both are paid from one budget, which first attempts fill. Without it a slow pool would get more
//! work the slower it is, and a short fault would be prolonged by its own retries.

use crate::domain;

/// Retries allowed per first attempt.
pub const RETRY_SHARE: f64 = 0.1;
/// Most retries that a budget holds, so that this many may come at once after a quiet time.
pub const RETRY_BURST_MAX: f64 = 10.0;

domain! {
    /// Retries that one client account or pool may still make.
    #[derive(Copy)]
    pub struct Budget {
        /// Retries left; fractions add up until one is whole.
        tokens: f64,
    }

    /// What is known of an attempt that failed or is slow.
    #[derive(Copy, Eq, Default)]
    pub struct Attempt {
        /// Whether the request may run more than once.
        pub may_repeat: bool,
        /// Whether the first byte of the request was written to a backend server.
        pub first_byte_written: bool,
        /// Whether the first byte of an answer was passed on to the caller.
        pub answer_begun: bool,
        /// How much longer the caller waits, in milliseconds.
        pub left_ms: u64,
        /// How long another attempt is expected to take, in milliseconds.
        pub expected_ms: u64,
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: RETRY_BURST_MAX }
    }
}

impl Budget {
    /// Adds the share of a retry that one first attempt pays for.
    pub fn fill(&mut self) {
        self.tokens = (self.tokens + RETRY_SHARE).min(RETRY_BURST_MAX);
    }

    /// Whether a whole retry is left.
    #[must_use]
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a retry and returns true, if one is left.
    pub fn take(&mut self) -> bool {
        let has_token = self.has_token();
        self.tokens -= if has_token { 1.0 } else { 0.0 };
        has_token
    }
}

/// Takes one retry from both budgets, or from neither if one of them is empty.
pub fn take_from_both(account: &mut Budget, pool: &mut Budget) -> bool {
    account.has_token() && pool.has_token() && account.take() && pool.take()
}

/// Whether a failed attempt may be followed by one on another backend server.
///
/// Once a byte was written, a request that must not be repeated may have run. Another attempt could
/// run it twice, so none is made.
#[must_use]
pub fn may_retry_elsewhere(attempt: &Attempt) -> bool {
    let cannot_double = attempt.may_repeat || !attempt.first_byte_written;
    cannot_double && !attempt.answer_begun && attempt.expected_ms <= attempt.left_ms
}

/// Whether a slow attempt may be joined by a second one.
///
/// A hedge runs beside the first attempt, so only requests that may be repeated are hedged.
#[must_use]
pub fn may_hedge(attempt: &Attempt, waited_ms: u64, usual_ms: u64) -> bool {
    attempt.may_repeat
        && !attempt.answer_begun
        && waited_ms >= usual_ms
        && attempt.expected_ms <= attempt.left_ms
}
