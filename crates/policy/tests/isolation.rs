//! Hosts that are isolated from all backend servers, and servers that fail for reasons of their
//! own.

use policy::isolation::Isolation;
use policy::time::Millis;

/// Returns the state after a failure of each of `servers`, a hundred milliseconds apart.
fn after_failures(servers: std::ops::Range<u64>) -> Isolation {
    let mut isolation = Isolation::default();
    for server in servers {
        isolation.record_failure(server, Millis(1_000 + server * 100));
    }
    isolation
}

#[test]
fn record_failure_several_servers_in_a_row_isolate() {
    assert!(!after_failures(0..2).is_isolated());
    assert!(after_failures(0..2).may_be_isolated(Millis(1_300)));
    let mut isolation = after_failures(0..2);
    assert!(isolation.record_failure(2, Millis(1_300)), "the third server isolates the host");
    assert!(!isolation.record_failure(3, Millis(1_400)), "the host was isolated already");
    assert!(isolation.has_failed(0) && !isolation.has_failed(3));
    assert_eq!(isolation.record_answer(Millis(5_300)), Some(4_000));
    assert!(!isolation.is_isolated() && isolation.has_no_failures());
}

/// Guards against a host that counts as isolated because one server is down.
#[test]
fn record_failure_one_server_again_and_again_does_not_isolate() {
    let mut isolation = Isolation::default();
    (0..100).for_each(|n| assert!(!isolation.record_failure(7, Millis(1_000 + n))));
    assert!(!isolation.may_be_isolated(Millis(1_100)));
}

/// Guards against a host that counts as isolated because some of the servers are down.
#[test]
fn record_answer_between_failures_prevents_isolation() {
    let mut isolation = after_failures(0..2);
    assert_eq!(isolation.record_answer(Millis(1_300)), None);
    assert!(!isolation.record_failure(2, Millis(1_400)));
    assert!(!isolation.record_failure(3, Millis(1_500)));
}

/// Guards against failures that add up over a whole day on a host with few requests.
#[test]
fn record_failure_far_apart_does_not_isolate() {
    let mut isolation = Isolation::default();
    (0..50).for_each(|n| assert!(!isolation.record_failure(n, Millis(1_000 + n * 1_500))));
}
