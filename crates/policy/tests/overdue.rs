//! Answers that should have begun.

use policy::overdue::Overdue;
use policy::time::Millis;

const START: Millis = Millis(1_000_000);

#[test]
fn late_ms_grows_until_the_answer_begins() {
    let mut overdue = Overdue::default();
    let number = overdue.sent(START + 100, 5);
    assert_eq!(overdue.late_ms(5, START + 100), 0.0);
    assert_eq!(overdue.late_ms(5, START + 630), 500.0);
    overdue.ended(number);
    assert_eq!(overdue.late_ms(5, START + 630), 0.0);
}

#[test]
fn late_ms_little_says_nothing() {
    let mut overdue = Overdue::default();
    overdue.sent(START, 5);
    assert_eq!(overdue.late_ms(5, START + 25), 0.0);
}

#[test]
fn late_ms_latest_of_several() {
    let mut overdue = Overdue::default();
    overdue.sent(START + 200, 5);
    let first = overdue.sent(START, 5);
    assert_eq!(overdue.late_ms(5, START + 330), 300.0);
    overdue.ended(first);
    assert_eq!(overdue.late_ms(5, START + 330), 100.0);
}

#[test]
fn late_ms_urgent_request_passes_the_less_urgent() {
    // A long prompt waits behind short ones, as it should; that is no reason to keep a short one
    // away from the engine.
    let mut overdue = Overdue::default();
    overdue.sent(START, 6);
    assert_eq!(overdue.late_ms(5, START + 1_000), 0.0);
    assert!(overdue.late_ms(6, START + 1_000) > 900.0);
}
