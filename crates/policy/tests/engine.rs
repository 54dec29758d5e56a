//! Placement among model engines: long prompts among short ones, caches, distance, failures.

use policy::engine::{Ask, Engine, choose};

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

const ASK: Ask = Ask {
    prompt: 8_000.0,
    shared: 5_000.0,
    tokens_per_ms: 50.0,
    service_ms: 2_000.0,
    far_ms: 200.0,
    failure_ms: 2_000.0,
};

fn pick(engines: &[Engine]) -> usize {
    let first = choose(engines, &ASK, 1).unwrap();
    assert!((0..50).all(|draw| choose(engines, &ASK, draw) == Some(first)));
    first
}

#[test]
fn choose_none() {
    assert_eq!(choose(&[], &ASK, 1), None);
}

#[test]
fn choose_long_prompt_ahead_is_avoided() {
    let reading = Engine { own: 1, wait_ms: 1_000.0, ..ENGINE };
    let busy = Engine { own: 12, ..ENGINE };
    assert_eq!(pick(&[reading, busy]), 1);
}

#[test]
fn choose_cached_prefix() {
    let cached = Engine { cached: 5_000.0, own: 4, ..ENGINE };
    assert_eq!(pick(&[ENGINE, cached]), 1);
}

#[test]
fn choose_preferred_when_nothing_is_known() {
    let preferred = Engine { preferred: true, ..ENGINE };
    assert_eq!(pick(&[ENGINE, preferred]), 1);
}

#[test]
fn choose_near_until_its_queue_is_long() {
    let far = Engine { near: false, ..ENGINE };
    assert_eq!(pick(&[far, Engine { own: 20, ..ENGINE }]), 1);
    assert_eq!(pick(&[far, Engine { own: 80, ..ENGINE }]), 0);
}

#[test]
fn choose_suspected_last() {
    let suspected = Engine { suspicion: 0.5, ..ENGINE };
    assert_eq!(pick(&[suspected, Engine { own: 30, near: false, ..ENGINE }]), 1);
}

#[test]
fn load_old_reports_fade() {
    let fresh = Engine { own: 2, own_then: 2, reported: 42, report_age_ms: Some(0), ..ENGINE };
    let old = Engine { report_age_ms: Some(20_000), ..fresh };
    assert_eq!(fresh.load(), 42.0);
    assert!(old.load() < 7.0);
}

/// Twenty hosts read the same report and send at the same moment; each sees only its own requests.
/// If they all took the engine with the least report, it would get all of them.
#[test]
fn choose_hosts_do_not_herd() {
    let engines = [ENGINE; 8];
    let mut taken = [0; 8];
    (0..200).for_each(|draw| taken[choose(&engines, &ASK, draw * 977).unwrap()] += 1);
    assert!(taken.iter().all(|count| *count < 60), "{taken:?}");
}
