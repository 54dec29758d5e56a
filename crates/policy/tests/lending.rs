//! Attempts of a request that is forwarded through other hosts, over links that lose answers.

use policy::detour::{FORWARDED_ATTEMPTS, count_attempts};
use policy::place::mix;

/// Number of simulated requests.
const REQUESTS: u32 = 20_000;

/// How many attempts a host that receives a forwarded request makes, and how the caller's host
/// counts them if the answer is lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Counting {
    /// The receiving host makes all attempts that are left; a lost answer counts as one.
    AllCountedAsOne,
    /// The receiving host makes all attempts that are left; a lost answer counts as all of them.
    All,
    /// The receiving host makes and counts as many as [`FORWARDED_ATTEMPTS`].
    Limited,
}

/// What became of the simulated requests.
#[derive(Default, Debug)]
struct Outcome {
    /// Number of requests that ran on more servers than allowed.
    exceeded: u32,
    /// Number of requests that were answered.
    answered: u32,
}

/// Simulates requests: each attempt fails with the probability `failing`, and each answer between
/// hosts is lost with the probability `losing`.
fn simulate(counting: Counting, allowed: u32, failing: f64, losing: f64) -> Outcome {
    let mut state = 57;
    let mut happens = |probability: f64| {
        state = mix(state);
        (state >> 11) as f64 / ((1_u64 << 53) as f64) < probability
    };
    let mut outcome = Outcome::default();
    for _ in 0..REQUESTS {
        let (mut sent, mut runs) = (0, 0);
        while sent < allowed {
            let forwarded =
                if counting == Counting::Limited { FORWARDED_ATTEMPTS } else { allowed - sent };
            let (mut made, mut is_answered) = (0, false);
            while made < forwarded && !is_answered {
                made += 1;
                is_answered = !happens(failing);
            }
            runs += made;
            let reported = (!happens(losing)).then_some(sent + made);
            let counted = if counting == Counting::AllCountedAsOne { 1 } else { forwarded };
            sent = count_attempts(sent, counted, reported);
            if is_answered && reported.is_some() {
                outcome.answered += 1;
                break;
            }
        }
        outcome.exceeded += u32::from(runs > allowed);
    }
    outcome
}

/// Guards against a request that runs on more servers than its route allows, whatever answers are
/// lost between hosts.
#[test]
fn count_attempts_stays_within_the_route() {
    for allowed in 1..=4 {
        for failing in [0.0, 0.3, 0.9] {
            for losing in [0.0, 0.1, 0.5, 1.0] {
                assert_eq!(simulate(Counting::Limited, allowed, failing, losing).exceeded, 0);
                assert_eq!(simulate(Counting::All, allowed, failing, losing).exceeded, 0);
            }
        }
        // The simulation does show the failure, with the counting that assumes too few attempts.
        let exceeded = simulate(Counting::AllCountedAsOne, allowed, 0.3, 0.1).exceeded;
        assert_eq!(exceeded > 0, allowed > 1, "{allowed} allowed, {exceeded} exceeded");
    }
}

/// Guards against lost answers that cost a request more attempts than were made.
#[test]
fn count_attempts_of_one_forwarded_answers_more_than_of_all() {
    for allowed in [2, 3] {
        for (failing, losing) in [(0.05, 0.05), (0.3, 0.1), (0.3, 0.3)] {
            let (one, all) = (
                simulate(Counting::Limited, allowed, failing, losing),
                simulate(Counting::All, allowed, failing, losing),
            );
            println!("{allowed} allowed, {failing} fail, {losing} lost: {one:?} {all:?}");
            assert!(one.answered > all.answered, "{one:?} {all:?}");
        }
    }
}
