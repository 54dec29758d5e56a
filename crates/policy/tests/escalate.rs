//! Small model first, larger one where it doubts: by confidence, urgency, time and load.

use policy::escalate::{Doubt, escalate, threshold};

const DOUBT: Doubt = Doubt {
    confidence: Some(30),
    priority: 0,
    waited_ms: 100.0,
    larger_ms: 300.0,
    read_ms: 200.0,
    objective_ms: 1_500.0,
    delay: 0.1,
};

#[test]
fn escalate_doubtful_answer() {
    assert!(escalate(&DOUBT));
    assert!(!escalate(&Doubt { confidence: Some(90), ..DOUBT }));
    assert!(!escalate(&Doubt { confidence: None, ..DOUBT }));
}

#[test]
fn escalate_late_only_with_room() {
    let late = Doubt { larger_ms: 1_400.0, ..DOUBT };
    assert!(escalate(&late));
    assert!(!escalate(&Doubt { delay: 0.4, ..late }));
}

/// One prompt in a hundred is ten times as long as the rest. Read by the large model it keeps an
/// engine for two seconds: its own answer is late and so are those of all that wait there.
#[test]
fn escalate_long_prompt_that_would_be_late() {
    let long = Doubt { larger_ms: 2_000.0, read_ms: 2_000.0, ..DOUBT };
    assert!(!escalate(&long));
    assert!(escalate(&Doubt { objective_ms: 6_000.0, ..long }));
}

#[test]
fn threshold_falls_with_pressure_and_urgency() {
    assert!(threshold(0, 0.1) > threshold(2, 0.1));
    assert!(threshold(0, 0.5) < threshold(0, 0.3));
    assert_eq!(threshold(0, 0.7), 0.0);
}
