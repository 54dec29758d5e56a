//! Answers that should have begun by now.
//!
//! The load this answers: an engine is kept by prompts that this host was not told of, and by its
//! own calculation the engine is free. Requests sent there one after another would wait behind each
//! other for seconds. The host's own unanswered requests show it: one that should have begun and
//! has not waits for something unknown, and so will the next. Over counting known prompts alone it
//! gains 0.0044 ± 0.0017 of the payoff of days with faults (60 paired days).

use crate::domain;
use crate::time::Millis;

/// Lateness that says nothing, in milliseconds: an engine's step, the way there and back, and the
/// beginning of an answer take as long together.
const GRACE_MS: u64 = 30;

domain! {
    /// A request whose answer has not begun.
    #[derive(Copy)]
    struct Awaited {
        number: u64,
        due: Millis,
        rank: u8,
    }

    /// Requests at one engine whose answers have not begun.
    #[derive(Default)]
    pub struct Overdue {
        next: u64,
        awaited: Vec<Awaited>,
    }
}

impl Overdue {
    /// A request was sent whose answer should begin by `due`; `rank` is its place among those that
    /// the engine admits, 0 first. The number names it until its answer begins.
    pub fn sent(&mut self, due: Millis, rank: u8) -> u64 {
        self.next += 1;
        self.awaited.push(Awaited { number: self.next, due, rank });
        self.next
    }

    /// Its answer has begun, or is no longer waited for.
    pub fn ended(&mut self, number: u64) {
        self.awaited.retain(|awaited| awaited.number != number);
    }

    /// By how much answers are late that the engine must begin before one of this rank, in
    /// milliseconds.
    #[must_use]
    pub fn late_ms(&self, rank: u8, now: Millis) -> f64 {
        let ahead = self.awaited.iter().filter(|awaited| awaited.rank <= rank);
        let late = ahead.map(|awaited| now.since(awaited.due)).max().unwrap_or_default();
        late.saturating_sub(GRACE_MS) as f64
    }
}
