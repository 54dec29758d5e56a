//! What is usual is learnt soon, and hardly moved by trouble of some seconds.

use policy::time::Millis;
use policy::usual::Usual;

/// Records ten answers a second for some seconds.
fn record(usual: &mut Usual, from_ms: u64, seconds: u64, ms: impl Fn(u64) -> f64) {
    for number in 0..seconds * 10 {
        usual.record(ms(number), Millis(from_ms + number * 100));
    }
}

#[test]
fn ms_is_unknown_before_some_answers() {
    let mut usual = Usual::default();
    (0..3).for_each(|number| usual.record(30.0, Millis(number)));
    assert_eq!(usual.ms(), None);
    usual.record(30.0, Millis(3));
    assert!((usual.ms().unwrap() - 30.0).abs() < 1e-9);
}

/// Guards against a slow version that passes as usual because the old servers are slow as well.
#[test]
fn ms_hardly_follows_trouble_of_seconds() {
    let mut usual = Usual::default();
    record(&mut usual, 0, 10, |_| 30.0);
    record(&mut usual, 10_000, 20, |_| 240.0);
    assert!(usual.ms().unwrap() < 40.0, "{usual:?}");
    record(&mut usual, 30_000, 300, |_| 240.0);
    assert!(usual.ms().unwrap() > 200.0, "it stays");
}

/// Guards against a baseline that rests on a first answer that was held up.
#[test]
fn ms_recovers_from_a_slow_first_answer() {
    let mut usual = Usual::default();
    record(&mut usual, 0, 5, |number| if number == 0 { 900.0 } else { 30.0 });
    assert!(usual.ms().unwrap() < 45.0, "{usual:?}");
    // A few slow answers among many don't move it.
    record(&mut usual, 5_000, 10, |number| if number % 4 == 0 { 900.0 } else { 30.0 });
    assert!(usual.ms().unwrap() < 45.0, "{usual:?}");
}
