//! What control costs a node, as the number of controls grows: bytes, processor time, memory, and
//! the time until a change is in force everywhere.
//!
//! Run with `cargo bench -p chestnutspur --bench capacity`. Bytes are counted by a proxy in front
//! of each control and of the platform, so they are what TCP carried, without its own headers.

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

/// Numbers of controls; named on the command line they replace these.
const SIZES: [usize; 4] = [4, 8, 16, 32];
const FAILURE_DOMAINS: usize = 8;
const REST: Duration = Duration::from_secs(15);
const CHANGES: u64 = 20;
/// Changes of the host list.
const HOST_CHANGES: usize = 15;
const ENOUGH: Duration = Duration::from_secs(30);

struct Fleet {
    platform: Running<Platform>,
    to_platform: Proxy,
    controls: Vec<(Process, Proxy)>,
}

/// Sums over all controls.
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
        let most = self.controls.iter().map(|(control, _)| control.memory_kb()).max();
        most.unwrap_or(0) as f64 / 1024.0
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

    /// Time until each control has the generation in force, from now.
    async fn in_force(&self, generation: u64) -> Vec<Duration> {
        let start = Instant::now();
        let waits = self.controls.iter().map(|(control, _)| async move {
            let operators = control.address("operators");
            loop {
                let reply = Call::get("/configuration").send(operators).await;
                let held = reply.and_then(|reply| reply.json()["generation"].as_u64());
                if held.is_some_and(|held| held >= generation) {
                    return start.elapsed();
                }
                assert!(start.elapsed() < ENOUGH, "generation {generation} never came");
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
    Name::from(format!("domain-{}", index % FAILURE_DOMAINS))
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
    // Each byte between controls leaves one node and reaches another: it counts at both.
    let peers = 2.0 * (after.peer_bytes - before.peer_bytes) as f64 / nodes / seconds;
    let platform = (after.platform_bytes - before.platform_bytes) as f64 / nodes / seconds;
    let calls = (after.platform_calls - before.platform_calls) as f64 / seconds;
    let core = (after.cpu_seconds - before.cpu_seconds) / nodes / seconds * 100.0;
    format!("{peers:.0} | {platform:.0} | {calls:.1} | {core:.2} %")
}

/// Time in which each control has heard from every other: a round of gossip slows down with their
/// number. Until then several controls of a failure domain read the platform for it.
fn settled(size: usize) -> Duration {
    let interval_ms = (250 * size as u64 / 6).clamp(250, 2_000);
    Duration::from_millis(3_000 + interval_ms * size as u64)
}

async fn at_rest(fleet: &Fleet, state: &str) {
    let size = fleet.controls.len();
    tokio::time::sleep(settled(size)).await;
    let before = fleet.usage();
    tokio::time::sleep(REST).await;
    let usage = per_node(size, &before, &fleet.usage());
    println!("| {size} | {state} | {usage} | {:.0} | |", fleet.memory_mb());
}

async fn measure(size: usize) {
    let fleet = Fleet::start(size).await;
    fleet.apply(0).await;
    fleet.in_force(1).await;
    at_rest(&fleet, "rest").await;
    let before = fleet.usage();
    let mut spread = Vec::new();
    for change in 1..=CHANGES {
        let next = tokio::time::Instant::now() + Duration::from_secs(1);
        // Times count from before the change is sent, so acceptance is inside them.
        let (times, ()) = tokio::join!(fleet.in_force(change + 1), fleet.apply(change));
        spread.extend(times);
        tokio::time::sleep_until(next).await;
    }
    let after = fleet.usage();
    spread.sort();
    let worst = spread.last().copied().unwrap_or_default().as_millis();
    let median = spread[spread.len() / 2].as_millis();
    println!(
        "| {size} | a change a second | {} | {:.0} | {median} / {worst} ms |",
        per_node(size, &before, &after),
        fleet.memory_mb()
    );
    assert_eq!(fleet.platform.accepted_generations().len() as u64, CHANGES + 1);
}

/// What the host list costs: at rest, and when one of many backend servers goes each second.
async fn measure_hosts(size: usize, workers: usize) {
    let fleet = Fleet::start(size).await;
    let mut hosts = fleet.platform.hosts();
    hosts.extend((0..workers).map(worker));
    fleet.platform.set_hosts(hosts.clone());
    fleet.apply(0).await;
    fleet.in_force(1).await;
    at_rest(&fleet, &format!("rest, {workers} workers")).await;
    let before = fleet.usage();
    for change in 0..HOST_CHANGES {
        hosts[size + change].state = HostState::Leaving;
        fleet.platform.set_hosts(hosts.clone());
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let after = fleet.usage();
    let usage = per_node(size, &before, &after);
    println!(
        "| {size} | a worker of {workers} goes a second | {usage} | {:.0} | |",
        fleet.memory_mb()
    );
}

/// What a cut costs the others: nobody gets through to the controls of one failure domain.
async fn measure_cut(size: usize) {
    let fleet = Fleet::start(size).await;
    fleet.apply(0).await;
    fleet.in_force(1).await;
    at_rest(&fleet, "rest, before the cut").await;
    for (_, proxy) in fleet.controls.iter().step_by(FAILURE_DOMAINS) {
        proxy.set_mode(Mode::Silent);
    }
    at_rest(&fleet, "one of 8 failure domains silent").await;
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
    let named: Vec<usize> = std::env::args().filter_map(|text| text.parse().ok()).collect();
    let sizes = if named.is_empty() { SIZES.to_vec() } else { named };
    for size in sizes {
        runtime.block_on(measure(size));
    }
    runtime.block_on(measure_cut(16));
    runtime.block_on(measure_hosts(8, 890));
}
