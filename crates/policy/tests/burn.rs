//! Error budgets: burn rates in windows, alerts, and merges that count no request twice.

use policy::burn::{BUCKET_MS, Series, WINDOWS};
use policy::time::Millis;

const HOUR_MS: u64 = 3_600_000;

/// A series of one request per second for `until_ms`, of which one in `errors_every` fails.
fn series(errors_every: u64, until_ms: u64) -> Series {
    let mut series = Series::default();
    (0..until_ms / 1000).for_each(|n| series.count(n % errors_every != 0, Millis(n * 1000)));
    series
}

#[test]
fn burn_rate_is_one_at_allowed_errors() {
    let burn = series(100, HOUR_MS).burn(0.99, WINDOWS[0], Millis(HOUR_MS - 1));
    assert!((burn.long_rate - 1.0).abs() < 0.05, "{burn:?}");
    assert!(!burn.alert);
}

#[test]
fn burn_alert_needs_both_windows() {
    let now = Millis(HOUR_MS - 1);
    assert!(series(5, HOUR_MS).burn(0.99, WINDOWS[0], now).alert);
    let mut recent = series(1_000_000, HOUR_MS);
    (0..60).for_each(|n| recent.count(false, Millis(HOUR_MS - 60_000 + n * 1000)));
    let burn = recent.burn(0.99, WINDOWS[0], now);
    assert!(burn.short_rate > 14.4 && !burn.alert, "{burn:?}");
}

#[test]
fn add_doubles_and_merge_does_not() {
    let one = series(10, 60_000);
    let mut two = one.clone();
    two.add(&one);
    assert_eq!(two.window(HOUR_MS, Millis(60_000)).total, 120);
    let mut copy = one.clone();
    copy.merge(&one);
    assert_eq!(copy, one);
}

#[test]
fn prune_drops_buckets_no_window_includes() {
    let mut series = series(10, 60_000);
    series.prune(Millis(6 * HOUR_MS));
    assert_eq!(series.buckets.len(), 6);
    series.prune(Millis(6 * HOUR_MS + 3 * BUCKET_MS));
    assert_eq!(series.buckets.len(), 3);
}

/// Copies merged in any order give the same counts, and never more than the fullest copy.
#[test]
fn merge_in_any_order_is_the_same() {
    fuzz::check(1000, |counts: &Vec<(bool, u16)>| {
        let mut whole = Series::default();
        let mut part = Series::default();
        for (index, (good, at)) in counts.iter().enumerate() {
            whole.count(*good, Millis(u64::from(*at) * 100));
            if index < counts.len() / 2 {
                part = whole.clone();
            }
        }
        let (mut one, mut two) = (whole.clone(), part.clone());
        one.merge(&part);
        two.merge(&whole);
        assert_eq!(one, whole);
        assert_eq!(two, whole);
    });
}
