//! Which larger model is asked after a doubtful answer.

use policy::escalate::threshold;
use policy::gain::{Gain, choose};
use policy::place::mix;

#[test]
fn choose_middle_for_little_doubt() {
    assert_eq!(choose(50, 55.0, &[Gain::default()]), 0);
    assert_eq!(choose(20, 55.0, &[Gain::default()]), 1);
    assert_eq!(choose(20, 55.0, &[]), 0);
}

#[test]
fn choose_learnt_points() {
    let mut gain = Gain::default();
    (0..60).for_each(|_| gain.note(20, 60));
    assert!((37.0..=40.0).contains(&gain.points()), "{gain:?}");
    assert_eq!(choose(20, 55.0, &[gain]), 0);
}

#[test]
fn points_no_better_model_is_tried_now_and_then() {
    let mut gain = Gain::default();
    (0..200).for_each(|_| gain.note(40, 30));
    assert_eq!(gain.points(), 3.0);
}

#[test]
fn points_full_confidence_says_nothing() {
    let mut gain = Gain::default();
    let before = gain.points();
    gain.note(95, 100);
    gain.note(0, 40);
    assert_eq!(gain.points(), before);
}

/// Time that the three models keep an engine with one request, in milliseconds.
const READ_MS: [f64; 3] = [20.0, 55.0, 200.0];
/// Share of requests that each answers right.
const QUALITY: [f64; 3] = [0.58, 0.75, 1.0];

/// Answers of one request after another: right ones, and the engines' time for all.
fn play(way: impl Fn(u8, Gain) -> usize) -> (f64, f64) {
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
            let sure = 50.0 + 150.0 * (QUALITY[model] - difficulty) + 16.0 * (draw() - 0.5);
            sure.clamp(0.0, 100.0) as u8
        };
        let small = confidence(0);
        let mut model = 0;
        if f64::from(small) < wanted {
            model = 1 + way(small, gain);
            let larger = confidence(model);
            if model == 1 {
                gain.note(small, larger);
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

/// Two in five answers of the small model are doubted, and the largest keeps an engine ten times as
/// long. Asking the one between where it will do leaves engines more time and answers no poorer.
#[test]
fn choose_saves_time_of_engines() {
    let largest = play(|_, _| 1);
    let smallest_sure = play(|small, gain| choose(small, threshold(1, 0.0), &[gain]));
    println!("right, ms: largest {largest:.3?}, smallest that is sure {smallest_sure:.3?}");
    assert!(smallest_sure.1 < 0.85 * largest.1, "{smallest_sure:?} {largest:?}");
    assert!(smallest_sure.0 > largest.0 - 0.02, "{smallest_sure:?} {largest:?}");
}
