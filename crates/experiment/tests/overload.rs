//! An overload must end with its cause.
//!
//! The lost engines return after some seconds and traffic has not grown. If requests are still
//! rejected, interrupted or abandoned by their callers, then the fleet's own reaction sustains the
//! overload.

mod scene;

use experiment::scenario::Scenario;

/// Time after the cause's end within which all requests must be served again, in seconds.
const RECOVERY_MAX_S: f64 = 3.0;
/// Long enough to show recovery, and short enough for CI.
const LENGTH_S: u32 = 25;

/// The committed scenario: half of the engines are lost for five seconds, under a load that the
/// whole fleet can serve, as `overload_has_a_cause` shows.
fn lost_engines(hosts: u32) -> Scenario {
    Scenario { length_s: LENGTH_S, ..scene::scenario(hosts) }
}

fn assert_recovers(hosts: u32) {
    let scenario = lost_engines(hosts);
    let seed = scenario.seeds[0];
    let tally = scene::play(&scenario, seed);
    let recovered = tally.recovered_s(scenario.causes_end_s());
    let is_soon = recovered.is_some_and(|seconds| seconds <= RECOVERY_MAX_S);
    let unserved: Vec<u64> =
        tally.seconds.iter().map(|counts| counts.total() - counts.served()).collect();
    assert!(
        is_soon,
        "seed {seed}: all served after {recovered:?} s; not served, by second: \
        {unserved:?}; preempted {}, repeats {}, returns {}, rejected by engines {}",
        tally.preempted, tally.repeats, tally.returns, tally.full
    );
}

/// Guards against an overload that sustains itself after half of the engines were lost and have
/// returned.
#[test]
fn overload_ends_with_its_cause_at_30_hosts() {
    assert_recovers(30);
}

/// Guards against the same at 300 hosts, where each host knows little of what the others send.
#[test]
fn overload_ends_with_its_cause_at_300_hosts() {
    assert_recovers(300);
}

/// Preemption is what sustains the overload: engines that put back less urgent requests for more
/// urgent ones read the same prompts again and again. Without preemption, and all else equal, the
/// fleet recovers in time.
#[test]
fn overload_is_kept_up_by_preemption() {
    for hosts in [30, 300] {
        let mut scenario = lost_engines(hosts);
        scenario.engines.preempts = false;
        let tally = scene::play(&scenario, scenario.seeds[0]);
        let recovered = tally.recovered_s(scenario.causes_end_s());
        let is_soon = recovered.is_some_and(|seconds| seconds <= RECOVERY_MAX_S);
        assert!(is_soon, "at {hosts} hosts: {recovered:?} s");
    }
}

/// The load of these tests is no overload by itself: all requests are served without a cause.
#[test]
fn overload_has_a_cause() {
    for hosts in [30, 300] {
        let scenario = Scenario { causes: Vec::new(), ..lost_engines(hosts) };
        let tally = scene::play(&scenario, scenario.seeds[0]);
        let counts = tally.counts();
        assert_eq!(counts.served(), counts.total(), "at {hosts} hosts: {counts:?}");
    }
}

/// The load is 0.7 of the engines' capacity at 30 hosts, and 0.58 at 300, since hosts that know
/// little sustain less. Both are more than half of the engines can serve.
#[test]
fn overload_is_more_than_half_of_the_engines_can_do() {
    for (hosts, expected) in [(30, 0.7), (300, 0.58)] {
        let scenario = lost_engines(hosts);
        let fraction = scenario.load_per_s / scenario.capacity_per_s();
        assert!((fraction - expected).abs() < 0.005, "at {hosts} hosts: {fraction}");
    }
}
