//! Small model first, larger one where it doubts: by confidence, urgency, time and load.

use policy::escalate::{Doubt, begins_with_largest, escalate, threshold};
use policy::place::mix;
use policy::repeat::{Allowance, Window, spare_per_host};
use policy::time::Millis;

const DOUBT: Doubt = Doubt {
    confidence: Some(30),
    priority: 0,
    waited_ms: 100.0,
    larger_ms: 300.0,
    read_ms: 200.0,
    objective_ms: 1_500.0,
    delay: 0.1,
};

#[test]
fn escalate_doubtful_answer() {
    assert!(escalate(&DOUBT));
    assert!(!escalate(&Doubt { confidence: Some(90), ..DOUBT }));
    assert!(!escalate(&Doubt { confidence: None, ..DOUBT }));
}

#[test]
fn escalate_late_only_with_room() {
    let late = Doubt { larger_ms: 1_400.0, ..DOUBT };
    assert!(escalate(&late));
    assert!(!escalate(&Doubt { delay: 0.4, ..late }));
}

/// One prompt in a hundred is ten times as long as the rest. Read by the large model it keeps an
/// engine for two seconds: its own answer is late and so are those of all that wait there.
#[test]
fn escalate_long_prompt_that_would_be_late() {
    let long = Doubt { larger_ms: 2_000.0, read_ms: 2_000.0, ..DOUBT };
    assert!(!escalate(&long));
    assert!(escalate(&Doubt { objective_ms: 6_000.0, ..long }));
}

#[test]
fn threshold_falls_with_pressure_and_urgency() {
    assert!(threshold(0, 0.1) > threshold(2, 0.1));
    assert!(threshold(0, 0.5) < threshold(0, 0.3));
    assert_eq!(threshold(0, 0.7), 0.0);
}

#[test]
fn begins_with_largest_urgent_ones_while_engines_are_idle() {
    let unasked = Doubt { confidence: None, waited_ms: 0.0, ..DOUBT };
    assert!(begins_with_largest(&unasked));
    assert!(!begins_with_largest(&Doubt { priority: 2, ..unasked }), "not urgent");
    assert!(!begins_with_largest(&Doubt { delay: 0.3, ..unasked }), "engines are busy");
    assert!(!begins_with_largest(&Doubt { larger_ms: 1_400.0, ..unasked }), "late");
}

/// Plays a minute of 600 requests a second, two thirds of them doubted by the small model, before idle
/// engines: the part of all answers that is doubtful and passed on.
fn passed_on(hosts: usize, begins: bool) -> f64 {
    const DOMAINS: usize = 6;
    const REQUESTS: u64 = 36_000;
    let allowance = Allowance {
        share: 0.9,
        spare: spare_per_host(1_040.0, Some(DOMAINS), Some(hosts.div_ceil(DOMAINS))),
        window_ms: 10_000,
    };
    let mut windows = vec![Window::default(); hosts];
    let mut passed_on = 0.0;
    for number in 0..REQUESTS {
        let now = Millis(1_000_000 + number * 60_000 / REQUESTS);
        let window = &mut windows[mix(number) as usize % hosts];
        window.record_request(&allowance, now);
        let unasked = Doubt { confidence: None, waited_ms: 0.0, ..DOUBT };
        let has_spare = window.would_take_extra(1, &allowance, now);
        if begins && !has_spare && begins_with_largest(&unasked) {
            continue;
        }
        let is_doubtful = mix(number ^ 0x5eed) % 3 < 2;
        if is_doubtful && !window.take_extra(1, &allowance, now) {
            passed_on += 1.0;
        }
    }
    passed_on / REQUESTS as f64
}

/// Hundreds of hosts with a request now and then passed on poor answers for want of a repeat, before idle
/// engines.
#[test]
fn begins_with_largest_where_hosts_have_few_requests() {
    for hosts in [100, 300, 1_000] {
        let (before, now) = (passed_on(hosts, false), passed_on(hosts, true));
        println!("{hosts} hosts: {before:.3} passed on, {now:.3} now");
        assert!(now < 0.001, "{hosts} hosts: {now}");
    }
    assert!(passed_on(1_000, false) > 0.04);
}
