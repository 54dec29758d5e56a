//! Claims of keys compared: shards with owner and deputy, against one conditional insert a key in
//! the platform's table, with group commit.
//!
//! `cargo bench -p control --bench claims -- [latency] [rate] [outage] [doubled]`; all without an
//! argument. Six controls in three failure domains, 1.5 ms one way between these, a platform that
//! takes 2 ms a call and 300 writes and 2000 reads a second.

#[path = "../tests/common/mod.rs"]
mod common;
mod table;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use common::Deployment;
use common::claims::claim_over;
use standin::fault::Outage;
use standin::platform::fault::Faults;
use standin::proxy::Mode;
use table::{KEYS_MAX, Table};
use wire::claim::ClaimAnswer;
use wire::peer::Link;

const HOSTS: usize = 6;
const FAULTS: Faults = Faults {
    down: Outage::No,
    silent: false,
    delay_ms: 2,
    lose_answers: 0,
    late_ms: 0,
    writes_per_second: 300,
    reads_per_second: 2_000,
    lag_ms: 0,
};
/// Longest wait of a caller for a grant.
const PATIENCE: Duration = Duration::from_secs(3);

/// One way to claim a key, from each host.
#[derive(Clone)]
enum Design {
    Shards(Vec<Arc<Link>>),
    Table(Vec<Arc<Table>>),
    /// The table with one key in each transaction.
    Single(Vec<Arc<Table>>),
}

impl Design {
    fn name(&self) -> &'static str {
        match self {
            Self::Shards(_) => "shards",
            Self::Table(_) => "table",
            Self::Single(_) => "table, one key a write",
        }
    }

    /// Whether the request holds the key now; none if it got no answer.
    async fn claim(&self, host: usize, key: &str, request: &str) -> Option<bool> {
        let answer = async {
            match self {
                Self::Shards(links) => match claim_over(&links[host], key, request).await? {
                    ClaimAnswer::Granted => Some(true),
                    ClaimAnswer::Taken { .. } => Some(false),
                    ClaimAnswer::Unavailable { .. } => None,
                },
                Self::Table(tables) | Self::Single(tables) => {
                    tables[host].claim(key, request).await
                }
            }
        };
        tokio::time::timeout(PATIENCE, answer).await.ok().flatten()
    }
}

struct Bench {
    deployment: Deployment,
    designs: [Design; 3],
}

impl Bench {
    async fn start() -> Self {
        let deployment = Deployment::start(HOSTS).await;
        deployment.delay_between_domains(Duration::from_micros(1_500));
        deployment.platform.set_faults(FAULTS);
        deployment.wait_for_pairs(&(0..HOSTS).collect::<Vec<_>>()).await;
        let links = (0..HOSTS).map(|host| deployment.link(host)).collect();
        let address = deployment.platform.address;
        let table = |keys: usize| (0..HOSTS).map(|_| Table::start(address, keys)).collect();
        let designs =
            [Design::Shards(links), Design::Table(table(KEYS_MAX)), Design::Single(table(1))];
        Self { deployment, designs }
    }
}

fn percentile(sorted: &[Duration], percent: usize) -> f64 {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
}

/// Claims new keys at an even rate; how long each grant took, and how many had none.
async fn steady(design: &Design, tag: &str, rate: u64, lasting: Duration) -> (Vec<Duration>, u64) {
    let mut calls = tokio::task::JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_micros(1_000_000 / rate));
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < lasting {
        ticks.tick().await;
        number += 1;
        let (design, key) = (design.clone(), format!("{tag}-{number}"));
        calls.spawn(async move {
            let begun = Instant::now();
            let granted = design.claim(number % HOSTS, &key, "one").await == Some(true);
            granted.then(|| begun.elapsed())
        });
    }
    let all = calls.join_all().await;
    let refused = all.iter().filter(|time| time.is_none()).count() as u64;
    let mut times: Vec<_> = all.into_iter().flatten().collect();
    times.sort();
    (times, refused)
}

async fn latency(bench: &Bench) {
    for design in &bench.designs {
        let (times, refused) = steady(design, "latency", 200, Duration::from_secs(10)).await;
        let (half, most, last) =
            (percentile(&times, 50), percentile(&times, 99), percentile(&times, 100));
        println!(
            "latency {}: 200 claims/s for 10 s: p50 {half:.2} ms, p99 {most:.2} ms, \
             longest {last:.1} ms, {refused} refused",
            design.name()
        );
    }
}

/// As many claims as come back, with a number of callers that each wait for theirs.
async fn rate(bench: &Bench) {
    const CALLERS: usize = 512;
    const LASTING: Duration = Duration::from_secs(5);
    for design in &bench.designs {
        let granted = Arc::new(AtomicU64::new(0));
        let refused = Arc::new(AtomicU64::new(0));
        let started = Instant::now();
        let mut callers = tokio::task::JoinSet::new();
        for caller in 0..CALLERS {
            let (design, granted, refused) =
                (design.clone(), Arc::clone(&granted), Arc::clone(&refused));
            callers.spawn(async move {
                let mut number = 0;
                while started.elapsed() < LASTING {
                    number += 1;
                    let key = format!("rate-{caller}-{number}");
                    let answer = design.claim(caller % HOSTS, &key, "one").await;
                    let count = if answer == Some(true) { &granted } else { &refused };
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        callers.join_all().await;
        let (granted, refused) = (granted.load(Ordering::Relaxed), refused.load(Ordering::Relaxed));
        let per_second = granted as f64 / started.elapsed().as_secs_f64();
        println!("rate {}: {per_second:.0} claims/s, {refused} refused", design.name());
    }
}

async fn outage(bench: &Bench) {
    for (down, name) in [(Outage::Cut, "cut"), (Outage::Unavailable, "503")] {
        for design in &bench.designs[..2] {
            bench.deployment.platform.set_faults(Faults { down, ..FAULTS });
            let tag = format!("outage-{name}");
            let (times, refused) = steady(design, &tag, 100, Duration::from_secs(60)).await;
            let all = times.len() as u64 + refused;
            let share = 100.0 * times.len() as f64 / all as f64;
            println!("outage {}: 60 s {name}: {share:.1} % of {all} claims granted", design.name());
            bench.deployment.platform.set_faults(FAULTS);
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Harm {
    Pause,
    Kill,
    Cut,
}

/// Each key is claimed by two requests at two hosts, as a caller that retries at once, while one
/// host after another comes to harm. Counts keys granted to both.
async fn doubled(bench: &mut Bench) {
    let mut counts = BTreeMap::<(Harm, &str), (u64, u64, u64)>::new();
    for round in 0..2 * HOSTS {
        let harmed = round % HOSTS;
        for harm in [Harm::Pause, Harm::Kill, Harm::Cut] {
            // The table needs no run: one row can be inserted once, whatever becomes of a host.
            for design in [bench.designs[0].clone()] {
                let tag = format!("{harm:?}-{round}");
                let result = harmed_claims(bench, &design, harm, harmed, &tag).await;
                let count = counts.entry((harm, design.name())).or_default();
                *count = (count.0 + result.0, count.1 + result.1, count.2 + result.2);
            }
        }
    }
    for ((harm, design), (keys, granted, doubled)) in counts {
        println!("doubled {design}: {harm:?}: {keys} keys, {granted} granted, {doubled} twice");
    }
}

async fn harmed_claims(
    bench: &mut Bench,
    design: &Design,
    harm: Harm,
    harmed: usize,
    tag: &str,
) -> (u64, u64, u64) {
    const KEYS: usize = 120;
    let mut calls = tokio::task::JoinSet::new();
    let claim = |number: usize, request: &'static str, host: usize| {
        let (design, key) = (design.clone(), format!("{tag}-{number}"));
        async move { (number, design.claim(host, &key, request).await == Some(true)) }
    };
    for number in 0..KEYS / 2 {
        calls.spawn(claim(number, "one", number % HOSTS));
    }
    let paused = (harm == Harm::Pause).then(|| bench.deployment.pause(harmed));
    match harm {
        Harm::Pause => {}
        Harm::Kill => bench.deployment.kill(harmed),
        Harm::Cut => bench.deployment.cut_from_peers(harmed, Mode::Silent),
    }
    for number in 0..KEYS {
        calls.spawn(claim(number, "two", (number + 1) % HOSTS));
        calls.spawn(claim(number, "three", (number + 3) % HOSTS));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    drop(paused);
    match harm {
        Harm::Pause => {}
        Harm::Kill => bench.restart(harmed).await,
        Harm::Cut => bench.deployment.cut_from_peers(harmed, Mode::Pass),
    }
    let mut granted = BTreeMap::<usize, u64>::new();
    for (number, won) in calls.join_all().await {
        *granted.entry(number).or_default() += u64::from(won);
    }
    bench.deployment.wait_for_pairs(&(0..HOSTS).collect::<Vec<_>>()).await;
    let once = granted.values().filter(|count| **count > 0).count() as u64;
    let twice = granted.values().filter(|count| **count > 1).count() as u64;
    (granted.len() as u64, once, twice)
}

impl Bench {
    async fn restart(&mut self, number: usize) {
        self.deployment.restart(number).await;
        if let Design::Shards(links) = &mut self.designs[0] {
            links[number] = self.deployment.link(number);
        }
    }
}

#[tokio::main]
async fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    let wants = |name: &str| wanted.is_empty() || wanted.iter().any(|given| given == name);
    let mut bench = Bench::start().await;
    if wants("latency") {
        latency(&bench).await;
    }
    if wants("rate") {
        rate(&bench).await;
    }
    if wants("outage") {
        outage(&bench).await;
    }
    if wants("doubled") {
        doubled(&mut bench).await;
    }
}
