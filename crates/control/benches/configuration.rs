//! How soon a change is in force on every host, and what controls say to each other at rest.
//!
//! Run with `cargo bench -p control --bench configuration`. Controls run in one process, each on
//! a thread of its own, with a proxy on each way; times are upper bounds, since all share the
//! machine's cores with the stand-ins and with whatever else runs.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{Deployment, document_with_slots, domain};
use standin::proxy::Mode;
use wire::settings::Control;
use wire::view::ViewRequest;

const HOSTS: usize = 7;
const ROUNDS: u32 = 30;
/// One way between failure domains, as at the larger of the two deployments of today.
const DELAY: Duration = Duration::from_micros(1_500);
const REST: Duration = Duration::from_secs(10);
const SETTLE: Duration = Duration::from_secs(4);
const CHANGES: u32 = 10;
/// Client accounts that make a document as large as one of the next years.
const ACCOUNTS: u32 = 100;
const CHANGES_A_DAY: f64 = 1_500.0;
const DAY_S: f64 = 86_400.0;

fn defaults(settings: &mut Control) {
    settings.gossip_ms = 250;
    settings.poll_ms = 1_000;
}

fn main() {
    // The bench harness passes flags of its own, `--bench` or `--test`; the latter only builds.
    if std::env::args().any(|argument| argument == "--test") {
        return;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        in_force().await;
        at_rest().await;
    });
}

async fn in_force() {
    println!("from sending the change to a view of it on all {HOSTS} hosts, ms, {ROUNDS} rounds");
    spread("all in reach", |_| {}).await;
    spread("platform read by the accepting host alone", |deployment| {
        (1..HOSTS).for_each(|host| deployment.cut_from_platform(host, Mode::Silent));
    })
    .await;
    spread("one host reached by the platform alone", |deployment| {
        deployment.cut_from_peers(HOSTS - 1, Mode::Silent);
    })
    .await;
}

async fn spread(name: &str, fault: impl Fn(&Deployment)) {
    let deployment = Deployment::start_with(HOSTS, defaults).await;
    deployment.first_document().await;
    deployment.delay_between_domains(DELAY);
    fault(&deployment);
    tokio::time::sleep(SETTLE).await;
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        let generation = u64::from(round) + 1;
        let document = document_with_slots(generation, 10 + round);
        let change = format!("change-{round}");
        let sent = Instant::now();
        let watching = (0..HOSTS).map(|host| seen(&deployment, host, generation + 1));
        let (put, seen) = futures::join!(
            deployment.put(0, &document, &change),
            futures::future::join_all(watching)
        );
        assert_eq!(put.status, 200, "{}", put.text());
        times.push(seen.into_iter().max().expect("hosts").duration_since(sent));
    }
    times.sort_unstable();
    let ms = |at: usize| times[at].as_secs_f64() * 1_000.0;
    let last = times.len() - 1;
    println!(
        "{name}: median {:.0}, 9 in 10 {:.0}, worst {:.0}",
        ms(last / 2),
        ms(last * 9 / 10),
        ms(last)
    );
}

/// When a host first gave a view of that generation.
async fn seen(deployment: &Deployment, host: usize, generation: u64) -> Instant {
    // Without a name it is not waited for by the change's own answer.
    let mut ask = ViewRequest::default();
    loop {
        let view = deployment.view(host, ask.clone()).await;
        if view.generation >= generation {
            return Instant::now();
        }
        ask = ViewRequest {
            incarnation: view.incarnation,
            revision: view.revision,
            wait_ms: 5_000,
            ..ask
        };
    }
}

async fn at_rest() {
    println!("bytes a second of one control, sent and received, without headers of TCP and IP");
    for count in [4, 8, 16, 32] {
        let deployment = Deployment::start_with(count, defaults).await;
        deployment.first_document().await;
        tokio::time::sleep(SETTLE).await;
        let busy = processor_s();
        let rest = rate(&deployment, count, async { tokio::time::sleep(REST).await }).await;
        let core = (processor_s() - busy) / REST.as_secs_f64() / count as f64 * 100.0;
        let small = each_change(&deployment, count, 1, 0).await;
        let large = each_change(&deployment, count, 1 + CHANGES, ACCOUNTS).await;
        let day = large * CHANGES_A_DAY / DAY_S;
        let domains = (0..count).map(domain).collect::<std::collections::BTreeSet<_>>().len();
        println!(
            "{count} controls in {domains} failure domains: at rest {rest:.0}, {core:.2} % of a core; \
             each change {small:.0} bytes, of a document with {ACCOUNTS} accounts more {large:.0}, \
             at 1,500 a day {day:.0}"
        );
    }
}

/// Bytes of one control for each change of one number in a document with so many accounts more.
async fn each_change(deployment: &Deployment, count: usize, first: u32, accounts: u32) -> f64 {
    let mut before = deployment.bytes();
    for change in 0..CHANGES {
        let generation = first + change;
        let mut document = document_with_slots(u64::from(generation), 10 + generation);
        let like = document["accounts"]["dwu-claims"].clone();
        for account in 0..accounts {
            let mut more = like.clone();
            more["key_hashes"] = serde_json::json!([format!("{account:064x}")]);
            document["accounts"][format!("account-{account}")] = more;
        }
        let answer = deployment.put(0, &document, &format!("change-{generation}")).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        if change == 0 {
            // The first one brings the accounts; it is not what is measured.
            before = deployment.bytes();
        }
    }
    2.0 * (deployment.bytes() - before) as f64 / count as f64 / f64::from(CHANGES - 1)
}

/// Processor time of this process so far: of all controls, and of platform and proxies too.
fn processor_s() -> f64 {
    const TICKS_A_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = stat.rsplit(") ").next().unwrap_or_default();
    // User and system time are the 12th and 13th after the name.
    let ticks = after.split(' ').skip(11).take(2).filter_map(|field| field.parse::<f64>().ok());
    ticks.sum::<f64>() / TICKS_A_SECOND
}

async fn rate(deployment: &Deployment, count: usize, span: impl Future<Output = ()>) -> f64 {
    let (before, started) = (deployment.bytes(), Instant::now());
    span.await;
    let bytes = deployment.bytes() - before;
    2.0 * bytes as f64 / count as f64 / started.elapsed().as_secs_f64()
}
