//! Faults drawn from a seed: single, in series, overlapping.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform::names;
use policy::place::mix;
use standin::platform::fault::Faults;
use standin::proxy::Mode;
use standin::routed::Reply;

use wire::routing::Warmup;

use crate::callers::{self, Deadly};
use crate::fleet::{Fleet, domain};

/// What kind of trouble a seed brings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// Connections and processes fail.
    Network,
    /// The store fails, and tables change meanwhile.
    Store,
    /// Only what operators plan: restarts, changes, servers that leave.
    Planned,
    /// Failure domains are evacuated, and servers start again that have to warm up.
    Evacuations,
    /// Servers say in their answers that they leave, or ask for a pause.
    Statements,
    /// Open connections fall silent for good while new ones work; tables change and servers leave.
    Silences,
    /// The store comes back from a copy; what was written since is written again after a while.
    Copies,
}

impl Trouble {
    const ALL: [Self; 7] = [
        Self::Network,
        Self::Store,
        Self::Planned,
        Self::Evacuations,
        Self::Statements,
        Self::Silences,
        Self::Copies,
    ];

    /// What a seed brings. Small seeds stay as they were when a kind of trouble was added.
    pub fn of(seed: u64) -> Self {
        match seed {
            0..1_000 => Self::ALL[(seed % 3) as usize],
            1_000..2_000 => Self::Evacuations,
            3_000..4_000 => Self::Network,
            4_000..5_000 => Self::Silences,
            5_000..6_000 => Self::Copies,
            2_000..10_000 => Self::Statements,
            _ => Self::ALL[(seed % 7) as usize],
        }
    }
}

/// What backend servers end of in a seed's play.
pub fn deadly(seed: u64) -> Deadly {
    match seed {
        3_000..4_000 => Deadly::Part,
        10_000.. if seed % 2 == 1 => Deadly::Part,
        _ => Deadly::Request,
    }
}

/// What servers take there until they are warm.
const WARMUP: Warmup = Warmup { ms: 2_000, per_second: 4.0 };

/// How servers warm up in a seed's play, if they have to.
pub fn warmup(seed: u64) -> Option<Warmup> {
    (Trouble::of(seed) == Trouble::Evacuations).then_some(WARMUP)
}

/// A failure domain that was evacuated.
#[derive(Clone, Copy, Debug)]
pub struct Evacuated {
    pub domain: &'static str,
    pub at: Instant,
    pub back_at: Instant,
}

/// A backend server that started again and had to warm up.
#[derive(Clone, Debug)]
pub struct Cold {
    pub number: usize,
    /// The id of its start; what was meant for the start before does not count.
    pub id: String,
    pub at: Instant,
}

/// A backend server that left.
#[derive(Clone, Copy, Debug)]
pub struct Left {
    pub number: usize,
    pub at: Instant,
    pub back_at: Instant,
}

/// What was done.
#[derive(Debug)]
pub struct Played {
    pub trouble: Trouble,
    pub steps: Vec<String>,
    pub left: Vec<Left>,
    /// Servers that said in their answers that they leave.
    pub said: Vec<Left>,
    pub evacuated: Vec<Evacuated>,
    pub cold: Vec<Cold>,
    /// When nodes were started again, by where callers reach them.
    pub restarted: Vec<(SocketAddr, Instant)>,
    /// Nodes that did not end in time after SIGTERM.
    pub stuck: Vec<usize>,
    /// Tables that were not in force in time.
    pub late_tables: Vec<String>,
}

/// After the last silence, and after a change, the newest table is in force within this time.
const IN_FORCE: Duration = Duration::from_millis(3_000);
/// Routes more of a long table.
const MANY_ROUTES: usize = 3_000;
/// Bytes a second of a narrow link; it takes two seconds for a long table.
const NARROW: u64 = 400_000;

/// A seed's draws.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = mix(self.0);
        self.0 % bound
    }

    fn index(&mut self, bound: usize) -> usize {
        self.below(bound as u64) as usize
    }

    fn ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }
}

/// Brings faults about for a time.
pub async fn run(fleet: &mut Fleet, seed: u64, length: Duration) -> Played {
    let trouble = Trouble::of(seed);
    let mut draws = Draws(seed ^ 0x50a4);
    let mut played = Played {
        trouble,
        steps: Vec::new(),
        left: Vec::new(),
        said: Vec::new(),
        evacuated: Vec::new(),
        cold: Vec::new(),
        restarted: Vec::new(),
        stuck: Vec::new(),
        late_tables: Vec::new(),
    };
    let began = Instant::now();
    let mut version = 1;
    while began.elapsed() < length {
        let at = began.elapsed().as_millis();
        let step = match trouble {
            Trouble::Network => network(fleet, &mut draws).await,
            Trouble::Store => store(fleet, &mut draws, &mut version).await,
            Trouble::Planned => planned(fleet, &mut draws, &mut version, &mut played).await,
            Trouble::Evacuations => evacuations(fleet, &mut draws, &mut played).await,
            Trouble::Statements => statements(fleet, &mut draws, &mut played).await,
            Trouble::Silences => silences(fleet, &mut draws, &mut version, &mut played).await,
            Trouble::Copies => copies(fleet, &mut draws, &mut version, &mut played).await,
        };
        played.steps.push(format!("{at} ms: {step}"));
    }
    played
}

async fn network(fleet: &mut Fleet, draws: &mut Draws) -> String {
    let backend = draws.index(fleet.backend_proxies.len());
    let node = draws.index(fleet.nodes.len());
    let lasts = draws.ms(50, 900);
    let proxy = &fleet.backend_proxies[backend];
    match draws.below(10) {
        0 => proxy.reset_existing(),
        1 => proxy.silence_existing(),
        mode @ 2..=4 => {
            proxy.set_mode([Mode::Cut, Mode::Silent, Mode::DropAnswer][mode as usize - 2]);
            // The next fault may come while this one lasts.
            if draws.below(2) == 0 {
                tokio::time::sleep(lasts).await;
                fleet.backend_proxies[backend].set_mode(Mode::Pass);
            }
            return format!("backend {backend} mode {mode} {lasts:?}");
        }
        5 => proxy.set_delay(draws.ms(0, 60)),
        6 => {
            fleet.nodes[node].kill();
            tokio::time::sleep(lasts).await;
            fleet.nodes[node].start_again();
            return format!("node {node} killed for {lasts:?}");
        }
        7 => {
            fleet.nodes[node].signal("STOP");
            tokio::time::sleep(lasts).await;
            fleet.nodes[node].signal("CONT");
            return format!("node {node} paused for {lasts:?}");
        }
        8 => {
            fleet.strike(node).await;
            return format!("deadly request at node {node}");
        }
        _ => {
            let rate = [None, Some(0.5), Some(2.0), Some(20.0)][draws.index(4)];
            fleet.backends[backend].announce_rate_limit(rate);
            return format!("backend {backend} limit {rate:?}");
        }
    }
    tokio::time::sleep(lasts / 4).await;
    format!("backend {backend} connections {lasts:?}")
}

async fn store(fleet: &mut Fleet, draws: &mut Draws, version: &mut u64) -> String {
    let lasts = draws.ms(50, 1_500);
    let node = draws.index(fleet.nodes.len());
    let faults =
        [Faults::unavailable(), Faults::silenced(), Faults::losing_answers(), Faults::late(700)];
    let what = match draws.below(9) {
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
            fleet.more_routes = MANY_ROUTES;
            "long tables from now on".to_owned()
        }
        7 => {
            fleet.store_proxies[node].set_bytes_per_second(Some(NARROW));
            format!("node {node}'s link to the store narrow")
        }
        _ => {
            fleet.nodes[node].kill();
            fleet.nodes[node].start_again();
            format!("node {node} killed")
        }
    };
    change_table(fleet, version);
    tokio::time::sleep(lasts).await;
    if draws.below(2) == 0 {
        fleet.store.set_faults(Faults::default());
    }
    format!("{what} for {lasts:?}")
}

async fn planned(
    fleet: &mut Fleet,
    draws: &mut Draws,
    version: &mut u64,
    played: &mut Played,
) -> String {
    let node = draws.index(fleet.nodes.len());
    let backend = draws.index(fleet.backends.len());
    match draws.below(4) {
        0 => {
            fleet.nodes[node].signal("TERM");
            change_table(fleet, version);
            if !fleet.nodes[node].ended(Duration::from_secs(8)).await {
                played.stuck.push(node);
            }
            played.restarted.push((fleet.nodes[node].callers, Instant::now()));
            fleet.nodes[node].start_again();
            tokio::time::sleep(Duration::from_millis(400)).await;
            format!("node {node} stopped and started")
        }
        1 => {
            let window = 9_000 + draws.below(2_000);
            let store = fleet.store_proxies[node].address;
            fleet.nodes[node].write_settings(store, node, window);
            fleet.nodes[node].signal("HUP");
            format!("node {node} settings changed")
        }
        2 => {
            change_table(fleet, version);
            tokio::time::sleep(draws.ms(10, 300)).await;
            "table changed".to_owned()
        }
        _ => {
            let at = Instant::now();
            fleet.list(backend, "draining");
            tokio::time::sleep(Duration::from_millis(2_600)).await;
            played.left.push(Left { number: backend, at, back_at: Instant::now() });
            fleet.start_backend_again(backend);
            tokio::time::sleep(Duration::from_millis(100)).await;
            format!("backend {backend} left")
        }
    }
}

async fn evacuations(fleet: &mut Fleet, draws: &mut Draws, played: &mut Played) -> String {
    let node = draws.index(fleet.nodes.len());
    let backend = draws.index(fleet.backends.len());
    match draws.below(3) {
        0 => {
            let (domain, at) = (domain(backend), Instant::now());
            fleet.evacuate(domain, true);
            // A node that starts in the middle has to know of it.
            tokio::time::sleep(draws.ms(10, 1_000)).await;
            fleet.nodes[node].kill();
            fleet.nodes[node].start_again();
            tokio::time::sleep(draws.ms(2_000, 3_000)).await;
            played.evacuated.push(Evacuated { domain, at, back_at: Instant::now() });
            fleet.evacuate(domain, false);
            format!("{domain} evacuated, node {node} killed in the middle")
        }
        1 => {
            let lasts = draws.ms(50, 900);
            fleet.backend_proxies[backend].set_mode(Mode::Closed);
            tokio::time::sleep(lasts).await;
            let at = Instant::now();
            fleet.backend_proxies[backend].set_mode(Mode::Pass);
            fleet.start_backend_again(backend);
            played.cold.push(Cold { number: backend, id: fleet.id(backend), at });
            format!("backend {backend} started again, cold, after {lasts:?}")
        }
        _ => {
            let lasts = draws.ms(50, 500);
            fleet.nodes[node].kill();
            tokio::time::sleep(lasts).await;
            fleet.nodes[node].start_again();
            format!("node {node} killed for {lasts:?}")
        }
    }
}

async fn statements(fleet: &mut Fleet, draws: &mut Draws, played: &mut Played) -> String {
    let node = draws.index(fleet.nodes.len());
    let backend = draws.index(fleet.backends.len());
    match draws.below(4) {
        0 => {
            // The list says nothing of it, or can't be read.
            if draws.below(2) == 0 {
                fleet.store.set_faults(Faults::unavailable());
            }
            let at = Instant::now();
            fleet.backends[backend].set_leaving(true);
            tokio::time::sleep(draws.ms(2_500, 4_000)).await;
            played.said.push(Left { number: backend, at, back_at: Instant::now() });
            fleet.backends[backend].set_leaving(false);
            fleet.store.set_faults(Faults::default());
            fleet.start_backend_again(backend);
            format!("backend {backend} said that it leaves")
        }
        1 => {
            fleet.nodes[node].kill();
            fleet.nodes[node].start_again();
            played.restarted.push((fleet.nodes[node].callers, Instant::now()));
            format!("node {node} killed")
        }
        2 => {
            // The entry lapses and is back; what the server said still holds.
            fleet.store.remove(names::table::BACKENDS, &fleet.id(backend));
            tokio::time::sleep(draws.ms(50, 600)).await;
            fleet.list(backend, "ready");
            format!("backend {backend} lapsed")
        }
        _ => {
            let lasts = draws.ms(500, 2_500);
            fleet.backends[backend]
                .set_reply(Reply::RejectFor(["0.8", "1.5", "3"][draws.index(3)]));
            tokio::time::sleep(lasts).await;
            fleet.backends[backend].set_reply(Reply::Stream(callers::script()));
            format!("backend {backend} asked for pauses for {lasts:?}")
        }
    }
}

/// Connections fall silent, those to the store and to servers, of some nodes or all, once or twice; the table
/// changes, and a server may leave beside it.
async fn silences(
    fleet: &mut Fleet,
    draws: &mut Draws,
    version: &mut u64,
    played: &mut Played,
) -> String {
    let backend = draws.index(fleet.backends.len());
    let silence = |fleet: &Fleet, draws: &mut Draws| {
        let nodes = fleet.store_proxies.iter();
        nodes.filter(|_| draws.below(4) > 0).for_each(|proxy| proxy.silence_existing());
        let servers = fleet.backend_proxies.iter();
        servers.filter(|_| draws.below(2) == 0).for_each(|proxy| proxy.silence_existing());
    };
    silence(fleet, draws);
    let before = draws.ms(0, 1_500);
    tokio::time::sleep(before).await;
    let at = Instant::now();
    change_table(fleet, version);
    let leaves = draws.below(2) == 0;
    if leaves {
        fleet.list(backend, "draining");
    }
    tokio::time::sleep(draws.ms(0, 300)).await;
    if draws.below(2) == 0 {
        silence(fleet, draws);
    }
    played.late_tables.extend(fleet.table_in_force(IN_FORCE).await);
    if leaves {
        tokio::time::sleep(Duration::from_millis(2_600).saturating_sub(at.elapsed())).await;
        fleet.start_backend_again(backend);
    }
    format!("connections silent {before:?} before a change, backend {backend} leaves: {leaves}")
}

/// The table changes, and a server leaves shortly before the store comes back from a copy or shortly behind that.
async fn copies(
    fleet: &mut Fleet,
    draws: &mut Draws,
    version: &mut u64,
    played: &mut Played,
) -> String {
    let node = draws.index(fleet.nodes.len());
    let backend = draws.index(fleet.backends.len());
    let left_before = draws.below(2) == 0;
    let is_killed = draws.below(4) == 0;
    let backup = fleet.store.backup();
    change_table(fleet, version);
    let mut at = Instant::now();
    if left_before {
        fleet.list(backend, "draining");
    }
    tokio::time::sleep(draws.ms(1_300, 2_000)).await;
    fleet.store.set_faults(Faults::unavailable());
    tokio::time::sleep(draws.ms(20, 600)).await;
    fleet.store.restore(backup);
    fleet.store.set_faults(Faults::default());
    if is_killed {
        fleet.nodes[node].kill();
        fleet.nodes[node].start_again();
    }
    let rewritten = draws.ms(0, 900);
    tokio::time::sleep(rewritten).await;
    fleet.put_table(*version);
    for number in 0..fleet.backends.len() {
        let is_leaving = left_before && number == backend;
        fleet.list(number, if is_leaving { "draining" } else { "ready" });
    }
    if !left_before {
        at = Instant::now();
        fleet.list(backend, "draining");
    }
    change_table(fleet, version);
    played.late_tables.extend(fleet.table_in_force(IN_FORCE).await);
    tokio::time::sleep(Duration::from_millis(2_600).saturating_sub(at.elapsed())).await;
    // A node that starts while the store lacks the leave can't know of it.
    if !(left_before && is_killed) {
        played.left.push(Left { number: backend, at, back_at: Instant::now() });
    }
    fleet.start_backend_again(backend);
    format!(
        "store back from a copy, written again after {rewritten:?}, backend {backend} left before: \
         {left_before}, node {node} killed: {is_killed}"
    )
}

fn change_table(fleet: &mut Fleet, version: &mut u64) {
    *version += 1 + *version % 3;
    fleet.put_table(*version);
}
