//! Ranks of requests in an engine's reading order.

use policy::precedence::{Request, rank};

#[test]
fn rank_short_before_long() {
    let ranked = |read_ms| rank(&Request { read_ms, priority: 1, ..Request::default() });
    assert!(
        ranked(3.0) < ranked(20.0) && ranked(20.0) < ranked(100.0) && ranked(100.0) < ranked(600.0)
    );
    assert!(ranked(600.0) < ranked(1_500.0));
}

#[test]
fn rank_urgent_first_among_equal_lengths() {
    let ranked = |priority| rank(&Request { read_ms: 20.0, priority, ..Request::default() });
    assert!(ranked(0) < ranked(1) && ranked(1) < ranked(2));
    assert_eq!(ranked(2), ranked(200));
}

#[test]
fn rank_repeated_and_resumed_before_new() {
    let new = Request { read_ms: 100.0, priority: 1, ..Request::default() };
    let repeat = Request { is_repeat: true, ..new };
    let resumed = Request { is_repeat: true, is_resumed: true, ..new };
    assert!(rank(&resumed) < rank(&repeat) && rank(&repeat) < rank(&new));
}

#[test]
fn rank_stays_within_the_range_of_engines() {
    let last = Request { read_ms: 1e9, priority: 255, ..Request::default() };
    assert_eq!(rank(&last), 9);
    let first = Request { is_repeat: true, is_resumed: true, ..Request::default() };
    assert_eq!(rank(&first), 1);
}
