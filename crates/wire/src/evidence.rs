//! What entry hosts saw of each version, on its way to the shared verdict.

use policy::domain;
use policy::name::Name;

domain! {
    /// Counts of one interval on one entry host, of one version and task.
    pub struct Evidence {
        /// The version.
        pub version: Name,
        /// The client account's task.
        pub task: Name,
        /// Calls that ended, well or not.
        pub calls: u64,
        /// Calls that failed at the backend server.
        pub failed: u64,
        /// Answers rated, in the order rated: true is good.
        pub rated: Vec<bool>,
    }

    /// One request's outcome for the service levels.
    pub struct Outcome {
        /// The client account.
        pub account: Name,
        /// The task.
        pub task: Name,
        /// Answered whole.
        pub answered: bool,
        /// From the request's first byte to the answer's first byte, in milliseconds.
        pub first_byte_ms: u64,
        /// To the answer's last byte.
        pub total_ms: u64,
    }

    /// What an entry host reports at each interval.
    #[derive(Default)]
    pub struct Report {
        /// The entry host.
        pub entry: Name,
        /// Rises with each report of this incarnation, so a repeated one counts once.
        pub number: u64,
        /// Per version and task.
        pub evidence: Vec<Evidence>,
        /// Per request.
        pub outcomes: Vec<Outcome>,
    }
}
