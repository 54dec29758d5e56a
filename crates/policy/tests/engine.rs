//! Placement among model engines: long prompts, cached prefixes, distance, failures and old
//! reports.

use policy::engine::{Demand, Engine, choose};

const ENGINE: Engine = Engine {
    own: 0,
    reported: 0,
    own_then: 0,
    report_age_ms: Some(50),
    slots: 64,
    wait_ms: 0.0,
    cached: 0.0,
    preferred: false,
    near: true,
    suspicion: 0.0,
    slowdown: 0.0,
};

const DEMAND: Demand = Demand {
    prompt: 8_000.0,
    shared: 5_000.0,
    tokens_per_ms: 50.0,
    service_ms: 2_000.0,
    far_ms: 200.0,
    failure_ms: 2_000.0,
};

fn choose_by_any_draw(engines: &[Engine]) -> usize {
    let first = choose(engines, &DEMAND, 1).unwrap();
    assert!((0..50).all(|draw| choose(engines, &DEMAND, draw) == Some(first)));
    first
}

#[test]
fn choose_without_engines_is_none() {
    assert_eq!(choose(&[], &DEMAND, 1), None);
}

#[test]
fn choose_avoids_an_engine_reading_a_long_prompt() {
    let reading = Engine { own: 1, wait_ms: 1_000.0, ..ENGINE };
    let busy = Engine { own: 12, ..ENGINE };
    assert_eq!(choose_by_any_draw(&[reading, busy]), 1);
}

#[test]
fn choose_prefers_a_cached_prefix() {
    let cached = Engine { cached: 5_000.0, own: 4, ..ENGINE };
    assert_eq!(choose_by_any_draw(&[ENGINE, cached]), 1);
}

#[test]
fn choose_takes_the_preferred_engine_without_other_differences() {
    let preferred = Engine { preferred: true, ..ENGINE };
    assert_eq!(choose_by_any_draw(&[ENGINE, preferred]), 1);
}

#[test]
fn choose_near_engine_until_its_queue_is_long() {
    let far = Engine { near: false, ..ENGINE };
    assert_eq!(choose_by_any_draw(&[far, Engine { own: 20, ..ENGINE }]), 1);
    assert_eq!(choose_by_any_draw(&[far, Engine { own: 80, ..ENGINE }]), 0);
}

#[test]
fn choose_avoids_an_engine_likely_to_fail() {
    let suspected = Engine { suspicion: 0.5, ..ENGINE };
    assert_eq!(choose_by_any_draw(&[suspected, Engine { own: 30, near: false, ..ENGINE }]), 1);
}

#[test]
fn load_counts_old_reports_less() {
    let fresh = Engine { own: 2, own_then: 2, reported: 42, report_age_ms: Some(0), ..ENGINE };
    let old = Engine { report_age_ms: Some(20_000), ..fresh };
    assert_eq!(fresh.load(), 42.0);
    assert!(old.load() < 7.0);
}

/// Guards against herding: hosts that read the same report and send at the same moment would all
/// choose the engine with the least reported load, and that engine would get every request.
#[test]
fn choose_hosts_do_not_herd() {
    let engines = [ENGINE; 8];
    let mut counts = [0; 8];
    (0..200).for_each(|draw| counts[choose(&engines, &DEMAND, draw * 977).unwrap()] += 1);
    assert!(counts.iter().all(|count| *count < 60), "{counts:?}");
}
