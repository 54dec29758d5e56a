//! Loads of engines that other failure domains announce.

use std::sync::Arc;

use gateway::backend::Backend;
use gateway::far_loads::{FarDomains, FarLoads};
use gateway::pool::Pool;
use policy::engine::spill::DOMAIN_LOAD_LIFETIME_MS;
use policy::name::Name;
use policy::place::hash;
use policy::report::far::FarReport;
use policy::time::Millis;
use wire::routing::{Engine, Service};

const NOW: Millis = Millis(1_000_000);

fn engine(born: u64, is_near: bool) -> Arc<Backend> {
    let row = wire::routing::Backend {
        id: Name::from("e"),
        born,
        service: Name::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: Name::from("b"),
        version: Name::from("v1"),
        slots: 16,
        draining: false,
        warmup_ms: None,
    };
    let backend = Backend::new(&row, is_near);
    backend.set_service(Some(&Service {
        name: Name::from("s"),
        models: Vec::new(),
        connections_max: 9,
        warmup: None,
        engine: Some(Engine::default()),
    }));
    Arc::new(backend)
}

fn loads(from: u64, at: u64, percent: u32, engines: &[FarReport]) -> FarLoads {
    let means = vec![(Name::from("s"), percent)];
    let engines = engines.to_vec();
    FarLoads { is_direct: false, domain: Name::from("b"), from, at: Millis(at), means, engines }
}

fn pool(backend: &Arc<Backend>) -> Pool {
    Pool::new(Name::from("v1"), vec![Arc::clone(backend)])
}

fn mean(domains: &FarDomains, now: Millis) -> Option<(f64, u64)> {
    let known = domains.of_service(&Name::from("s"), now);
    known.get(&hash(b"b")).map(|load| (load.per_slot, load.age_ms))
}

/// Guards against loads of a failure domain that is cut off and that count on, against late or
/// repeated messages that replace newer ones, and against a host that is ignored after it or its
/// predecessor has restarted.
#[test]
fn newest_load_of_a_domain_counts_for_a_time() {
    let domains = FarDomains::default();
    let take = |message: FarLoads, now| domains.accept(&message, [].into_iter(), now);
    assert!(take(loads(1, 500, 40, &[]), NOW));
    take(loads(1, 1_000, 50, &[]), NOW + 500);
    assert_eq!(mean(&domains, NOW + 600), Some((0.5, 100)));
    assert!(!take(loads(1, 500, 90, &[]), NOW + 700), "a late message is not passed on");
    assert!(!take(loads(1, 1_000, 90, &[]), NOW + 700), "nor is a repeated one");
    assert_eq!(mean(&domains, NOW + 700), Some((0.5, 200)), "late, and repeated");
    take(loads(1, 1_500, 60, &[]), NOW + 1_300);
    assert_eq!(mean(&domains, NOW + 1_300), Some((0.6, 299)), "late, less a drift of 1 ms");
    take(loads(2, 7, 70, &[]), NOW + 1_400);
    assert_eq!(mean(&domains, NOW + 1_400), Some((0.7, 0)), "the next host");
    take(loads(2, 90_000, 80, &[]), NOW + 1_500);
    take(loads(2, 3, 30, &[]), NOW + 1_600);
    assert_eq!(mean(&domains, NOW + 1_600), Some((0.3, 0)), "restarted");
    assert_eq!(mean(&domains, NOW + 1_600 + DOMAIN_LOAD_LIFETIME_MS), None, "cut off");
}

/// Guards against the load of an engine that counts for another one that has started under its id.
#[test]
fn load_belongs_to_a_start_of_an_engine() {
    let (before, after) = (engine(1, false), engine(2, false));
    let report = [FarReport(before.start, 9, 100)];
    for (backend, reported) in [(&before, Some(9)), (&after, None)] {
        let pool = pool(backend);
        FarDomains::default().accept(&loads(1, 500, 50, &report), [&pool].into_iter(), NOW);
        assert_eq!(backend.reported_requests(), reported);
    }
}

/// Guards against messages of any content that take memory without bound, that are believed although
/// they can't be true, or that change what a host knows of near engines.
#[test]
fn loads_of_any_content_are_bounded() {
    type Message = (u8, u64, u64, u32, Vec<(bool, u64, u32, u32)>);
    let (near, far) = (engine(1, true), engine(2, false));
    fuzz::check::<Vec<Message>>(500, |messages| {
        let domains = FarDomains::default();
        let pools = [pool(&near), pool(&far)];
        for (domain, from, at, percent, reports) in messages {
            let report = |(known, start, requests, age_ms): &(bool, u64, u32, u32)| {
                let known_start = if start % 2 == 0 { near.start } else { far.start };
                FarReport(if *known { known_start } else { *start }, *requests, *age_ms)
            };
            let engines: Vec<FarReport> = reports.iter().map(report).collect();
            let domain = Name::from(domain.to_string());
            let message = FarLoads { domain, ..loads(*from, *at, *percent, &engines) };
            domains.accept(&message, pools.iter(), NOW);
        }
        let known = domains.of_service(&Name::from("s"), NOW);
        assert!(known.len() <= 32 && known.values().all(|load| load.per_slot <= 16.0));
        assert_eq!(near.reported_requests(), None);
        assert!(far.reported_requests().unwrap_or_default() <= 16 * 16);
    });
    for text in ["-1", "1e30", "0.5", "\"a\"", "4294967296", "null"] {
        let entry = format!(
            r#"{{"is_direct":true,"domain":"b","from":1,"at":2,"means":[["s",{text}]],"engines":[]}}"#
        );
        assert!(serde_json::from_str::<FarLoads>(&entry).is_err(), "{text}");
    }
}
