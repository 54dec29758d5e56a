//! What was read becomes what requests are decided by.

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

/// Two lists published at the same time: a world made before a table came replaced the one made
/// after it, and the host refused all requests.
#[test]
fn publish_newest_table_stays() {
    let catalog = Arc::new(Catalog::new(Name::from("a")));
    let place = Arc::new(ArcSwap::from_pointee(RoutingSnapshot::default()));
    let ended = Arc::new(AtomicBool::new(false));
    let other = {
        let (catalog, place, ended) =
            (Arc::clone(&catalog), Arc::clone(&place), Arc::clone(&ended));
        std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                catalog.publish(&place, NOW);
            }
        })
    };
    for version in 1..=TABLES {
        catalog.take_table(Table { version, ..Table::default() });
        catalog.publish(&place, NOW);
        assert_eq!(place.load().index.version, version);
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

/// What is left of a server's warm-up once it is listed so, in milliseconds.
fn warmup_ms(listed: wire::routing::Backend) -> u64 {
    let (catalog, place) = (catalog(), ArcSwap::from_pointee(RoutingSnapshot::default()));
    catalog.with_roster(|roster| roster.put(listed.clone(), 1.into()));
    catalog.warms(&listed, NOW);
    catalog.publish(&place, NOW);
    left(&place, NOW)
}

fn catalog() -> Catalog {
    let catalog = Catalog::new(Name::from("a"));
    let service = Service {
        name: Name::from(SERVICE),
        models: Vec::new(),
        connections_max: 9,
        warmup: Some(WARMUP),
    };
    catalog.take_table(Table { version: 1, services: vec![service], ..Table::default() });
    catalog
}

fn left(place: &ArcSwap<RoutingSnapshot>, now: Millis) -> u64 {
    let world = place.load();
    let backend = &world.pools[SERVICE].backends[0];
    backend.with_intake(|intake| intake.throttle.warmup_ms(now))
}

#[test]
fn warms_as_long_as_the_server_says() {
    assert_eq!(warmup_ms(server("a", Some(1_200))), 1_200);
    assert_eq!(warmup_ms(server("a", Some(0))), 0);
}

/// Guards against a new server that is taken for warm because it says nothing.
#[test]
fn warms_new_server_that_says_nothing_is_cold() {
    assert_eq!(warmup_ms(server("a", None)), WARMUP.ms);
}

/// Guards against an entry that keeps a server from its work for good.
#[test]
fn warms_for_a_day_is_believed_for_a_minute() {
    assert_eq!(warmup_ms(server("a", Some(86_400_000))), 60_000);
}

/// Guards against servers that are sent everything when the evacuation of their domain ends.
#[test]
fn take_evacuations_end_leaves_servers_cold() {
    let (catalog, place) = (catalog(), ArcSwap::from_pointee(RoutingSnapshot::default()));
    let listed = server("b", Some(0));
    catalog.with_roster(|roster| roster.put(listed.clone(), 1.into()));
    let entry = |revision, failure_domain| evacuation::Entry {
        key: Name::from("order"),
        revision,
        failure_domain,
    };
    catalog.take_evacuations(&[entry(2.into(), Some(Name::from("b")))], 2.into(), false, NOW);
    catalog.publish(&place, NOW);
    assert!(place.load().pools[SERVICE].backends.is_empty());
    let back = NOW + 9_000;
    catalog.take_evacuations(&[entry(3.into(), None)], 3.into(), false, back);
    catalog.publish(&place, back);
    assert_eq!(left(&place, back), WARMUP.ms);
}
