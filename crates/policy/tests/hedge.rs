//! Hedged requests, replayed in simulated time: many hosts share servers that slow down. The hosts
//! exchange nothing.

mod hedges;

use std::collections::BTreeSet;

use hedges::{Scene, late, quantile, run};
use policy::hedge::{self, Situation, Target, Trend, Withheld};
use policy::retry::Attempt;
use policy::time::Millis;

/// Guards against hedges that do not help, or that slow all requests to help a few.
#[test]
fn slow_servers_for_moments_cost_little() {
    let scene = |share| Scene { share, ..Scene::default() };
    let (without, with) = (run(scene(0.0)), run(scene(0.2)));
    for fraction in [0.5, 0.99, 0.999] {
        let (before, after) = (quantile(&without.took, fraction), quantile(&with.took, fraction));
        println!("{fraction}: {before} ms without, {after} ms with hedges");
        let most = if fraction > 0.9 { before as f64 * 0.8 } else { before as f64 * 1.02 };
        assert!(after as f64 <= most, "{fraction}: {before} -> {after}");
    }
    println!("hedges: {} of {}", with.hedges.len(), with.requests.len());
}

/// Guards against hosts that each keep to the share and together exceed it, and against hedges
/// that make a general slowness worse.
#[test]
fn all_servers_slow_at_any_number_of_hosts() {
    const SLOW_FROM: u64 = 100_000;
    const UNTIL: u64 = 105_000;
    const WINDOW_MS: u64 = 60_000;
    for hosts in [6, 78, 300] {
        let share = 0.1;
        let outcome = run(Scene {
            hosts,
            servers: 30,
            per_second: 500.0,
            share,
            all_slow_from: SLOW_FROM,
            until: UNTIL,
            ..Scene::default()
        });
        let count = |times: &[u64], span: std::ops::Range<u64>| {
            times.iter().filter(|at| span.contains(at)).count()
        };
        // All whole windows, the last ones with the time in which all servers are slow.
        for from in (0..=UNTIL - WINDOW_MS).step_by(1_000) {
            let span = from..from + WINDOW_MS;
            let (hedges, requests) =
                (count(&outcome.hedges, span.clone()), count(&outcome.requests, span));
            assert!(hedges as f64 <= share * requests as f64, "{hosts} hosts: {hedges}/{requests}");
        }
        let usual: BTreeSet<u64> = outcome.hedges.iter().map(|at| at / 1_000).collect();
        let late = count(&outcome.hedges, SLOW_FROM + 1_000..u64::MAX);
        let in_first = count(&outcome.hedges, SLOW_FROM..SLOW_FROM + 1_000);
        println!("{hosts} hosts: {} hedges, {in_first} in the first second", outcome.hedges.len());
        assert!(usual.len() > 10, "{hosts} hosts hardly hedge");
        assert_eq!(late, 0, "{hosts} hosts go on");
    }
}

/// Guards against hedges to servers that are full or were not fast, and against large servers that
/// report no load and pass for full because of one request.
#[test]
fn check_names_what_a_server_lacks() {
    let now = Millis(10_000);
    let silent = Target { slots: 32, fast_at: Millis(9_500), ..Target::default() };
    let reporting = Target { slots: 6, reported_at: Millis(9_500), hosts: 3, ..silent };
    let (not_fast, no_room) = (Err(Withheld::NotFast), Err(Withheld::NoRoom));
    for (target, expected) in [
        (silent, Ok(())),
        (Target { fast_at: Millis(9_200), ..silent }, not_fast),
        (Target { own: 1, ..silent }, no_room),
        (Target { own: 1, hosts: 16, ..silent }, Ok(())),
        (Target { own: 1, hosts: 17, ..silent }, no_room),
        (Target { own: u32::MAX, hosts: u32::MAX, ..silent }, no_room),
        (Target { reported: 5, ..reporting }, Ok(())),
        (Target { reported: 6, ..reporting }, no_room),
        (Target { reported: 5, own: 1, ..reporting }, no_room),
        (Target { own: 2, reported_at: Millis(9_000), ..reporting }, no_room),
    ] {
        assert_eq!(target.check(now), expected, "{target:?}");
    }
    let full = Target { reported: 6, ..reporting };
    for (targets, expected) in [
        (vec![], Withheld::NoServer),
        (vec![Target::default()], Withheld::NotFast),
        (vec![full, Target::default()], Withheld::NoRoom),
    ] {
        assert_eq!(hedge::why_none(targets, now), expected);
    }
}

/// Guards against a hedge for a request that must not have one.
#[test]
fn decide_names_the_reason() {
    let (usual, attempt) = (late(), late().attempt);
    let mut overloaded = Trend::default();
    (0..4).for_each(|_| overloaded.record(true));
    let once = Situation { attempt: Attempt { may_repeat: false, ..attempt }, ..usual };
    let hurried = Situation { attempt: Attempt { left_ms: 50, ..attempt }, ..usual };
    for (situation, trend, expected) in [
        (usual, Trend::default(), Ok(())),
        (once, Trend::default(), Err(Withheld::Request)),
        (hurried, Trend::default(), Err(Withheld::Request)),
        (Situation { sent: 2, ..usual }, Trend::default(), Err(Withheld::Attempts)),
        (Situation { is_suspect: true, ..usual }, Trend::default(), Err(Withheld::Suspect)),
        (usual, overloaded, Err(Withheld::Overload)),
    ] {
        assert_eq!(hedge::decide(&situation, &trend), expected, "{situation:?}");
    }
}
