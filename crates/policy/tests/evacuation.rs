//! Evacuated failure domains, by lists that come late, twice or from an old state.

use fuzz::check;
use policy::evacuation::{Entry, Evacuations};
use policy::name::Name;
use policy::revision::Revision;

fn entry(domain: &str, revision: u64, is_ordered: bool) -> Entry {
    let failure_domain = is_ordered.then(|| Name::from(domain));
    let revision = Revision::from(revision);
    Entry { key: Name::from(format!("order/{domain}")), revision, failure_domain }
}

fn covered(orders: &Evacuations) -> Vec<&str> {
    orders.failure_domains().map(Name::as_str).collect()
}

#[test]
fn take_two_at_once_end_one_by_one() {
    let mut orders = Evacuations::default();
    let change =
        orders.apply(&[entry("a", 5, true), entry("b", 6, true)], Revision::from(6), false);
    assert_eq!(change.begun, ["a", "b"].map(Name::from));
    let change = orders.apply(&[entry("a", 9, false)], Revision::from(9), false);
    assert_eq!(change.ended, [Name::from("a")]);
    assert_eq!(covered(&orders), ["b"]);
    assert!(orders.is_evacuated(&Name::from("b")));
    assert!(!orders.is_evacuated(&Name::from("a")));
}

#[test]
fn take_whole_list_without_an_order_ends_it() {
    let mut orders = Evacuations::default();
    orders.apply(&[entry("a", 5, true)], Revision::from(5), false);
    let change = orders.apply(&[], Revision::from(8), true);
    assert_eq!(change.ended, [Name::from("a")]);
    assert!(covered(&orders).is_empty());
}

/// Guards against an order that an old state of the list ends.
#[test]
fn take_older_whole_list_ends_nothing() {
    let mut orders = Evacuations::default();
    orders.apply(&[entry("a", 5, true)], Revision::from(5), false);
    let change = orders.apply(&[], Revision::from(4), true);
    assert!(change.ended.is_empty());
    assert_eq!(covered(&orders), ["a"]);
}

/// Guards against an order that comes back with an old state of the list.
#[test]
fn take_older_whole_list_brings_nothing_back() {
    let mut orders = Evacuations::default();
    orders.apply(&[entry("a", 5, true)], Revision::from(5), false);
    orders.apply(&[entry("a", 7, false)], Revision::from(7), false);
    let change = orders.apply(&[entry("a", 5, true)], Revision::from(6), true);
    assert!(change.begun.is_empty());
    assert!(covered(&orders).is_empty());
}

#[test]
fn take_the_same_again_is_no_change() {
    let mut orders = Evacuations::default();
    orders.apply(&[entry("a", 5, true)], Revision::from(5), true);
    assert_eq!(
        orders.apply(&[entry("a", 5, true)], Revision::from(9), true),
        policy::evacuation::Change::default()
    );
}

/// Whatever of a list's states come, in whatever order, what is believed is the newest of them.
#[test]
fn take_states_in_any_order_newest_stays() {
    check(2_000, |states: &Vec<(u8, bool)>| {
        let state = |(revision, is_ordered): &(u8, bool)| (u64::from(*revision) + 1, *is_ordered);
        let mut states: Vec<(u64, bool)> = states.iter().map(state).collect();
        // One state for each revision.
        let mut seen = std::collections::BTreeMap::new();
        states.retain_mut(|(revision, is)| *is == *seen.entry(*revision).or_insert(*is));
        let mut orders = Evacuations::default();
        for (revision, is_ordered) in &states {
            orders.apply(&[entry("a", *revision, *is_ordered)], Revision::from(*revision), true);
        }
        let newest = seen.last_key_value().is_some_and(|(_, is_ordered)| *is_ordered);
        assert_eq!(orders.is_evacuated(&Name::from("a")), newest);
    });
}
