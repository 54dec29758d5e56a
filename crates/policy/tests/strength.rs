//! Strength classes and ranks of hosts that differ in their cores and links.

use policy::place::mix;
use policy::strength::{class, rank};

#[test]
fn class_of_hosts_of_a_mixed_fleet() {
    let classes = [(0.12, 20.0), (0.25, 100.0), (0.5, 200.0), (1.0, 1_000.0)]
        .map(|(core_share, link_mbps)| class(core_share, link_mbps));
    assert!(classes.is_sorted() && classes[0] < classes[3], "{classes:?}");
    assert_eq!(class(1.0, 1_000.0), class(1.0, 1_001.0));
}

/// Settings out of range still give a class.
#[test]
fn class_of_settings_out_of_range() {
    assert_eq!(class(0.0, 0.0), 0);
    assert_eq!(class(-1.0, 5.0), 0);
    assert_eq!(class(f64::NAN, 1.0), 0);
    assert_eq!(class(1e300, 1e300), 15);
}

#[test]
fn rank_of_stronger_hosts_is_lower() {
    let strongest = (0..1_000).map(|host| rank(9, mix(host))).max().unwrap();
    let weakest = (0..1_000).map(|host| rank(8, mix(host))).min().unwrap();
    assert!(strongest < weakest);
    assert!(rank(200, 1) <= rank(15, 1));
    assert!(rank(3, 10) < rank(3, u64::MAX));
}
