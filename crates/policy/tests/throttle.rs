//! Limits that backend servers state, kept by all hosts together.

use fuzz::check;
use policy::place::mix;
use policy::throttle::{Limit, Place, Throttle};
use policy::time::Millis;

const START: Millis = Millis(1_000_000);
const WINDOW_MS: u64 = 4_000;

/// Returns the places of hosts that all know each other; `hosts` is their number by failure domain,
/// and the server is in the first domain.
fn places(hosts: &[usize]) -> Vec<Place> {
    let place = |domain: usize, before| Place {
        before,
        hosts: hosts[domain],
        is_near: domain == 0,
        domains: hosts.len(),
    };
    (0..hosts.len()).flat_map(|d| (0..hosts[d]).map(move |before| place(d, before))).collect()
}

fn limited(per_second: f64) -> Throttle {
    let mut throttle = Throttle::default();
    throttle.record_answer(Some(per_second), START, START);
    throttle
}

fn stated(per_second: f64) -> Limit {
    Limit { per_second: Some(per_second), at: START, until: None }
}

/// Returns how many requests are sent in each tenth of a second for `ms` milliseconds, by hosts
/// that each have one request to send in each tenth.
fn send(throttles: &mut [Throttle], places: &[Place], ms: u64) -> Vec<usize> {
    let mut sent = Vec::new();
    for step in 1..=ms / 100 {
        let now = START + step * 100;
        let mut count = 0;
        for (throttle, place) in throttles.iter_mut().zip(places) {
            if throttle.has_room(place, now) {
                throttle.record_sent(place, now);
                count += 1;
            }
        }
        sent.push(count);
    }
    sent
}

/// Returns the most requests in any window.
fn most(sent: &[usize]) -> usize {
    let windows = sent.windows((WINDOW_MS / 100) as usize);
    windows.map(|window| window.iter().sum()).max().unwrap_or_default()
}

#[test]
fn has_room_limit_is_kept_and_used_by_300_hosts() {
    for hosts in [vec![50; 6], vec![1, 2, 1, 2], vec![300], vec![1], vec![2, 3, 2], vec![20; 4]] {
        for limit in [0.5, 1.6, 3.7, 10.0, 50.0] {
            let places = places(&hosts);
            let mut throttles = vec![limited(limit); places.len()];
            let sent = send(&mut throttles, &places, 60_000);
            let most = most(&sent);
            let allowed = (limit * 4.0 * 1.5 + 5.0) as usize;
            assert!(most <= allowed, "{most} of {limit} a second, {hosts:?}");
            let used = sent.iter().sum::<usize>() as f64 / 60.0;
            // One host sends ten requests a second at most.
            let most_used = limit.min(10.0 * hosts[0] as f64);
            assert!(used >= 0.7 * most_used, "{used} of {limit} a second, {hosts:?}");
        }
    }
}

#[test]
fn has_room_limit_is_kept_by_hosts_that_see_half_of_each_other() {
    // Each half of the first domain believes that the other half is gone.
    let halves = [places(&[25, 50, 50]), places(&[25, 50, 50])].concat();
    for limit in [0.5, 1.6, 10.0] {
        let mut throttles = vec![limited(limit); halves.len()];
        let used = send(&mut throttles, &halves, 60_000).iter().sum::<usize>() as f64 / 60.0;
        assert!(used <= 2.0 * limit, "{used} of {limit} a second");
    }
}

#[test]
fn rate_adds_up_to_the_limit() {
    check(2_000, |(limit, hosts): &(u16, Vec<u8>)| {
        let limit = f64::from(*limit) / 100.0;
        let hosts: Vec<usize> = hosts.iter().map(|count| usize::from(*count) + 1).collect();
        if hosts.is_empty() {
            return;
        }
        let sum: f64 = places(&hosts).iter().map(|place| stated(limit).rate(place)).sum();
        assert!((sum - limit).abs() < 1e-6 * limit.max(1.0), "{sum} of {limit}, {hosts:?}");
    });
}

#[test]
fn record_answer_without_a_limit_ends_it_unless_older() {
    let mut throttle = limited(2.0);
    assert!(!throttle.record_answer(None, START - 10, START + 10));
    assert!(throttle.is_limited(START + 40));
    assert!(throttle.record_answer(None, START + 20, START + 40));
    assert!(!throttle.is_limited(START + 40));
    let alone = Place { before: 9, hosts: 10, is_near: false, domains: 4 };
    assert!(throttle.has_room(&alone, START + 40));
}

#[test]
fn learn_accepts_the_newest_only() {
    let mut throttle = limited(2.0);
    assert!(!throttle.learn(Limit { per_second: None, at: START - 1, until: None }, START + 10));
    assert!(throttle.is_limited(START + 40));
    assert!(
        throttle.learn(Limit { per_second: Some(1.0), at: START + 5, until: None }, START + 10)
    );
    assert!(throttle.learn(Limit { per_second: None, at: START + 6, until: None }, START + 10));
    assert!(!throttle.is_limited(START + 40));
    // Hosts that missed the end of the limit are told again for a while.
    assert!(throttle.shared(START + 5_000).is_some());
    assert!(throttle.shared(START + 60_000).is_none());
}

#[test]
fn has_room_lowered_limit_is_kept() {
    let places = places(&[4, 4]);
    let mut throttles = vec![limited(20.0); places.len()];
    send(&mut throttles, &places, 10_000);
    for throttle in &mut throttles {
        throttle.record_answer(Some(2.0), START + 10_000, START + 10_000);
    }
    let mut sent = 0;
    for step in 101..=140 {
        let now = START + step * 100;
        for (throttle, place) in throttles.iter_mut().zip(&places) {
            if throttle.has_room(place, now) {
                throttle.record_sent(place, now);
                sent += 1;
            }
        }
    }
    assert!(sent <= 17, "{sent}");
}

#[test]
fn rate_goes_to_different_hosts_for_each_server() {
    // Ranks are hashes; the same host must not come first at every server.
    let rank = |host: u64, server: u64| mix(mix(host) ^ mix(server));
    let first = |server| (0..50_u64).min_by_key(|host| rank(*host, server));
    let firsts: std::collections::HashSet<_> = (0..200).map(first).collect();
    assert!(firsts.len() > 40, "{}", firsts.len());
}
