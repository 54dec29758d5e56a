//! Placement: only available servers, affinity within bounds, and no herding on an old report.

use policy::place::{Report, Server, choose, choose_except, hash, mix};
use policy::time::Millis;

const NOW: Millis = Millis(10_000);

fn servers(count: usize) -> Vec<Server> {
    (0..count).map(|index| Server::new(format!("server-{index}"))).collect()
}

#[test]
fn choose_only_available_servers() {
    let mut two = servers(2);
    two[0].draining = true;
    two[1].ill_until = NOW + 1;
    assert_eq!(choose(&two, Some(1), 7, NOW), None);
    assert_eq!(choose(&two, None, 7, NOW + 1), Some(1));
    assert_eq!(choose(&[], None, 7, NOW), None);
}

#[test]
fn choose_affinity_is_independent_of_the_draw() {
    let many = servers(20);
    let prefix = hash(b"the same prompt");
    let first = choose(&many, Some(prefix), 1, NOW);
    assert!((0..100).all(|draw| choose(&many, Some(prefix), mix(draw), NOW) == first));
}

#[test]
fn choose_affinity_is_ignored_above_the_load_bound() {
    let mut many = servers(20);
    let prefix = hash(b"the same prompt");
    let first = choose(&many, Some(prefix), 1, NOW).unwrap();
    many[first].in_flight = 5;
    assert_ne!(choose(&many, Some(prefix), 1, NOW), Some(first));
}

#[test]
fn choose_draining_server_moves_only_its_own_prefixes() {
    let mut many = servers(20);
    let prefixes: Vec<u64> = (0..200).map(mix).collect();
    let place = |servers: &[Server], prefix: &u64| choose(servers, Some(*prefix), 1, NOW).unwrap();
    let before: Vec<usize> = prefixes.iter().map(|prefix| place(&many, prefix)).collect();
    many[3].draining = true;
    let moved = prefixes.iter().zip(&before).filter(|(p, old)| place(&many, p) != **old).count();
    assert_eq!(moved, before.iter().filter(|old| **old == 3).count());
}

#[test]
fn choose_except_uses_the_excepted_server_only_alone() {
    let one = servers(1);
    assert_eq!(choose_except(&one, Some(0), None, 1, NOW), Some(0));
    let two = servers(2);
    assert!((0..50).all(|draw| choose_except(&two, Some(0), None, mix(draw), NOW) == Some(1)));
}

#[test]
fn load_weighs_reports_by_age() {
    let report = |at| Some(Report { in_flight: 10, slots: 8, at });
    let fresh = Server { report: report(NOW), in_flight: 2, ..Server::new("a") };
    let old = Server { report: report(NOW - 8_000), ..fresh.clone() };
    assert!((fresh.load(NOW) - 10.0).abs() < 1e-9);
    assert!(old.load(NOW) < 4.0 && old.load(NOW) >= 2.0);
}

/// Guards against herding, which makes callers wait while servers are idle: six entry hosts read
/// the same report, two seconds old, in which one server is idle. Two random choices and the count
/// of own requests must spread their requests.
#[test]
fn choose_six_hosts_do_not_herd() {
    let mut hosts = vec![servers(20); 6];
    for server in hosts.iter_mut().flat_map(|host| host.iter_mut().skip(1)) {
        server.report = Some(Report { in_flight: 3, slots: 8, at: NOW - 2_000 });
    }
    let mut sent = [0_u32; 20];
    for request in 0..120_u64 {
        let host = &mut hosts[request as usize % 6];
        let server = choose(host, None, mix(request), NOW).unwrap();
        host[server].in_flight += 1;
        sent[server] += 1;
    }
    assert!(sent.iter().all(|count| *count <= 14), "{sent:?}");
    assert!(sent[0] >= 6, "{sent:?}");
}
