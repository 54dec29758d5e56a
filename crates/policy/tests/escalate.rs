//! Escalation to a larger model, by confidence, urgency, time left and load.

use policy::engine::{Costs, Demand, Engine, starts};
use policy::escalate::{Doubt, Verdict, decide, should_start_with_largest, threshold};
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

fn should_escalate(doubt: &Doubt) -> bool {
    decide(doubt) == Verdict::Escalate
}

#[test]
fn should_escalate_only_low_confidence() {
    assert!(should_escalate(&DOUBT));
    assert!(!should_escalate(&Doubt { confidence: Some(90), ..DOUBT }));
    assert!(!should_escalate(&Doubt { confidence: None, ..DOUBT }));
}

#[test]
fn should_escalate_to_a_late_answer_only_while_idle() {
    let late = Doubt { larger_ms: 1_400.0, ..DOUBT };
    assert!(should_escalate(&late));
    assert!(!should_escalate(&Doubt { delay: 0.4, ..late }));
}

/// One prompt in a hundred is ten times as long as the rest. The large model takes two seconds to
/// read it, which delays its own answer and those of all requests that wait at the engine.
#[test]
fn should_escalate_not_for_a_long_prompt_that_would_be_late() {
    let long = Doubt { larger_ms: 2_000.0, read_ms: 2_000.0, ..DOUBT };
    assert!(!should_escalate(&long));
    assert!(should_escalate(&Doubt { objective_ms: 6_000.0, ..long }));
}

/// Guards against poor answers to long prompts while a fast engine, or one that has the prompt's
/// beginning cached, is idle: judged by the mean speed of all engines, each such answer is late.
#[test]
fn decide_long_prompt_by_the_engine_that_would_be_chosen() {
    let usual = Engine { slots: 16, near: true, ..Engine::default() };
    let fast = Engine { slowdown: -0.6, ..usual };
    let caching = Engine { cached: 24_000.0, ..usual };
    let busy = Engine { wait_ms: 2_000.0, ..fast };
    let demand = Demand {
        prompt: 40_000.0,
        shared: 24_000.0,
        tokens_per_ms: 16.0,
        service_ms: 6_000.0,
        far_ms: 375.0,
        failure_ms: 3_000.0,
    };
    let verdict = |engines: &[Engine]| {
        let costs = Costs::default();
        let terms = starts(engines, &demand, &costs).map(|start| start.terms);
        let best = terms.min_by(|a, b| a.total_ms().total_cmp(&b.total_ms())).expect("an engine");
        decide(&Doubt {
            waited_ms: 400.0,
            larger_ms: best.first_event_ms(),
            read_ms: best.prefill_ms(),
            objective_ms: 3_000.0,
            ..DOUBT
        })
    };
    let cases: [(&str, &[Engine], Verdict); 4] = [
        ("usual engines only", &[usual, usual], Verdict::Late),
        ("a fast one", &[usual, fast], Verdict::Escalate),
        ("one with the beginning cached", &[usual, caching], Verdict::Escalate),
        ("a fast one with a queue", &[usual, busy], Verdict::Late),
    ];
    for (name, engines, expected) in cases {
        assert_eq!(verdict(engines), expected, "{name}");
    }
}

#[test]
fn threshold_falls_with_delay_and_lower_urgency() {
    assert!(threshold(0, 0.1) > threshold(2, 0.1));
    assert!(threshold(0, 0.5) < threshold(0, 0.3));
    assert_eq!(threshold(0, 0.7), 0.0);
}

#[test]
fn should_start_with_largest_only_urgent_while_engines_are_idle() {
    let unasked = Doubt { confidence: None, waited_ms: 0.0, ..DOUBT };
    assert!(should_start_with_largest(&unasked));
    assert!(!should_start_with_largest(&Doubt { priority: 2, ..unasked }), "not urgent");
    assert!(!should_start_with_largest(&Doubt { delay: 0.3, ..unasked }), "engines are busy");
    assert!(!should_start_with_largest(&Doubt { larger_ms: 1_400.0, ..unasked }), "late");
}

/// Simulates a minute of 600 requests a second with idle engines, where two thirds of the small
/// model's answers have low confidence. Returns the share of all answers that have low confidence
/// and go to the caller because no repeat is left.
fn poor_share(hosts: usize, may_start_with_largest: bool) -> f64 {
    const DOMAINS: usize = 6;
    const REQUESTS: u64 = 36_000;
    let allowance = Allowance {
        share: 0.9,
        spare: spare_per_host(1_040.0, Some(DOMAINS), Some(hosts.div_ceil(DOMAINS))),
        window_ms: 10_000,
    };
    let mut windows = vec![Window::default(); hosts];
    let mut poor_count = 0.0;
    for number in 0..REQUESTS {
        let now = Millis(1_000_000 + number * 60_000 / REQUESTS);
        let window = &mut windows[mix(number) as usize % hosts];
        window.record_request(&allowance, now);
        let unasked = Doubt { confidence: None, waited_ms: 0.0, ..DOUBT };
        let has_spare = window.would_take_extra(1, &allowance, now);
        if may_start_with_largest && !has_spare && should_start_with_largest(&unasked) {
            continue;
        }
        let is_doubtful = mix(number ^ 0x5eed) % 3 < 2;
        if is_doubtful && !window.take_extra(1, &allowance, now) {
            poor_count += 1.0;
        }
    }
    poor_count / REQUESTS as f64
}

/// Guards against poor answers while engines are idle: with hundreds of hosts, each has few
/// requests and too few repeats to replace a small model's answers.
#[test]
fn should_start_with_largest_where_hosts_have_few_requests() {
    for hosts in [100, 300, 1_000] {
        let (before, now) = (poor_share(hosts, false), poor_share(hosts, true));
        println!("{hosts} hosts: poor share {before:.3} without, {now:.3} with the largest first");
        assert!(now < 0.001, "{hosts} hosts: {now}");
    }
    assert!(poor_share(1_000, false) > 0.04);
}
