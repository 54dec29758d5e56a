//! Which host takes changes from which, in failure domains of one to a thousand hosts.

use std::collections::{BTreeMap, BTreeSet};

use policy::bootstrap::request_wait_ms;
use policy::name::Name;
use policy::tree::sources;

fn hosts(count: usize) -> Vec<Name> {
    (0..count).map(|number| Name::from(format!("front-{number}"))).collect()
}

/// Returns the most hosts that ask one host first, and the longest path to the root.
fn shape(hosts: &[Name]) -> (usize, usize) {
    let root = &hosts[0];
    let mut children: BTreeMap<Name, usize> = BTreeMap::new();
    let mut longest = 0;
    for own in &hosts[1..] {
        let sources = sources((own, 0), root, hosts.iter().map(|other| (other, 0)));
        assert_eq!(sources.last(), Some(root));
        assert!(!sources.contains(own));
        *children.entry(sources[0].clone()).or_default() += 1;
        longest = longest.max(sources.len());
    }
    (children.into_values().max().unwrap_or_default(), longest)
}

/// Guards against hosts that all ask the one that has the changes.
#[test]
fn sources_no_host_is_asked_first_by_many() {
    for count in [1, 2, 5, 30, 195, 400, 1_000] {
        let (most, longest) = shape(&hosts(count));
        println!("{count} hosts: one is asked first by {most}, longest path {longest}");
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

/// Guards against a host that has no host to ask because it knows no other.
#[test]
fn sources_of_a_host_that_knows_no_other_are_the_root() {
    let hosts = hosts(2);
    assert_eq!(sources((&hosts[1], 0), &hosts[0], [].into_iter()), [hosts[0].clone()]);
}

/// Hosts that know different hosts. Each path still ends at the root, and no host is asked first by
/// many.
#[test]
fn sources_of_hosts_that_know_different_hosts() {
    let hosts = hosts(200);
    let mut children: BTreeMap<Name, BTreeSet<Name>> = BTreeMap::new();
    for (number, own) in hosts.iter().enumerate().skip(1) {
        let known = hosts.iter().enumerate();
        let known = known.filter(|(other, _)| (other * 7 + number) % 11 != 0);
        let sources = sources((own, 0), &hosts[0], known.map(|(_, name)| (name, 0)));
        assert_eq!(sources.last(), Some(&hosts[0]));
        assert!(sources.len() <= 6);
        children.entry(sources[0].clone()).or_default().insert(own.clone());
    }
    let most = children.values().map(BTreeSet::len).max().unwrap();
    assert!(most <= 16, "{most}");
}

/// Guards against changes that pass narrow links before they reach wide ones.
#[test]
fn sources_are_strong_hosts_from_the_first_strong_one_on() {
    let hosts = hosts(170);
    let class = |number: usize| if number.is_multiple_of(17) { 9 } else { 1 };
    let all = || hosts.iter().enumerate().map(|(number, name)| (name, class(number)));
    let strong: BTreeSet<&Name> =
        all().filter(|(_, class)| *class == 9).map(|(name, _)| name).collect();
    let mut steps = Vec::new();
    for own in all().skip(1) {
        let sources = sources(own, &hosts[0], all());
        // From the first strong host on the path, all hosts are strong.
        let first_strong = sources.iter().position(|source| strong.contains(source)).unwrap();
        assert!(sources[first_strong..].iter().all(|source| strong.contains(source)));
        steps.push(first_strong);
    }
    // With ten strong hosts, at most two weak hosts stand between any host and the first strong
    // one.
    assert!(steps.iter().all(|steps| *steps <= 2), "{:?}", steps.iter().max());
}

/// Returns the share of callers that are refused when all hosts of a domain start together and
/// callers come at once. A host has the list `step_ms` later than its source, and a request waits
/// `wait_ms`.
fn refused_share(count: usize, step_ms: u64, wait_ms: u64) -> f64 {
    let hosts = hosts(count);
    let steps = |own: &Name| {
        let sources = sources((own, 0), &hosts[0], hosts.iter().map(|other| (other, 0)));
        sources.len() as u64
    };
    let refused = hosts.iter().filter(|own| steps(own) * step_ms > wait_ms).count();
    refused as f64 / count as f64
}

/// Guards against refusing callers that have twenty seconds, at the last hosts of a large domain,
/// which have the lists after several steps.
#[test]
fn request_wait_ms_lasts_until_a_large_domain_has_the_list() {
    for count in [1, 30, 200, 1_000] {
        assert_eq!(refused_share(count, 150, request_wait_ms(Some(20_000))), 0.0, "{count} hosts");
    }
    assert!(refused_share(200, 150, 300) > 0.5);
    assert_eq!(request_wait_ms(Some(1_500)), 300, "a caller in a hurry comes back sooner");
    assert_eq!(request_wait_ms(None), 300);
}
