//! Dark servers are left soon, busy ones are not.

use policy::silence::{Action, BETWEEN, FIRST, FIRST_BUSY, Silence, act};

const SILENCE: Silence = Silence { silent_ms: 0.0, useful_ms: 1_000.0, heard_ms: 0 };

#[test]
fn act_silent_everywhere_is_probed() {
    let unreachable = Silence { silent_ms: 850.0, heard_ms: 850, ..SILENCE };
    assert_eq!(act(&BETWEEN, &unreachable), Action::Probe);
    assert_eq!(act(&FIRST, &unreachable), Action::Probe);
    assert_eq!(act(&FIRST_BUSY, &unreachable), Action::Probe);
}

#[test]
fn act_alive_server_is_waited_for() {
    let alive = Silence { silent_ms: 1_900.0, heard_ms: 20, ..SILENCE };
    assert!(matches!(act(&BETWEEN, &alive), Action::Wait(_)));
    assert!(matches!(act(&FIRST, &alive), Action::Wait(_)));
    let lost = Silence { silent_ms: 4_100.0, ..alive };
    assert_eq!(act(&BETWEEN, &lost), Action::Leave);
    assert_eq!(act(&FIRST, &lost), Action::Leave);
}

/// The whole pool is slow at the peak: requests wait long for their first event on servers that
/// are alive. Leaving them would read each prompt twice and make the peak worse.
#[test]
fn act_busy_pool_is_waited_for() {
    let alive = Silence { silent_ms: 60_000.0, heard_ms: 20, ..SILENCE };
    assert!(matches!(act(&FIRST_BUSY, &alive), Action::Wait(_)));
}

#[test]
fn act_looks_first_when_it_may_doubt() {
    assert_eq!(act(&BETWEEN, &SILENCE), Action::Wait(500.0));
}
