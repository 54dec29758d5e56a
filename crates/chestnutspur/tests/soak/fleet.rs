//! The fleet of one play: node processes, stand-ins, a proxy before each of them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use platform::{document, names};
use policy::name::Name;
use serde_json::{Value, json};
use standin::platform::Platform;
use standin::platform::fault::Faults;
use standin::proxy::{self, Mode, Proxy};
use standin::routed::{Arrival, Reply, ScriptedServer};
use standin::server::{Running, start};
use wire::routing::{Account, Limits, Route, Service, Table, Target, Warmup};

use crate::callers::{self, Deadly, Kind, Outcome};
use crate::{faults, ports};

pub const HOST: &str = "callers.example";
pub const KEY: &str = "key-of-office";
const NODES: usize = 3;
/// Servers that a request may be sent to.
pub const ATTEMPTS_MAX: u32 = 3;
const BACKENDS: usize = 4;
/// Until a server that has ended is back.
const AWAY: Duration = Duration::from_millis(200);
/// Nodes in touch with the store know of a third server's end by then.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Servers that may end under the same request after that.
const RETRIES_MAX: usize = 3;

/// One node process.
pub struct Node {
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Readiness.
    pub operators: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// All that takes part.
pub struct Fleet {
    pub directory: PathBuf,
    pub store: Running<Platform>,
    /// Between each node and the store.
    pub store_proxies: Vec<Proxy>,
    pub backends: Vec<Arc<Running<ScriptedServer>>>,
    /// How often each backend server was started; each start has an id of its own.
    pub starts: Vec<u32>,
    /// Before each backend server.
    pub backend_proxies: Vec<Proxy>,
    pub nodes: Vec<Node>,
    /// Routes that tables have more, from now on.
    pub more_routes: usize,
    /// What backend servers take until they are warm, if they have to warm up.
    pub warmup: Option<Warmup>,
    /// What backend servers end of.
    pub deadly: Deadly,
    /// The version of the newest table.
    version: u64,
}

/// Where a node or backend server stands.
pub fn domain(number: usize) -> &'static str {
    if number.is_multiple_of(2) { "a" } else { "b" }
}

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address")
}

/// The table of routes of a version, with so many routes more that nobody asks for.
pub fn table(version: u64, more: usize, warmup: Option<Warmup>) -> Value {
    let route = |kind: Kind| Route {
        name: Name::from(kind.name()),
        host: Name::from(HOST),
        prefix: Name::from(format!("/{}/", kind.name())),
        kind: kind.routed(),
        attempts_max: ATTEMPTS_MAX,
        timeout_ms: 3_000,
        objective_ms: 300,
        gap_ms: Some(300),
        priority: 1,
        anonymous: false,
        targets: vec![Target { service: Name::from("desk"), weight: 1 }],
        models: Vec::new(),
    };
    let service =
        Service { name: Name::from("desk"), models: Vec::new(), connections_max: 100, warmup };
    let account =
        Account { name: Name::from("office"), keys: vec![Name::from(KEY)], priority: None };
    let unused = |number| Route {
        name: Name::from(format!("unused-{number}")),
        prefix: Name::from(format!("/unused-{number}/")),
        ..route(Kind::ALL[0])
    };
    let table = Table {
        version,
        routes: Kind::ALL.map(route).into_iter().chain((0..more).map(unused)).collect(),
        services: vec![service],
        accounts: vec![account],
        limits: Limits::default(),
    };
    document::write_configuration(&table).expect("table")
}

impl Fleet {
    /// Starts everything and waits until all nodes are ready.
    pub async fn start(seed: u64) -> Self {
        // Settings files of two soaks at once must not be the same: nodes that start again would read
        // the other's.
        let name = format!("soak-{seed}-{}", std::process::id());
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).expect("directory");
        let store = start(any(), Platform::default()).expect("store");
        let mut fleet = Self {
            directory,
            store,
            store_proxies: Vec::new(),
            backends: Vec::new(),
            starts: vec![0; BACKENDS],
            backend_proxies: Vec::new(),
            nodes: Vec::new(),
            more_routes: 0,
            warmup: faults::warmup(seed),
            deadly: faults::deadly(seed),
            version: 0,
        };
        fleet.put_table(1);
        for number in 0..BACKENDS {
            let act = Reply::Stream(callers::script());
            let backend = start(any(), ScriptedServer::new(act)).expect("backend server");
            backend.crash_on_body(callers::DEADLY);
            backend.crash_on_prompt_parts(&[callers::DEADLY_PART]);
            fleet.backend_proxies.push(proxy_to(backend.address).await);
            fleet.backends.push(Arc::new(backend));
            fleet.list(number, "ready");
        }
        for number in 0..NODES {
            fleet.store_proxies.push(proxy_to(fleet.store.address).await);
            let node = Node::start(&fleet, number);
            fleet.nodes.push(node);
        }
        for number in 0..NODES {
            fleet.until_ready(number).await;
        }
        fleet
    }

    /// Puts a table of routes in force.
    pub fn put_table(&mut self, version: u64) {
        let table = table(version, self.more_routes, self.warmup);
        self.store.put(names::table::OPERATORS, names::key::CONFIGURATION, &table);
        self.version = version;
    }

    /// Lists a backend server as ready or leaving.
    pub fn list(&self, number: usize, state: &str) {
        let entry = json!({
            "service": "desk", "address": self.backend_proxies[number].address.to_string(),
            "zone": domain(number), "version": "v1", "slots": 32, "state": state,
            "coldRemainingMs": self.warmup_ms(number),
        });
        self.store.put(names::table::BACKENDS, &self.id(number), &entry);
    }

    /// Only those that have been started again are cold.
    fn warmup_ms(&self, number: usize) -> u64 {
        let warmup = self.warmup.filter(|_| self.starts[number] > 0);
        warmup.map_or(0, |warmup| warmup.ms)
    }

    /// Orders that a failure domain be evacuated, or takes that back.
    pub fn evacuate(&self, domain: &str, is_ordered: bool) {
        let key = format!("{}{domain}", names::key::EVACUATION);
        match is_ordered {
            true => self.store.put(names::table::OPERATORS, &key, &json!({})),
            false => self.store.remove(names::table::OPERATORS, &key),
        }
    }

    /// The id of a backend server's start.
    pub fn id(&self, number: usize) -> String {
        format!("b{number}-{}", self.starts[number])
    }

    /// A backend server's entry is removed, and it starts anew.
    pub fn start_backend_again(&mut self, number: usize) {
        self.store.remove(names::table::BACKENDS, &self.id(number));
        self.starts[number] += 1;
        self.list(number, "ready");
    }

    /// What is deadly comes to a node. Servers that run it end, and are back under another id.
    pub async fn strike(&mut self, node: usize) {
        let strike = tokio::spawn(callers::strike(self.nodes[node].callers, self.deadly));
        let mut is_over = false;
        while !is_over {
            // Those that it reached last have yet to end when its caller has an answer.
            is_over = strike.is_finished();
            for number in 0..BACKENDS {
                let ending = self.backends[number].crashed();
                if tokio::time::timeout(Duration::from_millis(2), ending).await.is_ok() {
                    self.backend_proxies[number].set_mode(Mode::Closed);
                    tokio::time::sleep(AWAY).await;
                    self.start_backend_again(number);
                    self.backend_proxies[number].set_mode(Mode::Pass);
                }
            }
        }
    }

    /// When it reached servers.
    fn struck(&self) -> Vec<Instant> {
        let arrivals = self.backends.iter().flat_map(|backend| backend.arrivals());
        let has_part = |arrival: &Arrival| {
            let parts = arrival.headers.get(names::PROMPT_PARTS).map(|parts| parts.as_bytes());
            parts.is_some_and(|parts| String::from_utf8_lossy(parts).contains(callers::DEADLY_PART))
        };
        let deadly =
            arrivals.filter(|arrival| arrival.body == callers::DEADLY || has_part(arrival));
        let mut struck: Vec<Instant> = deadly.map(|arrival| arrival.at).collect();
        struck.sort();
        struck
    }

    /// After the faults a request, or a part of prompts, under which three servers have ended is held everywhere.
    pub async fn holds_deadly(&mut self) -> Option<String> {
        let known_after = match self.deadly {
            Deadly::Request => 3,
            Deadly::Part => 5,
        };
        let before = self.struck().len();
        if before < known_after {
            return None;
        }
        tokio::time::sleep(CONTACT).await;
        for node in (0..NODES).chain(0..NODES) {
            self.strike(node).await;
        }
        let more = self.struck().len() - before;
        (more > RETRIES_MAX)
            .then(|| format!("{more} servers more ended under one {:?}", self.deadly))
    }

    async fn until_ready(&self, number: usize) {
        let began = Instant::now();
        while !callers::is_ready(self.nodes[number].operators).await {
            let late = began.elapsed() > Duration::from_secs(20);
            assert!(!late, "node {number} is not ready; logs in {}", self.directory.display());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Ends all faults and starts what is down.
    pub async fn heal(&mut self) {
        self.store.set_faults(Faults::default());
        self.backends.iter().for_each(|backend| {
            backend.announce_rate_limit(None);
            backend.set_reply(Reply::Stream(callers::script()));
        });
        for proxy in self.store_proxies.iter().chain(&self.backend_proxies) {
            proxy.set_mode(Mode::Pass);
            proxy.set_delay(Duration::ZERO);
        }
        for number in 0..NODES {
            self.nodes[number].signal("CONT");
            self.nodes[number].start_again();
        }
        for number in 0..NODES {
            self.until_ready(number).await;
        }
    }

    /// After the faults the newest table is in force everywhere.
    pub async fn has_newest_table(&self) -> Option<String> {
        // A long table takes two seconds on a narrow link, and one more may have come behind it.
        self.table_in_force(Duration::from_secs(10)).await
    }

    /// Waits until the newest table is in force everywhere; what is amiss if it isn't within a time.
    pub async fn table_in_force(&self, within: Duration) -> Option<String> {
        let until = Instant::now() + within;
        loop {
            let mut held = Vec::new();
            for node in &self.nodes {
                held.push(callers::table(node.operators).await);
            }
            match held.iter().all(|table| *table == Some(self.version)) {
                true => return None,
                false if Instant::now() > until => {
                    return Some(format!("table {} is not in force: {held:?}", self.version));
                }
                false => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }

    /// After the faults every request is served again.
    pub async fn serves_again(&self) -> Option<String> {
        // Connections that were lost meanwhile may be suspected for some seconds.
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            let mut unserved = Vec::new();
            for (number, node) in self.nodes.iter().enumerate() {
                for kind in Kind::ALL {
                    let seen = callers::once(node.callers, kind).await;
                    if !matches!(seen.outcome, Outcome::Answered { status: 200, whole: true, .. }) {
                        unserved.push(format!("node {number}: {seen:?}"));
                    }
                }
            }
            match unserved.is_empty() {
                true => return None,
                false if Instant::now() > until => return Some(format!("unserved: {unserved:?}")),
                false => tokio::time::sleep(Duration::from_millis(200)).await,
            }
        }
    }
}

async fn proxy_to(target: SocketAddr) -> Proxy {
    let proxy = proxy::start(any()).await.expect("proxy");
    proxy.set_target(target);
    proxy
}

impl Node {
    fn start(fleet: &Fleet, number: usize) -> Self {
        let mut node = Self {
            callers: ports::next(),
            operators: ports::next(),
            settings: fleet.directory.join(format!("node-{number}.json")),
            log: fleet.directory.join(format!("node-{number}.log")),
            child: None,
        };
        node.write_settings(fleet.store_proxies[number].address, number, 10_000);
        node.start_again();
        node
    }

    /// Writes the settings file; other values than before are a change.
    pub fn write_settings(&self, store: SocketAddr, number: usize, window_ms: u64) {
        let settings = json!({
            "role": "node", "name": format!("node-{number}"),
            "failure_domain": domain(number),
            "listen": self.callers, "operators": self.operators, "platform": store,
            "peers": "127.0.0.1:0", "drain_ms": 6_000,
            "failure_domains": ["a", "b"],
            "repeats": {"share": 0.9, "slack": 50, "window_ms": window_ms},
        });
        std::fs::write(&self.settings, settings.to_string()).expect("settings");
    }

    /// Starts the process unless it runs.
    pub fn start_again(&mut self) {
        if let Some(child) = &mut self.child
            && matches!(child.try_wait(), Ok(None))
        {
            return;
        }
        let open = || std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let child = Command::new(env!("CARGO_BIN_EXE_chestnutspur"))
            .args(["node", "--settings", &self.settings.display().to_string()])
            .stdout(open().expect("log"))
            .stderr(open().expect("log"))
            .stdin(Stdio::null())
            .spawn()
            .expect("node");
        self.child = Some(child);
    }

    /// Sends a signal by name, if it runs.
    pub fn signal(&mut self, signal: &str) {
        let Some(child) = &mut self.child else { return };
        if matches!(child.try_wait(), Ok(None)) {
            let id = child.id().to_string();
            let sent = Command::new("kill").args([&format!("-{signal}"), &id]).status();
            assert!(sent.expect("kill").success());
        }
    }

    /// Ends it without a word, and waits for that.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until it has ended by itself; false if it did not within a time.
    pub async fn ended(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            match self.child.as_mut().map(Child::try_wait) {
                Some(Ok(None)) => tokio::time::sleep(Duration::from_millis(20)).await,
                _ => return true,
            }
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
