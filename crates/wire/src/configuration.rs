//! The one configuration document of a deployment, as operators write it.
//!
//! Validation lives in [`check`]; it reports every fault with its path, not only the first.

pub mod check;

use std::collections::BTreeMap;

use policy::domain;
use policy::name::Name;

domain! {
    /// Everything operators decide, with the generation it became in force as.
    #[derive(Default)]
    pub struct Document {
        /// Rises by one with every accepted change.
        pub generation: u64,
        /// Versions by name; a request's `model` may name a version's model or a version.
        pub versions: BTreeMap<Name, Version>,
        /// Groups of backend servers; the platform's host list says who is in them.
        pub pools: BTreeMap<Name, Pool>,
        /// Plain services by name, reached under `/services/NAME/`.
        #[serde(default)]
        pub services: BTreeMap<Name, Service>,
        /// Client accounts by name.
        pub accounts: BTreeMap<Name, Account>,
        /// Roll-outs under way, by name.
        #[serde(default)]
        pub rollouts: BTreeMap<Name, Rollout>,
        /// Keys that sign session tokens: the highest id signs, all of them verify.
        pub session_keys: BTreeMap<u32, SessionKey>,
        /// Service levels reported on, by name.
        #[serde(default)]
        pub service_levels: BTreeMap<Name, ServiceLevel>,
    }

    /// One version of a model.
    pub struct Version {
        /// The model it is a version of.
        pub model: Name,
        /// Where it stands between coming and going.
        pub state: VersionState,
        /// Cost of one call, in the deployment's own unit.
        pub cost: f64,
        /// The pool that serves it.
        pub pool: Name,
        /// Expected share of good answers by task, 0 to 1, until ratings say otherwise.
        #[serde(default)]
        pub quality: BTreeMap<Name, f64>,
        /// A connection that has not brought the first byte of an answer by then is closed.
        #[serde(default = "Version::default_first_byte_ms")]
        pub first_byte_ms: u64,
        /// The same between two pieces of a stream.
        #[serde(default = "Version::default_between_bytes_ms")]
        pub between_bytes_ms: u64,
        /// How long a cut-off host goes on opening sessions on it without a confirmed generation.
        #[serde(default = "Version::default_stale_limit_ms")]
        pub stale_limit_ms: u64,
        /// Quarantines judged in generations up to this one are void. So a change to anything
        /// else never lifts a quarantine, and lifting one is a change that operators see.
        #[serde(default)]
        pub cleared: u64,
    }

    /// Where a version stands between coming and going.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum VersionState {
        /// Taken on by steps; gets the share that its roll-out gives it.
        Candidate,
        /// In full use.
        Live,
        /// Old sessions go on, no new ones.
        Draining,
        /// No new work at all.
        Withdrawn,
    }

    /// A group of like backend servers.
    pub struct Pool {
        /// Requests that one of its backend servers works on at a time.
        pub slots: u32,
        /// Requests that one entry host holds back for the pool at most.
        #[serde(default = "Pool::default_queue")]
        pub queue: u32,
    }

    /// A plain service, passed through.
    pub struct Service {
        /// The pool that serves it.
        pub pool: Name,
        /// HTTP methods whose calls may be repeated.
        #[serde(default = "Service::default_repeatable")]
        pub repeatable: Vec<Name>,
        /// Longest time one call may take, in milliseconds.
        #[serde(default = "Service::default_deadline_ms")]
        pub deadline_ms: u64,
        /// Cost of one call.
        #[serde(default)]
        pub cost: f64,
    }

    /// One client account.
    pub struct Account {
        /// SHA-256 of each accepted key, in hexadecimal.
        pub key_hashes: Vec<Name>,
        /// The versions its requests may run on.
        pub versions: Vec<Name>,
        /// The plain services it may call.
        #[serde(default)]
        pub services: Vec<Name>,
        /// Its tasks; a request names one in `Chestnutspur-Task`.
        pub tasks: BTreeMap<Name, Task>,
        /// The task of a request that names none.
        pub default_task: Name,
        /// What it may use at most.
        #[serde(default)]
        pub limit: Limit,
    }

    /// One kind of request of a client account.
    pub struct Task {
        /// Share of good answers that its owner was promised, 0 to 1.
        pub quality_target: f64,
        /// Whether a request may run more than once.
        pub may_repeat: bool,
        /// Longest time a request may take, in milliseconds.
        pub deadline_ms: u64,
        /// 0 is served first.
        #[serde(default)]
        pub priority: u8,
    }

    /// What a client account may use at most, on all entry hosts together.
    #[derive(Default)]
    #[serde(default)]
    pub struct Limit {
        /// Requests a second; 0 is no limit.
        pub requests_per_second: f64,
        /// Requests at once; 0 is no limit.
        pub in_flight: u32,
    }

    /// The raising of a candidate's share by steps.
    pub struct Rollout {
        /// The candidate.
        pub version: Name,
        /// The shares of new sessions it gets one after another, 0 to 1.
        pub steps: Vec<f64>,
        /// Shortest stay on a step, in milliseconds.
        pub step_ms: u64,
        /// Rated answers that a step needs before the next.
        pub min_rated: u64,
        /// The share of good answers below which it stops.
        pub guard: f64,
    }

    /// A key that signs session tokens.
    pub struct SessionKey {
        /// At least 32 bytes, in hexadecimal.
        pub secret: Name,
    }

    /// A service level reported on.
    pub struct ServiceLevel {
        /// Whose requests.
        pub account: Name,
        /// Which task; all if absent.
        #[serde(default)]
        pub task: Option<Name>,
        /// Share of requests that must be answered in time, 0 to 1.
        pub objective: f64,
        /// In time means within this many milliseconds.
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

    /// Whether a session that is not on it yet may be put on it.
    #[must_use]
    pub fn accepts_new_sessions(&self) -> bool {
        matches!(self.state, VersionState::Live | VersionState::Candidate)
    }

    /// Whether any request may run on it.
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
