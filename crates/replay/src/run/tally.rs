//! The counts of a replay.

use std::collections::BTreeMap;

use policy::domain;
use policy::name::Name;

domain! {
    /// Counts for the requests of one task or of one client account.
    #[derive(Copy, Default)]
    pub struct Served {
        /// Requests answered in time.
        pub answered: u64,
        /// Requests answered in time with a good answer.
        pub good: u64,
        /// Requests that were refused, failed or answered late.
        pub refused: u64,
        /// Cost of all calls and ratings, including those for refused requests; 0 for accounts.
        pub cost: f64,
    }

    /// Calls of versions that had turned bad, by stage.
    #[derive(Copy, Default, Eq)]
    pub struct Exposure {
        /// Calls before any host's test had its verdict.
        pub test: u64,
        /// Calls after the first verdict, by hosts that had not yet stopped the version.
        pub spread: u64,
        /// Calls among these that were in flight when their host stopped the version.
        pub in_flight: u64,
        /// Rated answers of the bad version until the verdict.
        pub rated: u64,
    }

    /// Why requests got no answer in time.
    #[derive(Copy, Default, Eq)]
    pub struct Refusals {
        /// The account was over its limit.
        pub limit: u64,
        /// The pool could not have answered in time, or no server accepted the call.
        pub overload: u64,
        /// Evicted from a queue: the queue was full, or the answer would have come too late.
        pub evicted: u64,
        /// The backend server crashed, and the request could not be retried.
        pub broken: u64,
        /// Answered after its deadline.
        pub late: u64,
        /// The version was stopped that the session was pinned to, or that the request waited for.
        pub session_ended: u64,
        /// No version was available for the request.
        pub no_version: u64,
    }

    /// All counts of one replay.
    #[derive(Default)]
    pub struct Tally {
        /// Counts by task.
        pub tasks: BTreeMap<Name, Served>,
        /// Counts by client account.
        pub accounts: BTreeMap<Name, Served>,
        /// Indices in the trace of the requests answered in time.
        pub answered: Vec<usize>,
        /// Time from arrival to answer of each request answered in time, in milliseconds.
        pub times: Vec<u64>,
        /// Cost of all calls and ratings.
        pub cost: f64,
        /// Cost of all ratings, which `cost` includes.
        pub rate_cost: f64,
        /// Number of rated answers.
        pub rated: u64,
        /// Calls of versions that had turned bad, by stage.
        pub exposure: Exposure,
        /// Number of good versions that a test stopped.
        pub false_alarms: u64,
        /// Number of refused, failed or late requests by reason.
        pub refusals: Refusals,
        /// Time that each call waited at its backend server, in milliseconds.
        pub server_waits: Vec<u64>,
        /// Roll-out share of each candidate at the end of the replay.
        pub shares: BTreeMap<Name, f64>,
        /// Calls of versions that the client account may not use; must stay 0.
        pub violations: u64,
    }
}

impl Tally {
    /// Adds the cost of a call or a rating for a task.
    pub fn spend(&mut self, task: &Name, cost: f64) {
        self.cost += cost;
        self.tasks.entry(task.clone()).or_default().cost += cost;
    }

    /// Returns the share of all requests that got no answer in time, 0 to 1.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        let refused: u64 = self.accounts.values().map(|served| served.refused).sum();
        let all = refused + self.answered.len() as u64;
        refused as f64 / all.max(1) as f64
    }

    /// Returns the share of good answers among all answers in time; 0 if there is no answer.
    #[must_use]
    pub fn quality(&self) -> f64 {
        let good: u64 = self.tasks.values().map(|served| served.good).sum();
        good as f64 / self.answered.len().max(1) as f64
    }

    /// Returns the time within which `share` (0 to 1) of all answers came, in milliseconds.
    #[must_use]
    pub fn percentile(&self, share: f64) -> u64 {
        percentile(&self.times, share)
    }
}

impl Served {
    /// Returns the share of good answers among the answers in time; 1 if there is no answer.
    #[must_use]
    pub fn quality(&self) -> f64 {
        match self.answered {
            0 => 1.0,
            answered => self.good as f64 / answered as f64,
        }
    }

    /// Returns the share of requests that were refused, failed or answered late, 0 to 1.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / (self.answered + self.refused).max(1) as f64
    }
}

/// Returns the smallest value that at least `share` (0 to 1) of all values don't exceed; 0 if
/// `values` is empty.
#[must_use]
pub fn percentile(values: &[u64], share: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}
