//! Load reports that a host announces to the others.

use gateway::backend::Backend;
use gateway::codec::Load;
use policy::name::Name;
use policy::report::Scope;
use policy::time::Millis;

const NOW: Millis = Millis(100_000);
const FULL: Load = Load { requests: 20, slots: 6, percent: None };

fn backend() -> Backend {
    let row = wire::routing::Backend {
        id: Name::from("b"),
        born: 0,
        service: Name::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: Name::from("a"),
        version: Name::from("v1"),
        slots: 6,
        draining: false,
        warmup_ms: None,
    };
    Backend::new(&row, true)
}

/// Guards against a report that counts as known to the others although its queue was full.
#[test]
fn report_counts_as_known_once_it_is_sent() {
    let backend = backend();
    let report = backend.announcement(FULL, Scope::NearlyFull, NOW).unwrap();
    assert!(
        backend.announcement(FULL, Scope::NearlyFull, NOW + 1).is_some(),
        "the first report was not sent"
    );
    backend.record_sent_report(&report);
    assert!(backend.announcement(FULL, Scope::NearlyFull, NOW + 1).is_none());
}

/// Guards against queued reports that are dropped because the server rejects requests.
#[test]
fn report_stays_newest_after_a_rejection() {
    let backend = backend();
    backend.record_load(FULL, NOW);
    backend.record_full(NOW + 5);
    assert!(backend.is_newest_report(NOW));
    backend.record_load(FULL, NOW + 10);
    assert!(!backend.is_newest_report(NOW));
}
