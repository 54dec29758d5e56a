//! Evacuated failure domains when lists arrive late, twice or in an old state.

use fuzz::check;
use policy::evacuation::{Entry, Evacuations};
use policy::name::Name;
use policy::revision::Revision;

fn entry(domain: &str, revision: u64, is_ordered: bool) -> Entry {
    let failure_domain = is_ordered.then(|| Name::from(domain));
    let revision = Revision::from(revision);
    Entry { key: Name::from(format!("order/{domain}")), revision, failure_domain }
}

fn evacuated(orders: &Evacuations) -> Vec<&str> {
    orders.failure_domains().map(Name::as_str).collect()
}

#[test]
fn apply_two_orders_that_end_one_by_one() {
    let mut orders = Evacuations::default();
    let change =
        orders.apply(&[entry("a", 5, true), entry("b", 6, true)], Revision::from(6), false);
    assert_eq!(change.begun, ["a", "b"].map(Name::from));
    let change = orders.apply(&[entry("a", 9, false)], Revision::from(9), false);
    assert_eq!(change.ended, [Name::from("a")]);
    assert_eq!(evacuated(&orders), ["b"]);
    assert!(orders.is_evacuated(&Name::from("b")));
    assert!(!orders.is_evacuated(&Name::from("a")));
}

#[test]
fn apply_whole_list_without_an_order_ends_it() {
    let mut orders = Evacuations::default();
    orders.apply(&[entry("a", 5, true)], Revision::from(5), false);
    let change = orders.apply(&[], Revision::from(8), true);
    assert_eq!(change.ended, [Name::from("a")]);
    assert!(evacuated(&orders).is_empty());
}

/// Guards against an old state of the list ending a newer order.
#[test]
fn apply_older_whole_list_ends_nothing() {
    let mut orders = Evacuations::default();
    orders.apply(&[entry("a", 5, true)], Revision::from(5), false);
    let change = orders.apply(&[], Revision::from(4), true);
    assert!(change.ended.is_empty());
    assert_eq!(evacuated(&orders), ["a"]);
}

/// Guards against a withdrawn order returning with an old state of the list.
#[test]
fn apply_older_whole_list_restores_nothing() {
    let mut orders = Evacuations::default();
    orders.apply(&[entry("a", 5, true)], Revision::from(5), false);
    orders.apply(&[entry("a", 7, false)], Revision::from(7), false);
    let change = orders.apply(&[entry("a", 5, true)], Revision::from(6), true);
    assert!(change.begun.is_empty());
    assert!(evacuated(&orders).is_empty());
}

#[test]
fn apply_same_entries_again_is_no_change() {
    let mut orders = Evacuations::default();
    orders.apply(&[entry("a", 5, true)], Revision::from(5), true);
    assert_eq!(
        orders.apply(&[entry("a", 5, true)], Revision::from(9), true),
        policy::evacuation::Change::default()
    );
}

/// Whichever states of a list arrive, in any order, the newest of them decides.
#[test]
fn apply_states_in_any_order_keeps_the_newest() {
    check(2_000, |states: &Vec<(u8, bool)>| {
        let state = |(revision, is_ordered): &(u8, bool)| (u64::from(*revision) + 1, *is_ordered);
        let mut states: Vec<(u64, bool)> = states.iter().map(state).collect();
        // Each revision has one state only.
        let mut seen = std::collections::BTreeMap::new();
        states.retain_mut(|(revision, is_on)| *is_on == *seen.entry(*revision).or_insert(*is_on));
        let mut orders = Evacuations::default();
        for (revision, is_ordered) in &states {
            orders.apply(&[entry("a", *revision, *is_ordered)], Revision::from(*revision), true);
        }
        let newest = seen.last_key_value().is_some_and(|(_, is_ordered)| *is_ordered);
        assert_eq!(orders.is_evacuated(&Name::from("a")), newest);
    });
}
