//! Routes by host name and prefix, accounts by key.

use gateway::index::Index;
use policy::name::Name;
use wire::routing::{Account, Kind, Route, Table, Target};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: Name::from(name),
        host: Name::from(host),
        prefix: Name::from(prefix),
        kind: Kind::Idempotent,
        attempts_max: 2,
        timeout_ms: 1_000,
        objective_ms: 100,
        gap_ms: None,
        priority: 0,
        anonymous: false,
        targets: vec![Target { service: Name::from("s"), weight: 1 }],
        models: vec![Name::from("small"), Name::from("large")],
    }
}

fn index() -> Index {
    let account = Account {
        name: Name::from("a"),
        keys: vec![Name::from("k1"), Name::from("k2")],
        priority: None,
    };
    Index::new(Table {
        version: 3,
        routes: vec![
            route("all", "h.example", "/"),
            route("deep", "h.example", "/a/b/"),
            route("other", "o.example", "/a/"),
        ],
        accounts: vec![account],
        ..Table::default()
    })
}

fn found(host: &str, path: &str) -> Option<String> {
    index().route(host, path).map(|known| known.route.name.to_string())
}

#[test]
fn route_longest_prefix() {
    assert_eq!(found("h.example", "/a/b/c"), Some("deep".to_owned()));
    assert_eq!(found("h.example", "/a/bc"), Some("all".to_owned()));
    assert_eq!(found("H.Example", "/x"), Some("all".to_owned()));
}

#[test]
fn route_none() {
    assert_eq!(found("o.example", "/b/"), None);
    assert_eq!(found("nobody.example", "/a/"), None);
    assert_eq!(found("o.example", "/a"), None);
}

#[test]
fn route_timings_by_model() {
    let index = index();
    let known = index.route("o.example", "/a/").unwrap();
    assert_eq!(known.timings, [Name::from("other/small"), Name::from("other/large")]);
}

#[test]
fn account_by_any_of_its_keys() {
    let index = index();
    assert!(index.account("k1").is_some());
    assert!(index.account("k2").is_some());
    assert!(index.account("k3").is_none());
}
