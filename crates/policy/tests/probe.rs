//! Silent connections and the servers behind them.

use policy::probe::{Action, Connection, Health, Limits};
use policy::time::Millis;

const LIMITS: Limits = Limits { first_byte_ms: 1_000, between_bytes_ms: 200, idle_ms: 5_000 };

#[test]
fn check_first_byte_late() {
    let mut connection = Connection::open(Millis(0));
    connection.sent(Millis(100));
    assert_eq!(connection.check(&LIMITS, Millis(500)), Action::Keep { until: Millis(1_100) });
    assert_eq!(connection.check(&LIMITS, Millis(1_100)), Action::Suspect);
}

#[test]
fn check_stream_goes_silent() {
    let mut connection = Connection::open(Millis(0));
    connection.sent(Millis(0));
    connection.received(Millis(900));
    assert_eq!(connection.check(&LIMITS, Millis(1_099)), Action::Keep { until: Millis(1_100) });
    assert_eq!(connection.check(&LIMITS, Millis(1_100)), Action::Suspect);
}

#[test]
fn check_idle_is_retired_not_suspected() {
    let mut connection = Connection::open(Millis(0));
    connection.sent(Millis(0));
    connection.ended(Millis(10));
    assert_eq!(connection.check(&LIMITS, Millis(5_010)), Action::Retire);
}

/// A letter is drafted twice. A connection went silent while idle; the request written to it can't
/// be told from one that ran, so it must not be tried again, and the caller is left without. So
/// such a request gets only a new connection, not even one that answered a moment ago.
#[test]
fn may_carry_unrepeatable_needs_a_new_one() {
    let mut connection = Connection::open(Millis(0));
    assert!(connection.may_carry(false, &LIMITS, Millis(500)));
    connection.sent(Millis(500));
    connection.ended(Millis(600));
    assert!(!connection.may_carry(false, &LIMITS, Millis(600)));
    assert!(connection.may_carry(true, &LIMITS, Millis(1_500)));
    connection.sent(Millis(1_500));
    assert!(!connection.may_carry(true, &LIMITS, Millis(1_500)));
}

/// A server is given up though only one connection to it is dead. Silence speaks against the
/// connection; the server is ill only once a new connection has failed as well.
#[test]
fn health_ill_only_after_new_connection_fails() {
    let mut health = Health::default();
    assert!(health.suspected());
    assert!(!health.suspected(), "one proof at a time");
    assert_eq!(health.ill_until, Millis(0));
    health.failed(Millis(100));
    assert_eq!(health.ill_until, Millis(1_100));
    health.failed(Millis(1_100));
    assert_eq!(health.ill_until, Millis(3_100));
    (0..40).for_each(|_| health.failed(Millis(0)));
    assert_eq!(health.ill_until, Millis(30_000));
    health.proven();
    assert_eq!(health, Health::default());
}

#[test]
fn health_report_after_failure_proves() {
    let mut health = Health::default();
    health.failed(Millis(500));
    health.reported(Millis(500));
    assert_eq!(health.ill_until, Millis(1_500), "an old report proves nothing");
    health.reported(Millis(501));
    assert_eq!(health, Health::default());
}
