//! Who takes news from whom, at domains of one to a thousand hosts.

use std::collections::{BTreeMap, BTreeSet};

use policy::bootstrap::request_wait_ms;
use policy::name::Name;
use policy::tree::sources;

fn hosts(count: usize) -> Vec<Name> {
    (0..count).map(|number| Name::from(format!("front-{number}"))).collect()
}

/// How often each host is asked first, and the longest way from the root.
fn shape(hosts: &[Name]) -> (usize, usize) {
    let root = &hosts[0];
    let mut asked: BTreeMap<Name, usize> = BTreeMap::new();
    let mut longest = 0;
    for own in &hosts[1..] {
        let sources = sources((own, 0), root, hosts.iter().map(|other| (other, 0)));
        assert_eq!(sources.last(), Some(root));
        assert!(!sources.contains(own));
        *asked.entry(sources[0].clone()).or_default() += 1;
        longest = longest.max(sources.len());
    }
    (asked.into_values().max().unwrap_or_default(), longest)
}

/// Guards against hosts that all ask the one that has the news.
#[test]
fn sources_load_of_one_host_does_not_grow_with_the_domain() {
    for count in [1, 2, 5, 30, 195, 400, 1_000] {
        let (most, longest) = shape(&hosts(count));
        println!("{count} hosts: asked first by {most}, {longest} steps");
        assert!(most <= 4, "{count} {most}");
        let steps = (count as f64).log(4.0).ceil() as usize + 1;
        assert!(longest <= steps, "{count} {longest}");
    }
}

#[test]
fn sources_of_the_root_are_none() {
    let hosts = hosts(9);
    assert!(sources((&hosts[3], 0), &hosts[3], hosts.iter().map(|host| (host, 0))).is_empty());
}

/// Guards against a host that has nobody to ask since it knows of nobody.
#[test]
fn sources_of_a_host_that_knows_nobody_are_the_root() {
    let hosts = hosts(2);
    assert_eq!(sources((&hosts[1], 0), &hosts[0], [].into_iter()), [hosts[0].clone()]);
}

/// Some hosts are known to a part of the others only: everybody's way still ends at the root, and
/// nobody is asked by many.
#[test]
fn sources_views_that_differ() {
    let hosts = hosts(200);
    let mut asked: BTreeMap<Name, BTreeSet<Name>> = BTreeMap::new();
    for (number, own) in hosts.iter().enumerate().skip(1) {
        let known = hosts.iter().enumerate();
        let known = known.filter(|(other, _)| (other * 7 + number) % 11 != 0);
        let sources = sources((own, 0), &hosts[0], known.map(|(_, name)| (name, 0)));
        assert_eq!(sources.last(), Some(&hosts[0]));
        assert!(sources.len() <= 6);
        asked.entry(sources[0].clone()).or_default().insert(own.clone());
    }
    let most = asked.values().map(BTreeSet::len).max().unwrap();
    assert!(most <= 16, "{most}");
}

/// Guards against narrow links that the news must pass before they reach wide ones.
#[test]
fn sources_are_the_stronger_hosts() {
    let hosts = hosts(170);
    let class = |number: usize| if number.is_multiple_of(17) { 9 } else { 1 };
    let all = || hosts.iter().enumerate().map(|(number, name)| (name, class(number)));
    let strong: BTreeSet<&Name> =
        all().filter(|(_, class)| *class == 9).map(|(name, _)| name).collect();
    let mut steps = Vec::new();
    for own in all().skip(1) {
        let sources = sources(own, &hosts[0], all());
        // Once a strong host is on the way, so are all behind it.
        let first_strong = sources.iter().position(|source| strong.contains(source)).unwrap();
        assert!(sources[first_strong..].iter().all(|source| strong.contains(source)));
        steps.push(first_strong);
    }
    // Behind ten strong hosts three steps are left to the weak ones at most.
    assert!(steps.iter().all(|steps| *steps <= 2), "{:?}", steps.iter().max());
}

/// All hosts of a domain start together, and callers come at once: the part of these that is
/// refused, if a host has the list so much later than its source and keeps a caller for that long.
fn refused(count: usize, step_ms: u64, wait_ms: u64) -> f64 {
    let hosts = hosts(count);
    let steps = |own: &Name| {
        let sources = sources((own, 0), &hosts[0], hosts.iter().map(|other| (other, 0)));
        sources.len() as u64
    };
    let refused = hosts.iter().filter(|own| steps(own) * step_ms > wait_ms).count();
    refused as f64 / count as f64
}

/// At the last hosts of a large domain, which have the lists after several steps, callers were
/// refused that had twenty seconds.
#[test]
fn wait_lasts_until_the_list_has_come_through_a_large_domain() {
    for count in [1, 30, 200, 1_000] {
        assert_eq!(refused(count, 150, request_wait_ms(Some(20_000))), 0.0, "{count} hosts");
    }
    assert!(refused(200, 150, 300) > 0.5);
    assert_eq!(request_wait_ms(Some(1_500)), 300, "a caller in a hurry comes back sooner");
    assert_eq!(request_wait_ms(None), 300);
}
