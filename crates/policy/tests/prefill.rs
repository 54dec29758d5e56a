//! How fast engines read prompts: learnt from answers, some of which waited for other prompts.

use policy::prefill::Speed;

#[test]
fn tokens_per_ms_first_answer_replaces_guess() {
    let mut speed = Speed::default();
    speed.note(500.0, 0.0, 10_000.0);
    assert_eq!(speed.tokens_per_ms(), 20.0);
}

#[test]
fn tokens_per_ms_short_prompts_say_nothing() {
    let mut speed = Speed::default();
    let guess = speed.tokens_per_ms();
    (0..50).for_each(|_| speed.note(40.0, 0.0, 600.0));
    assert_eq!(speed.tokens_per_ms(), guess);
}

#[test]
fn tokens_per_ms_slow_model_is_found_soon() {
    // The first answer came from an engine's cache and showed ten times the speed.
    let mut speed = Speed::default();
    speed.note(50.0, 0.0, 10_000.0);
    (0..40).for_each(|_| speed.note(500.0, 0.0, 10_000.0));
    assert!((18.0..26.0).contains(&speed.tokens_per_ms()), "{speed:?}");
}

#[test]
fn tokens_per_ms_waits_among_answers() {
    // A busy hour: every third answer waited for prompts of other hosts that nobody announced, every
    // fifth for some that were known. Neither may make the model look much slower than it is: its
    // prompts would be believed to keep engines for longer than they do.
    let mut speed = Speed::default();
    for answer in 0..200 {
        let (waited_ms, unknown_ms) = match answer {
            _ if answer % 5 == 0 => (700.0, 0.0),
            _ if answer % 3 == 0 => (0.0, 900.0),
            _ => (0.0, 0.0),
        };
        speed.note(300.0 + waited_ms + unknown_ms, waited_ms, 6_000.0);
    }
    assert!((14.0..=20.0).contains(&speed.tokens_per_ms()), "{speed:?}");
}
