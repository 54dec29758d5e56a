//! The routing table (routes, services, client accounts), backend servers and roll-outs.
//!
//! These types are independent of the form in which a platform stores the same facts. The adapter
//! to a platform converts them once, at the boundary; no code behind it knows the other form.

mod check;
mod edit;

use std::net::SocketAddr;

use policy::domain;
use policy::name::Name;

pub use check::check;
pub use edit::Edit;

domain! {
    /// Routing table: one version of everything that operators decide.
    #[derive(Default)]
    pub struct Table {
        /// Increases with each change; a table replaces only one with a lower version.
        pub version: u64,
        /// Routes, which map requests to services.
        pub routes: Vec<Route>,
        /// Services, which answer requests.
        pub services: Vec<Service>,
        /// Client accounts that may send requests; empty if keys are not used.
        pub accounts: Vec<Account>,
        /// Limits on what callers may send.
        pub limits: Limits,
    }

    /// Kind of a route's requests: how often one may run, and the form of its answer.
    #[derive(Copy, Eq)]
    pub enum Kind {
        /// The request may run any number of times.
        Idempotent,
        /// The request may run at most once.
        Once,
        /// The answer is a stream of events.
        Stream {
            /// Whether a broken stream may continue at another backend server, where the request
            /// runs again.
            resumable: bool,
        },
    }

    /// Rules for the requests of one host and path prefix.
    pub struct Route {
        /// Name of the route, for logs and metrics.
        pub name: Name,
        /// Host name in the requests of callers, in lower case.
        pub host: Name,
        /// Path prefix; begins and ends with a slash.
        pub prefix: Name,
        /// Kind of the route's requests.
        pub kind: Kind,
        /// Most attempts per request.
        pub attempts_max: u32,
        /// Longest time a caller may wait for the answer, in milliseconds.
        pub timeout_ms: u64,
        /// Time within which an answer, or the first event of a stream, is of full use to the
        /// caller, in milliseconds.
        pub objective_ms: u64,
        /// Longest pause between two events with which a stream is of full use, in milliseconds; if
        /// absent, `objective_ms` applies.
        pub gap_ms: Option<u64>,
        /// Priority of the route's requests; 0 is the most urgent.
        pub priority: u8,
        /// Whether requests without a key are accepted.
        pub anonymous: bool,
        /// Services that answer the route's requests, with their weights.
        pub targets: Vec<Target>,
        /// Models that may answer, smallest first; empty if the router does not choose the model.
        pub models: Vec<Name>,
    }

    /// One of the services of a route.
    pub struct Target {
        /// Name of the service.
        pub service: Name,
        /// The service's weight: its share of the route's requests is this divided by the sum of
        /// all weights.
        pub weight: u32,
    }

    /// A set of interchangeable backend servers.
    pub struct Service {
        /// Name of the service.
        pub name: Name,
        /// Models that the service offers; empty unless model engines serve it.
        pub models: Vec<Model>,
        /// Connections that one backend server accepts from all callers together.
        pub connections_max: u32,
        /// How the service's backend servers warm up; absent if they need no warm-up.
        #[serde(default)]
        pub warmup: Option<Warmup>,
        /// What the service's engines can do; absent unless model engines serve it.
        #[serde(default)]
        pub engine: Option<Engine>,
    }

    /// What a service's engines can do with their KV caches. A figure of 0 means that the engines
    /// lack the ability.
    #[derive(Copy, Default)]
    #[serde(default)]
    pub struct Engine {
        /// Bytes of KV cache per token.
        pub token_bytes: f64,
        /// Bandwidth at which an engine sends its KV cache to another one, in megabits per second.
        pub link_mbps: f64,
        /// Calls for cache events that an engine keeps waiting.
        pub events_max: u32,
        /// Copies of running requests that an engine makes.
        pub moves: f64,
        /// Backups of running requests that an engine keeps.
        pub backups: f64,
        /// Tokens per event of a stream.
        pub stride: f64,
        /// Tokens that an engine's KV cache holds.
        pub kv_capacity_tokens: f64,
        /// How long a copy is kept that is not used, in milliseconds.
        pub handle_ms: u64,
    }

    /// Load that a backend server can bear while it warms up. With more load it crashes.
    #[derive(Copy)]
    pub struct Warmup {
        /// Duration of the warm-up from the start of the server, in milliseconds.
        pub ms: u64,
        /// Requests per second that a server bears during its warm-up, from all hosts together.
        pub per_second: f64,
    }

    /// A model that engines serve.
    pub struct Model {
        /// Name of the model.
        pub name: Name,
        /// Price of 1,000 generated tokens; a prompt token costs a quarter of a generated one.
        pub price: f64,
    }

    /// A client account.
    pub struct Account {
        /// Name of the account.
        pub name: Name,
        /// Keys with which callers authenticate as this account.
        pub keys: Vec<Name>,
        /// Priority of the account's requests, in place of the route's; absent if the route's
        /// applies.
        pub priority: Option<u8>,
    }

    /// Limits on what callers may send.
    #[serde(default)]
    pub struct Limits {
        /// Largest total size of a request's headers, in bytes.
        pub header_bytes: usize,
        /// Largest body of a request, in bytes.
        pub body_bytes: usize,
        /// Longest time a connection may be idle between requests, in milliseconds.
        pub idle_ms: u64,
    }

    /// One run of a backend server, from its start to its end.
    ///
    /// The server's id and its start time identify the run. The address does not: soon after this
    /// run has ended, another server of another service may have the same address.
    pub struct Backend {
        /// Id of the server; a restarted server may keep its id.
        pub id: Name,
        /// Start time, in milliseconds since the epoch; 0 if the server does not report one.
        pub born: u64,
        /// Service to which the server belongs.
        pub service: Name,
        /// Address at which the server accepts requests.
        pub address: SocketAddr,
        /// Failure domain of the server.
        pub failure_domain: Name,
        /// Version of the server's software or model weights.
        pub version: Name,
        /// Requests that the server processes at the same time.
        pub slots: u32,
        /// Whether the server is leaving and must receive no new requests.
        pub draining: bool,
        /// Time until the server is warm, in milliseconds; absent if the server does not report it.
        #[serde(default)]
        pub warmup_ms: Option<u64>,
    }

    /// An operator's order to roll out a version of a service.
    pub struct RolloutOrder {
        /// Service to which the version is rolled out.
        pub service: Name,
        /// Version to which the service moves.
        pub target: Name,
        /// Longest duration of the roll-out, in milliseconds.
        pub within_ms: u64,
        /// Revision of the store at which the order was written. It distinguishes orders with the
        /// same content that were given at different times.
        #[serde(default)]
        pub issue: u64,
    }

    /// State of a roll-out.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Progress {
        /// The roll-out is still under way.
        Running,
        /// All requests go to the new version.
        Succeeded,
        /// All requests go to the previous version.
        RolledBack,
    }
}

impl RolloutOrder {
    /// Whether both orders have the same content, even if they were written at different times.
    #[must_use]
    pub fn has_same_content(&self, other: &Self) -> bool {
        let content = |order: &Self| (order.service.clone(), order.target.clone(), order.within_ms);
        content(self) == content(other)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self { header_bytes: 16 << 10, body_bytes: 4 << 20, idle_ms: 15_000 }
    }
}

impl Kind {
    /// Whether a request may run again after it may have run.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

impl policy::roster::Entry for Backend {
    fn id(&self) -> &Name {
        &self.id
    }

    fn born(&self) -> u64 {
        self.born
    }

    fn is_leaving(&self) -> bool {
        self.draining
    }

    fn into_leaving(self) -> Self {
        Self { draining: true, ..self }
    }
}
