//! Latency estimates and timeouts, and their recovery from one slow answer.

use policy::latency::Latency;
use policy::time::Millis;

const START: Millis = Millis(1_000_000);

fn steady(ms: f64) -> Latency {
    let mut latency = Latency::default();
    (0..50).for_each(|step| latency.record(ms, START + step));
    latency
}

#[test]
fn timeout_ms_without_samples_is_max() {
    assert_eq!(Latency::default().timeout_ms(60.0, 300.0), 300.0);
}

#[test]
fn timeout_ms_follows_steady_answers_down_to_min() {
    assert!(steady(20.0).timeout_ms(10.0, 300.0) < 30.0);
    assert_eq!(steady(20.0).timeout_ms(60.0, 300.0), 60.0);
}

#[test]
fn timeout_ms_grows_with_abandoned_answers() {
    let mut latency = steady(20.0);
    let before = latency.timeout_ms(10.0, 3_000.0);
    (0..20).for_each(|step| latency.record_abandoned(200.0, START + 60 + step));
    assert!(latency.timeout_ms(10.0, 3_000.0) > before * 5.0);
}

/// Guards against one slow answer deciding for good. A larger model's first answer takes 1.4 s, so
/// no further answers are escalated to it, and no sample can show that it is usually faster;
/// callers would get poor answers for the rest of the day. The estimate must decay without samples.
#[test]
fn decayed_mean_ms_slow_first_answer_loses_weight() {
    let mut latency = Latency::default();
    latency.record(1_400.0, START);
    assert!(latency.decayed_mean_ms(500.0, START + 10) > 1_300.0);
    assert!(latency.decayed_mean_ms(500.0, START + 6_000) < 200.0);
}
