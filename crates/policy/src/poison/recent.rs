//! Cache of recently answered requests.
//!
//! Some requests arrive continuously and are all alike, such as a status query without a body. When
//! many servers end at once, such a request is lost with each of them, and only its answers shortly
//! before show that it is a victim.

use std::collections::HashMap;

use super::Digest;
use crate::time::Millis;

/// Most answers kept in each half of the cache. The requests that matter are frequent, so their
/// answers are among the newest.
const HALF_MAX: usize = 2_048;

/// Times of the newest answers, in two halves: the older half is dropped when the newer one is
/// full.
#[derive(Clone, Debug, Default)]
pub struct RecentAnswers {
    newer: HashMap<Digest, Millis>,
    older: HashMap<Digest, Millis>,
}

impl RecentAnswers {
    /// Records that a server has answered a request.
    pub fn record_answer(&mut self, digest: Digest, now: Millis) {
        if self.newer.len() >= HALF_MAX && !self.newer.contains_key(&digest) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(digest, now);
    }

    /// When a server last answered a request; none if there is no recent answer.
    #[must_use]
    pub fn answered_at(&self, digest: Digest) -> Option<Millis> {
        self.newer.get(&digest).or_else(|| self.older.get(&digest)).copied()
    }
}
