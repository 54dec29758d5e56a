//! Servers that fail some of their requests while their health check succeeds.

use policy::suspicion::Suspicion;
use policy::time::Millis;

const START: Millis = Millis(1_000_000);

#[test]
fn share_grows_with_failures_and_shrinks_with_successes() {
    let mut suspicion = Suspicion::default();
    suspicion.record(true, START);
    suspicion.record(true, START);
    assert!(suspicion.share(START) > 0.4);
    (0..10).for_each(|_| suspicion.record(false, START));
    assert!(suspicion.share(START) < 0.1);
}

#[test]
fn share_decays_without_answers() {
    let mut suspicion = Suspicion::default();
    (0..10).for_each(|_| suspicion.record(true, START));
    let before = suspicion.share(START);
    assert!(before > 0.9);
    assert!(suspicion.share(START + 9_000) < before / 7.0);
}
