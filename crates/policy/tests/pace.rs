//! A stream's pace: slow versions are told from engines that are held up.

use policy::canary::is_slow;
use policy::pace::Pace;

/// Notes events one by one; the pace that comes of it.
fn judged(gaps_ms: &[f64]) -> Option<f64> {
    let mut pace = Pace::default();
    gaps_ms.iter().filter_map(|ms| pace.note(1, *ms)).next()
}

/// Good versions whose servers began with empty caches were rolled back as slow.
#[test]
fn note_held_up_by_prompts_is_not_slow() {
    let pace = judged(&[207.0, 267.0, 30.0, 610.0, 250.0]).unwrap();
    assert!(!is_slow(pace, 28.0), "{pace}");
}

/// A slow version was declared done, since few of its streams had ended.
#[test]
fn note_slow_before_the_end() {
    assert!(is_slow(judged(&[800.0; 5]).unwrap(), 100.0));
    assert!(!is_slow(judged(&[200.0; 5]).unwrap(), 100.0));
    assert!(!is_slow(judged(&[800.0; 5]).unwrap(), f64::INFINITY), "nothing known to compare with");
}

#[test]
fn note_few_events_say_nothing() {
    assert_eq!(judged(&[2_000.0, 2_000.0]), None);
    assert_eq!(judged(&[]), None);
}

#[test]
fn note_once() {
    let mut pace = Pace::default();
    assert_eq!(pace.note(3, 300.0), None);
    assert_eq!(pace.note(2, 160.0), Some(80.0));
    assert!(pace.is_known());
    assert_eq!(pace.note(1, 1.0), None);
}

/// Good versions that answer in a millisecond were rolled back as slow on a busy machine.
#[test]
fn is_slow_few_milliseconds_are_not() {
    assert!(!is_slow(6.0, 1.5));
    assert!(is_slow(60.0, 1.5));
    assert!(is_slow(60.0, 20.0));
}
