//! Verdicts on versions by real `node` processes, between stand-ins that behave as backend servers
//! do on a real network: pieces of streams arrive in bursts, and answers miss their deadlines.

#[path = "soak/ports.rs"]
mod ports;
mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use platform::names;
use serde_json::json;
use standin::platform::Platform;
use standin::routed::{Script, ScriptedReply, ScriptedServer};
use standin::server::{Running, start};
use support::call::Call;
use support::{ANY, process, wait_until};
use tokio_util::task::AbortOnDropHandle;

const HOST: &str = "callers.example";
const KEY: &str = "key-of-office";
const SERVICE: &str = "desk";
const ORDER: &str = "rollout/desk";
/// Time that the orders allow, in seconds. The trial begins after half of it.
const WITHIN_S: f64 = 10.0;
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(4);
/// Backend servers of each version.
const SERVERS: usize = 2;

/// Two nodes, backend servers of two versions, and callers.
struct Fleet {
    store: Running<Platform>,
    old: Vec<Running<ScriptedServer>>,
    new: Vec<Running<ScriptedServer>>,
    nodes: Vec<(Child, SocketAddr)>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (child, _) in &mut self.nodes {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn servers(
    store: &Running<Platform>,
    version: &str,
    usual: &ScriptedReply,
) -> Vec<Running<ScriptedServer>> {
    let begin = |number| {
        let server = start(ANY, ScriptedServer::new(usual.clone())).expect("backend server");
        let entry = json!({
            "service": SERVICE, "address": server.address.to_string(), "zone": "a",
            "version": version, "slots": 64, "state": "ready", "sequence": 1,
        });
        store.put(names::table::BACKENDS, &format!("{version}-{number}"), &entry);
        server
    };
    (0..SERVERS).map(begin).collect()
}

/// The settings file of a node.
fn write_settings(directory: &str, number: usize, store: SocketAddr) -> (PathBuf, [SocketAddr; 2]) {
    let directory = process::directory(&format!("rollouts-{directory}-{number}"));
    let [callers, operators] = [ports::next(), ports::next()];
    let settings = json!({
        "role": "node", "name": format!("node-{number}"), "failure_domain": "a",
        "listen": callers, "operators": operators, "platform": store, "peers": "127.0.0.1:0",
        "failure_domains": ["a"],
        "repeats": {"share": 0.9, "slack": 50, "window_ms": 10_000}, "exposure_share": 0.15,
    });
    let file = directory.join("node.json");
    std::fs::write(&file, settings.to_string()).expect("settings");
    (file, [callers, operators])
}

impl Fleet {
    async fn start(name: &str, kind: &str, old: &ScriptedReply, new: &ScriptedReply) -> Self {
        let store = start(ANY, Platform::default()).expect("store");
        let route = json!({
            "name": "one", "host": HOST, "prefix": "/one/", "routeType": kind,
            "streamResumption": kind == "streaming", "gapTargetMs": 300,
            "timeoutMs": 5_000, "sloMs": 400, "priority": 1, "service": SERVICE, "maxAttempts": 2,
            "allowAnonymous": false,
        });
        let table = json!({
            "version": 1, "routes": [route],
            "services": [{"name": SERVICE, "maxConnections": 400}],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_096, "idleTimeoutMs": 15_000},
            "tenants": [{"name": "office", "apiKeys": [KEY], "priority": 1}],
        });
        store.put(names::table::OPERATORS, names::key::CONFIGURATION, &table);
        let mut fleet = Self {
            old: servers(&store, "v1", old),
            new: servers(&store, "v2", new),
            store,
            nodes: Vec::new(),
        };
        for number in 0..2 {
            let (file, [callers, operators]) = write_settings(name, number, fleet.store.address);
            let log = std::fs::File::create(file.with_extension("log")).expect("log");
            let child = Command::new(env!("CARGO_BIN_EXE_chestnutspur"))
                .args(["node", "--settings", &file.display().to_string()])
                .stdout(log.try_clone().expect("log"))
                .stderr(log)
                .stdin(Stdio::null())
                .spawn()
                .expect("node");
            fleet.nodes.push((child, callers));
            wait_until("a node is ready", async || {
                Call::get("/ready").send(operators).await.is_some_and(|reply| reply.status == 200)
            })
            .await;
        }
        fleet
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
    fn start_load(&self, deadline_ms: u64) -> AbortOnDropHandle<()> {
        let targets: Vec<_> = self.nodes.iter().map(|(_, callers)| *callers).collect();
        AbortOnDropHandle::new(tokio::spawn(async move {
            for number in 0_usize.. {
                let call = Call::new(hyper::Method::POST, "/one/x", "")
                    .header("host", HOST)
                    .header("authorization", &format!("Bearer {KEY}"))
                    .header(names::DEADLINE_MS, &deadline_ms.to_string())
                    .header(names::REQUEST_ID, &format!("request-{number}"));
                tokio::spawn(call.send(targets[number % targets.len()]));
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
        }))
    }

    /// Lets the servers of the new version give these replies in turn, from the next request on.
    fn reply_in_turn(servers: &[Running<ScriptedServer>], replies: &[ScriptedReply]) {
        for server in servers {
            for _ in 0..500 {
                replies.iter().for_each(|reply| server.queue_reply(reply.clone()));
            }
        }
    }

    /// Orders the roll-out and returns its outcome.
    async fn roll_out(&self) -> String {
        self.order();
        wait_until("begun", async || self.state() == "running").await;
        wait_until("decided", async || self.state() != "running").await;
        self.state()
    }
}

fn stream(events: u64, pause_ms: u64, burst: u64) -> ScriptedReply {
    let pause = Duration::from_millis(pause_ms);
    ScriptedReply::Stream(Script { events, pause, burst, ..Script::default() })
}

/// Guards against good versions that are rolled back because their streams arrive in bursts.
#[tokio::test(flavor = "multi_thread")]
async fn good_version_in_bursts_is_done() {
    let usual = stream(20, 25, 2);
    let fleet = Fleet::start("good", "streaming", &usual, &usual).await;
    let _load = fleet.start_load(5_000);
    assert_eq!(fleet.roll_out().await, "succeeded");
}

/// Guards against a slow version that is declared done because two events that arrive together
/// make its streams look quick.
#[tokio::test(flavor = "multi_thread")]
async fn slow_version_in_bursts_is_rolled_back() {
    let fleet = Fleet::start("bursts", "streaming", &stream(20, 25, 2), &stream(20, 200, 2)).await;
    let _load = fleet.start_load(8_000);
    assert_eq!(fleet.roll_out().await, "rolled_back");
}

/// Guards against a slow version that is declared done because its slow streams end at their
/// deadlines, and only the quick ones are counted.
#[tokio::test(flavor = "multi_thread")]
async fn slow_version_past_its_deadlines_is_rolled_back() {
    let usual = stream(20, 25, 1);
    let fleet = Fleet::start("deadlines", "streaming", &usual, &usual).await;
    Fleet::reply_in_turn(&fleet.new, &[stream(20, 400, 1), usual]);
    let _load = fleet.start_load(1_500);
    assert_eq!(fleet.roll_out().await, "rolled_back");
}

/// Guards against a version that is declared done although it never answers some requests.
#[tokio::test(flavor = "multi_thread")]
async fn version_silent_past_its_deadlines_is_rolled_back() {
    let usual = ScriptedReply::AnswerAfter(Duration::from_millis(30));
    let fleet = Fleet::start("silent", "non_idempotent", &usual, &usual).await;
    Fleet::reply_in_turn(&fleet.new, &[ScriptedReply::Silence, usual]);
    let _load = fleet.start_load(1_000);
    assert_eq!(fleet.roll_out().await, "rolled_back");
}

/// Guards against a failing version that is declared done because the version before failed as
/// often until the trial began.
#[tokio::test(flavor = "multi_thread")]
async fn failing_version_after_trouble_of_the_old_one_is_rolled_back() {
    let (usual, failure) = (ScriptedReply::Answer(200), ScriptedReply::Answer(500));
    let fleet = Fleet::start("trouble", "non_idempotent", &usual, &usual).await;
    Fleet::reply_in_turn(&fleet.new, &[failure.clone(), usual.clone()]);
    // Enough failures for nearly all requests until the trial begins.
    for server in &fleet.old {
        (0..550).for_each(|_| server.queue_reply(failure.clone()));
    }
    let _load = fleet.start_load(1_000);
    assert_eq!(fleet.roll_out().await, "rolled_back");
}
