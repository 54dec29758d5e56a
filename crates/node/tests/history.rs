//! What a host that has read a list sends to peers with older copies.

use std::collections::BTreeSet;
use std::sync::Arc;

use node::history::History;
use node::store::{Entry, Fact, Update};
use policy::name::Name;
use policy::revision::Revision;
use policy::time::Millis;
use wire::routing::{Kind, Route, Table};

const NOW: Millis = Millis(1_000_000);

fn entry(key: &str, revision: u64) -> Entry {
    let fact = Fact::Unreadable("any".to_owned());
    Entry { key: Name::from(key), revision: revision.into(), fact }
}

fn update(revision: u64, is_whole: bool, entries: &[(&str, u64)]) -> Update {
    let entries = entries.iter().map(|(key, revision)| entry(key, *revision)).collect();
    Update { entries, revision: revision.into(), is_whole, overrides: None }
}

fn keys(update: &Update) -> BTreeSet<(&str, bool)> {
    let is_removed = |entry: &'_ Entry| entry.fact == Fact::Removed;
    update.entries.iter().map(|entry| (entry.key.as_str(), is_removed(entry))).collect()
}

/// Guards against sending the whole list to all peers after the store has dropped its history. Only
/// one host per failure domain reads the store then, and the peers need just the changes.
#[test]
fn update_since_whole_list_is_sent_as_changes() {
    let mut history = History::new(0);
    history.apply(&update(10, true, &[("a", 3), ("b", 4), ("c", 5)]));
    history.apply(&update(20, false, &[("b", 18)]));
    history.apply(&update(30, true, &[("a", 3), ("b", 25), ("d", 27)]));
    let changes = history.update_since(Revision::from(20), NOW).unwrap();
    assert!(!changes.is_whole);
    assert_eq!(keys(&changes), BTreeSet::from([("b", false), ("c", true), ("d", false)]));
    assert_eq!(history.last_change(), Revision::from(30));
    let earlier = history.update_since(Revision::from(10), NOW).unwrap();
    assert!(!earlier.is_whole);
    assert_eq!(keys(&earlier), keys(&changes));
}

#[test]
fn update_since_unchanged_whole_list_is_empty() {
    let mut history = History::new(0);
    history.apply(&update(10, true, &[("a", 3)]));
    history.apply(&update(30, true, &[("a", 3)]));
    assert_eq!(history.update_since(Revision::from(10), NOW).unwrap().entries, []);
    assert_eq!(history.last_change(), Revision::from(10));
    assert_eq!(history.revision(), Some(Revision::from(30)));
}

#[test]
fn update_since_no_copy_is_the_whole_list() {
    let mut history = History::new(0);
    assert_eq!(history.update_since(Revision::from(0), NOW), None);
    history.apply(&update(0, true, &[]));
    history.apply(&update(5, false, &[("a", 5)]));
    assert!(history.update_since(Revision::from(0), NOW).unwrap().is_whole);
    assert!(!history.update_since(Revision::from(4), NOW).unwrap().is_whole);
}

#[test]
fn update_since_before_the_first_read_is_the_whole_list() {
    let mut history = History::new(0);
    history.apply(&update(10, true, &[("a", 3)]));
    history.apply(&update(12, false, &[("a", 12)]));
    assert!(history.update_since(Revision::from(9), NOW).unwrap().is_whole);
    assert!(!history.update_since(Revision::from(10), NOW).unwrap().is_whole);
}

/// Guards against a late answer of the store that brings back an old state of the list.
#[test]
fn apply_older_list_removes_nothing() {
    let mut history = History::new(0);
    history.apply(&update(30, true, &[("a", 3), ("b", 25)]));
    history.apply(&update(20, true, &[("a", 3)]));
    assert_eq!(history.update_since(Revision::from(30), NOW).unwrap().entries, []);
    assert_eq!(history.revision(), Some(Revision::from(30)));
}

/// A table of 40 routes, whose first one has the given timeout.
fn table(version: u64, timeout_ms: u64) -> Fact {
    let route = |number: u64| Route {
        name: Name::from(format!("route-{number}")),
        host: Name::from("callers.example"),
        prefix: Name::from(format!("/{number}/")),
        kind: Kind::Idempotent,
        attempts_max: 3,
        timeout_ms: if number == 0 { timeout_ms } else { 5_000 },
        objective_ms: 300,
        gap_ms: None,
        priority: 1,
        anonymous: false,
        targets: Vec::new(),
        models: Vec::new(),
    };
    let routes = (0..40).map(route).collect();
    Fact::Table(Arc::new(Table { version, routes, ..Table::default() }))
}

fn table_update(version: u64, is_whole: bool) -> Update {
    let revision = version * 10;
    let fact = table(version, 1_000 + version);
    let entries = vec![Entry { key: Name::from("config"), revision: revision.into(), fact }];
    Update { entries, revision: revision.into(), is_whole, overrides: None }
}

fn is_edit(entry: &Entry) -> bool {
    matches!(entry.fact, Fact::Edit(_))
}

/// Guards against each host reading a long table from the store for a change of one route.
#[test]
fn update_since_table_is_sent_as_edits() {
    let (mut reader, mut other) = (History::new(0), History::new(0));
    reader.apply(&table_update(1, true));
    other.apply(&table_update(1, true));
    (2..6).for_each(|version| reader.apply(&table_update(version, false)));
    let changes = reader.update_since(Revision::from(10), NOW).unwrap();
    assert_eq!(changes.entries.len(), 4);
    assert!(changes.entries.iter().all(is_edit));
    assert!(serde_json::to_vec(&changes).unwrap().len() < 3_000);
    let resolved = other.resolve(&changes).unwrap();
    assert_eq!(resolved.entries.last().unwrap().fact, table(5, 1_005));
    other.apply(&resolved);
    assert_eq!(
        other.update_since(Revision::from(40), NOW).unwrap(),
        reader.update_since(Revision::from(40), NOW).unwrap()
    );
    // Edits that arrive twice or late change nothing.
    assert_eq!(other.resolve(&changes).unwrap().entries.last().unwrap().fact, table(5, 1_005));
}

/// Guards against an edit being applied to a table that it is not based on.
#[test]
fn resolve_edit_of_an_unknown_table_is_none() {
    let mut reader = History::new(0);
    (1..4).for_each(|version| reader.apply(&table_update(version, version == 1)));
    let changes = reader.update_since(Revision::from(20), NOW).unwrap();
    assert!(changes.entries.iter().all(is_edit));
    assert!(History::new(0).resolve(&changes).is_none());
    let mut older = History::new(0);
    older.apply(&table_update(1, true));
    assert!(older.resolve(&changes).is_none());
}

/// A peer whose table is older than all edits that are kept is sent the whole table.
#[test]
fn update_since_before_the_edits_is_the_whole_table() {
    let mut reader = History::new(0);
    (1..40).for_each(|version| reader.apply(&table_update(version, version == 1)));
    assert!(!is_edit(&reader.update_since(Revision::from(100), NOW).unwrap().entries[0]));
    assert!(is_edit(&reader.update_since(Revision::from(380), NOW).unwrap().entries[0]));
}

/// Guards against sending the whole list because more servers were replaced than removals are kept:
/// 45 % of ten thousand servers within some seconds.
#[test]
fn update_since_half_of_a_large_deployment_is_replaced() {
    for servers in [10, 1_000, 10_000] {
        let mut history = History::new(0);
        let keys: Vec<String> = (0..2 * servers).map(|number| format!("i-{number}")).collect();
        let first: Vec<(&str, u64)> = keys[..servers].iter().map(|key| (key.as_str(), 1)).collect();
        history.apply(&update(1, true, &first));
        let replaced = servers * 9 / 20;
        for number in 0..replaced {
            let revision = 2 + 2 * number as u64;
            history.apply(&update(revision, false, &[(&keys[servers + number], revision)]));
            let removal = Entry { fact: Fact::Removed, ..entry(&keys[number], revision + 1) };
            history.apply(&Update {
                entries: vec![removal],
                revision: (revision + 1).into(),
                ..Update::default()
            });
        }
        let changes = history.update_since(Revision::from(1), NOW).unwrap();
        assert!(!changes.is_whole);
        assert_eq!(changes.entries.len(), 2 * replaced);
        assert_eq!(history.update_since(Revision::from(0), NOW).unwrap().entries.len(), servers);
    }
}

/// Guards against removals that accumulate for as long as a host runs.
#[test]
fn apply_removals_are_bounded_by_the_listed_entries() {
    let mut history = History::new(0);
    history.apply(&update(1, true, &[("first", 1)]));
    for revision in 2..6_000 {
        let key = format!("i-{revision}");
        let removal = Entry { fact: Fact::Removed, ..entry(&key, revision) };
        history.apply(&Update {
            entries: vec![removal],
            revision: revision.into(),
            ..Update::default()
        });
    }
    assert!(history.update_since(Revision::from(1), NOW).unwrap().is_whole);
    assert_eq!(history.update_since(Revision::from(5_000), NOW).unwrap().entries.len(), 999);
}
