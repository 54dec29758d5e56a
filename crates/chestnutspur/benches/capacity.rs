//! Resource use of `control` for each host as the number of controls grows: traffic, processor
//! time, memory, and the time until a change is in force on all hosts.
//!
//! Run with `cargo bench -p chestnutspur --bench capacity`. A proxy in front of each control and of
//! the platform counts the bytes, so they are the payload of TCP without its headers.

#[path = "../tests/support/mod.rs"]
mod support;

use std::path::Path;
use std::time::{Duration, Instant};

use policy::name::Name;
use serde_json::{Value, json};
use standin::platform::{self, Platform};
use standin::proxy::{self, Mode, Proxy};
use standin::server::Running;
use support::call::Call;
use support::process::{self, Process};
use support::{ANY, configuration};
use wire::host::{Host, HostState, Role};

/// Numbers of controls to measure; numbers on the command line replace them.
const CONTROL_COUNTS: [usize; 4] = [4, 8, 16, 32];
const FAILURE_DOMAIN_COUNT: usize = 8;
/// Length of a measurement without changes.
const IDLE_DURATION: Duration = Duration::from_secs(15);
/// Number of configuration changes, one a second.
const CHANGE_COUNT: u64 = 20;
/// Number of changes of the host list, one a second.
const HOST_CHANGE_COUNT: usize = 15;
/// Timeout for a change to come into force on a host.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

struct Fleet {
    platform: Running<Platform>,
    to_platform: Proxy,
    controls: Vec<(Process, Proxy)>,
}

/// Resources used so far, summed over all controls.
#[derive(Clone, Copy)]
struct Usage {
    at: Instant,
    peer_bytes: u64,
    platform_bytes: u64,
    platform_calls: u64,
    cpu_seconds: f64,
}

impl Fleet {
    async fn start(size: usize) -> Self {
        let directory = process::directory(&format!("capacity-{size}"));
        let platform = platform::start(ANY, platform::Settings::default()).expect("platform");
        let to_platform = proxy::start(ANY).await.expect("proxy");
        to_platform.set_target(platform.address);
        let mut proxies = Vec::new();
        for _ in 0..size {
            proxies.push(proxy::start(ANY).await.expect("proxy"));
        }
        platform.set_hosts(proxies.iter().enumerate().map(|(i, p)| host(i, p)).collect());
        let mut controls = Vec::new();
        for (index, proxy) in proxies.into_iter().enumerate() {
            let control = spawn(&directory, index, &proxy, &to_platform);
            proxy.set_target(control.address("peers"));
            controls.push((control, proxy));
        }
        Self { platform, to_platform, controls }
    }

    fn usage(&self) -> Usage {
        Usage {
            at: Instant::now(),
            peer_bytes: self.controls.iter().map(|(_, proxy)| proxy.passed_bytes()).sum(),
            platform_bytes: self.to_platform.passed_bytes(),
            platform_calls: self.to_platform.accepted_count(),
            cpu_seconds: self.controls.iter().map(|(control, _)| control.cpu_seconds()).sum(),
        }
    }

    fn memory_mb(&self) -> f64 {
        let peak_kb = self.controls.iter().map(|(control, _)| control.memory_kb()).max();
        peak_kb.unwrap_or(0) as f64 / 1024.0
    }

    async fn apply(&self, generation: u64) {
        let mut document = configuration::document();
        document["generation"] = generation.into();
        document["versions"]["small-1"]["cost"] = (1.0 + generation as f64).into();
        let reply = Call::put("/configuration", document.to_string())
            .header("authorization", "Bearer operator token")
            .header("chestnutspur-change", &format!("change-{generation}"))
            .send(self.controls[0].0.address("operators"))
            .await
            .expect("an answer");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }

    /// Waits until every control has the generation in force; returns the time that each one took.
    async fn wait_in_force(&self, generation: u64) -> Vec<Duration> {
        let start = Instant::now();
        let waits = self.controls.iter().map(|(control, _)| async move {
            let operators = control.address("operators");
            loop {
                let reply = Call::get("/configuration").send(operators).await;
                let reached = reply.and_then(|reply| reply.json()["generation"].as_u64());
                if reached.is_some_and(|reached| reached >= generation) {
                    return start.elapsed();
                }
                assert!(
                    start.elapsed() < IN_FORCE_TIMEOUT,
                    "generation {generation} is not in force in time"
                );
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        futures::future::join_all(waits).await
    }
}

fn host(index: usize, proxy: &Proxy) -> Host {
    Host {
        name: format!("host-{index:03}").into(),
        role: Role::Control,
        address: proxy.address.to_string().into(),
        failure_domain: domain(index),
        pool: Name::default(),
        versions: Vec::new(),
        state: HostState::Live,
    }
}

fn domain(index: usize) -> Name {
    Name::from(format!("domain-{}", index % FAILURE_DOMAIN_COUNT))
}

fn spawn(directory: &Path, index: usize, proxy: &Proxy, to_platform: &Proxy) -> Process {
    let settings: Value = json!({
        "role": "control", "name": format!("host-{index:03}"), "failure_domain": domain(index),
        "listen": ANY, "operators": ANY, "advertise": proxy.address,
        "platform": to_platform.address, "peer_key": {"text": "a key for measurements only"},
        "operator_token_hashes": [configuration::sha256("operator token")],
    });
    Process::spawn(directory, &format!("control-{index}"), "control", &settings)
}

fn per_node(size: usize, before: &Usage, after: &Usage) -> String {
    let seconds = (after.at - before.at).as_secs_f64();
    let nodes = size as f64;
    // Each byte between controls counts for both the sending and the receiving host.
    let peers = 2.0 * (after.peer_bytes - before.peer_bytes) as f64 / nodes / seconds;
    let platform = (after.platform_bytes - before.platform_bytes) as f64 / nodes / seconds;
    let calls = (after.platform_calls - before.platform_calls) as f64 / seconds;
    let core = (after.cpu_seconds - before.cpu_seconds) / nodes / seconds * 100.0;
    format!("{peers:.0} | {platform:.0} | {calls:.1} | {core:.2} %")
}

/// Returns the time within which each control has received gossip from every other. Until then
/// several controls of a failure domain read the platform on its behalf. The gossip interval grows
/// with the number of controls.
fn settling_time(size: usize) -> Duration {
    let interval_ms = (250 * size as u64 / 6).clamp(250, 2_000);
    Duration::from_millis(3_000 + interval_ms * size as u64)
}

async fn measure_idle(fleet: &Fleet, state: &str) {
    let size = fleet.controls.len();
    tokio::time::sleep(settling_time(size)).await;
    let before = fleet.usage();
    tokio::time::sleep(IDLE_DURATION).await;
    let usage = per_node(size, &before, &fleet.usage());
    println!("| {size} | {state} | {usage} | {:.0} | |", fleet.memory_mb());
}

async fn measure(size: usize) {
    let fleet = Fleet::start(size).await;
    fleet.apply(0).await;
    fleet.wait_in_force(1).await;
    measure_idle(&fleet, "rest").await;
    let before = fleet.usage();
    let mut delays = Vec::new();
    for change in 1..=CHANGE_COUNT {
        let next = tokio::time::Instant::now() + Duration::from_secs(1);
        // The times start before the change is sent, so they include its acceptance.
        let (times, ()) = tokio::join!(fleet.wait_in_force(change + 1), fleet.apply(change));
        delays.extend(times);
        tokio::time::sleep_until(next).await;
    }
    let after = fleet.usage();
    delays.sort();
    let worst = delays.last().copied().unwrap_or_default().as_millis();
    let median = delays[delays.len() / 2].as_millis();
    println!(
        "| {size} | one change each second | {} | {:.0} | {median} / {worst} ms |",
        per_node(size, &before, &after),
        fleet.memory_mb()
    );
    assert_eq!(fleet.platform.accepted_generations().len() as u64, CHANGE_COUNT + 1);
}

/// Measures the cost of a long host list: without changes, and while one of many backend servers
/// starts to leave each second.
async fn measure_hosts(size: usize, workers: usize) {
    let fleet = Fleet::start(size).await;
    let mut hosts = fleet.platform.hosts();
    hosts.extend((0..workers).map(worker));
    fleet.platform.set_hosts(hosts.clone());
    fleet.apply(0).await;
    fleet.wait_in_force(1).await;
    measure_idle(&fleet, &format!("rest, {workers} workers")).await;
    let before = fleet.usage();
    for change in 0..HOST_CHANGE_COUNT {
        hosts[size + change].state = HostState::Leaving;
        fleet.platform.set_hosts(hosts.clone());
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let after = fleet.usage();
    let usage = per_node(size, &before, &after);
    println!(
        "| {size} | one of {workers} workers leaves each second | {usage} | {:.0} | |",
        fleet.memory_mb()
    );
}

/// Measures the cost for the other controls when those of one failure domain are unreachable.
async fn measure_cut(size: usize) {
    let fleet = Fleet::start(size).await;
    fleet.apply(0).await;
    fleet.wait_in_force(1).await;
    measure_idle(&fleet, "rest, before the cut").await;
    for (_, proxy) in fleet.controls.iter().step_by(FAILURE_DOMAIN_COUNT) {
        proxy.set_mode(Mode::Silent);
    }
    measure_idle(&fleet, "one of 8 failure domains silent").await;
}

fn worker(index: usize) -> Host {
    let versions = (1..=4).map(|version| Name::from(format!("version-{version}"))).collect();
    Host {
        name: format!("worker-{index:04}").into(),
        role: Role::Backend,
        address: format!("127.1.{}.{}:8000", index / 250, index % 250).into(),
        failure_domain: domain(index),
        pool: "models".into(),
        versions,
        state: HostState::Live,
    }
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    println!(
        "| controls | state | B/s between controls, a node | B/s with the platform, a node | \
         platform calls/s, all | core, a node | MB, most | in force, median / worst |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let arguments: Vec<usize> = std::env::args().filter_map(|text| text.parse().ok()).collect();
    let sizes = if arguments.is_empty() { CONTROL_COUNTS.to_vec() } else { arguments };
    for size in sizes {
        runtime.block_on(measure(size));
    }
    runtime.block_on(measure_cut(16));
    runtime.block_on(measure_hosts(8, 890));
}
