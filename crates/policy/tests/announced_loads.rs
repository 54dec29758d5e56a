//! Replays hosts that place streams on engines, with and without the loads that other hosts announce.
//!
//! Each of 26 hosts sends three requests a second to 30 engines of 16 slots, whose streams last
//! eight seconds on average. On its own a host hears from an engine every ten seconds. Three failure
//! domains also announce their loads to each other, while the demand of each is a wave of its own, or
//! callers move to one of them.

#[path = "loads/world.rs"]
mod world;

use std::f64::consts::TAU;

use world::{FarMessages, Load, Messages, Outcome, Run, play};

const PROMPT: Messages = Messages { delay_ms: 50, lost_share: 0.0 };
const ONE: Run = Run {
    domains: 1,
    messages: None,
    far: None,
    far_ms: 375.0,
    stream_ms: 8_000.0,
    load: |_, _| 0.75,
    seed: 1,
};
const THREE: Run = Run { domains: 3, messages: Some(PROMPT), ..ONE };

fn mean_share(messages: Option<Messages>) -> f64 {
    let share = |seed| play(Run { messages, seed, ..ONE }, |_, _, _| {})[0].share_at_full();
    (1..=3).map(share).sum::<f64>() / 3.0
}

/// Guards against requests that wait seconds for a slot at a full engine while others have free
/// slots. A part of the announcements may be lost; those that are late must do no harm.
#[test]
fn place_with_announced_loads_avoids_full_engines() {
    let without = mean_share(None);
    let with = |delay_ms, lost_share| mean_share(Some(Messages { delay_ms, lost_share }));
    for (delay_ms, lost_share) in [(50, 0.0), (400, 0.0), (400, 0.3)] {
        let share = with(delay_ms, lost_share);
        println!("{delay_ms} ms, {lost_share} lost: {share:.3}, without {without:.3}");
        assert!(share < without / 2.0 && share < 0.01, "{delay_ms} ms, {lost_share} lost: {share}");
    }
    let late = with(1_500, 0.0);
    assert!(late < without, "late announcements: {late}, without: {without}");
}

fn wave(domain: usize, now: u64) -> f64 {
    let turn = now as f64 / 17_000.0 + domain as f64 / 3.0;
    0.75 * (1.0 + 0.55 * (turn * TAU).sin())
}

/// Callers that move to the first failure domain for six seconds, and bring `load` per slot there.
fn moved(load: f64, domain: usize, now: u64) -> f64 {
    match now {
        30_000..36_000 if domain == 0 => load,
        30_000..36_000 => 0.2,
        _ => 0.5,
    }
}

fn far(interval_ms: u64, delay_ms: u64, lost_share: f64) -> Option<FarMessages> {
    let messages = Messages { delay_ms, lost_share };
    Some(FarMessages { interval_ms, messages, until: u64::MAX })
}

/// What became of the requests of the first failure domain and of the others, in three runs, and the
/// highest mean load per slot of the first.
fn played(run: Run) -> (Outcome, Outcome, f64) {
    let mut all = <(Outcome, Outcome, f64)>::default();
    for seed in 1..=3 {
        let highest = &mut all.2;
        let run = Run { seed, ..run };
        let outcomes = play(run, |_, means, _| *highest = highest.max(means[0]));
        all.0 = all.0.plus(&outcomes[0]);
        all.1 = outcomes[1..].iter().fold(all.1, |sum, one| sum.plus(one));
    }
    all
}

/// The intervals, delays and lost shares of announcements between failure domains.
const WAYS: [(u64, u64, f64); 5] =
    [(500, 50, 0.0), (1_000, 50, 0.0), (500, 400, 0.0), (500, 400, 0.3), (500, 1_500, 0.0)];

/// Guards against requests that queue in the failure domain that callers have moved to while the
/// engines of others are idle, and against others that are overloaded in turn.
#[test]
fn burst_in_one_domain_is_evened_out() {
    let loads: [(f64, Load); 2] = [
        (8_000.0, |domain, now| moved(3.0, domain, now)),
        (3_000.0, |domain, now| moved(1.8, domain, now)),
    ];
    for (stream_ms, load) in loads {
        let run = Run { load, stream_ms, ..THREE };
        let (alone, others_alone, highest_alone) = played(run);
        for (interval_ms, delay_ms, lost_share) in WAYS {
            let way = far(interval_ms, delay_ms, lost_share);
            let (busy, others, highest) = played(Run { far: way, ..run });
            let [with, without] = [busy, alone].map(|one| one.share_at_full());
            let [others, others_alone] = [others, others_alone].map(|one| one.share_at_full());
            println!(
                "{stream_ms} ms streams, {interval_ms}/{delay_ms}/{lost_share}: {with:.3}, without {without:.3}; others {others:.4}, \
                 without {others_alone:.4}; far {:.3}; highest {highest:.2}, {highest_alone:.2}",
                busy.share_far()
            );
            assert!(with < without / 3.0, "{with} {without}");
            assert!(others < others_alone + 0.01, "{others} {others_alone}");
            assert!(highest < highest_alone, "{highest} {highest_alone}");
        }
    }
}

/// Guards against announcements that do harm where waves make the loads of failure domains differ,
/// also if they are late or lost.
#[test]
fn waves_of_demand_are_evened_out() {
    let run = Run { load: wave, ..THREE };
    let all = |run| {
        let (one, others, _) = played(run);
        one.plus(&others)
    };
    let without = all(run).share_at_full();
    for (interval_ms, delay_ms, lost_share) in WAYS {
        let way = far(interval_ms, delay_ms, lost_share);
        let with = all(Run { far: way, ..run });
        let (share, far) = (with.share_at_full(), with.share_far());
        println!(
            "{interval_ms}/{delay_ms}/{lost_share}: {share:.4}, without {without:.4}; far {far:.3}"
        );
        assert!(share < without && far < 0.1, "{share} {without} {far}");
    }
}

/// Guards against requests that go on spilling over to a failure domain that is not heard any more.
#[test]
fn silent_domains_get_no_requests() {
    let load = |domain, _| if domain == 0 { 0.9 } else { 0.4 };
    let messages = FarMessages { interval_ms: 500, messages: PROMPT, until: 30_000 };
    let mut far = Vec::new();
    let run = Run { load, far: Some(messages), ..THREE };
    play(run, |now, _, outcomes| {
        if [10_000, 30_000, 36_000, 59_900].contains(&now) {
            far.push(outcomes[0].far);
        }
    });
    println!("{far:?}");
    assert!(far[1] > far[0] + 100.0, "requests that spill over while messages arrive: {far:?}");
    assert_eq!(far[2], far[3], "requests that spill over later");
}
