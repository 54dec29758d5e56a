//! Hosts that list themselves at the same time in a store that carries out a limited number of
//! changes a second in one group of rows.

use std::collections::BTreeSet;

use policy::listing::{Listing, Step};
use policy::place::mix;
use policy::time::Millis;

/// Number of changes that the store carries out in a second in one group, one after another.
const WRITES_PER_S: f64 = 300.0;
/// Waiting time above which the store rejects a change, in milliseconds.
const QUEUE_MAX_MS: f64 = 1_000.0;
/// How long a host waits for the store's answer, in milliseconds.
const ANSWER_TIMEOUT_MS: f64 = 700.0;
/// Duration of a call of a healthy store, in milliseconds.
const CALL_MS: u64 = 4;

fn draw(seed: &mut u64) -> f64 {
    *seed = mix(*seed);
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}

/// The time and calls until all hosts were listed and had read.
#[derive(Debug)]
struct Outcome {
    ms: u64,
    writes: usize,
    reads: usize,
    /// Most hosts that any one host found.
    found: usize,
}

/// Simulates the hosts of one group that start at the same time. The store is down for the first
/// `down_ms` milliseconds.
fn simulate_start(hosts: usize, is_first_start: bool, down_ms: u64) -> Outcome {
    let mut seed = hosts as u64;
    let mut listings = vec![Listing::new(is_first_start); hosts];
    let mut busy_until = vec![0_u64; hosts];
    let mut free_at = 0.0_f64;
    // The rows written, each with the time and the host.
    let mut written: Vec<(u64, usize)> = Vec::new();
    let mut outcome = Outcome { ms: 0, writes: 0, reads: 0, found: 0 };
    let mut done = BTreeSet::new();
    while done.len() < hosts {
        outcome.ms += 1;
        assert!(outcome.ms < 60_000, "{} of {hosts} after a minute: {outcome:?}", done.len());
        let now = Millis(outcome.ms);
        for host in 0..hosts {
            if outcome.ms < busy_until[host] || done.contains(&host) {
                continue;
            }
            match listings[host].step(now) {
                Step::Wait(_) => {}
                Step::Done => drop(done.insert(host)),
                _ if outcome.ms < down_ms => {
                    let draw = draw(&mut seed);
                    listings[host].record_failure(draw, now);
                }
                Step::Read => {
                    outcome.reads += 1;
                    let is_written = |(at, row): &&(u64, usize)| *at <= outcome.ms && *row == host;
                    listings[host].record_read(written.iter().any(|row| is_written(&row)));
                    let seen = written.iter().filter(|(at, _)| *at <= outcome.ms);
                    let found: BTreeSet<usize> = seen.map(|(_, row)| *row).collect();
                    outcome.found = outcome.found.max(found.len());
                    busy_until[host] = outcome.ms + CALL_MS;
                }
                Step::Write => {
                    outcome.writes += 1;
                    let waits_ms = free_at - outcome.ms as f64;
                    let is_rejected = waits_ms > QUEUE_MAX_MS;
                    if !is_rejected {
                        free_at = free_at.max(outcome.ms as f64) + 1_000.0 / WRITES_PER_S;
                        written.push((free_at as u64, host));
                    }
                    let draw = draw(&mut seed);
                    let answered_ms = (free_at - outcome.ms as f64) as u64;
                    match () {
                        () if is_rejected => listings[host].record_failure(draw, now),
                        () if answered_ms as f64 > ANSWER_TIMEOUT_MS => {
                            busy_until[host] = outcome.ms + ANSWER_TIMEOUT_MS as u64;
                            listings[host].record_failure(draw, now + ANSWER_TIMEOUT_MS as u64);
                        }
                        () => {
                            busy_until[host] = outcome.ms + answered_ms;
                            listings[host].record_write();
                        }
                    }
                }
            }
        }
    }
    outcome
}

/// Guards against hosts that never find each other, because each writes its row again and again and
/// stops waiting before the answer comes.
#[test]
fn step_many_hosts_at_their_first_start_are_listed() {
    for hosts in [1, 10, 100, 200, 400, 1_000] {
        let outcome = simulate_start(hosts, true, 0);
        println!("{hosts} hosts: {outcome:?}");
        let least_ms = hosts as f64 / WRITES_PER_S * 1_000.0;
        assert!((outcome.ms as f64) < 2.0 * least_ms + 6_000.0, "{outcome:?}");
        // Rows that the store does not reject are written, so few hosts write again.
        assert!(outcome.writes <= hosts * 4, "{outcome:?}");
        assert!(outcome.reads <= hosts * 5, "{outcome:?}");
        assert_eq!(outcome.found, hosts);
    }
}

#[test]
fn step_restarted_host_writes_nothing() {
    let mut listing = Listing::new(false);
    assert_eq!(listing.step(Millis(1)), Step::Read);
    listing.record_read(true);
    assert_eq!(listing.step(Millis(2)), Step::Done);
}

#[test]
fn step_new_host_reads_after_its_write() {
    let mut listing = Listing::new(false);
    listing.record_read(false);
    assert_eq!(listing.step(Millis(1)), Step::Write);
    listing.record_write();
    assert_eq!(listing.step(Millis(2)), Step::Read);
    listing.record_read(true);
    assert_eq!(listing.step(Millis(3)), Step::Done);
}

/// Guards against a host that writes its row without a pause while the store answers from an older
/// state.
#[test]
fn step_read_older_than_the_own_row_causes_no_further_write() {
    let mut listing = Listing::new(false);
    listing.record_read(false);
    listing.record_write();
    for number in 1..4 {
        assert!(listing.is_outdated(false));
        let now = Millis(number * 100_000);
        listing.record_failure(0.5, now);
        assert!(matches!(listing.step(now), Step::Wait(_)));
        assert_eq!(listing.step(now + 50_000), Step::Read);
    }
    assert!(!listing.is_outdated(true));
    listing.record_read(true);
    assert_eq!(listing.step(Millis(900_000)), Step::Done);
}

#[test]
fn step_lost_answer_is_followed_by_a_read_before_a_write() {
    let mut listing = Listing::new(true);
    assert_eq!(listing.step(Millis(1)), Step::Write);
    listing.record_failure(0.5, Millis(1));
    let Step::Wait(until) = listing.step(Millis(2)) else { panic!("{listing:?}") };
    assert_eq!(listing.step(until), Step::Read);
    listing.record_read(true);
    assert_eq!(listing.step(until), Step::Done);
}

/// An unreachable store is called less and less often, and found again within some seconds.
#[test]
fn step_unreachable_store_is_called_seldom() {
    let outcome = simulate_start(200, true, 20_000);
    println!("{outcome:?}");
    assert!(outcome.ms < 28_000, "{outcome:?}");
    let mut listing = Listing::new(false);
    let (mut now, mut calls) = (Millis(1), 0);
    while now < Millis(60_000) {
        match listing.step(now) {
            Step::Wait(until) => now = until,
            _ => {
                calls += 1;
                listing.record_failure(0.5, now);
            }
        }
    }
    assert!(calls < 25, "{calls}");
}
