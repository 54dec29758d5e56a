//! Estimates move from the document's prior to the ratings, and back as the ratings decay.

use policy::estimate::Estimate;
use policy::time::Millis;

#[test]
fn mean_moves_from_prior_to_ratings() {
    let mut estimate = Estimate::prior(0.9).with_prior_weight(20.0);
    assert!((estimate.mean(Millis(0)) - 0.9).abs() < 1e-9);
    (0..2000).for_each(|n| estimate.observe(n % 2 == 0, Millis(0)));
    assert!((estimate.mean(Millis(0)) - 0.5).abs() < 0.01);
}

#[test]
fn mean_returns_to_prior_as_ratings_decay() {
    let estimate = Estimate::prior(0.9).with_counts(0.0, 50.0, Millis(0)).with_half_life(1_000);
    assert!(estimate.mean(Millis(0)) < 0.6);
    assert!(estimate.mean(Millis(20_000)) > 0.89);
}

#[test]
fn bounds_narrow_with_more_ratings() {
    let few = Estimate::prior(0.9);
    let many = few.with_counts(900.0, 1000.0, Millis(0));
    let now = Millis(0);
    assert!(few.lower_bound(1.0, now) < many.lower_bound(1.0, now));
    assert!(few.upper_bound(1.0, now) > many.upper_bound(1.0, now));
    assert!(
        many.lower_bound(1.0, now) < many.mean(now) && many.mean(now) < many.upper_bound(1.0, now)
    );
}

/// The bounds stay ordered and between 0 and 1, whatever ratings arrive.
#[test]
fn observe_random_ratings_keeps_bounds_valid() {
    fuzz::check(1000, |(prior, ratings): &(u8, Vec<(bool, u16)>)| {
        let mut estimate = Estimate::prior(f64::from(*prior) / 255.0);
        for (good, at) in ratings {
            let now = Millis(u64::from(*at));
            estimate.observe(*good, now);
            let (lower, upper) = (estimate.lower_bound(3.0, now), estimate.upper_bound(3.0, now));
            assert!(0.0 <= lower && lower <= upper && upper <= 1.0, "{estimate:?}");
        }
    });
}
