//! How the runs of a request end that may be hedged.

use std::sync::Arc;
use std::time::Duration;

use crate::attempt::{Failure, Reply};
use crate::backend::Backend;

/// How a run ended.
pub enum Run {
    /// With an answer or a failure.
    Ended(Box<Result<Reply, Failure>>),
    /// It was dropped without an answer.
    Cancelled,
}

/// How the runs of a request ended.
pub struct Race {
    /// The first run.
    pub first: Run,
    /// The hedge, if one was sent, and its backend server.
    pub second: Option<(Arc<Backend>, Run)>,
    /// For how long the first run waited for memory of this host.
    pub memory_wait: Duration,
}

impl Race {
    /// A race whose first run ended before a hedge was sent.
    pub fn single(ended: Result<Reply, Failure>) -> Self {
        Self { first: Run::ended(ended), second: None, memory_wait: Duration::ZERO }
    }
}

impl Run {
    /// A run with this answer or failure.
    pub fn ended(result: Result<Reply, Failure>) -> Self {
        Self::Ended(Box::new(result))
    }

    /// Whether the run gave an answer that may be passed on without waiting for the other run's.
    pub fn is_answer(&self) -> bool {
        let is_good = |reply: &Reply| !reply.head.status.is_server_error();
        matches!(self, Self::Ended(ended) if ended.as_ref().as_ref().is_ok_and(is_good))
    }

    /// Why the run gave no answer, if it ended without one.
    pub fn failure(&self) -> Option<Failure> {
        match self {
            Self::Ended(ended) => ended.as_ref().as_ref().err().copied(),
            Self::Cancelled => None,
        }
    }

    /// How the run ended, for log lines.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Ended(_) if self.is_answer() => "answered",
            Self::Ended(_) => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}
