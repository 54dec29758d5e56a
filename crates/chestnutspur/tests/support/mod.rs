//! A small deployment of real `entry` and `control` processes between stand-ins.
//!
//! Every path that a fault can cut runs through a proxy of its own, so the processes never learn
//! an address behind it. Verdicts come from the stand-ins' records.
#![allow(dead_code, reason = "each test file uses its own part")]

pub mod call;
pub mod configuration;
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

/// Any free port of the loopback address.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Longest wait for a condition; a test that needs all of it has failed.
pub const PATIENCE: Duration = Duration::from_secs(40);
/// Shards of each failure domain.
const SHARDS: usize = 4;
/// Shared by all processes of a test.
const PEER_KEY: &str = "a key for tests and nothing else";

/// Which part a path leads to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// The platform.
    Platform,
    /// The control of that host.
    Control(usize),
}

/// Who uses a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum User {
    /// The entry of that host.
    Entry(usize),
    /// The control of that host.
    Control(usize),
}

/// One entry host.
pub struct HostPair {
    /// Its failure domain.
    pub failure_domain: &'static str,
    /// Its data plane.
    pub entry: Process,
    /// Its controllers.
    pub control: Process,
}

/// What to start.
pub struct Plan {
    /// The failure domain of each entry host.
    pub hosts: Vec<&'static str>,
    /// The failure domain of each engine.
    pub engines: Vec<&'static str>,
    /// Changes to a control's settings.
    pub control: Value,
    /// Changes to an entry's settings.
    pub entry: Value,
    /// The document, but for its generation.
    pub document: Value,
    /// How engines serve each version.
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

/// Everything that was started.
pub struct Deployment {
    /// The platform's stand-in.
    pub platform: Running<Platform>,
    /// Model engines, each behind a proxy.
    pub engines: Vec<(Running<Engine>, Proxy)>,
    /// A plain service, behind a proxy.
    pub service: (Running<Service>, Proxy),
    /// The service that rates answers.
    pub rater: Running<Rater>,
    /// Entry hosts.
    pub hosts: Vec<HostPair>,
    /// Proxies on the paths between our processes and to the platform.
    pub paths: BTreeMap<(User, Part), Proxy>,
    directory: PathBuf,
    plan: Plan,
}

impl Deployment {
    /// Starts everything, puts the document in force and waits until every entry is ready.
    pub async fn start(name: &str, plan: Plan) -> Self {
        let deployment = Self::without_configuration(name, plan).await;
        let document = deployment.plan.document.clone();
        let reply = deployment.apply(0, &document, "first").await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        deployment.ready().await;
        deployment
    }

    /// Starts everything; no document has been applied.
    pub async fn without_configuration(name: &str, plan: Plan) -> Self {
        let directory = process::directory(name);
        let platform = platform::start(ANY, platform::Settings::default()).expect("platform");
        let mut engines = Vec::new();
        for _ in &plan.engines {
            let engine = engine::start(ANY, plan.engine.clone()).expect("engine");
            let proxy = behind(engine.address).await;
            engines.push((engine, proxy));
        }
        let settings = service::Settings { name: "portal".into(), ..Default::default() };
        let service = service::start(ANY, settings).expect("service");
        let service_proxy = behind(service.address).await;
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

    async fn paths(hosts: usize, platform: SocketAddr) -> BTreeMap<(User, Part), Proxy> {
        let mut paths = BTreeMap::new();
        for from in 0..hosts {
            paths.insert((User::Control(from), Part::Platform), behind(platform).await);
            for to in 0..hosts {
                for user in [User::Entry(from), User::Control(from)] {
                    let proxy = proxy::start(ANY).await.expect("proxy");
                    paths.insert((user, Part::Control(to)), proxy);
                }
            }
        }
        paths
    }

    /// The host list with every backend server live.
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

    /// Changes a backend server's state in the host list.
    pub fn set_state(&self, name: &str, state: HostState) {
        let mut hosts = self.platform.hosts();
        for host in hosts.iter_mut().filter(|host| &*host.name == name) {
            host.state = state;
        }
        self.platform.set_hosts(hosts);
    }

    fn peers(&self, user: User) -> Vec<Value> {
        let own = match user {
            User::Entry(index) | User::Control(index) => index,
        };
        let mut order: Vec<usize> = (0..self.plan.hosts.len()).collect();
        // Own host first, then own failure domain, as operators are told to write it.
        order.sort_by_key(|&to| (to != own, self.plan.hosts[to] != self.plan.hosts[own]));
        order
            .into_iter()
            .filter(|&to| user != User::Control(to))
            .map(|to| {
                json!({
                    "name": format!("host-{to}"),
                    "failure_domain": self.plan.hosts[to],
                    "address": self.paths[&(user, Part::Control(to))].address,
                })
            })
            .collect()
    }

    /// Starts the control of a host, again if need be, and leads all paths to it.
    pub fn spawn_control(&self, index: usize) -> Process {
        let mut settings = json!({
            "role": "control",
            "name": format!("host-{index}"),
            "failure_domain": self.plan.hosts[index],
            "listen": ANY,
            "operators": ANY,
            "platform": self.paths[&(User::Control(index), Part::Platform)].address,
            "peers": self.peers(User::Control(index)),
            "peer_key": {"text": PEER_KEY},
            "operator_token_hashes": [configuration::sha256("operator token")],
            "poll_ms": 200,
            "gossip_ms": 100,
            "shards": SHARDS,
        });
        merge(&mut settings, &self.plan.control);
        let name = format!("control-{index}");
        let process = Process::spawn(&self.directory, &name, "control", &settings);
        for ((_, to), proxy) in &self.paths {
            if *to == Part::Control(index) {
                proxy.set_target(process.address("peers"));
            }
        }
        process
    }

    /// Starts the entry of a host, again if need be.
    pub fn spawn_entry(&self, index: usize) -> Process {
        let mut settings = json!({
            "role": "entry",
            "name": format!("host-{index}"),
            "failure_domain": self.plan.hosts[index],
            "listen": ANY,
            "operators": ANY,
            "controls": self.peers(User::Entry(index)),
            "peer_key": {"text": PEER_KEY},
        });
        merge(&mut settings, &self.plan.entry);
        Process::spawn(&self.directory, &format!("entry-{index}"), "entry", &settings)
    }

    /// Sets the mode of every path that fits.
    pub fn set_paths(&self, mode: Mode, fits: impl Fn(User, &Part) -> bool) {
        for ((user, part), proxy) in &self.paths {
            if fits(*user, part) {
                proxy.set_mode(mode);
            }
        }
    }

    /// Cuts a failure domain off from every other, and from the platform if asked to.
    pub fn cut_domain(&self, domain: &str, platform_too: bool, mode: Mode) {
        let inside = |index: usize| self.plan.hosts[index] == domain;
        self.set_paths(mode, |user, part| {
            let (User::Entry(from) | User::Control(from)) = user;
            match part {
                Part::Platform => platform_too && inside(from),
                Part::Control(to) => inside(from) != inside(*to),
            }
        });
    }

    /// Sends a document made from a generation to the first control that answers.
    pub async fn apply(&self, generation: u64, document: &Value, change: &str) -> call::Reply {
        self.apply_at(0, generation, document, change).await.expect("an answer")
    }

    /// The same to a certain control; none when there is no answer.
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

    /// Waits until every entry says that it is ready.
    pub async fn ready(&self) {
        for host in &self.hosts {
            host.entry.ready().await;
        }
    }

    /// Waits until each shard of each failure domain has an owner and a deputy in the platform's
    /// table: with the platform down nobody could become either.
    pub async fn shards_held(&self) {
        let domains: BTreeSet<_> = self.plan.hosts.iter().collect();
        until("an owner and a deputy for each shard", async || {
            let rows = self.platform.rows("shards");
            let holders =
                rows.iter().filter_map(|row| serde_json::from_str::<Holder>(&row.value).ok());
            holders.filter(|holder| !holder.deputy.is_empty()).count() == SHARDS * domains.len()
        })
        .await;
    }

    /// Where callers of a host come in.
    pub fn callers(&self, host: usize) -> SocketAddr {
        self.hosts[host].entry.address("callers")
    }

    /// Every run that an engine or the service may have begun, by our request id.
    pub fn runs(&self) -> Vec<Run> {
        let engines = self.engines.iter().flat_map(|(engine, _)| engine.runs());
        engines.chain(self.service.0.runs()).filter(Run::has_begun).collect()
    }

    /// Runs of a prompt, as the engines recorded them.
    pub fn runs_of(&self, prompt: &str) -> Vec<Run> {
        let digest = standin::draw::digest(prompt);
        self.runs().into_iter().filter(|run| *run.digest == *digest).collect()
    }
}

async fn behind(target: SocketAddr) -> Proxy {
    let proxy = proxy::start(ANY).await.expect("proxy");
    proxy.set_target(target);
    proxy
}

fn merge(settings: &mut Value, changes: &Value) {
    for (member, value) in changes.as_object().into_iter().flatten() {
        settings[member] = value.clone();
    }
}

/// Waits for a condition; the message says what never came.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < PATIENCE, "never came: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends calls at once, each to the next address in turn, and returns the answers in order.
pub async fn burst(to: &[SocketAddr], calls: Vec<call::Call>) -> Vec<Option<call::Reply>> {
    let sends = calls.into_iter().enumerate();
    let tasks: Vec<_> =
        sends.map(|(index, call)| tokio::spawn(call.send(to[index % to.len()]))).collect();
    let mut replies = Vec::new();
    for task in tasks {
        replies.push(task.await.expect("a call's task"));
    }
    replies
}
