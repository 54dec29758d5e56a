//! Controls in process, each on a runtime of its own, round one stand-in platform. Every way
//! between two of them, and from each to the platform, leads through a proxy of its own.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod claims;
pub mod http;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use metrics_exporter_prometheus::PrometheusBuilder;
use policy::name::Name;
use serde_json::{Value, json};
use standin::platform::{Platform, Settings};
use standin::proxy::{self, Mode, Proxy};
use standin::server::Running;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;
use wire::peer::{Key, Link};
use wire::settings::{Control, Peer, Secret};
use wire::view::{View, ViewRequest};

pub const PEER_KEY: &str = "a shared key of tests";
pub const TOKEN: &str = "operator's token of tests";
const LOCAL: &str = "127.0.0.1:0";

pub struct Host {
    pub name: Name,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    runtime: Option<Runtime>,
    stop: CancellationToken,
    task: Option<tokio::task::JoinHandle<()>>,
}

/// Hosts by number, two to a failure domain.
pub struct Deployment {
    pub platform: Running<Platform>,
    pub hosts: Vec<Host>,
    to_platform: Vec<Proxy>,
    links: BTreeMap<(usize, usize), Proxy>,
    poll_ms: u64,
    change: fn(&mut Control),
}

fn local() -> SocketAddr {
    LOCAL.parse().expect("an address")
}

pub fn name(number: usize) -> Name {
    Name::from(format!("host-{number}"))
}

pub fn domain(number: usize) -> Name {
    Name::from(format!("domain-{}", number / 2))
}

impl Deployment {
    /// Starts that many controls, with a platform that has no document yet.
    pub async fn start(count: usize) -> Self {
        Self::start_polling(count, 100).await
    }

    pub async fn start_polling(count: usize, poll_ms: u64) -> Self {
        Self::start_all(count, poll_ms, |_| {}).await
    }

    /// Starts with changed settings.
    pub async fn start_with(count: usize, change: fn(&mut Control)) -> Self {
        Self::start_all(count, 100, change).await
    }

    async fn start_all(count: usize, poll_ms: u64, change: fn(&mut Control)) -> Self {
        let platform = standin::platform::start(local(), Settings::default()).expect("a port");
        let mut to_platform = Vec::new();
        let mut links = BTreeMap::new();
        for from in 0..count {
            let way = proxy::start(local()).await.expect("a port");
            way.set_target(platform.address);
            to_platform.push(way);
            for to in (0..count).filter(|to| *to != from) {
                links.insert((from, to), proxy::start(local()).await.expect("a port"));
            }
        }
        let mut deployment =
            Self { platform, hosts: Vec::new(), to_platform, links, poll_ms, change };
        for number in 0..count {
            let host = deployment.host(number).await;
            deployment.hosts.push(host);
        }
        deployment.list_hosts();
        deployment
    }

    fn settings(&self, number: usize) -> Control {
        let peers = self.links.iter().filter(|((from, _), _)| *from == number);
        let peers = peers.map(|((_, to), way)| Peer {
            name: name(*to),
            failure_domain: domain(*to),
            address: way.address,
        });
        let settings = json!({
            "name": name(number),
            "failure_domain": domain(number),
            "listen": LOCAL,
            "operators": LOCAL,
            "platform": self.to_platform[number].address,
            "peers": peers.collect::<Vec<_>>(),
            "peer_key": Secret::Text(PEER_KEY.to_owned()),
            "operator_token_hashes": [control::operators::token::hash(TOKEN)],
            "poll_ms": self.poll_ms,
            "gossip_ms": 100
        });
        let mut settings = serde_json::from_value(settings).expect("settings");
        (self.change)(&mut settings);
        settings
    }

    async fn host(&self, number: usize) -> Host {
        let settings = self.settings(number);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let stop = CancellationToken::new();
        let stopping = stop.clone();
        let (bound, addresses) = tokio::sync::oneshot::channel();
        let task = runtime.spawn(async move {
            let listeners = control::Listeners::bind(&settings).await.expect("ports");
            let peers = listeners.peers.local_addr().expect("bound");
            let operators = listeners.operators.local_addr().expect("bound");
            bound.send((peers, operators)).expect("the test waits");
            let metrics = PrometheusBuilder::new().build_recorder().handle();
            control::run(settings, listeners, metrics, stopping).await.expect("it runs");
        });
        let (peers, operators) = addresses.await.expect("it binds");
        for ((_, to), way) in &self.links {
            if *to == number {
                way.set_target(peers);
            }
        }
        let task = Some(task);
        Host { name: name(number), operators, peers, runtime: Some(runtime), stop, task }
    }

    fn list_hosts(&self) {
        let hosts = self.hosts.iter().enumerate().map(|(number, host)| {
            json!({"name": host.name, "role": "control", "address": host.peers.to_string(),
                "failure_domain": domain(number), "state": "live"})
        });
        let hosts = Value::Array(hosts.collect());
        self.platform.set_hosts(serde_json::from_value(hosts).expect("hosts"));
    }

    /// Ends a host at once, as SIGKILL would.
    pub fn kill(&mut self, number: usize) {
        if let Some(runtime) = self.hosts[number].runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Stops a host in its tracks, as SIGSTOP would, until what is returned is dropped. Its
    /// connections stay open and take in what is sent.
    pub fn pause(&self, number: usize) -> std::sync::mpsc::Sender<()> {
        let (resume, paused) = std::sync::mpsc::channel::<()>();
        let (begun, begins) = std::sync::mpsc::channel::<()>();
        let runtime = self.hosts[number].runtime.as_ref().expect("it runs");
        // The runtime has one worker, which this keeps.
        runtime.spawn(async move {
            drop(begun);
            _ = paused.recv();
        });
        _ = begins.recv();
        resume
    }

    /// Starts a host again, which remembers nothing.
    pub async fn restart(&mut self, number: usize) {
        self.kill(number);
        self.hosts[number] = self.host(number).await;
    }

    pub fn cut_from_platform(&self, number: usize, mode: Mode) {
        self.to_platform[number].set_mode(mode);
    }

    /// Holds back what goes between failure domains, each way.
    pub fn delay_between_domains(&self, delay: Duration) {
        for ((from, to), way) in &self.links {
            if domain(*from) != domain(*to) {
                way.set_delay(delay);
            }
        }
    }

    /// Bytes that went between controls so far, both ways, without headers of TCP and IP.
    pub fn bytes(&self) -> u64 {
        self.links.values().map(Proxy::passed_bytes).sum()
    }

    /// Cuts both ways between one host and all others.
    pub fn cut_from_peers(&self, number: usize, mode: Mode) {
        for ((from, to), way) in &self.links {
            if *from == number || *to == number {
                way.set_mode(mode);
            }
        }
    }

    /// The generation that a host says is in force on it.
    pub async fn generation(&self, number: usize) -> u64 {
        let answer = http::get(self.hosts[number].operators, "/configuration").await;
        answer.json()["generation"].as_u64().unwrap_or(0)
    }

    pub async fn ready(&self, number: usize) -> bool {
        http::get(self.hosts[number].operators, "/ready").await.status == 200
    }

    pub async fn wait_generation(&self, number: usize, generation: u64) {
        wait_for(&format!("generation {generation} on host {number}"), || async {
            self.generation(number).await >= generation
        })
        .await;
    }

    pub async fn put(&self, number: usize, document: &Value, change: &str) -> http::Answer {
        http::put(self.hosts[number].operators, &document.to_string(), change).await
    }

    /// Puts the first document and waits for it everywhere.
    pub async fn first_document(&self) {
        let answer = self.put(0, &document(0), "first").await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        for number in 0..self.hosts.len() {
            self.wait_generation(number, 1).await;
            // One that still asks its peers serves no document yet.
            wait_for(&format!("host {number} ready"), || self.ready(number)).await;
        }
    }

    /// A way to a control as an entry or peer has it.
    pub fn link(&self, number: usize) -> Arc<Link> {
        let key = Key::new(PEER_KEY.as_bytes().to_vec());
        Arc::new(Link::new(self.hosts[number].peers, key))
    }

    /// One view, at once.
    pub async fn view(&self, number: usize, ask: ViewRequest) -> View {
        let link = self.link(number);
        let answer = link.call(Duration::from_secs(8), |client, context| async move {
            client.view(context, ask).await
        });
        answer.await.expect("a view")
    }

    /// Stops a host gracefully.
    pub fn stop(&self, number: usize) {
        self.hosts[number].stop.cancel();
    }

    /// Waits until a stopped host's process would exit.
    pub async fn stopped(&mut self, number: usize) {
        if let Some(task) = self.hosts[number].task.take() {
            task.await.expect("it ends without a panic");
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for number in 0..self.hosts.len() {
            self.kill(number);
        }
    }
}

/// Waits for a condition; fails after far longer than it can take.
pub async fn wait_for<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < Duration::from_secs(30), "still waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A sound document made from a generation.
pub fn document(generation: u64) -> Value {
    json!({
        "generation": generation,
        "versions": {
            "small-1": {"model": "small", "state": "live", "cost": 1, "pool": "engines",
                "quality": {"tagging": 0.9}},
            "small-2": {"model": "small", "state": "candidate", "cost": 1, "pool": "engines",
                "quality": {"tagging": 0.9}}
        },
        "pools": {"engines": {"slots": 8}},
        "accounts": {
            "dwu-claims": {
                "key_hashes": ["a".repeat(64)],
                "versions": ["small-1", "small-2"],
                "tasks": {"tagging": {"quality_target": 0.8, "may_repeat": true,
                    "deadline_ms": 2000}},
                "default_task": "tagging"
            }
        },
        "rollouts": {"next": {"version": "small-2", "steps": [0.05, 0.5], "step_ms": 1,
            "min_rated": 5, "guard": 0.7}},
        "session_keys": {"1": {"secret": "0f".repeat(32)}},
        "service_levels": {"tags": {"account": "dwu-claims", "objective": 0.99,
            "within_ms": 1000}}
    })
}

/// The same with another number of slots, so that two documents differ.
pub fn document_with_slots(generation: u64, slots: u32) -> Value {
    let mut document = document(generation);
    document["pools"]["engines"]["slots"] = json!(slots);
    document
}
