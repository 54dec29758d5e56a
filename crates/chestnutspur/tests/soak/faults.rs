//! Injects faults drawn from a seed: single ones, series and overlapping ones.

use std::time::{Duration, Instant};

use platform::names;
use policy::place::mix;
use standin::platform::fault::Faults;
use standin::proxy::Mode;
use standin::routed::ScriptedReply;

use crate::callers;
use crate::fleet::{Fleet, domain};
use crate::history::{ColdStart, Departure, Evacuation, History};
use crate::load_faults::{bursts, cache_events, copies, fetches, slow_readers, slowdowns};
use crate::scenario::Scenario;

/// Time limit for the newest table to be in force on all nodes, from the last change or silence.
const IN_FORCE_MAX: Duration = Duration::from_millis(3_000);
/// Number of unused routes that a long table has.
const EXTRA_ROUTE_COUNT: usize = 3_000;
/// Bytes per second of a slow link, which takes two seconds for a long table.
const SLOW_LINK_BYTES_PER_S: u64 = 400_000;

/// Pseudorandom numbers of a seed.
pub struct Rng(u64);

impl Rng {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = mix(self.0);
        self.0 % bound
    }

    pub fn index(&mut self, bound: usize) -> usize {
        self.below(bound as u64) as usize
    }

    pub fn ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }
}

/// Injects faults for a given time and returns what was done.
pub async fn run(fleet: &mut Fleet, seed: u64, length: Duration) -> History {
    let scenario = Scenario::from_seed(seed);
    let mut rng = Rng(seed ^ 0x50a4);
    let mut history = History {
        scenario,
        steps: Vec::new(),
        listed_departures: Vec::new(),
        announced_departures: Vec::new(),
        evacuations: Vec::new(),
        cold_starts: Vec::new(),
        node_restarts: Vec::new(),
        stuck_nodes: Vec::new(),
        late_tables: Vec::new(),
        excess_memory: Vec::new(),
        wrong_streams: Vec::new(),
    };
    let started_at = Instant::now();
    let mut version = 1;
    while started_at.elapsed() < length {
        let at = started_at.elapsed().as_millis();
        let step = match scenario {
            Scenario::Network => network(fleet, &mut rng).await,
            Scenario::Store => store(fleet, &mut rng, &mut version).await,
            Scenario::Planned => planned(fleet, &mut rng, &mut version, &mut history).await,
            Scenario::Evacuations => evacuations(fleet, &mut rng, &mut history).await,
            Scenario::Announcements => announcements(fleet, &mut rng, &mut history).await,
            Scenario::Silences => silences(fleet, &mut rng, &mut version, &mut history).await,
            Scenario::CacheEvents => cache_events(fleet, &mut rng).await,
            Scenario::Restores => restores(fleet, &mut rng, &mut version, &mut history).await,
            Scenario::Slowdowns => slowdowns(fleet, &mut rng).await,
            Scenario::Fetches => fetches(fleet, &mut rng).await,
            Scenario::Bursts => bursts(fleet, &mut rng).await,
            Scenario::SlowReaders => slow_readers(fleet, &mut rng, &mut history).await,
            Scenario::Copies => copies(fleet, &mut rng, &mut history).await,
        };
        history.steps.push(format!("{at} ms: {step}"));
    }
    history
}

async fn network(fleet: &mut Fleet, rng: &mut Rng) -> String {
    let backend = rng.index(fleet.backend_proxies.len());
    let node = rng.index(fleet.nodes.len());
    let duration = rng.ms(50, 900);
    let proxy = &fleet.backend_proxies[backend];
    match rng.below(10) {
        0 => proxy.reset_existing(),
        1 => proxy.silence_existing(),
        mode @ 2..=4 => {
            proxy.set_mode([Mode::Cut, Mode::Silent, Mode::DropAnswer][mode as usize - 2]);
            // In half of the cases the fault lasts on while the next one is injected.
            if rng.below(2) == 0 {
                tokio::time::sleep(duration).await;
                fleet.backend_proxies[backend].set_mode(Mode::Pass);
            }
            return format!("backend {backend} mode {mode} {duration:?}");
        }
        5 => proxy.set_delay(rng.ms(0, 60)),
        6 => {
            fleet.nodes[node].kill();
            tokio::time::sleep(duration).await;
            fleet.nodes[node].ensure_started();
            return format!("node {node} killed for {duration:?}");
        }
        7 => {
            fleet.nodes[node].signal("STOP");
            tokio::time::sleep(duration).await;
            fleet.nodes[node].signal("CONT");
            return format!("node {node} paused for {duration:?}");
        }
        8 => {
            fleet.send_crash_request(node).await;
            return format!("crash request at node {node}");
        }
        _ => {
            let rate = [None, Some(0.5), Some(2.0), Some(20.0)][rng.index(4)];
            fleet.backends[backend].announce_rate_limit(rate);
            return format!("backend {backend} limit {rate:?}");
        }
    }
    tokio::time::sleep(duration / 4).await;
    format!("backend {backend} connections {duration:?}")
}

async fn store(fleet: &mut Fleet, rng: &mut Rng, version: &mut u64) -> String {
    let duration = rng.ms(50, 1_500);
    let node = rng.index(fleet.nodes.len());
    let faults =
        [Faults::unavailable(), Faults::silenced(), Faults::losing_answers(), Faults::late(700)];
    let what = match rng.below(9) {
        fault @ 0..=3 => {
            fleet.store.set_faults(faults[fault as usize].clone());
            format!("store {:?}", faults[fault as usize].clone())
        }
        4 => {
            fleet.store_proxies[node].silence_existing();
            format!("node {node}'s connections to the store silent")
        }
        5 => {
            fleet.store.forget_history();
            "history dropped".to_owned()
        }
        6 => {
            fleet.extra_routes = EXTRA_ROUTE_COUNT;
            "long tables from now on".to_owned()
        }
        7 => {
            fleet.store_proxies[node].set_bytes_per_second(Some(SLOW_LINK_BYTES_PER_S));
            format!("node {node}'s link to the store slow")
        }
        _ => {
            fleet.nodes[node].kill();
            fleet.nodes[node].ensure_started();
            format!("node {node} killed")
        }
    };
    change_table(fleet, version);
    tokio::time::sleep(duration).await;
    if rng.below(2) == 0 {
        fleet.store.set_faults(Faults::default());
    }
    format!("{what} for {duration:?}")
}

async fn planned(
    fleet: &mut Fleet,
    rng: &mut Rng,
    version: &mut u64,
    history: &mut History,
) -> String {
    let node = rng.index(fleet.nodes.len());
    let backend = rng.index(fleet.backends.len());
    match rng.below(4) {
        0 => {
            fleet.nodes[node].signal("TERM");
            change_table(fleet, version);
            if !fleet.nodes[node].wait_for_exit(Duration::from_secs(8)).await {
                history.stuck_nodes.push(node);
            }
            history.node_restarts.push((fleet.nodes[node].callers, Instant::now()));
            fleet.nodes[node].ensure_started();
            tokio::time::sleep(Duration::from_millis(400)).await;
            format!("node {node} stopped and started")
        }
        1 => {
            let window = 9_000 + rng.below(2_000);
            let store = fleet.store_proxies[node].address;
            fleet.nodes[node].write_settings(store, node, window);
            fleet.nodes[node].signal("HUP");
            format!("node {node} settings changed")
        }
        2 => {
            change_table(fleet, version);
            tokio::time::sleep(rng.ms(10, 300)).await;
            "table changed".to_owned()
        }
        _ => {
            let at = Instant::now();
            fleet.put_backend(backend, "draining");
            tokio::time::sleep(Duration::from_millis(2_600)).await;
            history.listed_departures.push(Departure {
                number: backend,
                at,
                ended_at: Instant::now(),
            });
            fleet.restart_backend(backend);
            tokio::time::sleep(Duration::from_millis(100)).await;
            format!("backend {backend} left")
        }
    }
}

async fn evacuations(fleet: &mut Fleet, rng: &mut Rng, history: &mut History) -> String {
    let node = rng.index(fleet.nodes.len());
    let backend = rng.index(fleet.backends.len());
    match rng.below(3) {
        0 => {
            let (domain, at) = (domain(backend), Instant::now());
            fleet.evacuate(domain, true);
            // A node that starts during an evacuation has to learn of it.
            tokio::time::sleep(rng.ms(10, 1_000)).await;
            fleet.nodes[node].kill();
            fleet.nodes[node].ensure_started();
            tokio::time::sleep(rng.ms(2_000, 3_000)).await;
            history.evacuations.push(Evacuation { domain, at, ended_at: Instant::now() });
            fleet.evacuate(domain, false);
            format!("{domain} evacuated, node {node} killed in the middle")
        }
        1 => {
            let duration = rng.ms(50, 900);
            fleet.backend_proxies[backend].set_mode(Mode::Closed);
            tokio::time::sleep(duration).await;
            let at = Instant::now();
            fleet.backend_proxies[backend].set_mode(Mode::Pass);
            fleet.restart_backend(backend);
            history.cold_starts.push(ColdStart {
                number: backend,
                id: fleet.backend_id(backend),
                at,
            });
            format!("backend {backend} started again, cold, after {duration:?}")
        }
        _ => {
            let duration = rng.ms(50, 500);
            fleet.nodes[node].kill();
            tokio::time::sleep(duration).await;
            fleet.nodes[node].ensure_started();
            format!("node {node} killed for {duration:?}")
        }
    }
}

async fn announcements(fleet: &mut Fleet, rng: &mut Rng, history: &mut History) -> String {
    let node = rng.index(fleet.nodes.len());
    let backend = rng.index(fleet.backends.len());
    match rng.below(4) {
        0 => {
            // Half of the time the store is unavailable; otherwise its list still says ready.
            if rng.below(2) == 0 {
                fleet.store.set_faults(Faults::unavailable());
            }
            let at = Instant::now();
            fleet.backends[backend].set_leaving(true);
            tokio::time::sleep(rng.ms(2_500, 4_000)).await;
            history.announced_departures.push(Departure {
                number: backend,
                at,
                ended_at: Instant::now(),
            });
            fleet.backends[backend].set_leaving(false);
            fleet.store.set_faults(Faults::default());
            fleet.restart_backend(backend);
            format!("backend {backend} said that it leaves")
        }
        1 => {
            fleet.nodes[node].kill();
            fleet.nodes[node].ensure_started();
            history.node_restarts.push((fleet.nodes[node].callers, Instant::now()));
            format!("node {node} killed")
        }
        2 => {
            // The server's entry expires and returns; the server's announcement stays valid.
            fleet.store.remove(names::table::BACKENDS, &fleet.backend_id(backend));
            tokio::time::sleep(rng.ms(50, 600)).await;
            fleet.put_backend(backend, "ready");
            format!("backend {backend} lapsed")
        }
        _ => {
            let duration = rng.ms(500, 2_500);
            fleet.backends[backend]
                .set_reply(ScriptedReply::RejectFor(["0.8", "1.5", "3"][rng.index(3)]));
            tokio::time::sleep(duration).await;
            fleet.backends[backend].set_reply(ScriptedReply::Stream(callers::script()));
            format!("backend {backend} asked for pauses for {duration:?}")
        }
    }
}

/// Silences the open connections of some nodes to the store and of some backend servers, once or
/// twice. Meanwhile the table changes, and a server may leave.
async fn silences(
    fleet: &mut Fleet,
    rng: &mut Rng,
    version: &mut u64,
    history: &mut History,
) -> String {
    let backend = rng.index(fleet.backends.len());
    let silence = |fleet: &Fleet, rng: &mut Rng| {
        let nodes = fleet.store_proxies.iter();
        nodes.filter(|_| rng.below(4) > 0).for_each(|proxy| proxy.silence_existing());
        let servers = fleet.backend_proxies.iter();
        servers.filter(|_| rng.below(2) == 0).for_each(|proxy| proxy.silence_existing());
    };
    silence(fleet, rng);
    let before = rng.ms(0, 1_500);
    tokio::time::sleep(before).await;
    let at = Instant::now();
    change_table(fleet, version);
    let is_leaving = rng.below(2) == 0;
    if is_leaving {
        fleet.put_backend(backend, "draining");
    }
    tokio::time::sleep(rng.ms(0, 300)).await;
    if rng.below(2) == 0 {
        silence(fleet, rng);
    }
    history.late_tables.extend(fleet.wait_for_table(IN_FORCE_MAX).await);
    if is_leaving {
        tokio::time::sleep(Duration::from_millis(2_600).saturating_sub(at.elapsed())).await;
        fleet.restart_backend(backend);
    }
    format!("connections silent {before:?} before a change, backend {backend} leaves: {is_leaving}")
}

/// Changes the table, then restores the store from a backup made before the change. A server leaves
/// shortly before the restore or shortly after it.
async fn restores(
    fleet: &mut Fleet,
    rng: &mut Rng,
    version: &mut u64,
    history: &mut History,
) -> String {
    let node = rng.index(fleet.nodes.len());
    let backend = rng.index(fleet.backends.len());
    let has_left_before = rng.below(2) == 0;
    let is_killed = rng.below(4) == 0;
    let backup = fleet.store.backup();
    change_table(fleet, version);
    let mut at = Instant::now();
    if has_left_before {
        fleet.put_backend(backend, "draining");
    }
    tokio::time::sleep(rng.ms(1_300, 2_000)).await;
    fleet.store.set_faults(Faults::unavailable());
    tokio::time::sleep(rng.ms(20, 600)).await;
    fleet.store.restore(backup);
    fleet.store.set_faults(Faults::default());
    if is_killed {
        fleet.nodes[node].kill();
        fleet.nodes[node].ensure_started();
    }
    let rewritten = rng.ms(0, 900);
    tokio::time::sleep(rewritten).await;
    fleet.put_table(*version);
    for number in 0..fleet.backends.len() {
        let is_leaving = has_left_before && number == backend;
        fleet.put_backend(number, if is_leaving { "draining" } else { "ready" });
    }
    if !has_left_before {
        at = Instant::now();
        fleet.put_backend(backend, "draining");
    }
    change_table(fleet, version);
    history.late_tables.extend(fleet.wait_for_table(IN_FORCE_MAX).await);
    tokio::time::sleep(Duration::from_millis(2_600).saturating_sub(at.elapsed())).await;
    // A node that starts while the restored store lacks the departure can't know of it.
    if !(has_left_before && is_killed) {
        history.listed_departures.push(Departure { number: backend, at, ended_at: Instant::now() });
    }
    fleet.restart_backend(backend);
    format!(
        "store restored from a backup, written again after {rewritten:?}, backend {backend} left \
         before: {has_left_before}, node {node} killed: {is_killed}"
    )
}

fn change_table(fleet: &mut Fleet, version: &mut u64) {
    *version += 1 + *version % 3;
    fleet.put_table(*version);
}
