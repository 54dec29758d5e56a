//! The fleet of one run: node processes and stand-ins, with proxies on the paths between them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use platform::{document, names};
use policy::name::Name;
use serde_json::{Value, json};
use standin::platform::Platform;
use standin::platform::fault::Faults;
use standin::proxy::{self, Mode, Proxy};
use standin::routed::{ScriptedReply, ScriptedServer};
use standin::server::{Running, start};
use wire::routing::{Account, Engine, Limits, Route, Service, Table, Target, Warmup};

use crate::callers::{self, Crash, Kind};
use crate::node::Node;
use crate::scenario;

pub const HOST: &str = "callers.example";
pub const KEY: &str = "key-of-office";
/// Number of nodes.
pub const NODE_COUNT: usize = 3;
/// Number of backend servers that a request may be sent to.
pub const ATTEMPTS_MAX: u32 = 3;
/// Number of backend servers.
pub const BACKEND_COUNT: usize = 4;
/// Time from the crash of a backend server to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// The processes, stand-ins and proxies of one run.
pub struct Fleet {
    pub directory: PathBuf,
    pub store: Running<Platform>,
    /// Proxies between each node and the store.
    pub store_proxies: Vec<Proxy>,
    pub backends: Vec<Arc<Running<ScriptedServer>>>,
    /// Number of restarts of each backend server. The server has another id after each restart.
    pub restarts: Vec<u32>,
    /// Proxies in front of the backend servers.
    pub backend_proxies: Vec<Proxy>,
    pub nodes: Vec<Node>,
    /// Number of unused routes in the tables that are put from now on.
    pub extra_routes: usize,
    /// How restarted backend servers warm up; none if they needn't.
    pub warmup: Option<Warmup>,
    /// What crashes backend servers.
    pub crash: Crash,
    /// Optional settings of the nodes.
    pub settings: Value,
    /// Version of the newest routing table.
    version: u64,
}

/// Returns the failure domain of a node or backend server.
pub fn domain(number: usize) -> &'static str {
    if number.is_multiple_of(2) { "a" } else { "b" }
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address")
}

/// Returns a routing table with a number of extra routes that no caller uses.
pub fn routing_table(version: u64, extra_routes: usize, warmup: Option<Warmup>) -> Value {
    let route = |kind: Kind| Route {
        name: Name::from(kind.name()),
        host: Name::from(HOST),
        prefix: Name::from(format!("/{}/", kind.name())),
        kind: kind.route_kind(),
        attempts_max: ATTEMPTS_MAX,
        timeout_ms: 3_000,
        objective_ms: 300,
        gap_ms: Some(300),
        priority: 1,
        anonymous: false,
        targets: vec![Target { service: Name::from("desk"), weight: 1 }],
        models: Vec::new(),
    };
    let service = Service {
        name: Name::from("desk"),
        models: Vec::new(),
        connections_max: 100,
        warmup,
        engine: Some(Engine {
            events_max: 12,
            token_bytes: 18_432.0,
            link_mbps: 88_000.0,
            kv_capacity_tokens: 1_000_000.0,
            moves: 1.0,
            backups: 1.0,
            ..Engine::default()
        }),
    };
    let account =
        Account { name: Name::from("office"), keys: vec![Name::from(KEY)], priority: None };
    let unused = |number| Route {
        name: Name::from(format!("unused-{number}")),
        prefix: Name::from(format!("/unused-{number}/")),
        ..route(Kind::ALL[0])
    };
    let table = Table {
        version,
        routes: Kind::ALL.map(route).into_iter().chain((0..extra_routes).map(unused)).collect(),
        services: vec![service],
        accounts: vec![account],
        limits: Limits::default(),
    };
    document::write_configuration(&table).expect("table")
}

impl Fleet {
    /// Starts all parts and waits until all nodes are ready.
    pub async fn start(seed: u64) -> Self {
        // Soaks that run at the same time must not share settings files: a restarted node would
        // read those of the other soak.
        let name = format!("soak-{seed}-{}", std::process::id());
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).expect("directory");
        let store = start(any_port(), Platform::default()).expect("store");
        let mut fleet = Self {
            directory,
            store,
            store_proxies: Vec::new(),
            backends: Vec::new(),
            restarts: vec![0; BACKEND_COUNT],
            backend_proxies: Vec::new(),
            nodes: Vec::new(),
            extra_routes: 0,
            warmup: scenario::warmup(seed),
            crash: scenario::crash(seed),
            settings: scenario::settings(seed),
            version: 0,
        };
        fleet.put_table(1);
        for number in 0..BACKEND_COUNT {
            let act = ScriptedReply::Stream(callers::script());
            let backend = start(any_port(), ScriptedServer::new(act)).expect("backend server");
            backend.crash_on_body(callers::CRASH_BODY);
            backend.crash_on_prompt_parts(&[callers::CRASH_PART]);
            fleet.backend_proxies.push(proxy_to(backend.address).await);
            fleet.backends.push(Arc::new(backend));
            fleet.put_backend(number, "ready");
        }
        for number in 0..NODE_COUNT {
            fleet.store_proxies.push(proxy_to(fleet.store.address).await);
            let node = Node::start(&fleet, number);
            fleet.nodes.push(node);
        }
        for number in 0..NODE_COUNT {
            fleet.wait_until_ready(number).await;
        }
        fleet
    }

    /// Writes a routing table to the store.
    pub fn put_table(&mut self, version: u64) {
        let table = routing_table(version, self.extra_routes, self.warmup);
        self.store.put(names::table::OPERATORS, names::key::CONFIGURATION, &table);
        self.version = version;
    }

    /// Writes the entry of a backend server to the store's list, with the given state.
    pub fn put_backend(&self, number: usize, state: &str) {
        let entry = json!({
            "service": "desk", "address": self.backend_proxies[number].address.to_string(),
            "zone": domain(number), "version": "v1", "slots": 32, "state": state,
            "coldRemainingMs": self.cold_remaining_ms(number),
        });
        self.store.put(names::table::BACKENDS, &self.backend_id(number), &entry);
    }

    /// Returns the remaining warm-up in a backend server's entry. Only restarted servers are cold.
    fn cold_remaining_ms(&self, number: usize) -> u64 {
        let warmup = self.warmup.filter(|_| self.restarts[number] > 0);
        warmup.map_or(0, |warmup| warmup.ms)
    }

    /// Orders the evacuation of a failure domain, or withdraws the order.
    pub fn evacuate(&self, domain: &str, is_ordered: bool) {
        let key = format!("{}{domain}", names::key::EVACUATION);
        match is_ordered {
            true => self.store.put(names::table::OPERATORS, &key, &json!({})),
            false => self.store.remove(names::table::OPERATORS, &key),
        }
    }

    /// Returns the current id of a backend server, which changes with each restart.
    pub fn backend_id(&self, number: usize) -> String {
        format!("b{number}-{}", self.restarts[number])
    }

    /// Replaces a backend server's entry by one under another id, as a restart does.
    pub fn restart_backend(&mut self, number: usize) {
        self.store.remove(names::table::BACKENDS, &self.backend_id(number));
        self.restarts[number] += 1;
        self.put_backend(number, "ready");
    }

    /// Sends a node a request that crashes the servers that run it, and restarts these under other
    /// ids.
    pub async fn send_crash_request(&mut self, node: usize) {
        let request =
            tokio::spawn(callers::send_crash_request(self.nodes[node].callers, self.crash));
        let mut is_finished = false;
        while !is_finished {
            // The servers that it reached last may crash only after its caller has a response, so
            // one more round follows.
            is_finished = request.is_finished();
            for number in 0..BACKEND_COUNT {
                let ending = self.backends[number].crashed();
                if tokio::time::timeout(Duration::from_millis(2), ending).await.is_ok() {
                    self.backend_proxies[number].set_mode(Mode::Closed);
                    tokio::time::sleep(RESTART_DELAY).await;
                    self.restart_backend(number);
                    self.backend_proxies[number].set_mode(Mode::Pass);
                }
            }
        }
    }

    async fn wait_until_ready(&self, number: usize) {
        let started_at = Instant::now();
        while !callers::is_ready(self.nodes[number].operators).await {
            let is_late = started_at.elapsed() > Duration::from_secs(20);
            assert!(!is_late, "node {number} is not ready; logs in {}", self.directory.display());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Ends all faults, restarts nodes that are down and waits until all are ready.
    pub async fn clear_faults(&mut self) {
        self.store.set_faults(Faults::default());
        self.backends.iter().for_each(|backend| {
            backend.announce_rate_limit(None);
            backend.set_reply(ScriptedReply::Stream(callers::script()));
        });
        for proxy in self.store_proxies.iter().chain(&self.backend_proxies) {
            proxy.set_mode(Mode::Pass);
            proxy.set_delay(Duration::ZERO);
        }
        for number in 0..NODE_COUNT {
            self.nodes[number].signal("CONT");
            self.nodes[number].ensure_started();
        }
        for number in 0..NODE_COUNT {
            self.wait_until_ready(number).await;
        }
    }

    /// Waits until the newest table is in force on all nodes. Returns the violation if it takes
    /// longer than the timeout.
    pub async fn wait_for_table(&self, timeout: Duration) -> Option<String> {
        let deadline = Instant::now() + timeout;
        loop {
            let mut versions = Vec::new();
            for node in &self.nodes {
                versions.push(callers::table_version(node.operators).await);
            }
            match versions.iter().all(|table| *table == Some(self.version)) {
                true => return None,
                false if Instant::now() > deadline => {
                    return Some(format!("table {} is not in force: {versions:?}", self.version));
                }
                false => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }
}

async fn proxy_to(target: SocketAddr) -> Proxy {
    let proxy = proxy::start(any_port()).await.expect("proxy");
    proxy.set_target(target);
    proxy
}
