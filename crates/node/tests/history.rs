//! What a host that has read a list can tell others that know an older state of it.

use std::collections::BTreeSet;

use node::history::History;
use node::store::{Entry, Fact, News};
use policy::name::Name;

fn entry(key: &str, revision: u64) -> Entry {
    let fact = Fact::Unreadable("any".to_owned());
    Entry { key: Name::from(key), revision, fact }
}

fn news(revision: u64, is_whole: bool, entries: &[(&str, u64)]) -> News {
    let entries = entries.iter().map(|(key, revision)| entry(key, *revision)).collect();
    News { entries, revision, is_whole }
}

fn keys(news: &News) -> BTreeSet<(&str, bool)> {
    let key = |entry: &'_ Entry| entry.fact == Fact::Removed;
    news.entries.iter().map(|entry| (entry.key.as_str(), key(entry))).collect()
}

/// The store dropped its history: the one host that reads sent all others of its failure domain the
/// whole list, which they could have from the store only.
#[test]
fn behind_list_read_afresh_is_told_as_changes() {
    let mut history = History::default();
    history.take(&news(10, true, &[("a", 3), ("b", 4), ("c", 5)]));
    history.take(&news(20, false, &[("b", 18)]));
    history.take(&news(30, true, &[("a", 3), ("b", 25), ("d", 27)]));
    let behind = history.behind(20).unwrap();
    assert!(!behind.is_whole);
    assert_eq!(keys(&behind), BTreeSet::from([("b", false), ("c", true), ("d", false)]));
    assert_eq!(history.changed(), 30);
    let earlier = history.behind(10).unwrap();
    assert!(!earlier.is_whole);
    assert_eq!(keys(&earlier), keys(&behind));
}

#[test]
fn behind_list_read_afresh_without_changes_is_empty() {
    let mut history = History::default();
    history.take(&news(10, true, &[("a", 3)]));
    history.take(&news(30, true, &[("a", 3)]));
    assert_eq!(history.behind(10).unwrap().entries, []);
    assert_eq!(history.changed(), 10);
    assert_eq!(history.revision(), Some(30));
}

#[test]
fn behind_nothing_known_is_the_whole_list() {
    let mut history = History::default();
    assert_eq!(history.behind(0), None);
    history.take(&news(0, true, &[]));
    history.take(&news(5, false, &[("a", 5)]));
    assert!(history.behind(0).unwrap().is_whole);
    assert!(!history.behind(4).unwrap().is_whole);
}

#[test]
fn behind_older_than_the_first_read_is_the_whole_list() {
    let mut history = History::default();
    history.take(&news(10, true, &[("a", 3)]));
    history.take(&news(12, false, &[("a", 12)]));
    assert!(history.behind(9).unwrap().is_whole);
    assert!(!history.behind(10).unwrap().is_whole);
}

/// A late answer of the store brought back an old state of the list.
#[test]
fn take_older_list_removes_nothing() {
    let mut history = History::default();
    history.take(&news(30, true, &[("a", 3), ("b", 25)]));
    history.take(&news(20, true, &[("a", 3)]));
    assert_eq!(history.behind(30).unwrap().entries, []);
    assert_eq!(history.revision(), Some(30));
}
