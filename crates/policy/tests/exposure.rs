//! Sequential tests: how soon they detect a bad version, and how rarely they raise a false alarm.

use policy::exposure::cusum::Cusum;
use policy::exposure::likelihood::Likelihood;
use policy::exposure::{Hypotheses, Test, Verdict};
use policy::place::mix;

/// A uniform draw from 0 to 1 that depends on the seed alone.
fn unit(seed: u64) -> f64 {
    (mix(seed) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Mean number of rated answers until a test finds a version bad whose share of good answers is
/// `actual` instead of `expected`.
fn mean_delay<T: Test>(expected: f64, actual: f64, runs: u64) -> f64 {
    let hypotheses = Hypotheses::from_expected(expected);
    let mut rated = 0_u64;
    for run in 0..runs {
        let mut test = T::default();
        let mut answer = 0;
        loop {
            answer += 1;
            rated += 1;
            let good = unit(run << 32 | answer) < actual;
            if test.observe(good, &hypotheses) == Verdict::Bad {
                break;
            }
        }
    }
    rated as f64 / runs as f64
}

/// Number of false alarms in `answers` answers of a version that stays as good as expected.
fn false_alarms<T: Test>(expected: f64, answers: u64) -> u64 {
    let hypotheses = Hypotheses::from_expected(expected);
    let mut test = T::default();
    let mut alarms = 0;
    for answer in 0..answers {
        let good = unit(answer ^ 0x5eed) < expected;
        if test.observe(good, &hypotheses) == Verdict::Bad {
            alarms += 1;
            test = T::default();
        }
    }
    alarms
}

#[test]
fn cusum_detects_within_answers() {
    let far = mean_delay::<Cusum>(0.95, 0.60, 2000);
    let near = mean_delay::<Cusum>(0.95, 0.80, 2000);
    println!("cusum: 95 to 60 in {far:.1}, 95 to 80 in {near:.1}");
    assert!(far < 18.0, "{far}");
    assert!(near < 60.0, "{near}");
}

#[test]
fn likelihood_detects_within_answers() {
    let far = mean_delay::<Likelihood>(0.95, 0.60, 2000);
    let near = mean_delay::<Likelihood>(0.95, 0.80, 2000);
    println!("likelihood: 95 to 60 in {far:.1}, 95 to 80 in {near:.1}");
    assert!(far < 25.0, "{far}");
    assert!(near < 120.0, "{near}");
}

#[test]
fn cusum_false_alarms_are_rare() {
    for expected in [0.8, 0.9, 0.95, 0.97] {
        let alarms = false_alarms::<Cusum>(expected, 300_000);
        println!("cusum: {alarms} false alarms in 300,000 answers at {expected}");
        assert!(alarms < 30, "{alarms} at {expected}");
    }
}

#[test]
fn likelihood_false_alarms_are_rare() {
    for expected in [0.8, 0.9, 0.95, 0.97] {
        let alarms = false_alarms::<Likelihood>(expected, 300_000);
        println!("likelihood: {alarms} false alarms in 300,000 answers at {expected}");
        assert!(alarms < 30, "{alarms} at {expected}");
    }
}
