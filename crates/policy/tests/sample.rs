//! Samples of up to ten thousand servers.

use std::collections::{BTreeMap, BTreeSet};

use policy::place::mix;
use policy::sample::{FAR_MAX, NEAR_MAX, draw, successor, uniform, weighted};

/// Guards against requests whose cost grows with the number of servers.
#[test]
fn draw_is_bounded_for_any_number_of_servers() {
    for count in [0, 1, 10, 100, 128, 129, 1_000, 10_000] {
        for seed in 0..50 {
            let drawn: BTreeSet<usize> = draw(count, NEAR_MAX, seed).collect();
            assert_eq!(drawn.len(), count.min(NEAR_MAX), "{count} {seed}");
            assert!(drawn.iter().all(|index| *index < count));
        }
    }
    const { assert!(NEAR_MAX + FAR_MAX <= 200) };
}

#[test]
fn draw_few_returns_all_in_order() {
    assert!(draw(9, 128, 7).eq(0..9));
}

#[test]
fn draw_chooses_all_servers_about_equally() {
    let mut drawn = vec![0_u32; 1_000];
    for seed in 0..2_000 {
        draw(1_000, 128, seed).for_each(|index| drawn[index] += 1);
    }
    let (least, most) = (drawn.iter().min().unwrap(), drawn.iter().max().unwrap());
    assert!(*least > 150 && *most < 400, "{least} {most}");
}

fn places(servers: impl Iterator<Item = u64>) -> Vec<u64> {
    servers.map(mix).collect::<BTreeSet<_>>().into_iter().collect()
}

/// Guards against caches that become useless for all subjects when one server is removed.
#[test]
fn successor_changes_for_few_subjects_when_a_server_is_removed() {
    assert_eq!(successor(&[], 5), None);
    let (all, without) = (places(0..1_000), places((0..1_000).filter(|server| *server != 77)));
    let chosen = |places: &[u64], subject| places[successor(places, mix(subject)).unwrap()];
    let changed = (0..5_000).filter(|subject| chosen(&all, *subject) != chosen(&without, *subject));
    let changed = changed.count();
    assert!(changed < 50, "{changed}");
    let mut subjects_by_server: BTreeMap<u64, u32> = BTreeMap::new();
    (0..50_000)
        .for_each(|subject| *subjects_by_server.entry(chosen(&all, subject)).or_default() += 1);
    assert!(subjects_by_server.values().all(|subjects| *subjects < 1_000));
}

/// Guards against draws that leave out the last weight, or fall on a weight of 0.
#[test]
fn weighted_is_in_proportion_to_the_weights() {
    let weights = [1.0, 0.0, 3.0];
    let mut counts = [0; 3];
    for number in 0..4_000_u64 {
        let unit = uniform(mix(number));
        assert!((0.0..1.0).contains(&unit));
        counts[weighted(weights, unit * 4.0).unwrap()] += 1;
    }
    assert!((900..1_100).contains(&counts[0]) && counts[1] == 0, "{counts:?}");
    assert_eq!(weighted(weights, 4.0), None);
    assert_eq!(weighted([], 0.0), None);
}
