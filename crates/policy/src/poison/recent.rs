//! Requests that were answered lately.
//!
//! Some requests come all the time, all alike: a question for a state, with no body. When many servers
//! end at once such a request is lost with each of them, and only its answers a moment before tell
//! that it is a victim.

use std::collections::HashMap;

use super::Digest;
use crate::time::Millis;

/// Answers kept in each half. Those that matter come often, and are among the newest.
const HALF_MAX: usize = 2_048;

/// The newest answers, in two halves: the older one is dropped when the newer one is full.
#[derive(Clone, Debug, Default)]
pub struct RecentAnswers {
    newer: HashMap<Digest, Millis>,
    older: HashMap<Digest, Millis>,
}

impl RecentAnswers {
    /// A server has answered a request.
    pub fn record_answer(&mut self, digest: Digest, now: Millis) {
        if self.newer.len() >= HALF_MAX && !self.newer.contains_key(&digest) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(digest, now);
    }

    /// When a server last answered a request, if that is known.
    #[must_use]
    pub fn answered_at(&self, digest: Digest) -> Option<Millis> {
        self.newer.get(&digest).or_else(|| self.older.get(&digest)).copied()
    }
}
