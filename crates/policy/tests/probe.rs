//! Health of connections and of the backend servers behind them.

use policy::probe::{Action, Connection, Health, Limits};
use policy::time::Millis;

const LIMITS: Limits = Limits { first_byte_ms: 1_000, between_bytes_ms: 200, idle_ms: 5_000 };

#[test]
fn check_suspects_a_late_first_byte() {
    let mut connection = Connection::open(Millis(0));
    connection.record_request(Millis(100));
    assert_eq!(connection.check(&LIMITS, Millis(500)), Action::Keep { until: Millis(1_100) });
    assert_eq!(connection.check(&LIMITS, Millis(1_100)), Action::Suspect);
}

#[test]
fn check_suspects_a_stream_that_goes_silent() {
    let mut connection = Connection::open(Millis(0));
    connection.record_request(Millis(0));
    connection.record_received(Millis(900));
    assert_eq!(connection.check(&LIMITS, Millis(1_099)), Action::Keep { until: Millis(1_100) });
    assert_eq!(connection.check(&LIMITS, Millis(1_100)), Action::Suspect);
}

#[test]
fn check_retires_an_idle_connection() {
    let mut connection = Connection::open(Millis(0));
    connection.record_request(Millis(0));
    connection.record_end(Millis(10));
    assert_eq!(connection.check(&LIMITS, Millis(5_010)), Action::Retire);
}

/// Guards against running a non-repeatable request twice, or losing it. A request written to a
/// connection that went silent while idle can't be distinguished from one that ran, so it must not
/// be sent again, and its caller gets no answer. Such a request may use only a new connection, not
/// even one that carried an answer a moment ago.
#[test]
fn may_carry_non_repeatable_only_on_a_new_connection() {
    let mut connection = Connection::open(Millis(0));
    assert!(connection.may_carry(false, &LIMITS, Millis(500)));
    connection.record_request(Millis(500));
    connection.record_end(Millis(600));
    assert!(!connection.may_carry(false, &LIMITS, Millis(600)));
    assert!(connection.may_carry(true, &LIMITS, Millis(1_500)));
    connection.record_request(Millis(1_500));
    assert!(!connection.may_carry(true, &LIMITS, Millis(1_500)));
}

/// Guards against avoiding a healthy server because of one dead connection: the server is unhealthy
/// only once a new connection has failed as well.
#[test]
fn health_is_ill_only_after_a_new_connection_fails() {
    let mut health = Health::default();
    assert!(health.mark_suspect());
    assert!(!health.mark_suspect(), "only one probe at a time");
    assert_eq!(health.ill_until, Millis(0));
    health.record_failure(Millis(100));
    assert_eq!(health.ill_until, Millis(1_100));
    health.record_failure(Millis(1_100));
    assert_eq!(health.ill_until, Millis(3_100));
    (0..40).for_each(|_| health.record_failure(Millis(0)));
    assert_eq!(health.ill_until, Millis(30_000));
    health.mark_healthy();
    assert_eq!(health, Health::default());
}

#[test]
fn health_recovers_with_a_report_after_the_failure() {
    let mut health = Health::default();
    health.record_failure(Millis(500));
    health.record_report(Millis(500));
    assert_eq!(health.ill_until, Millis(1_500), "a report from before the failure is ignored");
    health.record_report(Millis(501));
    assert_eq!(health, Health::default());
}
