//! Validation of routing tables: all faults are reported, and none quotes a key.

use policy::name::Name;
use wire::routing::{Account, Kind, Limits, Route, Service, Table, Target, check};

fn table() -> Table {
    let route = Route {
        name: Name::from("r"),
        host: Name::from("h.example"),
        prefix: Name::from("/a/"),
        kind: Kind::Once,
        attempts_max: 2,
        timeout_ms: 1_000,
        objective_ms: 100,
        gap_ms: None,
        priority: 0,
        anonymous: false,
        targets: vec![Target { service: Name::from("s"), weight: 1 }],
        models: Vec::new(),
    };
    let service = Service {
        name: Name::from("s"),
        models: Vec::new(),
        connections_max: 9,
        warmup: None,
        engine: None,
    };
    let account =
        Account { name: Name::from("a"), keys: vec![Name::from("secret")], priority: None };
    Table {
        version: 3,
        routes: vec![route],
        services: vec![service],
        accounts: vec![account],
        limits: Limits::default(),
    }
}

#[test]
fn check_valid_table_has_no_faults() {
    assert!(check(&table()).is_empty());
}

#[test]
fn check_reports_every_fault() {
    let mut broken = table();
    broken.version = 0;
    broken.routes.push(broken.routes[0].clone());
    broken.routes[0].prefix = Name::from("a");
    broken.routes[1].targets[0].service = Name::from("nobody");
    broken.routes[1].timeout_ms = 0;
    broken.accounts.push(Account { name: Name::from("b"), ..broken.accounts[0].clone() });
    let faults: Vec<String> = check(&broken).iter().map(ToString::to_string).collect();
    for path in [
        "version",
        "routes[0].prefix",
        "routes[1].targets",
        "routes[1].timeout_ms",
        "accounts[1].keys[0]",
    ] {
        assert!(faults.iter().any(|fault| fault.contains(path)), "{path}: {faults:?}");
    }
    assert!(!faults.iter().any(|fault| fault.contains("secret")), "{faults:?}");
}

#[test]
fn check_routes_with_the_same_host_and_prefix() {
    let mut doubled = table();
    doubled.routes.push(doubled.routes[0].clone());
    assert_eq!(check(&doubled).len(), 1);
}
