//! Requests that come to a process which was told to stop.

use policy::grace::{Request, admits};

const PATIENT: Request = Request { patience_ms: 20_000, usual_ms: Some(500.0), may_repeat: false };

#[test]
fn admits_what_is_answered_within_the_time_left() {
    assert!(admits(&Request { patience_ms: 600, ..PATIENT }, 6_000, 1_000));
    assert!(!admits(&Request { patience_ms: 600, ..PATIENT }, 6_900, 500));
}

/// Guards against requests that come late in the grace, are passed on, and cut at its end.
#[test]
fn admits_no_late_request_that_may_outlast_the_grace() {
    for may_repeat in [true, false] {
        assert!(!admits(&Request { may_repeat, ..PATIENT }, 3_000, 4_000));
    }
}

/// Guards against requests that may not be repeated, whose answers take longer than what is left.
#[test]
fn admits_early_requests_by_their_usual_time() {
    assert!(admits(&PATIENT, 100, 7_000));
    assert!(!admits(&Request { usual_ms: Some(4_000.0), ..PATIENT }, 100, 7_000));
    assert!(!admits(&Request { usual_ms: None, ..PATIENT }, 100, 7_000));
    assert!(admits(&Request { usual_ms: None, may_repeat: true, ..PATIENT }, 100, 7_000));
}
