//! Tries of a request that goes by other hosts, over links between them that lose answers.

use policy::detour::{FORWARDED_ATTEMPTS, count_attempts};
use policy::place::mix;

/// Requests of one run.
const REQUESTS: u32 = 20_000;

/// How the host that has the caller counts the tries of another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// The other host makes all that are left; one counts where its answer is lost.
    AsOne,
    /// It makes all that are left, and all count where its answer is lost.
    All,
    /// It makes as many as the product lends.
    Lent,
}

/// What became of all requests.
#[derive(Default, Debug)]
struct Outcome {
    /// Requests that ran on more servers than allowed.
    beyond: u32,
    /// Requests that were answered.
    served: u32,
}

/// Plays requests: each try fails with `failing`, each answer between hosts is lost with `losing`.
fn play(way: Way, allowed: u32, failing: f64, losing: f64) -> Outcome {
    let mut state = 57;
    let mut happens = |probability: f64| {
        state = mix(state);
        (state >> 11) as f64 / ((1_u64 << 53) as f64) < probability
    };
    let mut outcome = Outcome::default();
    for _ in 0..REQUESTS {
        let (mut sent, mut runs) = (0, 0);
        while sent < allowed {
            let lent = if way == Way::Lent { FORWARDED_ATTEMPTS } else { allowed - sent };
            let (mut made, mut is_served) = (0, false);
            while made < lent && !is_served {
                made += 1;
                is_served = !happens(failing);
            }
            runs += made;
            let reported = (!happens(losing)).then_some(sent + made);
            let counted = if way == Way::AsOne { 1 } else { lent };
            sent = count_attempts(sent, counted, reported);
            if is_served && reported.is_some() {
                outcome.served += 1;
                break;
            }
        }
        outcome.beyond += u32::from(runs > allowed);
    }
    outcome
}

/// Guards against a request on more servers than its route allows, whatever is lost between hosts.
#[test]
fn spent_attempts_by_another_host_stay_within_the_route() {
    for allowed in 1..=4 {
        for failing in [0.0, 0.3, 0.9] {
            for losing in [0.0, 0.1, 0.5, 1.0] {
                assert_eq!(play(Way::Lent, allowed, failing, losing).beyond, 0);
                assert_eq!(play(Way::All, allowed, failing, losing).beyond, 0);
            }
        }
        // The model brings the failure about.
        let beyond = play(Way::AsOne, allowed, 0.3, 0.1).beyond;
        assert_eq!(beyond > 0, allowed > 1, "{allowed} allowed, {beyond} beyond");
    }
}

/// Guards against lost answers that cost a request more tries than were made.
#[test]
fn spent_of_one_lent_serves_more_than_of_all() {
    for allowed in [2, 3] {
        for (failing, losing) in [(0.05, 0.05), (0.3, 0.1), (0.3, 0.3)] {
            let (one, all) = (
                play(Way::Lent, allowed, failing, losing),
                play(Way::All, allowed, failing, losing),
            );
            println!("{allowed} allowed, {failing} fail, {losing} lost: {one:?} {all:?}");
            assert!(one.served > all.served, "{one:?} {all:?}");
        }
    }
}
