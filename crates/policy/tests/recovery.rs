//! Revisions of a store that comes back from copies, and how long hosts keep what the store has
//! lost.

use policy::recovery::{Phase, REWRITE_TIMEOUT_MS, Recovery, is_doubtful};
use policy::revision::Revision;
use policy::time::Millis;

const RETURNED_AT: Millis = Millis(1_000_000);
const MISSING_MS: u64 = 2_000;

/// Guards against changes that count as known because their number was given out before the store's
/// return.
#[test]
fn revision_of_a_later_era_is_newer() {
    let before = Revision::new(1, 500);
    let after = Revision::new(2, 480);
    assert!(after > before);
    assert!(Revision::new(2, 481) > after);
    assert!(after.next_step() > after && after.next_step() < Revision::new(2, 481));
    assert_eq!(after.next_step().stored(), after);
    assert!(Revision::NONE < Revision::new(0, 1));
}

/// Guards against older programs that can't read revisions of a store which has never come back
/// from a copy.
#[test]
fn revision_without_an_era_is_a_plain_number() {
    assert_eq!(serde_json::to_string(&Revision::from(7)).unwrap(), "7");
    assert_eq!(serde_json::from_str::<Revision>("7").unwrap(), Revision::from(7));
    fuzz::check::<(u64, u64, u32)>(2_000, |(era, number, step)| {
        let revision = Revision { era: *era, number: *number, step: *step };
        let written = serde_json::to_string(&revision).unwrap();
        assert_eq!(serde_json::from_str::<Revision>(&written).unwrap(), revision);
    });
}

#[test]
fn phase_advances_after_each_return() {
    let mut recovery = Recovery::new(MISSING_MS);
    assert_eq!(recovery.phase(RETURNED_AT), Phase::Settled);
    recovery.begin(RETURNED_AT);
    assert_eq!(recovery.phase(RETURNED_AT + MISSING_MS - 1), Phase::AllDoubted);
    assert_eq!(recovery.phase(RETURNED_AT + MISSING_MS), Phase::ChangedDoubted);
    assert_eq!(recovery.phase(RETURNED_AT + REWRITE_TIMEOUT_MS), Phase::Settled);
    // The next return starts the recovery again.
    recovery.begin(RETURNED_AT + 60_000);
    assert_eq!(recovery.phase(RETURNED_AT + 60_001), Phase::AllDoubted);
}

/// Guards against a server's leave that the copy undoes, and against an operator's change after the
/// return that is ignored.
#[test]
fn is_doubtful_entry_that_may_predate_the_copy() {
    let held = Revision::new(1, 500);
    assert!(is_doubtful(Revision::new(2, 300), held, Some(300)));
    assert!(!is_doubtful(Revision::new(2, 301), held, Some(300)));
    // Without the replaced state's number, any number up to the entry's own may be the previous
    // state.
    assert!(is_doubtful(Revision::new(2, 500), held, None));
    assert!(!is_doubtful(Revision::new(2, 501), held, None));
    // Within one era the store's entry holds.
    assert!(!is_doubtful(Revision::new(1, 300), held, Some(300)));
}
