//! Records of what a backend server was asked to run, and how each run ended.

use std::sync::{Arc, Mutex, PoisonError};

use policy::domain;
use policy::name::Name;

domain! {
    /// How a run stands.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// Under way.
        Running,
        /// The whole answer was handed over.
        Whole,
        /// The caller went away before that.
        Cancelled,
        /// Cut by a fault.
        Cut,
        /// Answered with an error after it began.
        Failed,
        /// Turned away: no run began.
        Refused,
    }

    /// One request received.
    pub struct Run {
        /// 0, 1, 2 … in the order received.
        pub order: u64,
        /// The `x-request-id` it came with.
        pub request: Name,
        /// The version it asked for; the service's name for a plain service.
        pub version: Name,
        /// Method and path.
        pub call: Name,
        /// Digest of the user's prompt, or of a plain service's body.
        pub digest: Name,
        /// Whether the answer was a good one.
        pub good: bool,
        /// How it stands.
        pub outcome: Outcome,
    }
}

impl Run {
    /// Whether it had, or may have had, an effect.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.outcome != Outcome::Refused
    }
}

/// The records of one stand-in.
#[derive(Default)]
pub struct Log(Mutex<Vec<Run>>);

impl Log {
    /// Copies of all records.
    #[must_use]
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records a request as it comes in; its number is filled in here.
    #[must_use]
    pub fn begin(self: &Arc<Self>, run: Run) -> Guard {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let order = runs.len() as u64;
        runs.push(Run { order, ..run });
        Guard { log: Arc::clone(self), order, ended: false }
    }

    /// The request id received last before a number, for an answer that goes to the wrong request.
    #[must_use]
    pub fn before(&self, order: u64) -> Option<Run> {
        let runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let index = usize::try_from(order).ok()?.checked_sub(1)?;
        runs.get(index).cloned()
    }

    fn end(&self, order: u64, outcome: Outcome) {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let found = usize::try_from(order).ok().and_then(|index| runs.get_mut(index));
        if let Some(run) = found {
            run.outcome = outcome;
        }
    }
}

/// A run under way: dropping it, as the server does when the caller is gone, records a
/// cancellation.
pub struct Guard {
    log: Arc<Log>,
    /// The run's number.
    pub order: u64,
    ended: bool,
}

impl Guard {
    /// Records how the run ended.
    pub fn end(&mut self, outcome: Outcome) {
        self.log.end(self.order, outcome);
        self.ended = true;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.ended {
            self.log.end(self.order, Outcome::Cancelled);
        }
    }
}
