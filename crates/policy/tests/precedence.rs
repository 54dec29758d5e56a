//! In which order an engine reads.

use policy::precedence::{Request, place};

#[test]
fn place_short_before_long() {
    let at = |read_ms| place(&Request { read_ms, priority: 1, ..Request::default() });
    assert!(at(3.0) < at(20.0) && at(20.0) < at(100.0) && at(100.0) < at(600.0));
    assert!(at(600.0) < at(1_500.0));
}

#[test]
fn place_urgency_counts_among_equals() {
    let at = |priority| place(&Request { read_ms: 20.0, priority, ..Request::default() });
    assert!(at(0) < at(1) && at(1) < at(2));
    assert_eq!(at(2), at(200));
}

#[test]
fn place_what_goes_on_comes_before_its_like() {
    let new = Request { read_ms: 100.0, priority: 1, ..Request::default() };
    let again = Request { is_again: true, ..new };
    let resumed = Request { is_again: true, is_resumed: true, ..new };
    assert!(place(&resumed) < place(&again) && place(&again) < place(&new));
}

#[test]
fn place_stays_within_what_engines_know() {
    let last = Request { read_ms: 1e9, priority: 255, ..Request::default() };
    assert_eq!(place(&last), 9);
    let first = Request { is_again: true, is_resumed: true, ..Request::default() };
    assert_eq!(place(&first), 1);
}
