//! What a host does with a list after the store was restored from a copy, and what peers take from
//! it.

use std::sync::Arc;

use node::history::History;
use node::store::{Entry, Fact, Update};
use policy::name::Name;
use policy::recovery::REWRITE_TIMEOUT_MS;
use policy::revision::Revision;
use policy::time::Millis;
use wire::routing::{Backend, RolloutOrder, Table};

const RESTORED_AT: Millis = Millis(1_000_000);
const MISSING_MS: u64 = 2_000;

fn server(id: &str, draining: bool) -> Fact {
    Fact::Backend(Backend {
        id: Name::from(id),
        born: 1,
        service: Name::from("desk"),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: Name::from("a"),
        version: Name::from("v1"),
        slots: 8,
        draining,
        warmup_ms: None,
    })
}

fn table(version: u64) -> Fact {
    Fact::Table(Arc::new(Table { version, ..Table::default() }))
}

fn order(target: &str, issue: u64) -> Fact {
    let (service, target) = (Name::from("desk"), Name::from(target));
    Fact::Order(RolloutOrder { service, target, within_ms: 10_000, issue })
}

fn entry(key: &str, era: u64, number: u64, fact: Fact) -> Entry {
    Entry { key: Name::from(key), revision: Revision::new(era, number), fact }
}

fn update(era: u64, number: u64, is_whole: bool, entries: Vec<Entry>) -> Update {
    Update { entries, revision: Revision::new(era, number), is_whole, overrides: None }
}

/// Applies an update as a host does.
fn accept(history: &mut History, update: &Update, now: Millis) {
    let reconciled = history.reconcile(update, now).update.into_owned();
    history.apply(&reconciled);
}

/// Gives up the overrides whose time has come. Returns how many.
fn expire_overrides(history: &mut History, now: Millis) -> usize {
    let due = history.expired_overrides(now);
    due.iter().for_each(|update| history.apply(update));
    due.map_or(0, |update| update.entries.len())
}

/// The content that a host has under a key, as it gives it to peers.
fn content(history: &History, key: &str) -> Option<Fact> {
    let all = history.update_since(Revision::NONE, RESTORED_AT).unwrap();
    all.entries.into_iter().find(|entry| &*entry.key == key).map(|entry| entry.fact)
}

/// A host that knows all changes up to number 500, for a store that is restored as of 300.
fn host_with(entries: Vec<Entry>) -> History {
    let mut history = History::new(MISSING_MS);
    history.apply(&update(1, 300, true, vec![entry("a", 1, 250, server("a", false))]));
    history.apply(&update(1, 500, false, entries));
    history
}

fn restored_list() -> Update {
    update(2, 310, true, vec![entry("a", 2, 250, server("a", false))])
}

/// Guards against a draining server that gets requests again because the copy is from before it
/// began to drain.
#[test]
fn reconcile_draining_server_stays_draining() {
    let mut host = host_with(vec![entry("a", 1, 480, server("a", true))]);
    accept(&mut host, &restored_list(), RESTORED_AT);
    assert_eq!(content(&host, "a"), Some(server("a", true)));
    // The server also stays draining when the list is read again, and for a host that starts and
    // fetches the list from this one.
    accept(&mut host, &restored_list(), RESTORED_AT + 500);
    assert_eq!(content(&host, "a"), Some(server("a", true)));
    let mut late_host = History::new(MISSING_MS);
    accept(
        &mut late_host,
        &host.update_since(Revision::NONE, RESTORED_AT + 500).unwrap(),
        RESTORED_AT + 500,
    );
    assert_eq!(content(&late_host, "a"), Some(server("a", true)));
}

/// Guards against the same at a host that was started after the restore and read the copy itself.
#[test]
fn reconcile_overrides_reach_a_host_that_read_the_list_itself() {
    let mut host = host_with(vec![entry("a", 1, 480, Fact::Removed)]);
    let mut late_host = History::new(MISSING_MS);
    accept(&mut host, &restored_list(), RESTORED_AT);
    accept(&mut late_host, &restored_list(), RESTORED_AT);
    assert!(late_host.revision() < host.revision());
    let own = late_host.revision().unwrap();
    accept(&mut late_host, &host.update_since(own, RESTORED_AT + 10).unwrap(), RESTORED_AT + 10);
    assert_eq!(content(&late_host, "a"), None);
    // The override is given up if the server turns out to be there.
    assert_eq!(expire_overrides(&mut late_host, RESTORED_AT + REWRITE_TIMEOUT_MS - 1), 0);
    assert_eq!(expire_overrides(&mut late_host, RESTORED_AT + 10 + REWRITE_TIMEOUT_MS), 1);
    assert_eq!(content(&late_host, "a"), Some(server("a", false)));
}

/// Guards against rejected requests because the copy lacks running servers, and against requests to
/// servers that are gone.
#[test]
fn reconcile_missing_server_is_kept_for_a_while() {
    let mut host = host_with(vec![
        entry("b", 1, 470, server("b", false)),
        entry("c", 1, 480, server("c", false)),
    ]);
    accept(&mut host, &restored_list(), RESTORED_AT);
    assert!(content(&host, "b").is_some() && content(&host, "c").is_some());
    accept(
        &mut host,
        &update(2, 320, false, vec![entry("c", 2, 320, server("c", false))]),
        RESTORED_AT + 900,
    );
    assert_eq!(expire_overrides(&mut host, RESTORED_AT + MISSING_MS), 1);
    assert!(content(&host, "b").is_none() && content(&host, "c").is_some());
}

/// Guards against an older table coming back, at once or when all overrides have been given up.
#[test]
fn reconcile_table_never_goes_back() {
    let mut host = History::new(REWRITE_TIMEOUT_MS);
    host.apply(&update(1, 300, true, vec![entry("config", 1, 250, table(7))]));
    host.apply(&update(1, 500, false, vec![entry("config", 1, 490, table(9))]));
    let restored_list = update(2, 310, true, vec![entry("config", 2, 250, table(7))]);
    accept(&mut host, &restored_list, RESTORED_AT);
    expire_overrides(&mut host, RESTORED_AT + 2 * REWRITE_TIMEOUT_MS);
    accept(&mut host, &restored_list, RESTORED_AT + 3 * REWRITE_TIMEOUT_MS);
    assert_eq!(content(&host, "config"), Some(table(9)));
    let later = update(2, 320, false, vec![entry("config", 2, 320, table(11))]);
    accept(&mut host, &later, RESTORED_AT + 4 * REWRITE_TIMEOUT_MS);
    assert_eq!(content(&host, "config"), Some(table(11)));
}

/// Guards against an evacuation that ends because the copy lacks it, and against an evacuation that
/// is ignored although it was ordered after the restore.
#[test]
fn reconcile_evacuation_holds_until_written_again() {
    let evacuation = Fact::Evacuation(Name::from("a"));
    let mut host = History::new(REWRITE_TIMEOUT_MS);
    host.apply(&update(1, 300, true, Vec::new()));
    host.apply(&update(1, 500, false, vec![entry("evacuate/a", 1, 480, evacuation.clone())]));
    accept(&mut host, &update(2, 310, true, Vec::new()), RESTORED_AT);
    assert_eq!(content(&host, "evacuate/a"), Some(evacuation.clone()));
    // Once the evacuation was written again it is no override any more, and its removal ends it.
    let again = entry("evacuate/a", 2, 320, evacuation.clone());
    accept(&mut host, &update(2, 320, false, vec![again]), RESTORED_AT + 800);
    let end = entry("evacuate/a", 2, 330, Fact::Removed);
    accept(&mut host, &update(2, 330, false, vec![end]), RESTORED_AT + 900);
    assert_eq!(content(&host, "evacuate/a"), None);
    // An evacuation that had ended is ordered anew, under a number that was used before the
    // restore.
    let mut other = History::new(REWRITE_TIMEOUT_MS);
    other.apply(&update(1, 300, true, vec![entry("evacuate/a", 1, 200, evacuation.clone())]));
    other.apply(&update(1, 500, false, vec![entry("evacuate/a", 1, 480, Fact::Removed)]));
    let reordered = entry("evacuate/a", 2, 400, evacuation.clone());
    accept(&mut other, &update(2, 400, true, vec![reordered]), RESTORED_AT);
    assert_eq!(content(&other, "evacuate/a"), Some(evacuation));
}

/// Guards against an older order being carried out in place of the latest one.
#[test]
fn reconcile_older_order_is_not_accepted() {
    let mut host = History::new(REWRITE_TIMEOUT_MS);
    host.apply(&update(1, 300, true, vec![entry("rollout/desk", 1, 200, order("v2", 200))]));
    host.apply(&update(1, 500, false, vec![entry("rollout/desk", 1, 480, order("v3", 480))]));
    let restored_list = update(2, 310, true, vec![entry("rollout/desk", 2, 200, order("v2", 200))]);
    accept(&mut host, &restored_list, RESTORED_AT);
    assert_eq!(content(&host, "rollout/desk"), Some(order("v3", 480)));
    // The override is given up if the order is never written again.
    assert_eq!(expire_overrides(&mut host, RESTORED_AT + REWRITE_TIMEOUT_MS), 1);
    assert_eq!(content(&host, "rollout/desk"), Some(order("v2", 200)));
}

/// Guards against losing what a second restore lacks while the overrides of the first are still
/// held.
#[test]
fn reconcile_second_restore_starts_over() {
    let mut host = host_with(vec![entry("a", 1, 480, server("a", true))]);
    accept(&mut host, &restored_list(), RESTORED_AT);
    let second = update(3, 290, true, vec![entry("a", 3, 250, server("a", false))]);
    accept(&mut host, &second, RESTORED_AT + 9_000);
    expire_overrides(&mut host, RESTORED_AT + REWRITE_TIMEOUT_MS + 1);
    assert_eq!(content(&host, "a"), Some(server("a", true)));
}
