//! What became of requests, by the second in which their callers first sent them.

use policy::domain;

use crate::request::Outcome;

domain! {
    /// Counts of outcomes.
    #[derive(Copy, Default)]
    pub struct Counts {
        /// Answered in full and in time.
        pub in_time: u64,
        /// Answered in full, late.
        pub late: u64,
        /// Not run.
        pub rejected: u64,
        /// Broken off, or the caller left.
        pub failed: u64,
    }

    /// One run.
    #[derive(Default)]
    pub struct Tally {
        /// By second.
        pub seconds: Vec<Counts>,
        /// Requests that engines preempted.
        pub preempted: u64,
        /// Second tries that hosts sent.
        pub repeats: u64,
        /// Callers that came back.
        pub returns: u64,
        /// Requests that engines rejected.
        pub full: u64,
        /// Streams that callers left before their end.
        pub left: u64,
        /// Requests that engines worked off for callers that had left.
        pub wasted: u64,
    }
}

impl Counts {
    /// All of them.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.in_time + self.late + self.rejected + self.failed
    }

    /// Answered, in time or not.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.in_time + self.late
    }

    /// A part of all, from 0 to 1; 1 of none.
    #[must_use]
    pub fn share(&self, count: u64) -> f64 {
        if self.total() == 0 { 1.0 } else { count as f64 / self.total() as f64 }
    }

    /// One more.
    pub fn note(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::InTime => self.in_time += 1,
            Outcome::Late => self.late += 1,
            Outcome::Rejected => self.rejected += 1,
            Outcome::Failed => self.failed += 1,
        }
    }

    /// Both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            rejected: self.rejected + other.rejected,
            failed: self.failed + other.failed,
        }
    }
}

impl Tally {
    /// Of so many seconds.
    #[must_use]
    pub fn new(seconds: usize) -> Self {
        Self { seconds: vec![Counts::default(); seconds], ..Self::default() }
    }

    /// The whole run.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.seconds.iter().copied().fold(Counts::default(), Counts::plus)
    }

    /// Seconds from `end_s` until every request of a second is served, and of all that follow;
    /// none if some request of the last second was not.
    #[must_use]
    pub fn recovered_s(&self, end_s: f64) -> Option<f64> {
        self.holds_from(end_s, |counts| counts.served() == counts.total())
    }

    /// The same for 99 in 100 served in time.
    #[must_use]
    pub fn in_time_s(&self, end_s: f64) -> Option<f64> {
        self.holds_from(end_s, |counts| counts.share(counts.in_time) >= 0.99)
    }

    fn holds_from(&self, end_s: f64, holds: impl Fn(&Counts) -> bool) -> Option<f64> {
        let first = self.seconds.iter().rposition(|counts| !holds(counts)).map_or(0, |at| at + 1);
        (first < self.seconds.len()).then(|| (first as f64 - end_s).max(0.0))
    }
}
