//! Records of the requests that a backend server received, and how each run ended.

use std::sync::{Arc, Mutex, PoisonError};

use policy::domain;
use policy::name::Name;

domain! {
    /// State of a run, or how it ended.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// The run has not ended yet.
        Running,
        /// The whole answer was sent.
        Whole,
        /// The caller closed the connection before the whole answer was sent.
        Cancelled,
        /// A fault cut the connection.
        Cut,
        /// The request was answered with an error after it began to run.
        Failed,
        /// The request was rejected and did not run.
        Refused,
    }

    /// A request that a backend server received.
    pub struct Run {
        /// Number of the request in the order of arrival, from 0.
        pub order: u64,
        /// Value of the request's header `x-request-id`.
        pub request: Name,
        /// The version that the request asked for; for a plain service the service's name.
        pub version: Name,
        /// Method and path of the request.
        pub call: Name,
        /// Digest of the user's prompt; for a plain service of the request's body.
        pub digest: Name,
        /// Whether the answer is good.
        pub good: bool,
        /// State of the run, or how it ended.
        pub outcome: Outcome,
    }
}

impl Run {
    /// Whether the request began to run, so that it may have had an effect.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.outcome != Outcome::Refused
    }
}

/// The records of one backend server.
#[derive(Default)]
pub struct Log(Mutex<Vec<Run>>);

impl Log {
    /// Copies of all records, in the order of arrival.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records a request that has arrived, and sets [`Run::order`].
    #[must_use]
    pub fn begin(self: &Arc<Self>, run: Run) -> Guard {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let order = runs.len() as u64;
        runs.push(Run { order, ..run });
        Guard { log: Arc::clone(self), order, has_ended: false }
    }

    /// The record before that of number `order`, for a fault that mixes up answers; `None` for the
    /// first request.
    #[must_use]
    pub fn previous(&self, order: u64) -> Option<Run> {
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

/// A run that has not ended. The server drops it when the caller goes away, which records
/// [`Outcome::Cancelled`].
pub struct Guard {
    log: Arc<Log>,
    /// Number of the run, see [`Run::order`].
    pub order: u64,
    has_ended: bool,
}

impl Guard {
    /// Records how the run ended.
    pub fn end(&mut self, outcome: Outcome) {
        self.log.end(self.order, outcome);
        self.has_ended = true;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.has_ended {
            self.log.end(self.order, Outcome::Cancelled);
        }
    }
}
