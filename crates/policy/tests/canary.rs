//! Roll-outs that many hosts carry out by the same clock and one shared row: good versions are done
//! in time, bad versions are stopped before they get many requests, and sessions keep their
//! version.

use policy::canary::{
    Count, EXPOSURE_SHARE_MIN, Evidence, Outcome, Stage, Verdict, elapsed, failure_weight,
    is_moved, is_peak, is_urgent, next, share, verdict,
};
use policy::name::Name;
use policy::place::mix;

/// How long a trial has the usual load at least, in milliseconds, if the time allowed permits it.
const USUAL_LOAD_MIN_MS: u64 = 3_400;

fn evidence(old: (u32, u32), new: (u32, u32)) -> Evidence {
    let count = |(answers, bad)| Count { answers, bad, slow: 0, ..Count::default() };
    Evidence { route: Name::from("r"), old: count(old), new: count(new), ..Evidence::default() }
}

#[test]
fn share_is_zero_in_first_half() {
    assert_eq!(share(Stage::Trial, 0.0, EXPOSURE_SHARE_MIN), 0.0);
    assert_eq!(share(Stage::Trial, 0.5, EXPOSURE_SHARE_MIN), 0.0);
    assert_eq!(share(Stage::Moving, 0.5, EXPOSURE_SHARE_MIN), 0.0);
}

/// Good versions with ten or twelve seconds allowed were declared done too late for the operator to
/// see it in time.
#[test]
fn elapsed_short_rollout_is_done_before_its_end() {
    for within_ms in [8_000, 10_000, 12_000, 16_000, 24_000, 600_000_u64] {
        let ages = (0..within_ms).step_by(10);
        let done = |age: &u64| {
            next(Stage::Moving, elapsed(*age, within_ms), Verdict::Good) == Some(Stage::Done)
        };
        let at_ms = ages.clone().find(done).unwrap();
        assert!(at_ms + 690 <= within_ms, "{within_ms}: {at_ms}");
        assert!(at_ms as f64 >= 0.9 * within_ms as f64, "{within_ms}: {at_ms}");
        let first = ages
            .clone()
            .find(|age| share(Stage::Trial, elapsed(*age, within_ms), EXPOSURE_SHARE_MIN) > 0.0);
        assert!(
            first.unwrap() * 2 > within_ms,
            "a session must not change its version in the first half"
        );
        assert!(ages.map(|age| elapsed(age, within_ms)).is_sorted());
    }
}

#[test]
fn share_never_falls() {
    let stages = [Stage::Trial, Stage::Moving];
    for stage in stages {
        let shares: Vec<f64> = (0..100)
            .map(|step| share(stage, f64::from(step) / 100.0, EXPOSURE_SHARE_MIN))
            .collect();
        assert!(shares.is_sorted(), "{stage:?}");
    }
    assert!((0..100).all(|step| {
        let elapsed = f64::from(step) / 100.0;
        share(Stage::Moving, elapsed, EXPOSURE_SHARE_MIN)
            >= share(Stage::Trial, elapsed, EXPOSURE_SHARE_MIN)
    }));
    assert_eq!(share(Stage::Stopped, 0.9, EXPOSURE_SHARE_MIN), 0.0);
}

#[test]
fn is_moved_once_as_share_grows() {
    let moved = |share: f64| (0..1_000).filter(|n| is_moved(&format!("s{n}"), "v2", share)).count();
    assert_eq!(moved(0.0), 0);
    assert_eq!(moved(1.0), 1_000);
    assert!((80..160).contains(&moved(0.12)), "{}", moved(0.12));
    assert!((0..1_000).all(|n| {
        let session = format!("s{n}");
        !is_moved(&session, "v2", 0.12) || is_moved(&session, "v2", 0.35)
    }));
}

#[test]
fn verdict_good_bad_open() {
    assert_eq!(verdict(&[evidence((200, 2), (40, 0))]), Verdict::Good);
    assert_eq!(verdict(&[evidence((200, 2), (12, 6))]), Verdict::Bad);
    assert_eq!(verdict(&[evidence((200, 2), (3, 0))]), Verdict::Open);
    assert_eq!(verdict(&[evidence((200, 2), (6, 0))]), Verdict::Clean);
    assert_eq!(verdict(&[evidence((200, 2), (6, 1))]), Verdict::Open);
}

#[test]
fn verdict_one_bad_route_is_enough() {
    let good = evidence((300, 3), (60, 1));
    let bad = Evidence { route: Name::from("other"), ..evidence((300, 3), (12, 7)) };
    assert_eq!(verdict(&[good, bad]), Verdict::Bad);
}

/// A version fails more often under the load of its last second before it is declared done, and
/// shows it on one busy route, while the other route's answers are nearly all good. Once declared
/// done it would serve all requests and nothing would stop it.
#[test]
fn verdict_bad_route_is_not_outweighed_by_clean_one() {
    let busy = Evidence { route: Name::from("busy"), ..evidence((310, 82), (35, 15)) };
    let clean = Evidence { route: Name::from("clean"), ..evidence((592, 2), (48, 2)) };
    assert_ne!(verdict(&[busy.clone(), clean.clone()]), Verdict::Good);
    // The counts of a version that is as good as the old one.
    let usual = Evidence { new: evidence((0, 0), (35, 9)).new, ..busy };
    assert_eq!(verdict(&[usual, clean]), Verdict::Good);
}

#[test]
fn verdict_good_trial_does_not_outweigh_failures_at_full_load() {
    // A version that fails only under load was declared done, and one in six of its answers failed
    // from then on. For half of the time it had answered well on a share of 8 %. In the 0.7 s in
    // which it had all requests, 6 of 56 answers on one route were failures, where the old version
    // had 12 in 3,021. The verdict on the sum, 7 failures of 186, was good.
    let route = |name: &str, old, trial: (u32, u32), full: (u32, u32)| {
        let new = (trial.0 + full.0, trial.1 + full.1);
        let full = Count { answers: full.0, bad: full.1, slow: 0, ..Count::default() };
        Evidence { route: Name::from(name), full, ..evidence(old, new) }
    };
    let seen = [
        route("letters", (3_021, 12), (130, 1), (56, 6)),
        route("status", (1_513, 439), (53, 21), (52, 21)),
        route("upload", (916, 0), (34, 0), (36, 2)),
    ];
    assert!(!matches!(verdict(&seen), Verdict::Good | Verdict::Clean), "{:?}", verdict(&seen));
    // A version that fails as often as the old one at full load is done.
    let usual = [
        route("letters", (3_021, 12), (130, 1), (56, 1)),
        route("status", (1_513, 439), (53, 15), (52, 18)),
        route("upload", (916, 0), (34, 0), (36, 0)),
    ];
    assert_eq!(verdict(&usual), Verdict::Good);
}

/// The old version of a service fails one request in seven: a new version that fails as often is
/// not worse.
#[test]
fn failure_weight_compares_with_old_version() {
    assert!(failure_weight(&evidence((200, 28), (30, 4))) < 0.0);
    assert!(failure_weight(&evidence((200, 1), (30, 9))) > 6.9);
}

#[test]
fn next_waits_for_its_time() {
    assert_eq!(next(Stage::Trial, 0.7, Verdict::Good), None);
    assert_eq!(next(Stage::Trial, 0.82, Verdict::Good), Some(Stage::Moving));
    assert_eq!(next(Stage::Trial, 0.82, Verdict::Open), None);
    assert_eq!(next(Stage::Moving, 0.95, Verdict::Good), None);
    assert_eq!(next(Stage::Moving, 0.96, Verdict::Good), None);
    assert_eq!(next(Stage::Moving, 0.975, Verdict::Good), Some(Stage::Done));
    assert_eq!(next(Stage::Moving, 0.8, Verdict::Bad), Some(Stage::Stopped));
    assert_eq!(next(Stage::Moving, 0.975, Verdict::Open), Some(Stage::Stopped));
    assert_eq!(next(Stage::Moving, 0.975, Verdict::Clean), Some(Stage::Stopped), "it is not known");
    assert_eq!(next(Stage::Trial, 0.82, Verdict::Clean), None);
    assert_eq!(next(Stage::Trial, 0.86, Verdict::Clean), Some(Stage::Moving));
    assert_eq!(next(Stage::Trial, 1.1, Verdict::Open), Some(Stage::Stopped));
    assert_eq!(next(Stage::Done, 0.95, Verdict::Bad), None);
}

/// Result of one simulated roll-out.
struct Simulation {
    stage: Stage,
    /// Requests that went to the new version.
    exposed: u32,
    all: u32,
    sum: Evidence,
}

/// Simulates a roll-out of 24 s at 60 requests per second on six hosts, whose counts are added up
/// each second; `fails` says whether the new version fails a request.
fn simulate(seed: u64, fails: impl Fn(f64, u64) -> bool) -> Simulation {
    let mut stage = Stage::Trial;
    let mut sum = evidence((0, 0), (0, 0));
    let mut shared = sum.clone();
    let mut simulated = Simulation { stage, exposed: 0, all: 0, sum: Evidence::default() };
    for number in 0..1_440_u64 {
        let elapsed = number as f64 / 1_440.0;
        let draw = mix(seed ^ mix(number));
        let is_new = is_moved(&format!("s{draw}"), "v2", share(stage, elapsed, EXPOSURE_SHARE_MIN));
        let bad = if is_new { fails(elapsed, draw) } else { draw.is_multiple_of(100) };
        simulated.all += 1;
        simulated.exposed += u32::from(is_new);
        let sign = if bad { Outcome::Failed } else { Outcome::Good };
        match is_new {
            true => sum.new.record(sign),
            false => sum.old.record(sign),
        }
        if is_new && share(stage, elapsed, EXPOSURE_SHARE_MIN) == 1.0 {
            sum.full.record(sign);
        }
        if number % 60 == 0 || is_urgent(stage, elapsed) {
            stage = next(stage, elapsed, verdict(&[shared])).unwrap_or(stage);
            shared = sum.clone();
        }
    }
    simulated.stage = stage;
    simulated.sum = sum;
    simulated
}

#[test]
fn simulate_good_version_is_done() {
    let done = (0..200)
        .filter(|seed| simulate(*seed, |_, draw| draw.is_multiple_of(100)).stage == Stage::Done);
    let done = done.count();
    assert!(done >= 195, "{done} of 200");
}

/// The version fails 40 % or 50 % of its requests, from the start or from late in the trial.
/// Callers see failures only for the small share that is sent to it.
#[test]
fn simulate_bad_version_is_stopped() {
    for (from, of_ten) in [(0.0, 5), (0.0, 4), (0.6, 4), (0.7, 4)] {
        for seed in 0..100 {
            let simulated =
                simulate(seed, |elapsed, draw| elapsed >= from && draw / 7 % 10 < of_ten);
            let allowed = 0.15 * f64::from(simulated.all) + 30.0;
            assert_eq!(
                simulated.stage,
                Stage::Stopped,
                "from {from} seed {seed} {:?}",
                simulated.sum
            );
            assert!(f64::from(simulated.exposed) <= allowed, "from {from}: {}", simulated.exposed);
        }
    }
}

/// The version turns bad so late that it may not be detected before the time is over. It gets no
/// more requests than a bad version may.
#[test]
fn simulate_version_bad_late_stays_within_exposure() {
    for (from, of_ten) in [(0.74, 4), (0.8, 5), (0.9, 5)] {
        for seed in 0..100 {
            let simulated =
                simulate(seed, |elapsed, draw| elapsed >= from && draw / 7 % 10 < of_ten);
            let allowed = 0.0975 * f64::from(simulated.all) + 30.0;
            assert!(f64::from(simulated.exposed) <= allowed, "from {from}: {}", simulated.exposed);
        }
    }
}

/// Two in five of a version's streams are slow, on several routes with few answers each.
#[test]
fn verdict_slow_on_all_routes_is_bad() {
    let route = |name: &str| {
        let mut one = Evidence { route: Name::from(name), ..evidence((500, 3), (16, 0)) };
        (one.old.slow, one.new.slow) = (40, 7);
        one
    };
    assert_eq!(verdict(&[route("a")]), Verdict::Open);
    assert_eq!(verdict(&["a", "b", "c", "d"].map(route)), Verdict::Bad);
}

/// A version that fails only when the load rises later got more requests than a bad version may.
#[test]
fn share_of_undetected_version_stays_within_exposure() {
    for within_ms in [12_000, 16_000, 20_000, 24_000, 60_000_u64] {
        let shares = (0..within_ms)
            .map(|age_ms| share(Stage::Moving, elapsed(age_ms, within_ms), EXPOSURE_SHARE_MIN));
        let exposed = shares.sum::<f64>() / within_ms as f64;
        assert!(exposed <= 0.0975, "{exposed} in {within_ms} ms");
    }
}

/// The version fails only under a load that it does not get before all requests move, so nothing
/// speaks against it. Even then it gets no more requests than a bad version may.
#[test]
fn simulate_undetected_version_stays_within_exposure() {
    for seed in 0..50 {
        let simulated = simulate(seed, |_, _| false);
        assert_eq!(simulated.stage, Stage::Done);
        assert!(f64::from(simulated.exposed) <= 0.0975 * f64::from(simulated.all) + 30.0);
    }
}

/// A version fails half of its requests once it has all of them, and none before. Twenty requests
/// arrive per second, and counts reach the verdict a fifth of a second late. Judged by the counts
/// from before all requests moved, the version would pass as good and fail for as long as it runs.
#[test]
fn simulate_version_bad_under_load_is_stopped_before_done() {
    const REQUESTS: u64 = 480;
    /// How many requests later counts are known to the verdict.
    const DELAY_REQUESTS: usize = 4;
    let mut stopped = 0;
    for seed in 0..100 {
        let mut stage = Stage::Trial;
        let mut sums = vec![evidence((0, 0), (0, 0))];
        for number in 0..REQUESTS {
            let elapsed = number as f64 / REQUESTS as f64;
            let draw = mix(seed ^ mix(number));
            let is_new =
                is_moved(&format!("s{draw}"), "v2", share(stage, elapsed, EXPOSURE_SHARE_MIN));
            let has_all = share(stage, elapsed, EXPOSURE_SHARE_MIN) == 1.0;
            let bad = is_new && has_all && (draw / 7).is_multiple_of(2);
            let mut sum = sums[sums.len() - 1].clone();
            let sign = if bad { Outcome::Failed } else { Outcome::Good };
            let count = if is_new { &mut sum.new } else { &mut sum.old };
            count.record(sign);
            if is_new && has_all {
                sum.full.record(sign);
            }
            sums.push(sum);
            if number.is_multiple_of(20) || is_urgent(stage, elapsed) {
                let shared = sums[sums.len().saturating_sub(1 + DELAY_REQUESTS)].clone();
                stage = next(stage, elapsed, verdict(&[shared])).unwrap_or(stage);
            }
        }
        stopped += u32::from(stage == Stage::Stopped);
    }
    assert!(stopped >= 97, "{stopped} of 100");
}

/// A tenth of a good version's answers begin late behind long prompts. Weighed like failures, they
/// stopped good versions. A version that is itself slow is slow in a third of its answers or more.
#[test]
fn verdict_slow_behind_long_prompts_is_good() {
    let with_slow = |slow| {
        let mut one = evidence((1_000, 5), (60, 0));
        (one.old.slow, one.new.slow) = (4, slow);
        [one]
    };
    assert_eq!(verdict(&with_slow(7)), Verdict::Good);
    assert_eq!(verdict(&with_slow(26)), Verdict::Bad);
}

/// Evidence of three routes. Each has three pairs of all answers and slow answers: of the old
/// version, of the new one on trial, and of the new one with all requests.
fn timed_evidence(routes: [[(u32, u32); 3]; 3]) -> Vec<Evidence> {
    let count = |(answers, slow)| Count { answers, bad: 0, slow, ..Count::default() };
    let route = |[old, trial, full]: [(u32, u32); 3]| {
        let mut new = count(trial);
        new.add(count(full));
        Evidence {
            route: Name::from("r"),
            old: count(old),
            new,
            full: count(full),
            ..Evidence::default()
        }
    };
    routes.map(route).to_vec()
}

/// A good version was stopped because it was slow in its first second with all requests, when its
/// caches were empty.
#[test]
fn verdict_quick_on_trial_is_good_despite_empty_caches() {
    let seen = timed_evidence([
        [(211, 20), (4, 1), (14, 4)],
        [(171, 0), (4, 0), (1, 1)],
        [(434, 5), (9, 0), (17, 4)],
    ]);
    assert_eq!(verdict(&seen), Verdict::Good);
    // A version that is far slower is not good.
    let slow = timed_evidence([
        [(211, 20), (4, 1), (14, 9)],
        [(171, 0), (4, 0), (1, 1)],
        [(434, 5), (9, 0), (17, 9)],
    ]);
    assert_ne!(verdict(&slow), Verdict::Good);
}

/// A good version was given up because three of seven answers on one route were slow, among 25
/// answers in all.
#[test]
fn verdict_few_slow_answers_on_one_route_are_good() {
    let seen = timed_evidence([
        [(293, 26), (7, 3), (0, 0)],
        [(481, 11), (14, 0), (0, 0)],
        [(168, 4), (4, 0), (0, 0)],
    ]);
    assert_eq!(verdict(&seen), Verdict::Good);
}

/// Guards against a slow version that is declared done on few answers because nearly all of its
/// slow ones came under peak load, where they don't count.
#[test]
fn verdict_slow_at_peak_only_is_not_clean() {
    let route = |name: &str, old: (u32, u32), new: (u32, u32), peak: (u32, u32)| {
        let count = |(answers, slow)| Count { answers, bad: 0, slow, ..Count::default() };
        let (old, new, peak) = (count(old), count(new), count(peak));
        Evidence { route: Name::from(name), old, new, peak, ..Evidence::default() }
    };
    let slow = [
        route("summaries", (68, 0), (2, 2), (2, 2)),
        route("letters", (103, 3), (5, 2), (3, 2)),
        route("tags", (47, 0), (1, 1), (1, 1)),
    ];
    assert_eq!(verdict(&slow), Verdict::Open);
    // A good version has some slow answers under peak load.
    let good = [
        route("summaries", (68, 0), (2, 1), (2, 1)),
        route("letters", (103, 3), (5, 1), (3, 1)),
        route("tags", (47, 0), (1, 0), (1, 0)),
    ];
    assert_eq!(verdict(&good), Verdict::Clean);
}

/// Guards against short trials that have the usual load for so short a time that hardly any answer
/// shows whether the version is quick.
#[test]
fn is_peak_leaves_time_at_the_usual_load() {
    for within_ms in [12_000, 14_400, 18_000, 24_000, 60_000_u64] {
        let at = |age: u64| elapsed(age, within_ms);
        let usual = (0..within_ms).step_by(10).filter(|age| {
            share(Stage::Trial, at(*age), EXPOSURE_SHARE_MIN) > 0.0 && !is_peak(at(*age), within_ms)
        });
        let before_all =
            usual.filter(|age| share(Stage::Moving, at(*age), EXPOSURE_SHARE_MIN) < 1.0);
        let usual_ms = before_all.count() as u64 * 10;
        let wanted_ms = USUAL_LOAD_MIN_MS.min(within_ms / 5);
        assert!(usual_ms >= wanted_ms, "{within_ms}: {usual_ms}");
        // Some of the trial still has peak load.
        let peak = (0..within_ms).step_by(10).filter(|age| is_peak(at(*age), within_ms));
        assert!(peak.count() as u64 * 10 >= within_ms / 14, "{within_ms}");
    }
}
