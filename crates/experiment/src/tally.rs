//! Outcomes of requests, by the second in which callers first sent them.

use policy::domain;

use crate::request::Outcome;

domain! {
    /// Number of requests by outcome.
    #[derive(Copy, Default)]
    pub struct Counts {
        /// Requests answered in full and in time.
        pub in_time: u64,
        /// Requests answered in full, but late.
        pub late: u64,
        /// Requests rejected without having run.
        pub rejected: u64,
        /// Requests interrupted, abandoned by their callers, or still open at the end of the run.
        pub failed: u64,
    }

    /// Results of one run.
    #[derive(Default)]
    pub struct Tally {
        /// Outcomes by the second in which callers first sent the requests.
        pub seconds: Vec<Counts>,
        /// Number of preemptions in engines.
        pub preempted: u64,
        /// Number of retries that hosts sent.
        pub repeats: u64,
        /// Number of times that callers came back after a rejection or failure.
        pub returns: u64,
        /// Number of attempts that engines rejected because they had no room.
        pub full: u64,
        /// Number of requests that callers abandoned before the answer's end.
        pub left: u64,
        /// Number of requests that engines completed after nobody waited for them any more.
        pub wasted: u64,
    }
}

impl Counts {
    /// Number of requests of every outcome.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.in_time + self.late + self.rejected + self.failed
    }

    /// Number of requests answered in full, in time or late.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.in_time + self.late
    }

    /// Fraction that `count` is of all requests, from 0 to 1; 1 if there are none.
    #[must_use]
    pub fn share(&self, count: u64) -> f64 {
        if self.total() == 0 { 1.0 } else { count as f64 / self.total() as f64 }
    }

    /// Counts one request with its outcome.
    pub fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::InTime => self.in_time += 1,
            Outcome::Late => self.late += 1,
            Outcome::Rejected => self.rejected += 1,
            Outcome::Failed => self.failed += 1,
        }
    }

    /// Sum of both counts.
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
    /// Creates an empty tally of the given length in seconds.
    #[must_use]
    pub fn new(seconds: usize) -> Self {
        Self { seconds: vec![Counts::default(); seconds], ..Self::default() }
    }

    /// Outcomes of the whole run.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.seconds.iter().copied().fold(Counts::default(), Counts::plus)
    }

    /// Seconds from `end_s` until every request of that second and of all later ones is served;
    /// `None` if some request of the last second was not.
    #[must_use]
    pub fn recovered_s(&self, end_s: f64) -> Option<f64> {
        self.seconds_until(end_s, |counts| counts.served() == counts.total())
    }

    /// Seconds from `end_s` until at least 99 % of the requests of that second and of each later
    /// one are served in time; `None` if the last second falls short.
    #[must_use]
    pub fn in_time_s(&self, end_s: f64) -> Option<f64> {
        self.seconds_until(end_s, |counts| counts.share(counts.in_time) >= 0.99)
    }

    fn seconds_until(&self, end_s: f64, holds: impl Fn(&Counts) -> bool) -> Option<f64> {
        let first = self.seconds.iter().rposition(|counts| !holds(counts)).map_or(0, |at| at + 1);
        (first < self.seconds.len()).then(|| (first as f64 - end_s).max(0.0))
    }
}
