//! Snapshots that are built from what was read from the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use gateway::snapshot::RoutingSnapshot;
use node::catalog::Catalog;
use policy::evacuation;
use policy::name::Name;
use policy::time::Millis;
use wire::routing::{Service, Table, Warmup};

const NOW: Millis = Millis(1_000);
const TABLES: u64 = 20_000;

/// Guards against a snapshot built before a routing table arrived that replaces the one built after
/// it when both lists publish at the same time. The host then rejected all requests.
#[test]
fn publish_newest_table_stays() {
    let catalog = Arc::new(Catalog::new(Name::from("a")));
    let target = Arc::new(ArcSwap::from_pointee(RoutingSnapshot::default()));
    let ended = Arc::new(AtomicBool::new(false));
    let other = {
        let (catalog, target, ended) =
            (Arc::clone(&catalog), Arc::clone(&target), Arc::clone(&ended));
        std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                catalog.publish(&target, NOW);
            }
        })
    };
    for version in 1..=TABLES {
        catalog.accept_table(Table { version, ..Table::default() });
        catalog.publish(&target, NOW);
        assert_eq!(target.load().index.version, version);
    }
    ended.store(true, Ordering::Relaxed);
    other.join().unwrap();
}

const SERVICE: &str = "desk";
const WARMUP: Warmup = Warmup { ms: 3_000, per_second: 4.0 };

fn server(domain: &str, warmup_ms: Option<u64>) -> wire::routing::Backend {
    wire::routing::Backend {
        id: Name::from("i-1"),
        born: 1,
        service: Name::from(SERVICE),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: Name::from(domain),
        version: Name::from("v1"),
        slots: 8,
        draining: false,
        warmup_ms,
    }
}

/// Remaining warm-up of a server right after it was listed so, in milliseconds.
fn warmup_ms(listed: wire::routing::Backend) -> u64 {
    let (catalog, target) = (catalog(), ArcSwap::from_pointee(RoutingSnapshot::default()));
    catalog.with_roster(|roster| roster.put(listed.clone(), 1.into()));
    catalog.set_warmup(&listed, NOW);
    catalog.publish(&target, NOW);
    remaining_warmup_ms(&target, NOW)
}

fn catalog() -> Catalog {
    let catalog = Catalog::new(Name::from("a"));
    let service = Service {
        name: Name::from(SERVICE),
        models: Vec::new(),
        connections_max: 9,
        warmup: Some(WARMUP),
        engine: None,
    };
    catalog.accept_table(Table { version: 1, services: vec![service], ..Table::default() });
    catalog
}

fn remaining_warmup_ms(target: &ArcSwap<RoutingSnapshot>, now: Millis) -> u64 {
    let snapshot = target.load();
    let backend = &snapshot.pools[SERVICE].backends[0];
    backend.with_intake(|intake| intake.throttle.warmup_ms(now))
}

#[test]
fn set_warmup_announced_by_the_server() {
    assert_eq!(warmup_ms(server("a", Some(1_200))), 1_200);
    assert_eq!(warmup_ms(server("a", Some(0))), 0);
}

/// Guards against a new server that counts as warm because its entry does not mention a warm-up.
#[test]
fn set_warmup_new_server_without_announcement_is_cold() {
    assert_eq!(warmup_ms(server("a", None)), WARMUP.ms);
}

/// Guards against an entry that keeps a server from its work for good.
#[test]
fn set_warmup_of_a_day_is_limited_to_a_minute() {
    assert_eq!(warmup_ms(server("a", Some(86_400_000))), 60_000);
}

/// Guards against servers that get all their requests at once when the evacuation of their failure
/// domain ends.
#[test]
fn accept_evacuations_end_leaves_servers_cold() {
    let (catalog, target) = (catalog(), ArcSwap::from_pointee(RoutingSnapshot::default()));
    let listed = server("b", Some(0));
    catalog.with_roster(|roster| roster.put(listed.clone(), 1.into()));
    let entry = |revision, failure_domain| evacuation::Entry {
        key: Name::from("order"),
        revision,
        failure_domain,
    };
    catalog.accept_evacuations(&[entry(2.into(), Some(Name::from("b")))], 2.into(), false, NOW);
    catalog.publish(&target, NOW);
    assert!(target.load().pools[SERVICE].backends.is_empty());
    let ended_at = NOW + 9_000;
    catalog.accept_evacuations(&[entry(3.into(), None)], 3.into(), false, ended_at);
    catalog.publish(&target, ended_at);
    assert_eq!(remaining_warmup_ms(&target, ended_at), WARMUP.ms);
}

/// Guards against requests to a lapsed server for good: an answer about the operators' list comes
/// between the end of its time and the next round that tells requests of it.
#[test]
fn publish_gives_up_a_lapsed_server_after_an_answer_about_evacuations() {
    let (catalog, target) = (catalog(), ArcSwap::from_pointee(RoutingSnapshot::default()));
    let listed = server("a", None);
    catalog.with_roster(|roster| {
        roster.put(listed.clone(), 1.into());
        roster.record_unreachable(NOW);
        roster.record_reached(NOW);
        roster.remove(&listed.id, 2.into(), NOW);
    });
    catalog.publish(&target, NOW);
    let servers = || target.load().pools[&Name::from(SERVICE)].backends.len();
    assert_eq!(servers(), 1);
    let over = catalog.next_lapse().unwrap();
    catalog.accept_evacuations(&[], 3.into(), false, over);
    assert_eq!(catalog.next_lapse(), Some(over));
    catalog.publish(&target, over);
    assert_eq!(servers(), 0);
}

/// Guards against a request whose server was chosen before the list said that it leaves or is gone,
/// and that is sent there all the same.
#[test]
fn publish_closes_servers_that_were_chosen_before() {
    for is_draining in [true, false] {
        let (catalog, target) = (catalog(), ArcSwap::from_pointee(RoutingSnapshot::default()));
        let listed = server("a", None);
        catalog.with_roster(|roster| roster.put(listed.clone(), 1.into()));
        catalog.publish(&target, NOW);
        let chosen = Arc::clone(&target.load().pools[&Name::from(SERVICE)].backends[0]);
        assert!(!chosen.is_closed(NOW));
        catalog.set_changed_since(NOW + 500);
        catalog.with_roster(|roster| match is_draining {
            true => roster.put(wire::routing::Backend { draining: true, ..listed }, 2.into()),
            false => drop(roster.remove(&listed.id, 2.into(), NOW)),
        });
        catalog.publish(&target, NOW + 1_000);
        assert!(chosen.is_closed(NOW + 1_000));
        // A stream that the server keeps may go back to it, counted from the store's word.
        assert_eq!(chosen.may_take_back(2_000, NOW + 2_100), is_draining);
        assert!(!chosen.may_take_back(2_000, NOW + 2_300));
    }
}
