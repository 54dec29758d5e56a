//! Prefill speed learnt from answers, some of which waited for other prompts.

use policy::prefill::Speed;

#[test]
fn tokens_per_ms_first_answer_replaces_initial_speed() {
    let mut speed = Speed::default();
    speed.record(500.0, 0.0, 10_000.0);
    assert_eq!(speed.tokens_per_ms(), 20.0);
}

#[test]
fn tokens_per_ms_ignores_short_prompts() {
    let mut speed = Speed::default();
    let initial = speed.tokens_per_ms();
    (0..50).for_each(|_| speed.record(40.0, 0.0, 600.0));
    assert_eq!(speed.tokens_per_ms(), initial);
}

#[test]
fn tokens_per_ms_adapts_to_a_slow_model() {
    // The first answer used an engine's prefix cache and showed ten times the speed.
    let mut speed = Speed::default();
    speed.record(50.0, 0.0, 10_000.0);
    (0..40).for_each(|_| speed.record(500.0, 0.0, 10_000.0));
    assert!((18.0..26.0).contains(&speed.tokens_per_ms()), "{speed:?}");
}

#[test]
fn tokens_per_ms_is_little_affected_by_waits() {
    // Under high load, every third answer waits for unannounced prompts of other hosts, and every
    // fifth for known prompts. Neither may make the model seem much slower than it is, or its
    // prompts would be believed to keep engines busy for longer than they do.
    let mut speed = Speed::default();
    for answer in 0..200 {
        let (waited_ms, unknown_ms) = match answer {
            _ if answer % 5 == 0 => (700.0, 0.0),
            _ if answer % 3 == 0 => (0.0, 900.0),
            _ => (0.0, 0.0),
        };
        speed.record(300.0 + waited_ms + unknown_ms, waited_ms, 6_000.0);
    }
    assert!((14.0..=20.0).contains(&speed.tokens_per_ms()), "{speed:?}");
}
