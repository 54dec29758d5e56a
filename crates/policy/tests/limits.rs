//! Limits of accounts, retry budgets, and which requests may be retried.

use policy::limit::{Limit, Usage, Verdict};
use policy::retry::{self, Attempt, Budget};
use policy::time::Millis;

fn granted(usage: &mut Usage, limit: &Limit, entry_hosts: u32, now: u64) -> bool {
    usage.acquire(limit, entry_hosts, 0.0, Millis(now)) == Verdict::Granted
}

#[test]
fn acquire_rate_is_divided_by_entry_hosts() {
    let limit = Limit { requests_per_second: 60.0, in_flight: 0 };
    let mut usage = Usage::default();
    let granted = (0..10_000).filter(|ms| granted(&mut usage, &limit, 6, *ms)).count();
    assert!((100..=112).contains(&granted), "{granted}");
}

#[test]
fn acquire_in_flight_is_divided_and_released() {
    let limit = Limit { requests_per_second: 0.0, in_flight: 12 };
    let mut usage = Usage::default();
    assert!((0..2).all(|_| granted(&mut usage, &limit, 6, 0)));
    assert!(!granted(&mut usage, &limit, 6, 0));
    usage.release();
    assert!(granted(&mut usage, &limit, 6, 0));
}

#[test]
fn acquire_without_limit_is_granted() {
    let mut usage = Usage::default();
    assert!((0..1000).all(|_| granted(&mut usage, &Limit::default(), 6, 0)));
}

#[test]
fn acquire_refused_says_when_to_retry() {
    let limit = Limit { requests_per_second: 1.0, in_flight: 0 };
    let mut usage = Usage::default();
    assert!(granted(&mut usage, &limit, 1, 0));
    let Verdict::Refused { retry_after_ms } = usage.acquire(&limit, 1, 0.0, Millis(0)) else {
        panic!("granted");
    };
    assert!(granted(&mut usage, &limit, 1, retry_after_ms));
}

/// Retries add at most a tenth to the calls of a pool that fails every call, beyond the first
/// burst.
#[test]
fn take_bounds_retries() {
    let mut budget = Budget::default();
    let retries = (0..1000)
        .filter(|_| {
            budget.fill();
            budget.take()
        })
        .count();
    assert!((100..=111).contains(&retries), "{retries}");
}

#[test]
fn take_both_takes_neither_if_one_is_empty() {
    let (mut full, mut empty) = (Budget::default(), Budget::default());
    while empty.take() {}
    let before = full;
    assert!(!retry::take_from_both(&mut full, &mut empty));
    assert_eq!(full, before);
}

#[test]
fn may_try_elsewhere_by_state_of_the_attempt() {
    let left = Attempt { left_ms: 1_000, expected_ms: 500, ..Attempt::default() };
    let written = Attempt { first_byte_written: true, ..left };
    let repeatable = Attempt { may_repeat: true, ..written };
    assert!(retry::may_retry_elsewhere(&left));
    assert!(!retry::may_retry_elsewhere(&written));
    assert!(retry::may_retry_elsewhere(&repeatable));
    assert!(!retry::may_retry_elsewhere(&Attempt { answer_begun: true, ..repeatable }));
    assert!(!retry::may_retry_elsewhere(&Attempt { left_ms: 100, ..left }));
    assert!(!retry::may_hedge(&left, 900, 500));
    assert!(retry::may_hedge(&repeatable, 900, 500));
}
