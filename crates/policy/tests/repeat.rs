//! Repeats of requests: each host stays within its share, so all hosts together stay within the
//! limit.

use policy::repeat::{Allowance, Window, spare_per_host};
use policy::time::Millis;

const ALLOWANCE: Allowance = Allowance { share: 0.9, spare: 2.0, window_ms: 10_000 };
const START: Millis = Millis(1_000_000);

#[test]
fn take_without_requests_the_spare_repeats() {
    let mut window = Window::default();
    let taken = (0..10).filter(|_| window.take(&ALLOWANCE, START)).count();
    assert_eq!(taken, 2);
}

#[test]
fn take_no_more_than_the_share_of_requests() {
    let mut window = Window::default();
    for _ in 0..100 {
        window.record_request(&ALLOWANCE, START);
    }
    let taken = (0..200).filter(|_| window.take(&ALLOWANCE, START + 5)).count();
    assert!((60..=92).contains(&taken), "{taken}");
}

#[test]
fn exceeds_reserve_few_requests() {
    // One of many hosts of a large pool has two requests in a window, and a small model gives poor
    // answers. With a fixed number of repeats reserved for failures, such a host could never ask a
    // larger model and would pass on every poor answer.
    let mut window = Window::default();
    window.record_request(&ALLOWANCE, START);
    window.record_request(&ALLOWANCE, START + 10);
    assert!(window.exceeds_reserve(&ALLOWANCE, START + 20));
    assert!(window.take(&ALLOWANCE, START + 20));
    assert!(window.remaining(&ALLOWANCE, START + 30) >= 1.0);
}

#[test]
fn exceeds_reserve_leaves_some_for_failures() {
    let mut window = Window::default();
    for _ in 0..100 {
        window.record_request(&ALLOWANCE, START);
    }
    while window.exceeds_reserve(&ALLOWANCE, START) {
        assert!(window.take(&ALLOWANCE, START));
    }
    assert!(window.remaining(&ALLOWANCE, START) >= 3.0);
}

#[test]
fn take_again_after_window() {
    let mut window = Window::default();
    while window.take(&ALLOWANCE, START) {}
    assert!(!window.take(&ALLOWANCE, START + 9_000));
    assert!(window.take(&ALLOWANCE, START + 11_000));
}

/// A service fails all its requests and callers repeat at once and often, which is the worst case
/// for the limit. In no window may a host's repeats exceed two plus their share of the requests of
/// one window, which is that window, the one before, or the one that ends half a window earlier.
#[test]
fn take_within_the_limit_in_every_window() {
    fuzz::check::<Vec<(u16, bool)>>(300, |steps| {
        let mut window = Window::default();
        let (mut now, mut requests, mut repeats) = (START, Vec::new(), Vec::new());
        for (pause, burst) in steps {
            now = now + u64::from(pause % 900);
            for _ in 0..if *burst { 20 } else { 1 } {
                window.record_request(&ALLOWANCE, now);
                requests.push(now);
                if window.take(&ALLOWANCE, now) {
                    repeats.push(now);
                }
            }
        }
        let within = |times: &[Millis], end: Millis| {
            times.iter().filter(|at| **at <= end && end.since(**at) < 10_000).count() as f64
        };
        for end in &repeats {
            let counts = [0, 5_000, 10_000].map(|ms| within(&requests, *end - ms));
            let most = counts.into_iter().fold(0.0, f64::max);
            assert!(within(&repeats, *end) <= 0.9 * most + 2.0);
        }
    });
}

/// Guards against streams that break off when many servers are lost at once, because requests to
/// larger models have taken the repeats with which a host could continue them elsewhere.
#[test]
fn exceeds_reserve_leaves_enough_for_many_streams() {
    let mut window = Window::default();
    for _ in 0..100 {
        window.record_request(&ALLOWANCE, START);
    }
    while window.exceeds_reserve(&ALLOWANCE, START) {
        assert!(window.take(&ALLOWANCE, START));
    }
    let streams = (0..8).filter(|_| window.take(&ALLOWANCE, START)).count();
    assert_eq!(streams, 8);
}

/// Guards against streams that break off because requests which overloaded servers reject have
/// taken all repeats.
#[test]
fn take_reserving_leaves_one_for_each_stream() {
    let mut window = Window::default();
    for _ in 0..100 {
        window.record_request(&ALLOWANCE, START);
    }
    while window.take_reserving(12, &ALLOWANCE, START) {}
    let streams = (0..20).filter(|_| window.take(&ALLOWANCE, START)).count();
    assert_eq!(streams, 12);
}

/// Guards against a host with many streams and few requests that never sends a request again.
#[test]
fn take_reserving_many_streams_leaves_repeats_for_requests() {
    let mut window = Window::default();
    for _ in 0..10 {
        window.record_request(&ALLOWANCE, START);
    }
    let others = (0..20).filter(|_| window.take_reserving(500, &ALLOWANCE, START)).count();
    assert!(others >= 6, "{others}");
}

/// Guards against taking an extra repeat that is not there, because the reserve for many streams
/// was not considered.
#[test]
fn take_extra_leaves_the_reserve() {
    let mut window = Window::default();
    for _ in 0..100 {
        window.record_request(&ALLOWANCE, START);
    }
    let spare = (0..100).filter(|_| window.take_extra(15, &ALLOWANCE, START)).count();
    assert!(spare > 0);
    let left = window.remaining(&ALLOWANCE, START);
    assert!((15.0..17.0).contains(&left), "{left}");
}

/// Guards against more repeats than all hosts together may send: with some hundred hosts, two
/// repeats of each beyond its share would exceed the limit.
#[test]
fn spare_per_host_of_all_hosts_is_within_the_limit() {
    let slack = 1_040.0;
    for domains in [vec![1], vec![1, 1, 2, 2], vec![50; 6], vec![154, 180, 160, 10], vec![200; 5]] {
        let spare_of = |hosts| spare_per_host(slack, Some(domains.len()), Some(hosts));
        let sum: f64 = domains.iter().map(|hosts| spare_of(*hosts) * *hosts as f64).sum();
        assert!(sum <= slack + 1e-6, "{domains:?}: {sum}");
        let unknown = spare_per_host(slack, None, None) * domains.iter().sum::<usize>() as f64;
        assert!(unknown <= slack, "{domains:?}: {unknown}");
    }
    assert_eq!(
        spare_per_host(52.0, Some(4), Some(2)),
        2.0,
        "each of a few hosts has the most that one host may have"
    );
}
