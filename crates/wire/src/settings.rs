//! Settings of one process: a JSON file, which is validated as a whole before anything starts.

mod check;
mod secret;

use std::net::SocketAddr;

use policy::domain;
use policy::name::Name;

use crate::fault::{Fault, is_within};
use crate::read;
pub use secret::KEY_BYTES_MIN;

domain! {
    /// Settings of one process, for any role.
    #[serde(tag = "role", rename_all = "snake_case")]
    pub enum Settings {
        /// Settings of the data plane, `entry`.
        Entry(Entry),
        /// Settings of a controller, `control`.
        Control(Control),
        /// Settings of `node`: data plane and controller in one process, for routed requests.
        Node(Node),
    }

    /// Settings of `entry`.
    pub struct Entry {
        /// Name of this host.
        pub name: Name,
        /// Failure domain of this host.
        pub failure_domain: Name,
        /// Address that callers connect to; with port 0 the system chooses a port.
        pub listen: SocketAddr,
        /// Address that serves health and metrics.
        pub operators: SocketAddr,
        /// Controls that this host asks, those of its own failure domain first.
        pub controls: Vec<Peer>,
        /// Key that this host shares with all controls.
        pub peer_key: Secret,
        /// Log level: `off`, `error`, `warn`, `info`, `debug` or `trace`.
        #[serde(default = "default_log")]
        pub log: Name,
        /// Limits on what callers may send.
        #[serde(default)]
        pub bounds: Bounds,
        /// Share of all answers that is sent to the rating service, 0 to 1.
        #[serde(default = "default_rated_share")]
        pub rated_share: f64,
        /// Longest time a graceful shutdown waits for requests in flight, in milliseconds.
        #[serde(default = "default_drain_ms")]
        pub drain_ms: u64,
    }

    /// Settings of `control`.
    pub struct Control {
        /// Name of this host.
        pub name: Name,
        /// Failure domain of this host.
        pub failure_domain: Name,
        /// Address that entries and other controls connect to.
        pub listen: SocketAddr,
        /// Address that serves console, API, health and metrics.
        pub operators: SocketAddr,
        /// IP address and port of the platform's service.
        pub platform: SocketAddr,
        /// Address at which other hosts reach `listen`; absent if it is `listen` itself.
        #[serde(default)]
        pub advertise: Option<SocketAddr>,
        /// Controls known at start; others are learned from the platform's host list.
        #[serde(default)]
        pub peers: Vec<Peer>,
        /// Key that all entries and controls share.
        pub peer_key: Secret,
        /// SHA-256 of each operator's token, in hexadecimal digits.
        #[serde(default)]
        pub operator_token_hashes: Vec<Name>,
        /// Log level: `off`, `error`, `warn`, `info`, `debug` or `trace`.
        #[serde(default = "default_log")]
        pub log: Name,
        /// Most bills that are held in memory. When nearly as many are held, new work is refused.
        #[serde(default = "default_bills_max")]
        pub bills_max: u64,
        /// Interval at which the platform's generation and host list are read, in milliseconds.
        #[serde(default = "default_poll_ms")]
        pub poll_ms: u64,
        /// Interval of gossip exchanges, in milliseconds; each asks one peer for its news.
        #[serde(default = "default_gossip_ms")]
        pub gossip_ms: u64,
        /// Number of shards that the keys of each failure domain are divided into.
        #[serde(default = "default_shards")]
        pub shards: u32,
    }

    /// Settings of `node`.
    pub struct Node {
        /// Name of this host.
        pub name: Name,
        /// Failure domain of this host.
        pub failure_domain: Name,
        /// Address that callers connect to.
        pub listen: SocketAddr,
        /// Address that serves readiness, for the load balancer.
        pub operators: SocketAddr,
        /// Further address that serves metrics; `operators` serves them in any case.
        #[serde(default)]
        pub metrics: Option<SocketAddr>,
        /// IP address and port of the platform's store.
        pub platform: SocketAddr,
        /// UDP and TCP port at which the other hosts of the failure domain announce long prompts
        /// and exchange the store's lists. If absent, this host reads all lists from the store
        /// itself.
        #[serde(default)]
        pub peers: Option<SocketAddr>,
        /// Address at which other hosts forward requests when they can't reach a backend server.
        /// If absent, this host accepts no forwarded requests, but can still forward its own.
        #[serde(default)]
        pub forward: Option<SocketAddr>,
        /// Whether the deployment starts for the first time, so that no host is listed yet.
        #[serde(default)]
        pub first_start: bool,
        /// Longest time until a change of the routing table is in force on all hosts, in
        /// milliseconds.
        #[serde(default = "default_change_ms")]
        pub change_ms: u64,
        /// Longest time until all hosts have stopped sending requests to a leaving backend server,
        /// in milliseconds.
        #[serde(default = "default_change_ms")]
        pub leaving_ms: u64,
        /// Longest time until this host has learned all changes after its connections work again,
        /// in milliseconds.
        #[serde(default = "default_contact_ms")]
        pub contact_ms: u64,
        /// Log level: `off`, `error`, `warn`, `info`, `debug` or `trace`.
        #[serde(default = "default_log")]
        pub log: Name,
        /// Number of worker threads; should equal the number of the host's cores.
        #[serde(default = "default_threads")]
        pub threads: u32,
        /// Longest time from the stop signal until the process has ended, in milliseconds.
        #[serde(default = "default_drain_ms")]
        pub drain_ms: u64,
        /// All failure domains of the deployment, this host's among them. Their number decides
        /// this host's share of the extra attempts that all hosts may send; if the list is empty,
        /// the host assumes that there are many.
        #[serde(default)]
        pub failure_domains: Vec<Name>,
        /// Limits on extra attempts at other backend servers, for all hosts together.
        #[serde(default)]
        pub repeats: Repeats,
        /// Hedged requests; absent: none are sent.
        #[serde(default)]
        pub hedging: Option<Hedging>,
        /// Share of a service's requests during a roll-out that a bad version may receive, 0 to 1.
        #[serde(default = "default_exposure_share")]
        pub exposure_share: f64,
        /// Scheduling delay in milliseconds that counts as overload. While the host is at least
        /// this late with all work that falls due, it closes a share of new connections unread. If
        /// absent, it accepts all of them. Meant for a process that has its processor, or a fixed
        /// share of one, to itself.
        #[serde(default)]
        pub standing_delay_ms: Option<f64>,
        /// Queues in which requests wait while all servers of their service are full. If absent,
        /// every request is sent at once.
        #[serde(default)]
        pub admission: Option<Admission>,
        /// What placement on engines weighs beside the request's own wait.
        #[serde(default)]
        pub placement: Placement,
        /// Copies of the KV caches of running streams.
        #[serde(default)]
        pub streams: Streams,
        /// Index of the prompt parts that engines have cached; if absent, each host knows only the
        /// prompts that it has sent itself.
        #[serde(default)]
        pub prefix_index: Option<PrefixIndex>,
        /// Resources that the host may use. Within a failure domain a stronger host reads the
        /// store's lists for the others.
        #[serde(default)]
        pub resources: Resources,
        /// Limit on the memory that is held for requests until callers and backend servers have
        /// taken it. If absent, or if `resources` names no memory, there is none.
        #[serde(default)]
        pub held_bytes: Option<HeldBytes>,
    }

    /// Limit on the memory that is held for requests.
    #[derive(Copy)]
    pub struct HeldBytes {
        /// Share of the host's memory, above 0 and at most 1.
        pub memory_share: f64,
    }

    /// Admission control of routed requests.
    #[derive(Copy, Eq)]
    pub struct Admission {
        /// Most requests that wait at this host, for each service.
        pub waiting_max: u32,
    }

    /// What placement weighs beside the request's own wait.
    #[derive(Copy, Default, Eq)]
    #[serde(default)]
    pub struct Placement {
        /// Whether the speeds of servers at this moment are used, and what a request costs running
        /// streams.
        pub speeds: bool,
        /// Whether engines may be asked to fetch cached parts of prompts from other engines.
        pub fetch: bool,
        /// Whether the hosts of a failure domain announce to each other the loads that engines
        /// report.
        pub loads: bool,
        /// Whether the hosts of failure domains announce to each other the loads of their engines,
        /// and a busy failure domain sends a part of its requests to others. Needs `loads`.
        pub far_loads: bool,
        /// Whether the hosts of a failure domain announce to those of others which shared parts of
        /// prompts its engines have cached. Needs `fetch` and the prefix cache index.
        pub far: bool,
    }

    /// Copies of the KV caches of running streams, from which other engines can continue them.
    #[derive(Copy, Default, Eq)]
    #[serde(default)]
    pub struct Streams {
        /// Whether engines keep backups of streams that run at other engines.
        pub backup: bool,
        /// Whether running streams are moved to other engines.
        #[serde(rename = "move")]
        pub relocate: bool,
    }

    /// Index of the prompt parts that engines have cached.
    #[derive(Copy)]
    pub struct PrefixIndex {
        /// Most entries; an entry is one part at one engine.
        pub entries_max: usize,
    }

    /// Resources that a host may use.
    #[derive(Copy)]
    #[serde(default)]
    pub struct Resources {
        /// Processor time, in cores; 0.5 is half of a core.
        pub core_share: f64,
        /// Bandwidth of the host's network link, in megabits per second.
        pub link_mbps: f64,
        /// Number of file and socket descriptors; absent if unlimited.
        pub descriptors: Option<u32>,
        /// Memory in megabytes; absent if unlimited.
        pub memory_mb: Option<u64>,
    }

    /// Limits on extra attempts: those that follow the first attempt of a request.
    #[serde(default)]
    pub struct Repeats {
        /// Extra attempts allowed per request, as an average over the window; 0.2 allows one for
        /// five requests.
        pub share: f64,
        /// Extra attempts beyond `share` in each window, for all hosts together.
        pub slack: f64,
        /// Length of the window over which attempts are counted, in milliseconds.
        pub window_ms: u64,
    }

    /// Hedged requests: a second attempt beside the first one, if that is later than nearly all.
    pub struct Hedging {
        /// Most hedged requests per request for a service, for all hosts together, 0 to 1.
        pub share: f64,
    }

    /// A control that other hosts connect to.
    pub struct Peer {
        /// Name of the control's host.
        pub name: Name,
        /// Failure domain of the control's host.
        pub failure_domain: Name,
        /// Address at which the control is reached.
        pub address: SocketAddr,
    }

    /// Where to load a secret from, so that the settings need not hold the secret itself.
    #[serde(rename_all = "snake_case")]
    pub enum Secret {
        /// Path of a file that holds the secret.
        File(String),
        /// Name of an environment variable that holds the secret.
        Env(String),
        /// The secret itself; only for the demo and for tests. `check` warns about it.
        Text(String),
    }

    /// Limits on what callers may send.
    #[serde(default)]
    pub struct Bounds {
        /// Largest total size of a request's headers, in bytes.
        pub header_bytes: usize,
        /// Largest body of a request, in bytes.
        pub body_bytes: usize,
        /// Longest time a caller may take to send headers, or between two pieces of a body, in
        /// milliseconds.
        pub slow_ms: u64,
        /// Most requests in flight; beyond this number new requests are refused.
        pub in_flight: usize,
    }
}

impl Resources {
    /// The host's memory in bytes; `None` if the settings do not tell it.
    #[must_use]
    pub fn memory_bytes(&self) -> Option<u64> {
        self.memory_mb.map(|megabytes| megabytes << 20)
    }
}

impl HeldBytes {
    /// The bytes that a host with `memory` bytes may hold; `None` if its memory is unknown.
    #[must_use]
    pub fn bytes_max(self, memory: Option<u64>) -> Option<u64> {
        memory.map(|bytes| (bytes as f64 * self.memory_share) as u64)
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self { header_bytes: 16 << 10, body_bytes: 4 << 20, slow_ms: 10_000, in_flight: 10_000 }
    }
}

impl Default for Repeats {
    fn default() -> Self {
        Self { share: 0.2, slack: 0.0, window_ms: 10_000 }
    }
}

impl Default for Resources {
    fn default() -> Self {
        Self { core_share: 1.0, link_mbps: 1_000.0, descriptors: None, memory_mb: None }
    }
}

fn default_threads() -> u32 {
    1
}

fn default_log() -> Name {
    Name::from("info")
}

fn default_rated_share() -> f64 {
    0.1
}

/// Limit that the smallest deployments require.
fn default_change_ms() -> u64 {
    2_000
}

/// Limit that the smallest deployments require.
fn default_contact_ms() -> u64 {
    3_000
}

fn default_drain_ms() -> u64 {
    30_000
}

fn default_exposure_share() -> f64 {
    0.0975
}

fn default_bills_max() -> u64 {
    200_000
}

fn default_poll_ms() -> u64 {
    1_000
}

fn default_gossip_ms() -> u64 {
    250
}

fn default_shards() -> u32 {
    16
}

const SECRET_FORM_MESSAGE: &str = "must be {\"file\": PATH}, {\"env\": NAME} or {\"text\": SECRET}";

/// Reads and validates settings.
///
/// # Errors
/// All faults found, each with its path.
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut value =
        read::parse_json(text, &mut faults).map_err(|e| vec![Fault::at("", e.to_string())])?;
    let role = value.as_object_mut().and_then(|members| members.remove("role"));
    let (settings, repaired) = match role.as_ref().and_then(|role| role.as_str()) {
        Some("entry") => {
            let (entry, repaired) = read::deserialize_repaired(value, &mut faults);
            (entry.map(Settings::Entry), repaired)
        }
        Some("control") => {
            let (control, repaired) = read::deserialize_repaired(value, &mut faults);
            (control.map(Settings::Control), repaired)
        }
        Some("node") => {
            let (node, repaired) = read::deserialize_repaired(value, &mut faults);
            (node.map(Settings::Node), repaired)
        }
        _ => {
            faults.push(Fault::at("role", "must be \"entry\", \"control\" or \"node\""));
            (None, Vec::new())
        }
    };
    // The derived deserializer quotes values that it can't read, which may be the secret itself.
    for fault in faults.iter_mut().filter(|fault| is_within(&fault.path, "peer_key")) {
        fault.message = SECRET_FORM_MESSAGE.to_owned();
    }
    let mut rule_faults = Vec::new();
    match &settings {
        Some(Settings::Entry(entry)) => check::check_entry(entry, &mut rule_faults),
        Some(Settings::Control(control)) => check::check_control(control, &mut rule_faults),
        Some(Settings::Node(node)) => check::check_node(node, &mut rule_faults),
        None => {}
    }
    // A repaired place holds a placeholder of this reader, not the operator's value.
    rule_faults.retain(|fault| !repaired.iter().any(|path| is_within(&fault.path, path)));
    faults.extend(rule_faults);
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

/// Whether a text is a valid name of a host, account, version or the like.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    (1..=64).contains(&text.len())
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

/// Whether a text is a SHA-256 digest in hexadecimal digits.
#[must_use]
pub fn is_sha256_hex(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit())
}
