//! A small deployment of real `entry` and `control` processes between stand-ins.
//!
//! Each path that a fault can cut leads through its own proxy, and the processes know only the
//! proxies' addresses. Tests check what the stand-ins recorded.
#![allow(dead_code, reason = "each test file uses only some of the items")]

pub mod call;
pub mod configuration;
pub mod nodes;
pub mod process;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use policy::name::Name;
use serde_json::{Value, json};
use standin::backend::Capacity;
use standin::engine::{self, Engine};
use standin::platform::{self, Platform};
use standin::proxy::{self, Mode, Proxy};
use standin::rater::{self, Rater};
use standin::run::Run;
use standin::server::Running;
use standin::service::{self, Service};
use wire::host::{Host, HostState, Role};
use wire::shard::Holder;

use process::Process;

/// The loopback address with port 0: the system chooses a free port.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Timeout for a condition to become true; a test that reaches it fails.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);
/// Number of shards of each failure domain.
const SHARD_COUNT: usize = 4;
/// Key with which all processes of a test authenticate each other.
const PEER_KEY: &str = "a key for tests and nothing else";

/// Process that a path leads to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// The platform's stand-in.
    Platform,
    /// The control of the host with this index.
    Control(usize),
}

/// Process that uses a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The entry of the host with this index.
    Entry(usize),
    /// The control of the host with this index.
    Control(usize),
}

/// The two processes of one entry host.
pub struct HostPair {
    /// Failure domain of the host.
    pub failure_domain: &'static str,
    /// The host's data plane.
    pub entry: Process,
    /// The host's controllers.
    pub control: Process,
}

/// Description of a deployment to start.
pub struct Plan {
    /// The failure domain of each entry host.
    pub hosts: Vec<&'static str>,
    /// The failure domain of each engine.
    pub engines: Vec<&'static str>,
    /// Members that replace those of each control's settings.
    pub control: Value,
    /// Members that replace those of each entry's settings.
    pub entry: Value,
    /// Configuration document to apply; its generation is set when it is sent.
    pub document: Value,
    /// Settings of each engine, with the versions that it serves.
    pub engine: engine::Settings,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            hosts: vec!["north", "north", "south", "south"],
            engines: vec!["north", "north", "south", "south"],
            control: json!({}),
            entry: json!({}),
            document: configuration::document(),
            engine: engine::Settings {
                versions: ["small-1", "large-1", "large-2"]
                    .map(|version| (Name::from(version), engine::Version::default()))
                    .into(),
                capacity: Capacity { slots: 32, queue: 64 },
                ..engine::Settings::default()
            },
        }
    }
}

/// A running deployment.
pub struct Deployment {
    /// The platform's stand-in.
    pub platform: Running<Platform>,
    /// Model engines with the proxies in front of them.
    pub engines: Vec<(Running<Engine>, Proxy)>,
    /// A plain service with the proxy in front of it.
    pub service: (Running<Service>, Proxy),
    /// The service that rates answers.
    pub rater: Running<Rater>,
    /// Entry hosts, in the order of the plan.
    pub hosts: Vec<HostPair>,
    /// Proxies on the paths between entries, controls and the platform.
    pub paths: BTreeMap<(Source, Target), Proxy>,
    directory: PathBuf,
    plan: Plan,
}

impl Deployment {
    /// Starts all parts, applies the configuration document and waits until every entry is ready.
    pub async fn start(name: &str, plan: Plan) -> Self {
        let deployment = Self::start_unconfigured(name, plan).await;
        let document = deployment.plan.document.clone();
        let reply = deployment.apply(0, &document, "first").await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        deployment.wait_until_ready().await;
        deployment
    }

    /// Starts all parts without applying a configuration document.
    pub async fn start_unconfigured(name: &str, plan: Plan) -> Self {
        let directory = process::directory(name);
        let platform = platform::start(ANY, platform::Settings::default()).expect("platform");
        let mut engines = Vec::new();
        for _ in &plan.engines {
            let engine = engine::start(ANY, plan.engine.clone()).expect("engine");
            let proxy = proxy_to(engine.address).await;
            engines.push((engine, proxy));
        }
        let settings = service::Settings { name: "portal".into(), ..Default::default() };
        let service = service::start(ANY, settings).expect("service");
        let service_proxy = proxy_to(service.address).await;
        let rater = rater::start(ANY, rater::Faults::default()).expect("rater");
        let paths = Self::paths(plan.hosts.len(), platform.address).await;
        let mut deployment = Self {
            platform,
            engines,
            service: (service, service_proxy),
            rater,
            hosts: Vec::new(),
            paths,
            directory,
            plan,
        };
        let live = deployment.backend_hosts();
        deployment.platform.set_hosts(live);
        for index in 0..deployment.plan.hosts.len() {
            let control = deployment.spawn_control(index);
            let entry = deployment.spawn_entry(index);
            let failure_domain = deployment.plan.hosts[index];
            deployment.hosts.push(HostPair { failure_domain, entry, control });
        }
        deployment
    }

    async fn paths(hosts: usize, platform: SocketAddr) -> BTreeMap<(Source, Target), Proxy> {
        let mut paths = BTreeMap::new();
        for from in 0..hosts {
            paths.insert((Source::Control(from), Target::Platform), proxy_to(platform).await);
            for to in 0..hosts {
                for source in [Source::Entry(from), Source::Control(from)] {
                    let proxy = proxy::start(ANY).await.expect("proxy");
                    paths.insert((source, Target::Control(to)), proxy);
                }
            }
        }
        paths
    }

    /// Returns the host list with every backend server live.
    pub fn backend_hosts(&self) -> Vec<Host> {
        let versions: Vec<Name> = self.plan.engine.versions.keys().cloned().collect();
        let host = |name: String, role, address: SocketAddr, domain: &str, pool: &str| Host {
            name: name.into(),
            role,
            address: address.to_string().into(),
            failure_domain: domain.into(),
            pool: pool.into(),
            versions: if pool == "models" { versions.clone() } else { Vec::new() },
            state: HostState::Live,
        };
        let mut hosts: Vec<Host> = self
            .engines
            .iter()
            .zip(&self.plan.engines)
            .enumerate()
            .map(|(index, ((_, proxy), domain))| {
                host(format!("engine-{index}"), Role::Backend, proxy.address, domain, "models")
            })
            .collect();
        let service = self.service.1.address;
        hosts.push(host("portal-0".into(), Role::Backend, service, self.plan.hosts[0], "portal"));
        hosts.push(host("rater-0".into(), Role::Rater, self.rater.address, self.plan.hosts[0], ""));
        hosts
    }

    /// Sets the state of a backend server in the host list.
    pub fn set_state(&self, name: &str, state: HostState) {
        let mut hosts = self.platform.hosts();
        for host in hosts.iter_mut().filter(|host| &*host.name == name) {
            host.state = state;
        }
        self.platform.set_hosts(hosts);
    }

    fn peers(&self, source: Source) -> Vec<Value> {
        let own = match source {
            Source::Entry(index) | Source::Control(index) => index,
        };
        let mut order: Vec<usize> = (0..self.plan.hosts.len()).collect();
        // The own host comes first, then the own failure domain: the order that operators are told
        // to use in settings.
        order.sort_by_key(|&to| (to != own, self.plan.hosts[to] != self.plan.hosts[own]));
        order
            .into_iter()
            .filter(|&to| source != Source::Control(to))
            .map(|to| {
                json!({
                    "name": format!("host-{to}"),
                    "failure_domain": self.plan.hosts[to],
                    "address": self.paths[&(source, Target::Control(to))].address,
                })
            })
            .collect()
    }

    /// Starts or restarts the control of a host and points the proxies of all paths to it.
    pub fn spawn_control(&self, index: usize) -> Process {
        let mut settings = json!({
            "role": "control",
            "name": format!("host-{index}"),
            "failure_domain": self.plan.hosts[index],
            "listen": ANY,
            "operators": ANY,
            "platform": self.paths[&(Source::Control(index), Target::Platform)].address,
            "peers": self.peers(Source::Control(index)),
            "peer_key": {"text": PEER_KEY},
            "operator_token_hashes": [configuration::sha256("operator token")],
            "poll_ms": 200,
            "gossip_ms": 100,
            "shards": SHARD_COUNT,
        });
        merge(&mut settings, &self.plan.control);
        let name = format!("control-{index}");
        let process = Process::spawn(&self.directory, &name, "control", &settings);
        for ((_, to), proxy) in &self.paths {
            if *to == Target::Control(index) {
                proxy.set_target(process.address("peers"));
            }
        }
        process
    }

    /// Starts or restarts the entry of a host.
    pub fn spawn_entry(&self, index: usize) -> Process {
        let mut settings = json!({
            "role": "entry",
            "name": format!("host-{index}"),
            "failure_domain": self.plan.hosts[index],
            "listen": ANY,
            "operators": ANY,
            "controls": self.peers(Source::Entry(index)),
            "peer_key": {"text": PEER_KEY},
        });
        merge(&mut settings, &self.plan.entry);
        Process::spawn(&self.directory, &format!("entry-{index}"), "entry", &settings)
    }

    /// Sets the mode of every path for which `is_selected` returns true.
    pub fn set_paths(&self, mode: Mode, is_selected: impl Fn(Source, &Target) -> bool) {
        for ((source, target), proxy) in &self.paths {
            if is_selected(*source, target) {
                proxy.set_mode(mode);
            }
        }
    }

    /// Sets the mode of all paths between a failure domain and the others, and with `with_platform`
    /// also of its paths to the platform.
    pub fn cut_domain(&self, domain: &str, with_platform: bool, mode: Mode) {
        let is_inside = |index: usize| self.plan.hosts[index] == domain;
        self.set_paths(mode, |source, target| {
            let (Source::Entry(from) | Source::Control(from)) = source;
            match target {
                Target::Platform => with_platform && is_inside(from),
                Target::Control(to) => is_inside(from) != is_inside(*to),
            }
        });
    }

    /// Sends a document, edited from the given generation, to the first host's control.
    pub async fn apply(&self, generation: u64, document: &Value, change: &str) -> call::Reply {
        self.apply_at(0, generation, document, change).await.expect("an answer")
    }

    /// Sends a document, edited from the given generation, to the control of one host. Returns none
    /// if there is no response.
    pub async fn apply_at(
        &self,
        host: usize,
        generation: u64,
        document: &Value,
        change: &str,
    ) -> Option<call::Reply> {
        let mut document = document.clone();
        document["generation"] = generation.into();
        call::Call::put("/configuration", document.to_string())
            .header("authorization", "Bearer operator token")
            .header("chestnutspur-change", change)
            .send(self.hosts[host].control.address("operators"))
            .await
    }

    /// Waits until every entry reports that it is ready.
    pub async fn wait_until_ready(&self) {
        for host in &self.hosts {
            host.entry.wait_until_ready().await;
        }
    }

    /// Waits until each shard of each failure domain has an owner and a deputy in the platform's
    /// table. While the platform is down, no control can become either.
    pub async fn wait_for_shard_holders(&self) {
        let domains: BTreeSet<_> = self.plan.hosts.iter().collect();
        wait_until("an owner and a deputy for each shard", async || {
            let rows = self.platform.rows("shards");
            let holders =
                rows.iter().filter_map(|row| serde_json::from_str::<Holder>(&row.value).ok());
            holders.filter(|holder| !holder.deputy.is_empty()).count()
                == SHARD_COUNT * domains.len()
        })
        .await;
    }

    /// Returns the callers' address of a host.
    pub fn callers(&self, host: usize) -> SocketAddr {
        self.hosts[host].entry.address("callers")
    }

    /// Returns all runs that an engine or the service began.
    pub fn runs(&self) -> Vec<Run> {
        let engines = self.engines.iter().flat_map(|(engine, _)| engine.runs());
        engines.chain(self.service.0.runs()).filter(Run::has_begun).collect()
    }

    /// Returns the runs of a prompt.
    pub fn runs_of(&self, prompt: &str) -> Vec<Run> {
        let digest = standin::draw::digest(prompt);
        self.runs().into_iter().filter(|run| *run.digest == *digest).collect()
    }
}

async fn proxy_to(target: SocketAddr) -> Proxy {
    let proxy = proxy::start(ANY).await.expect("proxy");
    proxy.set_target(target);
    proxy
}

fn merge(settings: &mut Value, changes: &Value) {
    for (member, value) in changes.as_object().into_iter().flatten() {
        settings[member] = value.clone();
    }
}

/// Waits until a condition is true. `what` names it in the panic message of a timeout.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < CONDITION_TIMEOUT, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends all calls at the same time, each to the next address in turn, and returns the responses in
/// the order of the calls.
pub async fn burst(addresses: &[SocketAddr], calls: Vec<call::Call>) -> Vec<Option<call::Reply>> {
    let sends = calls.into_iter().enumerate();
    let tasks: Vec<_> = sends
        .map(|(index, call)| tokio::spawn(call.send(addresses[index % addresses.len()])))
        .collect();
    let mut replies = Vec::new();
    for task in tasks {
        replies.push(task.await.expect("a call's task"));
    }
    replies
}
