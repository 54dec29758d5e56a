//! Observations of entry hosts about each version, on which controls base their verdicts.

use policy::domain;
use policy::name::Name;

domain! {
    /// Counts of one version and task, from one entry host and interval.
    pub struct Evidence {
        /// Version that the calls went to.
        pub version: Name,
        /// Task of the client account.
        pub task: Name,
        /// Calls that ended, whether they succeeded or failed.
        pub calls: u64,
        /// Calls that failed at the backend server.
        pub failed: u64,
        /// Ratings of answers in the order in which they arrived; true means good.
        pub rated: Vec<bool>,
    }

    /// Outcome of one request, as counted for service levels.
    pub struct Outcome {
        /// Client account of the request.
        pub account: Name,
        /// Task of the request.
        pub task: Name,
        /// Whether the request was answered completely.
        pub answered: bool,
        /// Time from the request's first byte to the answer's first byte, in milliseconds.
        pub first_byte_ms: u64,
        /// Time from the request's first byte to the answer's last byte, in milliseconds.
        pub total_ms: u64,
    }

    /// Report that an entry host sends to a control once per interval.
    #[derive(Default)]
    pub struct Report {
        /// Name of the entry host.
        pub entry: Name,
        /// Sequence number within the entry host's incarnation; a report that is sent again is
        /// counted once.
        pub number: u64,
        /// Counts by version and task.
        pub evidence: Vec<Evidence>,
        /// Outcomes of single requests.
        pub outcomes: Vec<Outcome>,
    }
}
