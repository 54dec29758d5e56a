//! What a host makes of a list after the store has come back from a copy, and what others take from it.

use std::sync::Arc;

use node::history::History;
use node::store::{Entry, Fact, News};
use policy::name::Name;
use policy::recovery::REWRITE_TIMEOUT_MS;
use policy::revision::Revision;
use policy::time::Millis;
use wire::routing::{Backend, Order, Table};

const BACK: Millis = Millis(1_000_000);
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
    Fact::Order(Order { service, target, within_ms: 10_000, issue })
}

fn entry(key: &str, era: u64, number: u64, fact: Fact) -> Entry {
    Entry { key: Name::from(key), revision: Revision::new(era, number), fact }
}

fn news(era: u64, number: u64, is_whole: bool, entries: Vec<Entry>) -> News {
    News { entries, revision: Revision::new(era, number), is_whole, doubts: None }
}

/// Takes news as a host does.
fn take(history: &mut History, news: &News, now: Millis) {
    let reconciled = history.reconcile(news, now).news.into_owned();
    history.take(&reconciled);
}

/// Takes what is due from what was held on to.
fn settle(history: &mut History, now: Millis) -> usize {
    let due = history.settle(now);
    due.iter().for_each(|news| history.take(news));
    due.map_or(0, |news| news.entries.len())
}

/// What a host has under a key, as another one is given it.
fn held(history: &History, key: &str) -> Option<Fact> {
    let all = history.behind(Revision::NONE, BACK).unwrap();
    all.entries.into_iter().find(|entry| &*entry.key == key).map(|entry| entry.fact)
}

/// A host that knows what was written up to 500; the store comes back as of 300.
fn knows(entries: Vec<Entry>) -> History {
    let mut history = History::new(MISSING_MS);
    history.take(&news(1, 300, true, vec![entry("a", 1, 250, server("a", false))]));
    history.take(&news(1, 500, false, entries));
    history
}

fn copy() -> News {
    news(2, 310, true, vec![entry("a", 2, 250, server("a", false))])
}

/// Guards against a server that gets work again because the copy has it from before it said that it leaves.
#[test]
fn reconcile_leave_before_the_copy_stays() {
    let mut host = knows(vec![entry("a", 1, 480, server("a", true))]);
    take(&mut host, &copy(), BACK);
    assert_eq!(held(&host, "a"), Some(server("a", true)));
    // Also when the list is read again, and for a host that starts and takes it from there.
    take(&mut host, &copy(), BACK + 500);
    assert_eq!(held(&host, "a"), Some(server("a", true)));
    let mut late = History::new(MISSING_MS);
    take(&mut late, &host.behind(Revision::NONE, BACK + 500).unwrap(), BACK + 500);
    assert_eq!(held(&late, "a"), Some(server("a", true)));
}

/// Guards against the same at a host that started behind the return and read the copy itself.
#[test]
fn reconcile_is_newer_than_the_list_alone() {
    let mut host = knows(vec![entry("a", 1, 480, Fact::Removed)]);
    let mut late = History::new(MISSING_MS);
    take(&mut host, &copy(), BACK);
    take(&mut late, &copy(), BACK);
    assert!(late.revision() < host.revision());
    let own = late.revision().unwrap();
    take(&mut late, &host.behind(own, BACK + 10).unwrap(), BACK + 10);
    assert_eq!(held(&late, "a"), None);
    // And it does not stay so for good if the server is there after all.
    assert_eq!(settle(&mut late, BACK + REWRITE_TIMEOUT_MS - 1), 0);
    assert_eq!(settle(&mut late, BACK + 10 + REWRITE_TIMEOUT_MS), 1);
    assert_eq!(held(&late, "a"), Some(server("a", false)));
}

/// Guards against callers refused because the copy lacks servers that are there, and against gone ones in use.
#[test]
fn reconcile_missing_server_is_kept_for_a_while() {
    let mut host =
        knows(vec![entry("b", 1, 470, server("b", false)), entry("c", 1, 480, server("c", false))]);
    take(&mut host, &copy(), BACK);
    assert!(held(&host, "b").is_some() && held(&host, "c").is_some());
    take(&mut host, &news(2, 320, false, vec![entry("c", 2, 320, server("c", false))]), BACK + 900);
    assert_eq!(settle(&mut host, BACK + MISSING_MS), 1);
    assert!(held(&host, "b").is_none() && held(&host, "c").is_some());
}

/// Guards against a table that comes back older, at once or when everything else has settled.
#[test]
fn reconcile_table_never_goes_back() {
    let mut host = History::new(REWRITE_TIMEOUT_MS);
    host.take(&news(1, 300, true, vec![entry("config", 1, 250, table(7))]));
    host.take(&news(1, 500, false, vec![entry("config", 1, 490, table(9))]));
    let copy = news(2, 310, true, vec![entry("config", 2, 250, table(7))]);
    take(&mut host, &copy, BACK);
    settle(&mut host, BACK + 2 * REWRITE_TIMEOUT_MS);
    take(&mut host, &copy, BACK + 3 * REWRITE_TIMEOUT_MS);
    assert_eq!(held(&host, "config"), Some(table(9)));
    let later = news(2, 320, false, vec![entry("config", 2, 320, table(11))]);
    take(&mut host, &later, BACK + 4 * REWRITE_TIMEOUT_MS);
    assert_eq!(held(&host, "config"), Some(table(11)));
}

/// Guards against an evacuation that ends because the copy lacks it, and against one that is taken for undone
/// though it was ordered after the return.
#[test]
fn reconcile_evacuation_holds_until_written_again() {
    let evacuation = Fact::Evacuation(Name::from("a"));
    let mut host = History::new(REWRITE_TIMEOUT_MS);
    host.take(&news(1, 300, true, Vec::new()));
    host.take(&news(1, 500, false, vec![entry("evacuate/a", 1, 480, evacuation.clone())]));
    take(&mut host, &news(2, 310, true, Vec::new()), BACK);
    assert_eq!(held(&host, "evacuate/a"), Some(evacuation.clone()));
    // Written again it is no longer held on to, and its end counts.
    let again = entry("evacuate/a", 2, 320, evacuation.clone());
    take(&mut host, &news(2, 320, false, vec![again]), BACK + 800);
    let end = entry("evacuate/a", 2, 330, Fact::Removed);
    take(&mut host, &news(2, 330, false, vec![end]), BACK + 900);
    assert_eq!(held(&host, "evacuate/a"), None);
    // One that had ended, and is ordered anew at a number that was given out before.
    let mut other = History::new(REWRITE_TIMEOUT_MS);
    other.take(&news(1, 300, true, vec![entry("evacuate/a", 1, 200, evacuation.clone())]));
    other.take(&news(1, 500, false, vec![entry("evacuate/a", 1, 480, Fact::Removed)]));
    let fresh = entry("evacuate/a", 2, 400, evacuation.clone());
    take(&mut other, &news(2, 400, true, vec![fresh]), BACK);
    assert_eq!(held(&other, "evacuate/a"), Some(evacuation));
}

/// Guards against an order of before that is carried out in place of the last one.
#[test]
fn reconcile_older_order_is_not_taken() {
    let mut host = History::new(REWRITE_TIMEOUT_MS);
    host.take(&news(1, 300, true, vec![entry("rollout/desk", 1, 200, order("v2", 200))]));
    host.take(&news(1, 500, false, vec![entry("rollout/desk", 1, 480, order("v3", 480))]));
    let copy = news(2, 310, true, vec![entry("rollout/desk", 2, 200, order("v2", 200))]);
    take(&mut host, &copy, BACK);
    assert_eq!(held(&host, "rollout/desk"), Some(order("v3", 480)));
    // Never written again, it is given up in the end.
    assert_eq!(settle(&mut host, BACK + REWRITE_TIMEOUT_MS), 1);
    assert_eq!(held(&host, "rollout/desk"), Some(order("v2", 200)));
}

/// Guards against what was lost by a second return while the first is not settled.
#[test]
fn reconcile_second_return_begins_anew() {
    let mut host = knows(vec![entry("a", 1, 480, server("a", true))]);
    take(&mut host, &copy(), BACK);
    let second = news(3, 290, true, vec![entry("a", 3, 250, server("a", false))]);
    take(&mut host, &second, BACK + 9_000);
    settle(&mut host, BACK + REWRITE_TIMEOUT_MS + 1);
    assert_eq!(held(&host, "a"), Some(server("a", true)));
}
