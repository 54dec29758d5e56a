//! Choice of the larger model to ask after an answer of low confidence.

use policy::escalate::threshold;
use policy::gain::{Gain, choose};
use policy::place::mix;

#[test]
fn choose_middle_model_where_little_confidence_is_missing() {
    assert_eq!(choose(50, 55.0, &[Gain::default()]), 0);
    assert_eq!(choose(20, 55.0, &[Gain::default()]), 1);
    assert_eq!(choose(20, 55.0, &[]), 0);
}

#[test]
fn choose_uses_the_learnt_gain() {
    let mut gain = Gain::default();
    (0..60).for_each(|_| gain.record(20, 60));
    assert!((37.0..=40.0).contains(&gain.points()), "{gain:?}");
    assert_eq!(choose(20, 55.0, &[gain]), 0);
}

#[test]
fn points_of_a_model_that_adds_nothing_stay_above_zero() {
    let mut gain = Gain::default();
    (0..200).for_each(|_| gain.record(40, 30));
    assert_eq!(gain.points(), 3.0);
}

#[test]
fn points_ignore_confidence_at_a_bound() {
    let mut gain = Gain::default();
    let before = gain.points();
    gain.record(95, 100);
    gain.record(0, 40);
    assert_eq!(gain.points(), before);
}

/// Time that each of the three models keeps an engine busy with one request, in milliseconds.
const READ_MS: [f64; 3] = [20.0, 55.0, 200.0];
/// Share of requests that each model answers right.
const QUALITY: [f64; 3] = [0.58, 0.75, 1.0];

/// Simulates 4,000 requests one after another. Returns the share of right answers and the engines'
/// mean time per request, in milliseconds.
fn simulate(choose_larger: impl Fn(u8, Gain) -> usize) -> (f64, f64) {
    let (mut gain, mut seed) = (Gain::default(), 7_u64);
    let mut draw = || {
        seed = mix(seed);
        (seed >> 11) as f64 / (1_u64 << 53) as f64
    };
    let (mut right, mut time_ms) = (0.0, 0.0);
    for _ in 0..4_000 {
        let (difficulty, wanted) = (draw(), threshold(1, 0.0));
        let mut confidence = |model: usize| {
            time_ms += READ_MS[model];
            let unclamped = 50.0 + 150.0 * (QUALITY[model] - difficulty) + 16.0 * (draw() - 0.5);
            unclamped.clamp(0.0, 100.0) as u8
        };
        let small = confidence(0);
        let mut model = 0;
        if f64::from(small) < wanted {
            model = 1 + choose_larger(small, gain);
            let larger = confidence(model);
            if model == 1 {
                gain.record(small, larger);
            }
            if model == 1 && f64::from(larger) < wanted {
                model = 2;
                confidence(model);
            }
        }
        right += f64::from(u8::from(difficulty <= QUALITY[model]));
    }
    (right / 4_000.0, time_ms / 4_000.0)
}

/// Two in five answers of the small model have low confidence, and the largest model keeps an
/// engine busy ten times as long. Asking the middle model where it suffices must save engine time
/// without poorer answers.
#[test]
fn choose_saves_engine_time() {
    let largest = simulate(|_, _| 1);
    let smallest_sufficient = simulate(|small, gain| choose(small, threshold(1, 0.0), &[gain]));
    println!(
        "share right, ms: largest {largest:.3?}, smallest sufficient {smallest_sufficient:.3?}"
    );
    assert!(smallest_sufficient.1 < 0.85 * largest.1, "{smallest_sufficient:?} {largest:?}");
    assert!(smallest_sufficient.0 > largest.0 - 0.02, "{smallest_sufficient:?} {largest:?}");
}
