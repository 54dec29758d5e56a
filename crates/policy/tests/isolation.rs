//! Hosts that are cut off from all backend servers, and servers that fail by themselves.

use policy::isolation::Isolation;
use policy::time::Millis;

/// Fails so many servers, a hundred milliseconds apart.
fn failed(servers: std::ops::Range<u64>) -> Isolation {
    let mut isolation = Isolation::default();
    for server in servers {
        isolation.record_failure(server, Millis(1_000 + server * 100));
    }
    isolation
}

#[test]
fn failed_several_servers_in_a_row_isolate() {
    assert!(!failed(0..2).is_isolated());
    assert!(failed(0..2).may_be_isolated(Millis(1_300)));
    let mut isolation = failed(0..2);
    assert!(isolation.record_failure(2, Millis(1_300)), "the third one");
    assert!(!isolation.record_failure(3, Millis(1_400)), "it was known");
    assert!(isolation.has_failed(0) && !isolation.has_failed(3));
    assert_eq!(isolation.record_answer(Millis(5_300)), Some(4_000));
    assert!(!isolation.is_isolated() && isolation.has_no_failures());
}

/// Guards against a host that believes itself cut off since one server is down.
#[test]
fn failed_one_server_again_and_again_does_not_isolate() {
    let mut isolation = Isolation::default();
    (0..100).for_each(|n| assert!(!isolation.record_failure(7, Millis(1_000 + n))));
    assert!(!isolation.may_be_isolated(Millis(1_100)));
}

/// Guards against a host that believes itself cut off since part of the servers are down.
#[test]
fn reached_in_between_does_not_isolate() {
    let mut isolation = failed(0..2);
    assert_eq!(isolation.record_answer(Millis(1_300)), None);
    assert!(!isolation.record_failure(2, Millis(1_400)));
    assert!(!isolation.record_failure(3, Millis(1_500)));
}

/// Guards against failures of a whole day that add up on a host with few requests.
#[test]
fn failed_far_apart_does_not_isolate() {
    let mut isolation = Isolation::default();
    (0..50).for_each(|n| assert!(!isolation.record_failure(n, Millis(1_000 + n * 1_500))));
}
