//! Backend servers whose leaving the store has confirmed, before real `node` processes that are
//! starved, have lost their neighbour, or lose a call to the store.

mod support;

use std::process::Command;
use std::time::{Duration, Instant};

use platform::names;
use standin::platform::fault::Faults;
use standin::routed::{Script, ScriptedReply};
use support::nodes::{self, Fleet};
use support::wait_until;

/// Time after the store's confirmation from which no request may reach a server that leaves, as
/// the nodes' settings have it by default.
const LEAVING: Duration = Duration::from_secs(2);
/// How long requests are watched after the confirmation.
const WATCHED: Duration = Duration::from_secs(5);
/// Deadline of the requests, in milliseconds.
const DEADLINE_MS: u64 = 2_000;
/// The server that leaves.
const SERVER: &str = "v1-0";

/// How a server's leaving shows in the store.
#[derive(Clone, Copy, Debug)]
enum Leave {
    /// Its entry says so.
    Draining,
    /// Its entry is removed.
    Vanishing,
}

impl Leave {
    const ALL: [Self; 2] = [Self::Draining, Self::Vanishing];

    /// Writes it to the store, and returns when the store had confirmed it.
    fn confirm(self, fleet: &Fleet) -> Instant {
        let mut entry = nodes::entry(fleet.old[0].address, "v1");
        entry["state"] = "draining".into();
        match self {
            Self::Draining => fleet.store.put(names::table::BACKENDS, SERVER, &entry),
            Self::Vanishing => fleet.store.remove(names::table::BACKENDS, SERVER),
        }
        Instant::now()
    }
}

async fn start(name: &str, leave: Leave) -> Fleet {
    let usual = ScriptedReply::Stream(Script::default());
    let name = format!("drained-{name}-{leave:?}").to_lowercase();
    Fleet::start(&name, "idempotent", &ScriptedReply::Answer(200), &usual).await
}

/// Watches what reaches the server, and returns how late requests came.
async fn late_arrivals(fleet: &Fleet, confirmed_at: Instant) -> Vec<Duration> {
    tokio::time::sleep_until((confirmed_at + WATCHED).into()).await;
    let arrivals = fleet.old[0].arrivals();
    assert!(arrivals.iter().any(|arrival| arrival.at < confirmed_at), "no load before");
    let after = arrivals.iter().map(|arrival| arrival.at.saturating_duration_since(confirmed_at));
    after.filter(|after| *after > LEAVING).collect()
}

fn assert_none(late: &[Duration], leave: Leave) {
    assert!(late.is_empty(), "{leave:?}: {} late, up to {:?}", late.len(), late.iter().max());
}

/// Adds a server, so that the nodes have just read a change.
fn change(fleet: &Fleet) {
    let entry = nodes::entry(fleet.new[0].address, "v2");
    fleet.store.put(names::table::BACKENDS, "v2-added", &entry);
}

fn signal(fleet: &Fleet, node: usize, signal: &str) {
    let id = fleet.nodes[node].0.id().to_string();
    let sent = Command::new("kill").args([&format!("-{signal}"), &id]).status();
    assert!(sent.expect("kill").success());
}

/// Guards against entries that are kept as lapsed because one call of this host failed.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_nothing_after_a_failed_call() {
    for leave in Leave::ALL {
        let fleet = start("failed", leave).await;
        let _load = fleet.start_load(DEADLINE_MS);
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet.links.iter().for_each(|link| link.reset_existing());
        let confirmed_at = leave.confirm(&fleet);
        assert_none(&late_arrivals(&fleet, confirmed_at).await, leave);
    }
}

/// Guards against leaves that are read late because the call that waits for them has been lost.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_nothing_after_a_lost_call() {
    for leave in Leave::ALL {
        let fleet = start("lost", leave).await;
        let _load = fleet.start_load(DEADLINE_MS);
        tokio::time::sleep(Duration::from_secs(2)).await;
        change(&fleet);
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.links.iter().for_each(|link| link.silence_existing());
        let confirmed_at = leave.confirm(&fleet);
        assert_none(&late_arrivals(&fleet, confirmed_at).await, leave);
    }
}

/// Guards against hosts without processor time that take their own lateness for the store's.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_nothing_from_starved_nodes() {
    for leave in Leave::ALL {
        let fleet = start("starved", leave).await;
        let _load = fleet.start_load(DEADLINE_MS);
        tokio::time::sleep(Duration::from_secs(2)).await;
        change(&fleet);
        tokio::time::sleep(Duration::from_millis(1_600)).await;
        (0..2).for_each(|node| signal(&fleet, node, "STOP"));
        tokio::time::sleep(Duration::from_millis(50)).await;
        let confirmed_at = leave.confirm(&fleet);
        tokio::time::sleep(Duration::from_millis(1_450)).await;
        (0..2).for_each(|node| signal(&fleet, node, "CONT"));
        assert_none(&late_arrivals(&fleet, confirmed_at).await, leave);
    }
}

/// Guards against a host that hears of a leave late, or keeps the entry, beside a killed neighbour
/// and a lost call.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_nothing_beside_a_killed_neighbour() {
    for leave in Leave::ALL {
        for killed in 0..2 {
            let mut fleet = start(&format!("killed-{killed}"), leave).await;
            let _load = fleet.start_load(DEADLINE_MS);
            tokio::time::sleep(Duration::from_secs(2)).await;
            change(&fleet);
            tokio::time::sleep(Duration::from_millis(50)).await;
            let _ = fleet.nodes[killed].0.kill();
            fleet.links[1 - killed].silence_existing();
            let confirmed_at = leave.confirm(&fleet);
            assert_none(&late_arrivals(&fleet, confirmed_at).await, leave);
        }
    }
}

/// Guards against callers that are refused because entries lapsed while the store was away.
#[tokio::test(flavor = "multi_thread")]
async fn lapsed_servers_serve_until_they_are_listed_again() {
    let fleet = start("lapsed", Leave::Vanishing).await;
    wait_until("served", async || {
        fleet.send(0, "first").await.is_some_and(|reply| reply.status == 200)
    })
    .await;
    fleet.store.set_faults(Faults::unavailable());
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    let listed: Vec<_> = (0..2).map(|number| format!("v1-{number}")).collect();
    listed.iter().for_each(|id| fleet.store.remove(names::table::BACKENDS, id));
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.store.set_faults(Faults::default());
    let back_at = Instant::now() + Duration::from_millis(1_300);
    let mut number = 0;
    let mut sent = 0;
    while Instant::now() < back_at + Duration::from_secs(2) {
        if number < listed.len() && Instant::now() > back_at {
            let entry = nodes::entry(fleet.old[number].address, "v1");
            fleet.store.put(names::table::BACKENDS, &listed[number], &entry);
            number += 1;
        }
        for node in 0..2 {
            sent += 1;
            let reply = fleet.send(node, &format!("lapsed-{sent}")).await;
            assert_eq!(reply.expect("an answer").status, 200);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
