//! Version selection: the cheapest plans that meet the target, and no cascade for requests that may
//! not be repeated.

use policy::estimate::Estimate;
use policy::select::{Candidate, Goal, Plan, Rater, Status, Table, baseline};
use policy::time::Millis;

const NOW: Millis = Millis(0);

fn rated(version: &str, cost: f64, mean: f64) -> Candidate {
    let quality = Estimate::prior(mean).with_counts(mean * 1000.0, 1000.0, NOW);
    Candidate::live(version, cost, quality).with_latency(100.0)
}

fn goal(target: f64) -> Goal {
    let rater = Some(Rater { cost: 0.1, latency_ms: 50.0 });
    Goal { target, may_repeat: true, deadline_ms: 1000.0, rater, ..Goal::default() }
}

fn two_versions() -> Vec<Candidate> {
    vec![rated("small", 1.0, 0.8), rated("large", 10.0, 0.97)]
}

#[test]
fn build_uses_the_cheap_version_where_it_suffices() {
    let table = Table::build(&two_versions(), &goal(0.7), NOW);
    assert_eq!(table.draw(0.5), Some(&Plan::Single("small".into())));
    assert!(table.cost < 1.5, "{table:?}");
}

#[test]
fn build_cascades_where_repeatable() {
    let table = Table::build(&two_versions(), &goal(0.9), NOW);
    let cascade = Plan::Cascade { first: "small".into(), then: "large".into() };
    assert!(table.share(&cascade) > 0.4, "{table:?}");
    assert!(table.cost < 4.0, "{table:?}");
}

#[test]
fn build_never_cascades_where_not_repeatable() {
    let goal = Goal { may_repeat: false, ..goal(0.9) };
    let table = Table::build(&two_versions(), &goal, NOW);
    assert!(table.shares.iter().all(|share| matches!(share.plan, Plan::Single(_))));
    assert!(table.quality >= 0.9 - 0.01, "{table:?}");
}

#[test]
fn build_never_cascades_without_time() {
    let goal = Goal { deadline_ms: 200.0, ..goal(0.9) };
    let table = Table::build(&two_versions(), &goal, NOW);
    assert!(table.shares.iter().all(|share| matches!(share.plan, Plan::Single(_))));
}

#[test]
fn build_uses_the_best_version_where_none_meets_the_target() {
    let goal = Goal { may_repeat: false, ..goal(0.999) };
    let table = Table::build(&two_versions(), &goal, NOW);
    assert_eq!(table.draw(0.5), Some(&Plan::Single("large".into())));
}

#[test]
fn build_gives_a_rollout_candidate_its_share() {
    let mut versions = two_versions();
    versions.push(rated("small-2", 1.0, 0.9).with_share(0.05));
    let table = Table::build(&versions, &goal(0.9), NOW);
    let uses = |plan: &Plan| match plan {
        Plan::Single(version) => version.as_str() == "small-2",
        Plan::Cascade { first, .. } => first.as_str() == "small-2",
    };
    let share: f64 = table.shares.iter().filter(|s| uses(&s.plan)).map(|s| s.share).sum();
    assert!((share - 0.05).abs() < 1e-9, "{table:?}");
}

#[test]
fn build_without_versions_is_empty() {
    assert_eq!(Table::build(&[], &goal(0.9), NOW).draw(0.5), None);
}

#[test]
fn baseline_selects_best_cheapest_and_equal_shares() {
    let versions = two_versions();
    assert_eq!(baseline::best(&versions, NOW).draw(0.1), Some(&Plan::Single("large".into())));
    assert_eq!(baseline::cheapest(&versions, NOW).draw(0.1), Some(&Plan::Single("small".into())));
    assert_eq!(baseline::fixed_split(&versions, NOW).shares.len(), 2);
}

/// The shares sum to 1, and requests that may not be repeated get no cascade, whatever the
/// versions.
#[test]
fn build_random_versions_keeps_shares_valid() {
    fuzz::check(2000, |(versions, target, may_repeat): &(Vec<(u8, u8, u8)>, u8, bool)| {
        let versions: Vec<Candidate> = versions
            .iter()
            .take(8)
            .enumerate()
            .map(|(i, (cost, mean, share))| {
                let mean = f64::from(*mean) / 255.0;
                let candidate = rated(&format!("v{i}"), f64::from(*cost), mean);
                let is_in_rollout = share % 4 == 0;
                if is_in_rollout {
                    candidate.with_share(f64::from(*share) / 255.0)
                } else {
                    candidate
                }
            })
            .collect();
        let goal = Goal { may_repeat: *may_repeat, ..goal(f64::from(*target) / 255.0) };
        let table = Table::build(&versions, &goal, NOW);
        let sum: f64 = table.shares.iter().map(|share| share.share).sum();
        let has_usable = versions.iter().any(|v| v.status != Status::Candidate(0.0));
        assert_eq!(has_usable, !table.shares.is_empty());
        assert!(!has_usable || (sum - 1.0).abs() < 1e-9);
        let has_cascade = table.shares.iter().any(|s| matches!(s.plan, Plan::Cascade { .. }));
        assert!(*may_repeat || !has_cascade);
    });
}
