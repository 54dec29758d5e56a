//! Roll-outs go on from their row alone, stop at the guard, and never come back by themselves.

use policy::rollout::{Action, Progress, Ratings, Schedule, next};
use policy::time::Millis;

fn course() -> Schedule {
    Schedule { steps: vec![0.05, 0.5, 1.0], step_ms: 1_000, min_rated: 10, guard: 0.8 }
}

fn ratings(good: u64, rated: u64) -> Ratings {
    Ratings { good, rated, quarantined: false }
}

#[test]
fn next_waits_for_time_and_ratings() {
    let start = Progress::default();
    assert_eq!(next(&course(), &start, &ratings(10, 10), Millis(999)), Action::Hold);
    assert_eq!(next(&course(), &start, &ratings(9, 9), Millis(1_000)), Action::Hold);
    let Action::Raise(raised) = next(&course(), &start, &ratings(10, 10), Millis(1_000)) else {
        panic!("not raised");
    };
    assert_eq!((raised.step, raised.share(&course())), (1, 0.5));
    assert_eq!(next(&course(), &raised, &ratings(15, 15), Millis(9_000)), Action::Hold);
}

/// A roll-out stands still for ever. The control that drove it is gone after it wrote step 1; all
/// the next one has is the row. That is enough to go on to the end.
#[test]
fn next_goes_on_after_interruption() {
    let row = Progress { step: 1, since: Millis(5_000), rated_before: 12, stopped: false };
    let Action::Raise(last) = next(&course(), &row, &ratings(30, 30), Millis(90_000)) else {
        panic!("not raised");
    };
    assert_eq!(next(&course(), &last, &ratings(60, 60), Millis(99_000)), Action::Done);
}

#[test]
fn next_stops_below_guard_or_when_quarantined() {
    let row = Progress { step: 1, ..Progress::default() };
    let bad = next(&course(), &row, &ratings(8, 20), Millis(10));
    let quarantined = Ratings { quarantined: true, ..ratings(20, 20) };
    for step in [bad, next(&course(), &row, &quarantined, Millis(10))] {
        let Action::Stop(stopped) = step else { panic!("{step:?}") };
        assert_eq!(stopped.share(&course()), 0.0);
        assert_eq!(next(&course(), &stopped, &ratings(99, 99), Millis(99_000)), Action::Hold);
    }
}

#[test]
fn next_one_bad_answer_does_not_stop() {
    assert_eq!(next(&course(), &Progress::default(), &ratings(0, 1), Millis(10)), Action::Hold);
}
