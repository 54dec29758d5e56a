//! Roll-outs continue from their row alone, stop at the guard, and never restart by themselves.

use policy::rollout::{Action, Progress, Ratings, Schedule, next};
use policy::time::Millis;

fn schedule() -> Schedule {
    Schedule { steps: vec![0.05, 0.5, 1.0], step_ms: 1_000, min_rated: 10, guard: 0.8 }
}

fn ratings(good: u64, rated: u64) -> Ratings {
    Ratings { good, rated, quarantined: false }
}

#[test]
fn next_waits_for_time_and_ratings() {
    let start = Progress::default();
    assert_eq!(next(&schedule(), &start, &ratings(10, 10), Millis(999)), Action::Hold);
    assert_eq!(next(&schedule(), &start, &ratings(9, 9), Millis(1_000)), Action::Hold);
    let Action::Raise(raised) = next(&schedule(), &start, &ratings(10, 10), Millis(1_000)) else {
        panic!("not raised");
    };
    assert_eq!((raised.step, raised.share(&schedule())), (1, 0.5));
    assert_eq!(next(&schedule(), &raised, &ratings(15, 15), Millis(9_000)), Action::Hold);
}

/// Guards against a roll-out that stays at its step for ever because its control was lost: another
/// control has only the row, which is enough to finish.
#[test]
fn next_continues_from_the_row_after_interruption() {
    let row = Progress { step: 1, since: Millis(5_000), rated_before: 12, stopped: false };
    let Action::Raise(last) = next(&schedule(), &row, &ratings(30, 30), Millis(90_000)) else {
        panic!("not raised");
    };
    assert_eq!(next(&schedule(), &last, &ratings(60, 60), Millis(99_000)), Action::Done);
}

#[test]
fn next_stops_below_guard_or_when_quarantined() {
    let row = Progress { step: 1, ..Progress::default() };
    let bad = next(&schedule(), &row, &ratings(8, 20), Millis(10));
    let quarantined = Ratings { quarantined: true, ..ratings(20, 20) };
    for step in [bad, next(&schedule(), &row, &quarantined, Millis(10))] {
        let Action::Stop(stopped) = step else { panic!("{step:?}") };
        assert_eq!(stopped.share(&schedule()), 0.0);
        assert_eq!(next(&schedule(), &stopped, &ratings(99, 99), Millis(99_000)), Action::Hold);
    }
}

#[test]
fn next_one_bad_answer_does_not_stop() {
    assert_eq!(next(&schedule(), &Progress::default(), &ratings(0, 1), Millis(10)), Action::Hold);
}
