//! What a fleet routes: routes, services, client accounts, backend servers, roll-outs.
//!
//! These documents are our own. Whoever keeps them elsewhere, in other words and another form,
//! turns them into these types once, at the edge; nothing behind that edge knows the other form.

mod check;
mod edit;

use std::net::SocketAddr;

use policy::domain;
use policy::name::Name;

pub use check::check;
pub use edit::Edit;

domain! {
    /// Everything operators decide, as one version of it.
    #[derive(Default)]
    pub struct Table {
        /// Grows with each change; only a higher one replaces a lower one.
        pub version: u64,
        /// Where requests go.
        pub routes: Vec<Route>,
        /// What answers them.
        pub services: Vec<Service>,
        /// Who may ask; empty if keys are not used.
        pub accounts: Vec<Account>,
        /// Bounds on what callers send.
        pub limits: Limits,
    }

    /// What a request may be done with.
    #[derive(Copy, Eq)]
    pub enum Kind {
        /// It may run any number of times.
        Idempotent,
        /// It may run once at most.
        Once,
        /// Its answer is a stream of events.
        Stream {
            /// A broken stream may go on at another backend server, and the request so run again.
            resumable: bool,
        },
    }

    /// Requests of one host and path prefix.
    pub struct Route {
        /// Its name, for logs and metrics.
        pub name: Name,
        /// The host that callers ask, in lower case.
        pub host: Name,
        /// Begins and ends with a slash.
        pub prefix: Name,
        /// What may be done with its requests.
        pub kind: Kind,
        /// Backend servers that one request may be sent to, at most.
        pub attempts_max: u32,
        /// Longest time a request may be kept waiting, in milliseconds.
        pub timeout_ms: u64,
        /// Time within which an answer is of full use, in milliseconds; of a stream, its first
        /// event.
        pub objective_ms: u64,
        /// Longest pause between two events that leaves a stream of full use, in milliseconds.
        pub gap_ms: Option<u64>,
        /// 0 is the most urgent.
        pub priority: u8,
        /// Whether a request needs no key.
        pub anonymous: bool,
        /// Services that serve it, by weight.
        pub targets: Vec<Target>,
        /// Models that may answer, smallest first, if the choice is ours.
        pub models: Vec<Name>,
    }

    /// One of a route's services.
    pub struct Target {
        /// Its name.
        pub service: Name,
        /// Its part of the route's requests, against the others' weights.
        pub weight: u32,
    }

    /// A set of backend servers that do the same.
    pub struct Service {
        /// Its name.
        pub name: Name,
        /// Its models, if it is served by model engines.
        pub models: Vec<Model>,
        /// Connections that one backend server takes from all callers together.
        pub connections_max: u32,
        /// How its backend servers warm up, if they do.
        #[serde(default)]
        pub warmup: Option<Warmup>,
    }

    /// What a backend server stands before it is warm; at more it ends.
    #[derive(Copy)]
    pub struct Warmup {
        /// From its start until it is warm, in milliseconds.
        pub ms: u64,
        /// Requests a second that it takes until then, from all hosts together.
        pub per_second: f64,
    }

    /// A model that engines serve.
    pub struct Model {
        /// Its name.
        pub name: Name,
        /// Price of 1,000 generated tokens; a token read costs a quarter of one.
        pub price: f64,
    }

    /// A client account.
    pub struct Account {
        /// Its name.
        pub name: Name,
        /// Keys that callers prove it by.
        pub keys: Vec<Name>,
        /// Goes before the route's priority if there is one.
        pub priority: Option<u8>,
    }

    /// Bounds on what callers send.
    #[serde(default)]
    pub struct Limits {
        /// Bytes of all headers together.
        pub header_bytes: usize,
        /// Bytes of a body.
        pub body_bytes: usize,
        /// How long a connection may be idle between requests, in milliseconds.
        pub idle_ms: u64,
    }

    /// One start of a backend server.
    ///
    /// The id and the time of its start name it and no other. An address does not: it may belong
    /// to another server, of another service, soon after this one has ended.
    pub struct Backend {
        /// The server's; it may start again under the same one.
        pub id: Name,
        /// When it started, in milliseconds since the epoch; 0 if it does not say.
        pub born: u64,
        /// What it serves.
        pub service: Name,
        /// Where it is reached.
        pub address: SocketAddr,
        /// Where it stands.
        pub failure_domain: Name,
        /// Of its software or weights.
        pub version: Name,
        /// Requests that it works on at once.
        pub slots: u32,
        /// It is leaving: no new work.
        pub draining: bool,
        /// Until it is warm, in milliseconds; none if it does not say.
        #[serde(default)]
        pub warmup_ms: Option<u64>,
    }

    /// An operator's wish to move a service to another version.
    pub struct RolloutOrder {
        /// What is to move.
        pub service: Name,
        /// The version wanted.
        pub target: Name,
        /// How long it may take, in milliseconds.
        pub within_ms: u64,
        /// The store's counter when it was written, which tells it from the same wish at another time.
        #[serde(default)]
        pub issue: u64,
    }

    /// How a roll-out stands.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Progress {
        /// Not decided.
        Running,
        /// All requests go to the new version.
        Succeeded,
        /// All requests go to the version before.
        RolledBack,
    }
}

impl RolloutOrder {
    /// Whether it asks for the same, whenever it was written.
    #[must_use]
    pub fn has_same_content(&self, other: &Self) -> bool {
        let wish = |order: &Self| (order.service.clone(), order.target.clone(), order.within_ms);
        wish(self) == wish(other)
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

    /// Whether its answer is a stream of events.
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

    fn leaving(self) -> Self {
        Self { draining: true, ..self }
    }
}
