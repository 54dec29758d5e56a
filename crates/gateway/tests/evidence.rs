//! What a host counts of a version's answers.

use gateway::evidence::{Cohort, CountedAnswer, Tally};
use policy::canary::{Count, Outcome};
use policy::name::Name;

/// Guards against a version whose streams break late and that seems to fail half as often as it
/// does: each stream was counted as good by its first events, and again when it broke.
#[test]
fn retract_stream_that_breaks_late_is_counted_once() {
    let (service, route) = (Name::from("s"), Name::from("r"));
    let tally = Tally::default();
    for sign in [Outcome::Good, Outcome::Slow, Outcome::Good] {
        tally.record(&service, &route, Cohort::NewAtFull, sign);
    }
    for sign in [Outcome::Slow, Outcome::Good] {
        tally.retract(&service, &route, CountedAnswer { cohort: Cohort::NewAtFull, sign });
        tally.record(&service, &route, Cohort::NewAtFull, Outcome::Failed);
    }
    let counted = Count { answers: 3, bad: 2, slow: 0 };
    let seen = tally.evidence(&service);
    assert_eq!((seen[0].new, seen[0].full), (counted, counted));
}

#[test]
fn retract_what_was_cleared_does_nothing() {
    let (service, route) = (Name::from("s"), Name::from("r"));
    let tally = Tally::default();
    tally.record(&service, &route, Cohort::New, Outcome::Good);
    tally.clear(&service);
    tally.retract(&service, &route, CountedAnswer { cohort: Cohort::New, sign: Outcome::Good });
    tally.record(&service, &route, Cohort::New, Outcome::Failed);
    assert_eq!(tally.evidence(&service)[0].new, Count { answers: 1, bad: 1, slow: 0 });
}
