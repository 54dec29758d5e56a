//! What a host counts of a version's answers.

use gateway::evidence::{Counted, Origin, Tally};
use policy::canary::{Count, Outcome};
use policy::name::Name;

/// A version whose streams break late seemed to fail half as often as it did: each was counted as
/// good by its first events, and again when it broke.
#[test]
fn forget_stream_that_breaks_late_is_counted_once() {
    let (service, route) = (Name::from("s"), Name::from("r"));
    let tally = Tally::default();
    for sign in [Outcome::Good, Outcome::Slow, Outcome::Good] {
        tally.note(&service, &route, Origin::NewAtFull, sign);
    }
    for sign in [Outcome::Slow, Outcome::Good] {
        tally.forget(&service, &route, Counted { origin: Origin::NewAtFull, sign });
        tally.note(&service, &route, Origin::NewAtFull, Outcome::Failed);
    }
    let counted = Count { answers: 3, bad: 2, slow: 0 };
    let seen = tally.of(&service);
    assert_eq!((seen[0].new, seen[0].full), (counted, counted));
}

#[test]
fn forget_what_was_cleared_is_nothing() {
    let (service, route) = (Name::from("s"), Name::from("r"));
    let tally = Tally::default();
    tally.note(&service, &route, Origin::New, Outcome::Good);
    tally.clear(&service);
    tally.forget(&service, &route, Counted { origin: Origin::New, sign: Outcome::Good });
    tally.note(&service, &route, Origin::New, Outcome::Failed);
    assert_eq!(tally.of(&service)[0].new, Count { answers: 1, bad: 1, slow: 0 });
}
