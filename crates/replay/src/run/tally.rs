//! What a replay counts.

use std::collections::BTreeMap;

use policy::domain;
use policy::name::Name;

domain! {
    /// Requests of one task, or of one client account.
    #[derive(Copy, Default)]
    pub struct Served {
        /// Answered in time.
        pub answered: u64,
        /// Of these, with a good answer.
        pub good: u64,
        /// Refused, failed or late.
        pub refused: u64,
        /// Cost of all calls and ratings, those of refused requests too.
        pub cost: f64,
    }

    /// Requests that reached versions turned bad, in parts.
    #[derive(Copy, Default, Eq)]
    pub struct Exposure {
        /// Until the test of any host had its verdict.
        pub test: u64,
        /// From then until all hosts had stopped.
        pub spread: u64,
        /// Of all these, calls that were still under way when their host stopped.
        pub in_flight: u64,
        /// Rated answers that the verdict took.
        pub rated: u64,
    }

    /// Why requests got no answer in time.
    #[derive(Copy, Default, Eq)]
    pub struct Refusals {
        /// Over the account's limit.
        pub limit: u64,
        /// The pool could not answer in time.
        pub overload: u64,
        /// Gave way in a full queue, or could not be answered in time any more.
        pub evicted: u64,
        /// The backend server went, and it could not be tried again.
        pub broken: u64,
        /// Answered after its deadline.
        pub late: u64,
        /// Its session's version was stopped.
        pub session_ended: u64,
        /// No version to run on.
        pub no_version: u64,
    }

    /// Everything.
    #[derive(Default)]
    pub struct Tally {
        /// By task.
        pub tasks: BTreeMap<Name, Served>,
        /// By client account.
        pub accounts: BTreeMap<Name, Served>,
        /// Requests answered, by index in the trace.
        pub answered: Vec<usize>,
        /// Times of answers, in milliseconds.
        pub times: Vec<u64>,
        /// Cost of all calls and ratings.
        pub cost: f64,
        /// Of it, ratings.
        pub rate_cost: f64,
        /// Answers rated.
        pub rated: u64,
        /// Exposure.
        pub exposure: Exposure,
        /// Good versions stopped.
        pub false_alarms: u64,
        /// Refusals by reason.
        pub refusals: Refusals,
        /// Time that calls waited at backend servers, in milliseconds.
        pub server_waits: Vec<u64>,
        /// Final roll-out shares.
        pub shares: BTreeMap<Name, f64>,
        /// Calls that no rule of the configuration allows; must stay 0.
        pub violations: u64,
    }
}

impl Tally {
    /// A call or a rating was paid for.
    pub fn spend(&mut self, task: &Name, cost: f64) {
        self.cost += cost;
        self.tasks.entry(task.clone()).or_default().cost += cost;
    }

    /// Requests that got no answer in time, over all.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        let refused: u64 = self.accounts.values().map(|served| served.refused).sum();
        let all = refused + self.answered.len() as u64;
        refused as f64 / all.max(1) as f64
    }

    /// Share of good answers.
    #[must_use]
    pub fn quality(&self) -> f64 {
        let good: u64 = self.tasks.values().map(|served| served.good).sum();
        good as f64 / self.answered.len().max(1) as f64
    }

    /// The time within which `share` of all answers came, in milliseconds.
    #[must_use]
    pub fn percentile(&self, share: f64) -> u64 {
        percentile(&self.times, share)
    }
}

impl Served {
    /// Share of good answers; 1 if there is none at all.
    #[must_use]
    pub fn quality(&self) -> f64 {
        match self.answered {
            0 => 1.0,
            answered => self.good as f64 / answered as f64,
        }
    }

    /// Share refused, failed or late.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / (self.answered + self.refused).max(1) as f64
    }
}

/// The value below or at which `share` of all values lie; 0 of none.
#[must_use]
pub fn percentile(values: &[u64], share: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}
