//! Edits between versions of a routing table.

use policy::name::Name;
use wire::routing::{Account, Edit, Kind, Limits, Route, Service, Table, Target};

fn route(number: u64, timeout_ms: u64) -> Route {
    Route {
        name: Name::from(format!("route-{number}")),
        host: Name::from("callers.example"),
        prefix: Name::from(format!("/{number}/")),
        kind: Kind::Idempotent,
        attempts_max: 3,
        timeout_ms,
        objective_ms: 300,
        gap_ms: None,
        priority: 1,
        anonymous: false,
        targets: vec![Target { service: Name::from("desk"), weight: 1 }],
        models: Vec::new(),
    }
}

fn account(number: u64, keys: u64) -> Account {
    let keys = (0..keys).map(|key| Name::from(format!("key-{number}-{key}"))).collect();
    Account { name: Name::from(format!("account-{number}")), keys, priority: None }
}

fn table(version: u64, routes: u64) -> Table {
    let service = Service {
        name: Name::from("desk"),
        models: Vec::new(),
        connections_max: 9,
        warmup: None,
        engine: None,
    };
    Table {
        version,
        routes: (0..routes).map(|number| route(number, 5_000)).collect(),
        services: vec![service],
        accounts: (0..routes).map(|number| account(number, 2)).collect(),
        limits: Limits::default(),
    }
}

fn sorted(mut table: Table) -> Table {
    table.routes.sort_by(|a, b| a.name.cmp(&b.name));
    table.accounts.sort_by(|a, b| a.name.cmp(&b.name));
    table.services.sort_by(|a, b| a.name.cmp(&b.name));
    table
}

#[test]
fn apply_turns_the_old_table_into_the_new_one() {
    let old = table(7, 50);
    let mut new = table(9, 50);
    new.routes[3].timeout_ms = 900;
    new.routes.remove(20);
    new.routes.insert(0, route(99, 100));
    new.accounts[5].keys.pop();
    new.accounts.remove(6);
    new.limits.idle_ms = 1;
    let edit = Edit::between(&old, &new).unwrap();
    assert_eq!(edit.len(), 5);
    assert_eq!(sorted(edit.apply(&old).unwrap()), sorted(new));
}

#[test]
fn apply_to_another_version_is_none() {
    let edit = Edit::between(&table(7, 3), &table(9, 4)).unwrap();
    assert!(edit.apply(&table(8, 3)).is_none());
    assert!(edit.apply(&table(9, 4)).is_none());
}

#[test]
fn between_nothing_changed_is_empty() {
    let edit = Edit::between(&table(7, 3), &table(8, 3)).unwrap();
    assert!(edit.is_empty());
    assert_eq!(edit.apply(&table(7, 3)), Some(table(8, 3)));
}

/// Guards against an edit whose result differs from the table that operators wrote: which of two
/// entries it means, or in which order they stand, would be undefined.
#[test]
fn between_ambiguous_names_or_places_is_none() {
    let mut same_name = table(8, 3);
    same_name.routes[1].name = same_name.routes[0].name.clone();
    assert!(Edit::between(&table(7, 3), &same_name).is_none());
    let mut same_place = table(8, 3);
    same_place.routes[1].prefix = same_place.routes[0].prefix.clone();
    assert!(Edit::between(&table(7, 3), &same_place).is_none());
    let mut same_account = table(8, 3);
    same_account.accounts[1].name = same_account.accounts[0].name.clone();
    assert!(Edit::between(&table(7, 3), &same_account).is_none());
}

/// The edit for a change of one route has the same size for any length of the table.
#[test]
fn between_length_does_not_grow_with_the_table() {
    let bytes = [10, 100, 1_000, 5_000].map(|routes| {
        let old = table(7, routes);
        let mut new = Table { version: 8, ..old.clone() };
        new.routes[5].timeout_ms = 900;
        serde_json::to_vec(&Edit::between(&old, &new).unwrap()).unwrap().len()
    });
    println!("{bytes:?} bytes");
    assert!(bytes.iter().all(|bytes| *bytes < 700), "{bytes:?}");
}

/// For random changes of a table, the result of the edit equals the table that operators wrote.
#[test]
fn apply_generated_changes() {
    fuzz::check::<Vec<(u8, u8)>>(500, |changes| {
        let old = table(1, 12);
        let mut new = Table { version: 2, ..old.clone() };
        for (kind, entry) in changes {
            let at = |length: usize| usize::from(*entry) % length.max(1);
            match kind % 5 {
                0 if !new.routes.is_empty() => drop(new.routes.remove(at(new.routes.len()))),
                1 => new.routes.push(route(100 + u64::from(*entry), 7)),
                2 if !new.accounts.is_empty() => {
                    let at = at(new.accounts.len());
                    new.accounts[at].keys.clear();
                }
                3 if !new.accounts.is_empty() => drop(new.accounts.remove(at(new.accounts.len()))),
                _ => new.routes.reverse(),
            }
        }
        if let Some(edit) = Edit::between(&old, &new) {
            assert_eq!(sorted(edit.apply(&old).unwrap()), sorted(new));
        }
    });
}
