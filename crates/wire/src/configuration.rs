//! The configuration document of a deployment, as operators write it.
//!
//! [`check`] validates it and reports every fault with its path, not only the first one.

pub mod check;

use std::collections::BTreeMap;

use policy::domain;
use policy::name::Name;

domain! {
    /// Everything that operators decide, with the generation under which it is in force.
    #[derive(Default)]
    pub struct Document {
        /// Number of the document in force; each accepted change increases it by one. In a document
        /// that an operator submits, the generation from which the change was made.
        pub generation: u64,
        /// Versions by name. A request's `model` may name a version, or a model with versions.
        pub versions: BTreeMap<Name, Version>,
        /// Pools of backend servers by name; the platform's host list says which servers belong to
        /// each.
        pub pools: BTreeMap<Name, Pool>,
        /// Plain services by name, reached under `/services/NAME/`.
        #[serde(default)]
        pub services: BTreeMap<Name, Service>,
        /// Client accounts by name.
        pub accounts: BTreeMap<Name, Account>,
        /// Roll-outs under way, by name.
        #[serde(default)]
        pub rollouts: BTreeMap<Name, Rollout>,
        /// Keys for session tokens by id: the key with the highest id signs, all keys verify.
        pub session_keys: BTreeMap<u32, SessionKey>,
        /// Service levels that are measured and reported, by name.
        #[serde(default)]
        pub service_levels: BTreeMap<Name, ServiceLevel>,
    }

    /// One version of a model.
    pub struct Version {
        /// The model that this is a version of.
        pub model: Name,
        /// Stage of the version's life cycle.
        pub state: VersionState,
        /// Cost of one call, in a unit that the deployment chooses.
        pub cost: f64,
        /// The pool that serves this version.
        pub pool: Name,
        /// Expected share of good answers by task, 0 to 1, used until there are ratings.
        #[serde(default)]
        pub quality: BTreeMap<Name, f64>,
        /// Longest wait for the first byte of an answer, in milliseconds; then the connection is
        /// closed.
        #[serde(default = "Version::default_first_byte_ms")]
        pub first_byte_ms: u64,
        /// Longest wait between two pieces of a stream, in milliseconds; then the connection is
        /// closed.
        #[serde(default = "Version::default_between_bytes_ms")]
        pub between_bytes_ms: u64,
        /// How long a host that is cut off, and can't confirm its generation, goes on opening
        /// sessions on this version while it is a candidate, in milliseconds.
        #[serde(default = "Version::default_stale_limit_ms")]
        pub stale_limit_ms: u64,
        /// Quarantines that were imposed in generations up to this one are void. So a change of
        /// another member never lifts a quarantine, and lifting one is a change that operators see.
        #[serde(default)]
        pub cleared: u64,
    }

    /// Stage of a version's life cycle.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum VersionState {
        /// New: receives the share of sessions that its roll-out sets.
        Candidate,
        /// In full use, for new sessions as well.
        Live,
        /// Existing sessions continue, but new ones are not put on it.
        Draining,
        /// Receives no work at all.
        Withdrawn,
    }

    /// A group of interchangeable backend servers.
    pub struct Pool {
        /// Requests that each backend server of the pool processes at a time.
        pub slots: u32,
        /// Most requests that one entry host queues for the pool.
        #[serde(default = "Pool::default_queue")]
        pub queue: u32,
    }

    /// A plain service, whose requests are passed through without choosing a model version.
    pub struct Service {
        /// The pool that serves the service.
        pub pool: Name,
        /// HTTP methods whose calls may run more than once.
        #[serde(default = "Service::default_repeatable")]
        pub repeatable: Vec<Name>,
        /// Longest time one call may take, in milliseconds.
        #[serde(default = "Service::default_deadline_ms")]
        pub deadline_ms: u64,
        /// Cost of one call, in the same unit as that of versions.
        #[serde(default)]
        pub cost: f64,
    }

    /// One client account.
    pub struct Account {
        /// SHA-256 of each accepted API key, in hexadecimal digits.
        pub key_hashes: Vec<Name>,
        /// The versions that the account's requests may run on.
        pub versions: Vec<Name>,
        /// The plain services that the account may call.
        #[serde(default)]
        pub services: Vec<Name>,
        /// Tasks of the account by name; a request names its task in the header
        /// `Chestnutspur-Task`.
        pub tasks: BTreeMap<Name, Task>,
        /// The task of requests that name no task.
        pub default_task: Name,
        /// Upper bounds on the account's use.
        #[serde(default)]
        pub limit: Limit,
    }

    /// One kind of request of a client account.
    pub struct Task {
        /// Share of good answers that the account's owner was promised, 0 to 1.
        pub quality_target: f64,
        /// Whether a request of this task may run more than once.
        pub may_repeat: bool,
        /// Longest time that a request of this task may take, in milliseconds.
        pub deadline_ms: u64,
        /// Priority of the task's requests; 0 is the most urgent.
        #[serde(default)]
        pub priority: u8,
    }

    /// Upper bounds on what a client account may use, over all entry hosts together.
    #[derive(Default)]
    #[serde(default)]
    pub struct Limit {
        /// Requests per second; 0 means no limit.
        pub requests_per_second: f64,
        /// Requests in flight; 0 means no limit.
        pub in_flight: u32,
    }

    /// A roll-out: raises a candidate's share of new sessions in steps.
    pub struct Rollout {
        /// The candidate version.
        pub version: Name,
        /// Shares of new sessions that the candidate receives, 0 to 1, in the order of the steps.
        pub steps: Vec<f64>,
        /// Shortest duration of each step, in milliseconds.
        pub step_ms: u64,
        /// Rated answers that are needed on a step before the next step begins.
        pub min_rated: u64,
        /// Share of good answers, 0 to 1, below which the roll-out stops.
        pub guard: f64,
    }

    /// A key that signs session tokens.
    pub struct SessionKey {
        /// At least 32 bytes, in hexadecimal digits.
        pub secret: Name,
    }

    /// A service level that is measured and reported.
    pub struct ServiceLevel {
        /// The client account whose requests count.
        pub account: Name,
        /// The task whose requests count; absent for all tasks of the account.
        #[serde(default)]
        pub task: Option<Name>,
        /// Share of requests that must be answered in time, 0 to 1.
        pub objective: f64,
        /// Longest time for an answer to count as in time, in milliseconds.
        pub within_ms: u64,
    }
}

impl Version {
    fn default_first_byte_ms() -> u64 {
        10_000
    }

    fn default_between_bytes_ms() -> u64 {
        5_000
    }

    fn default_stale_limit_ms() -> u64 {
        300_000
    }

    /// Whether new sessions may be put on this version.
    #[must_use]
    pub fn accepts_new_sessions(&self) -> bool {
        matches!(self.state, VersionState::Live | VersionState::Candidate)
    }

    /// Whether any request may run on this version.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.state != VersionState::Withdrawn
    }
}

impl Pool {
    fn default_queue() -> u32 {
        64
    }
}

impl Service {
    fn default_repeatable() -> Vec<Name> {
        ["GET", "HEAD", "OPTIONS"].map(Name::from).to_vec()
    }

    fn default_deadline_ms() -> u64 {
        10_000
    }
}
