//! Pace of streams: slow versions are distinguished from delayed engines.

use policy::canary::is_slow;
use policy::pace::Pace;

/// Records events one by one and returns the pace by which the stream is judged.
fn judge(gaps_ms: &[f64]) -> Option<f64> {
    let mut pace = Pace::default();
    gaps_ms.iter().filter_map(|ms| pace.record(1, *ms)).next()
}

/// Guards against rolling back a good version as slow: its servers start with empty caches, so that
/// reading prompts delays their streams.
#[test]
fn record_stream_delayed_by_prompts_is_not_slow() {
    let pace = judge(&[207.0, 267.0, 30.0, 610.0, 250.0]).unwrap();
    assert!(!is_slow(pace, 28.0), "{pace}");
}

/// Guards against completing the roll-out of a slow version: few of its streams end in time, so
/// they must be judged before their end.
#[test]
fn record_slow_stream_is_judged_before_its_end() {
    assert!(is_slow(judge(&[800.0; 5]).unwrap(), 100.0));
    assert!(!is_slow(judge(&[200.0; 5]).unwrap(), 100.0));
    assert!(!is_slow(judge(&[800.0; 5]).unwrap(), f64::INFINITY), "no pace to compare with");
}

#[test]
fn record_too_few_events_give_no_pace() {
    assert_eq!(judge(&[2_000.0, 2_000.0]), None);
    assert_eq!(judge(&[]), None);
}

#[test]
fn record_returns_the_pace_once() {
    let mut pace = Pace::default();
    assert_eq!(pace.record(3, 300.0), None);
    assert_eq!(pace.record(2, 160.0), Some(80.0));
    assert!(pace.is_judged());
    assert_eq!(pace.record(1, 1.0), None);
}

/// Guards against rolling back a good version that answers within a millisecond, on a busy machine.
#[test]
fn is_slow_ignores_a_few_milliseconds() {
    assert!(!is_slow(6.0, 1.5));
    assert!(is_slow(60.0, 1.5));
    assert!(is_slow(60.0, 20.0));
}
