//! Settings of one process: a JSON file, checked whole before anything starts.

mod check;
mod secret;

use std::net::SocketAddr;

use policy::domain;
use policy::name::Name;

use crate::fault::{Fault, is_within};
use crate::read;
pub use secret::KEY_BYTES_MIN;

domain! {
    /// Settings of either process.
    #[serde(tag = "role", rename_all = "snake_case")]
    pub enum Settings {
        /// Of the data plane.
        Entry(Entry),
        /// Of the controllers.
        Control(Control),
        /// Of both in one process, for routed requests.
        Node(Node),
    }

    /// Settings of `entry`.
    pub struct Entry {
        /// The host's name.
        pub name: Name,
        /// Where the host stands.
        pub failure_domain: Name,
        /// Where callers come in; port 0 lets the system choose.
        pub listen: SocketAddr,
        /// Health and metrics.
        pub operators: SocketAddr,
        /// Controls to ask, own failure domain first.
        pub controls: Vec<Peer>,
        /// Shared with all controls.
        pub peer_key: Secret,
        /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
        #[serde(default = "default_log")]
        pub log: Name,
        /// Bounds on what callers send.
        #[serde(default)]
        pub bounds: Bounds,
        /// Share of answers sent to the rating service, 0 to 1.
        #[serde(default = "default_rated_share")]
        pub rated_share: f64,
        /// How long a graceful shutdown waits for requests under way, in milliseconds.
        #[serde(default = "default_drain_ms")]
        pub drain_ms: u64,
    }

    /// Settings of `control`.
    pub struct Control {
        /// The host's name.
        pub name: Name,
        /// Where the host stands.
        pub failure_domain: Name,
        /// Where entries and peers come in.
        pub listen: SocketAddr,
        /// Console, API, health and metrics.
        pub operators: SocketAddr,
        /// `IP:PORT` of the platform's service.
        pub platform: SocketAddr,
        /// Where other hosts reach `listen`, if that is another address.
        #[serde(default)]
        pub advertise: Option<SocketAddr>,
        /// Other controls known from the start; more come with the host list.
        #[serde(default)]
        pub peers: Vec<Peer>,
        /// Shared with all entries and controls.
        pub peer_key: Secret,
        /// SHA-256 of each operator's token, in hexadecimal.
        #[serde(default)]
        pub operator_token_hashes: Vec<Name>,
        /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
        #[serde(default = "default_log")]
        pub log: Name,
        /// Bills held in memory at most; at it, new work is refused.
        #[serde(default = "default_bills_max")]
        pub bills_max: u64,
        /// How often the platform's generation and host list are read, in milliseconds.
        #[serde(default = "default_poll_ms")]
        pub poll_ms: u64,
        /// How often one peer is asked for news, in milliseconds.
        #[serde(default = "default_gossip_ms")]
        pub gossip_ms: u64,
        /// Shards of each failure domain's keys.
        #[serde(default = "default_shards")]
        pub shards: u32,
    }

    /// Settings of `node`.
    pub struct Node {
        /// The host's name.
        pub name: Name,
        /// Where the host stands.
        pub failure_domain: Name,
        /// Where callers come in.
        pub listen: SocketAddr,
        /// Readiness for the balancer.
        pub operators: SocketAddr,
        /// Metrics; on `operators` as well.
        #[serde(default)]
        pub metrics: Option<SocketAddr>,
        /// `IP:PORT` of the platform's store.
        pub platform: SocketAddr,
        /// Where the other hosts of the failure domain tell of long prompts and of the store's
        /// lists; a port of UDP and of TCP. Without it the host reads all lists for itself.
        #[serde(default)]
        pub peers: Option<SocketAddr>,
        /// Where other hosts pass on requests that reach no backend server from there. Without it this
        /// host takes none, and can pass on its own all the same.
        #[serde(default)]
        pub forward: Option<SocketAddr>,
        /// The deployment starts for the first time: no host of it is listed yet.
        #[serde(default)]
        pub first_start: bool,
        /// Within which a change of the table of routes must be in force on all hosts, in
        /// milliseconds.
        #[serde(default = "default_change_ms")]
        pub change_ms: u64,
        /// Within which all hosts must have stopped sending to a leaving backend server, in
        /// milliseconds.
        #[serde(default = "default_change_ms")]
        pub leaving_ms: u64,
        /// Within which the host must know all that has changed once its connections work again, in
        /// milliseconds.
        #[serde(default = "default_contact_ms")]
        pub contact_ms: u64,
        /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
        #[serde(default = "default_log")]
        pub log: Name,
        /// Worker threads; as many as the host has cores.
        #[serde(default = "default_threads")]
        pub threads: u32,
        /// From the signal to stop until the process must have ended, in milliseconds.
        #[serde(default = "default_drain_ms")]
        pub drain_ms: u64,
        /// All failure domains of the deployment, this host's among them; how many there are decides which
        /// part of the repeats of all hosts is this one's. Without them they are taken for many.
        #[serde(default)]
        pub failure_domains: Vec<Name>,
        /// How often requests may be sent to another backend server, on all hosts together.
        #[serde(default)]
        pub repeats: Repeats,
        /// Part of a service's requests that a bad version may get in the time of a roll-out.
        #[serde(default = "default_exposure_share")]
        pub exposure_share: f64,
        /// Delay in milliseconds from which the host closes a part of new connections unread, if it is never
        /// less late with what is due for a while; none if it takes them all. For a process that has its
        /// processor to itself, or a fixed share of it.
        #[serde(default)]
        pub standing_delay_ms: Option<f64>,
        /// What the host may use: of the hosts of a failure domain a stronger one reads the store's
        /// lists for the others.
        #[serde(default)]
        pub resources: Resources,
    }

    /// What a host may use.
    #[derive(Copy)]
    #[serde(default)]
    pub struct Resources {
        /// Of a core.
        pub core_share: f64,
        /// Its link, in megabits a second.
        pub link_mbps: f64,
        /// Descriptors of files and sockets; none if any number.
        pub descriptors: Option<u32>,
        /// Memory, in megabytes; none if any amount.
        pub memory_mb: Option<u64>,
    }

    /// Bounds on requests sent again.
    #[serde(default)]
    pub struct Repeats {
        /// For each request.
        pub share: f64,
        /// Beyond that, in each window, on all hosts together.
        pub slack: f64,
        /// Length of the window, in milliseconds.
        pub window_ms: u64,
    }

    /// A control's address.
    pub struct Peer {
        /// The host's name.
        pub name: Name,
        /// Where the host stands.
        pub failure_domain: Name,
        /// IP number and port.
        pub address: SocketAddr,
    }

    /// A secret, named rather than written down.
    #[serde(rename_all = "snake_case")]
    pub enum Secret {
        /// Path of a file that holds it.
        File(String),
        /// Name of an environment variable that holds it.
        Env(String),
        /// The secret itself, for the demo and for tests only: `check` warns of it.
        Text(String),
    }

    /// Bounds on what callers send.
    #[serde(default)]
    pub struct Bounds {
        /// Bytes of all headers together.
        pub header_bytes: usize,
        /// Bytes of a body.
        pub body_bytes: usize,
        /// Longest time a caller may take to send headers, and between two pieces of a body.
        pub slow_ms: u64,
        /// Requests at once; over it new ones are refused.
        pub in_flight: usize,
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

/// What the smallest deployments ask for.
fn default_change_ms() -> u64 {
    2_000
}

/// What the smallest deployments ask for.
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

const SECRET_FORM: &str = "must be {\"file\": PATH}, {\"env\": NAME} or {\"text\": SECRET}";

/// Reads and checks settings.
///
/// # Errors
/// Every fault found.
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut value =
        read::parse_json(text, &mut faults).map_err(|e| vec![Fault::at("", e.to_string())])?;
    let role = value.as_object_mut().and_then(|members| members.remove("role"));
    let (settings, mended) = match role.as_ref().and_then(|role| role.as_str()) {
        Some("entry") => {
            let (entry, mended) = read::deserialize_repaired(value, &mut faults);
            (entry.map(Settings::Entry), mended)
        }
        Some("control") => {
            let (control, mended) = read::deserialize_repaired(value, &mut faults);
            (control.map(Settings::Control), mended)
        }
        Some("node") => {
            let (node, mended) = read::deserialize_repaired(value, &mut faults);
            (node.map(Settings::Node), mended)
        }
        _ => {
            faults.push(Fault::at("role", "must be \"entry\", \"control\" or \"node\""));
            (None, Vec::new())
        }
    };
    // The derived reader quotes what it can't read, and that may be the secret itself.
    for fault in faults.iter_mut().filter(|fault| is_within(&fault.path, "peer_key")) {
        fault.message = SECRET_FORM.to_owned();
    }
    let mut broken = Vec::new();
    match &settings {
        Some(Settings::Entry(entry)) => check::entry(entry, &mut broken),
        Some(Settings::Control(control)) => check::control(control, &mut broken),
        Some(Settings::Node(node)) => check::node(node, &mut broken),
        None => {}
    }
    // What stands where a fault was mended is ours, not the operator's.
    broken.retain(|fault| !mended.iter().any(|path| is_within(&fault.path, path)));
    faults.extend(broken);
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

/// Whether a text may name a host, account, version or the like.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    (1..=64).contains(&text.len())
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

/// Whether a text is a SHA-256 in hexadecimal.
#[must_use]
pub fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit())
}
