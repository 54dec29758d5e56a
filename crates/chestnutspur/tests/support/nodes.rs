//! A small deployment of real `node` processes on the users' platform, between stand-ins.

#[path = "../soak/ports.rs"]
mod ports;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use platform::names;
use serde_json::{Value, json};
use standin::platform::Platform;
use standin::proxy::{self, Proxy};
use standin::routed::{ScriptedReply, ScriptedServer};
use standin::server::{Running, start};
use tokio_util::task::AbortOnDropHandle;

use super::call::{Call, Reply};
use super::{ANY, process, wait_until};

const HOST: &str = "callers.example";
const KEY: &str = "key-of-office";
const SERVICE: &str = "desk";
/// Key of the order to roll out the service.
const ORDER: &str = "rollout/desk";
/// Time that the orders allow, in seconds. The trial begins after half of it.
const WITHIN_S: f64 = 10.0;
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(4);
/// Bytes of bodies that may be sent in [`REQUEST_INTERVAL`].
const LOAD_BYTES: u32 = 512 << 10;
/// Backend servers of each version.
const SERVERS: usize = 2;

/// Time from the signal to stop until the node must have ended.
pub const GRACE: Duration = Duration::from_secs(8);
/// Memory that each node may use, in megabytes.
pub const MEMORY_MB: u64 = 110;
/// Longest body of a request, in bytes.
pub const BODY_BYTES_MAX: usize = 4 << 20;

/// Two nodes, backend servers of two versions, and callers.
pub struct Fleet {
    pub store: Running<Platform>,
    pub old: Vec<Running<ScriptedServer>>,
    pub new: Vec<Running<ScriptedServer>>,
    pub nodes: Vec<(Child, SocketAddr)>,
    /// Each node's way to the store.
    pub links: Vec<Proxy>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (child, _) in &mut self.nodes {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The entry of a backend server.
pub fn entry(address: SocketAddr, version: &str) -> Value {
    json!({
        "service": SERVICE, "address": address.to_string(), "zone": "a",
        "version": version, "slots": 64, "state": "ready", "sequence": 1,
    })
}

fn servers(
    store: &Running<Platform>,
    version: &str,
    usual: &ScriptedReply,
) -> Vec<Running<ScriptedServer>> {
    let begin = |number| {
        let server = start(ANY, ScriptedServer::new(usual.clone())).expect("backend server");
        let entry = entry(server.address, version);
        store.put(names::table::BACKENDS, &format!("{version}-{number}"), &entry);
        server
    };
    (0..SERVERS).map(begin).collect()
}

/// The settings file of a node.
fn write_settings(name: &str, store: SocketAddr) -> (PathBuf, [SocketAddr; 2]) {
    let directory = process::directory(&format!("nodes-{name}"));
    let [callers, operators] = [ports::next(), ports::next()];
    let settings = json!({
        "role": "node", "name": name, "failure_domain": "a",
        "listen": callers, "operators": operators, "platform": store, "peers": "127.0.0.1:0",
        "failure_domains": ["a"],
        "resources": {"memory_mb": MEMORY_MB}, "drain_ms": GRACE.as_millis() as u64,
        "repeats": {"share": 0.9, "slack": 50, "window_ms": 10_000}, "exposure_share": 0.15,
    });
    let file = directory.join("node.json");
    std::fs::write(&file, settings.to_string()).expect("settings");
    (file, [callers, operators])
}

impl Fleet {
    /// Starts two nodes and the servers of both versions, and waits until the nodes are ready.
    pub async fn start(name: &str, kind: &str, old: &ScriptedReply, new: &ScriptedReply) -> Self {
        let store = start(ANY, Platform::default()).expect("store");
        let route = json!({
            "name": "one", "host": HOST, "prefix": "/one/", "routeType": kind,
            "streamResumption": kind == "streaming", "gapTargetMs": 300,
            "timeoutMs": 20_000, "sloMs": 400, "priority": 1, "service": SERVICE, "maxAttempts": 2,
            "allowAnonymous": false,
        });
        let table = json!({
            "version": 1, "routes": [route],
            "services": [{"name": SERVICE, "maxConnections": 400}],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": BODY_BYTES_MAX, "idleTimeoutMs": 15_000},
            "tenants": [{"name": "office", "apiKeys": [KEY], "priority": 1}],
        });
        store.put(names::table::OPERATORS, names::key::CONFIGURATION, &table);
        let mut fleet = Self {
            old: servers(&store, "v1", old),
            new: servers(&store, "v2", new),
            store,
            nodes: Vec::new(),
            links: Vec::new(),
        };
        for number in 0..2 {
            fleet.add_node(&format!("{name}-{number}")).await;
        }
        fleet
    }

    /// Starts a node and waits until it is ready.
    pub async fn add_node(&mut self, name: &str) {
        let link = proxy::start(ANY).await.expect("way to the store");
        link.set_target(self.store.address);
        let (file, [callers, operators]) = write_settings(name, link.address);
        self.links.push(link);
        let log = std::fs::File::create(file.with_extension("log")).expect("log");
        let child = Command::new(env!("CARGO_BIN_EXE_chestnutspur"))
            .args(["node", "--settings", &file.display().to_string()])
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .expect("node");
        self.nodes.push((child, callers));
        wait_until("a node is ready", async || {
            Call::get("/ready").send(operators).await.is_some_and(|reply| reply.status == 200)
        })
        .await;
    }

    fn order(&self) {
        let order = json!({"service": SERVICE, "target": "v2", "durationS": WITHIN_S});
        self.store.put(names::table::OPERATORS, ORDER, &order);
    }

    fn state(&self) -> String {
        let status = self.store.get(names::table::STATUS, ORDER);
        status.and_then(|status| Some(status["state"].as_str()?.to_owned())).unwrap_or_default()
    }

    /// Sends requests with this deadline to the nodes in turn, until the result is dropped.
    pub fn start_load(&self, deadline_ms: u64) -> AbortOnDropHandle<()> {
        self.start_load_of(deadline_ms, 0)
    }

    /// Like [`Self::start_load`], with bodies of this length.
    pub fn start_load_of(&self, deadline_ms: u64, body_bytes: usize) -> AbortOnDropHandle<()> {
        let targets: Vec<_> = self.nodes.iter().map(|(_, callers)| *callers).collect();
        AbortOnDropHandle::new(tokio::spawn(async move {
            for number in 0_usize.. {
                let call = call(&format!("request-{number}"), deadline_ms, body_bytes);
                tokio::spawn(call.send(targets[number % targets.len()]));
                // As many bytes a second as a link carries, also of long bodies.
                let interval = REQUEST_INTERVAL * (1 + body_bytes as u32 / LOAD_BYTES);
                tokio::time::sleep(interval).await;
            }
        }))
    }

    /// Orders the roll-out and returns its outcome.
    pub async fn roll_out(&self) -> String {
        self.order();
        wait_until("begun", async || self.state() == "running").await;
        wait_until("decided", async || self.state() != "running").await;
        self.state()
    }

    /// Sends a request to a node.
    pub async fn send(&self, node: usize, id: &str) -> Option<Reply> {
        call(id, 2_000, 0).send(self.nodes[node].1).await
    }

    /// Whether all processes still run.
    pub fn are_running(&mut self) -> bool {
        self.nodes.iter_mut().all(|(child, _)| matches!(child.try_wait(), Ok(None)))
    }
}

/// The head of a request on a kept connection, without its last line.
pub fn raw_head(id: &str, deadline_ms: u64) -> String {
    let (deadline, name) = (names::DEADLINE_MS, names::REQUEST_ID);
    format!(
        "POST /one/{id} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         {deadline}: {deadline_ms}\r\n{name}: {id}\r\ncontent-length: 0\r\n"
    )
}

fn call(id: &str, deadline_ms: u64, body_bytes: usize) -> Call {
    Call::new(hyper::Method::POST, &format!("/one/{id}"), "x".repeat(body_bytes))
        .header("host", HOST)
        .header("authorization", &format!("Bearer {KEY}"))
        .header(names::DEADLINE_MS, &deadline_ms.to_string())
        .header(names::REQUEST_ID, id)
}
