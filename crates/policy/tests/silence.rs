//! Unreachable servers are left soon, busy servers are not.

use policy::silence::{
    Action, BETWEEN_EVENTS, BETWEEN_EVENTS_WITH_COPY, FIRST_BYTE, FIRST_BYTE_BUSY, Silence, decide,
};

const SILENCE: Silence = Silence { silent_ms: 0.0, useful_ms: 1_000.0, heard_ms: 0 };

#[test]
fn decide_probes_a_server_silent_on_all_connections() {
    let unreachable = Silence { silent_ms: 850.0, heard_ms: 850, ..SILENCE };
    assert_eq!(decide(&BETWEEN_EVENTS, &unreachable), Action::Probe);
    assert_eq!(decide(&FIRST_BYTE, &unreachable), Action::Probe);
    assert_eq!(decide(&FIRST_BYTE_BUSY, &unreachable), Action::Probe);
}

#[test]
fn decide_waits_longer_for_a_server_that_is_alive() {
    let alive = Silence { silent_ms: 1_900.0, heard_ms: 20, ..SILENCE };
    assert!(matches!(decide(&BETWEEN_EVENTS, &alive), Action::Wait(_)));
    assert!(matches!(decide(&FIRST_BYTE, &alive), Action::Wait(_)));
    let silent_too_long = Silence { silent_ms: 4_100.0, ..alive };
    assert_eq!(decide(&BETWEEN_EVENTS, &silent_too_long), Action::Leave);
    assert_eq!(decide(&FIRST_BYTE, &silent_too_long), Action::Leave);
}

/// Guards against adding load at a peak: requests wait long for their first event on servers that
/// are alive, and leaving these servers would make engines read each prompt twice.
#[test]
fn decide_never_leaves_a_live_server_of_a_busy_pool() {
    let alive = Silence { silent_ms: 60_000.0, heard_ms: 20, ..SILENCE };
    assert!(matches!(decide(&FIRST_BYTE_BUSY, &alive), Action::Wait(_)));
}

#[test]
fn decide_checks_first_at_the_unreachable_limit() {
    assert_eq!(decide(&BETWEEN_EVENTS, &SILENCE), Action::Wait(500.0));
}

/// Guards against streams that pause for longer than their callers allow, although an engine of
/// another failure domain has a copy: the probe alone takes up to 200 ms.
#[test]
fn decide_probes_sooner_where_a_copy_is_left() {
    let silent = Silence { silent_ms: 500.0, heard_ms: 500, ..SILENCE };
    assert_eq!(decide(&BETWEEN_EVENTS_WITH_COPY, &silent), Action::Probe);
    let alive = Silence { heard_ms: 300, ..silent };
    assert!(matches!(decide(&BETWEEN_EVENTS_WITH_COPY, &alive), Action::Wait(_)));
}
