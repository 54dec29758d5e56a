//! The backend servers of a service while its version changes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use gateway::backend::Backend;
use gateway::pool::{Pool, Rollout};
use policy::canary::{self, Stage};
use policy::name::Name;
use policy::time::Millis;

const WITHIN_MS: u64 = 20_000;

fn backend(id: &str, version: &str) -> Arc<Backend> {
    let row = wire::routing::Backend {
        id: Name::from(id),
        born: 0,
        service: Name::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: Name::from("a"),
        version: Name::from(version),
        slots: 8,
        draining: false,
        warmup_ms: None,
    };
    Arc::new(Backend::new(&row, true))
}

fn pool(stage: Stage, halted: bool) -> Pool {
    let rollout = Rollout {
        target: Name::from("v2"),
        stage,
        began_at: Millis(0),
        within_ms: WITHIN_MS,
        exposure_share: canary::EXPOSURE_SHARE_MIN,
        halted: Arc::new(AtomicBool::new(halted)),
    };
    let backends = vec![backend("old", "v1"), backend("new", "v2")];
    Pool::new(Name::from("v1"), backends).with_rollout(rollout)
}

fn at(part: f64) -> Millis {
    Millis((part * WITHIN_MS as f64) as u64)
}

/// Guards against streams that use up their attempts at stopped servers. Old servers stop before
/// every host has learnt of the roll-out's success.
#[test]
fn stays_on_the_old_version_only_until_the_new_one_has_all_requests() {
    let pool = pool(Stage::Moving, false);
    assert!(pool.stays_on(&Name::from("v1"), at(0.9)));
    assert!(!pool.stays_on(&Name::from("v1"), at(0.96)));
    assert!(pool.stays_on(&Name::from("v2"), at(0.96)));
}

#[test]
fn stays_on_the_old_version_if_the_new_one_is_halted_or_stopped() {
    assert!(pool(Stage::Moving, true).stays_on(&Name::from("v1"), at(0.96)));
    assert!(pool(Stage::Stopped, false).stays_on(&Name::from("v1"), at(0.96)));
    let halted = pool(Stage::Moving, false);
    halted.rollout.as_ref().unwrap().halted.store(true, Ordering::Relaxed);
    assert!(halted.stays_on(&Name::from("v1"), at(0.96)));
}

/// Guards against a version that fails only under load and shows nothing on trial, because its few
/// requests are spread over all of its servers and leave each one idle.
#[test]
fn active_on_trial_gives_few_servers_the_load_to_come() {
    let mut pool = pool(Stage::Trial, false);
    pool.backends.extend((0..59).map(|number| backend(&format!("new-{number}"), "v2")));
    let trial = Name::from("v2");
    let open = |part: f64| pool.active(&trial, canary::USUAL_LOAD, at(part)).len();
    for part in [0.52, 0.7, 0.9] {
        let share = pool.rollout.as_ref().unwrap().share(at(part));
        // Each server has at most its future load, and at least half of it.
        let load = share * 60.0 / open(part) as f64;
        assert!((0.5..=1.0).contains(&load), "{load} at {part}");
    }
    assert_eq!(pool.active(&Name::from("v1"), canary::USUAL_LOAD, at(0.7)).len(), 1);
    let same = |part| {
        pool.active(&trial, canary::USUAL_LOAD, at(part))
            .iter()
            .map(|b| b.id.clone())
            .collect::<Vec<_>>()
    };
    assert!(same(0.9).starts_with(&same(0.52)), "servers are added, not exchanged");
}

#[test]
fn active_with_all_requests_is_all_servers() {
    let pool = pool(Stage::Moving, false);
    assert_eq!(pool.active(&Name::from("v2"), canary::USUAL_LOAD, at(0.96)).len(), 1);
    assert_eq!(
        pool.active(&Name::from("v2"), canary::USUAL_LOAD, at(0.1)).len(),
        1,
        "nothing is sent there yet"
    );
}

/// Guards against a plain service's version that fails only under load and is declared done,
/// because it has never had more than the load of a calm moment.
#[test]
fn active_until_done_gives_plain_servers_the_load_of_a_peak() {
    let mut pool = pool(Stage::Moving, false);
    pool.backends.extend((0..5).map(|number| backend(&format!("new-{number}"), "v2")));
    let all = |pool: &Pool| pool.active(&Name::from("v2"), canary::PEAK_LOAD, at(0.98)).len();
    assert_eq!(all(&pool), 3);
    pool.rollout.as_mut().unwrap().stage = Stage::Done;
    assert_eq!(all(&pool), 6);
}

/// Guards against an engine's version that is declared done without ever having had more than the
/// usual load.
#[test]
fn is_at_peak_for_engines_late_on_trial_and_for_plain_servers_to_the_end() {
    let (trial, old) = (Name::from("v2"), Name::from("v1"));
    let mut pool = pool(Stage::Trial, false);
    let at_peak = |pool: &Pool, is_engine| {
        [0.4, 0.6, 0.7, 0.9, 0.96].map(|part| pool.is_at_peak(&trial, is_engine, at(part)))
    };
    assert_eq!(at_peak(&pool, true), [false, false, true, true, false]);
    assert!(!pool.is_at_peak(&old, true, at(0.9)));
    pool.rollout.as_mut().unwrap().stage = Stage::Moving;
    assert_eq!(at_peak(&pool, true), [false, false, true, true, false]);
    assert_eq!(at_peak(&pool, false), [false, false, true, true, true]);
    pool.rollout.as_mut().unwrap().stage = Stage::Done;
    assert_eq!(at_peak(&pool, false), [false; 5]);
}

fn large(near: usize, far: usize) -> Pool {
    let row = |number: usize| wire::routing::Backend {
        id: Name::from(format!("i-{number}")),
        born: 0,
        service: Name::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: Name::from(if number < near { "a" } else { "b" }),
        version: Name::from("v1"),
        slots: 8,
        draining: false,
        warmup_ms: None,
    };
    let backends = (0..near + far).map(|number| Backend::new(&row(number), number < near));
    Pool::new(Name::from("v1"), backends.map(Arc::new).collect())
}

/// Guards against requests that compare each of thousands of servers.
#[test]
fn candidates_do_not_grow_with_the_servers() {
    for (near, far) in [(1, 0), (30, 60), (128, 64), (1_700, 8_300), (0, 5_000), (3_400, 16_600)] {
        let pool = large(near, far);
        let candidates =
            pool.candidates(&Name::from("v1"), canary::USUAL_LOAD, Some(7), 3, at(0.1));
        assert!(candidates.backends.len() <= 193, "{near} {far} {}", candidates.backends.len());
        assert_eq!(candidates.is_sample, near > 128 || far > 64);
        let near_candidates = candidates.backends.iter().filter(|backend| backend.is_near).count();
        assert!(near_candidates >= near.min(128), "{near} {near_candidates}");
        let ids: std::collections::BTreeSet<_> =
            candidates.backends.iter().map(|b| &b.id).collect();
        assert_eq!(ids.len(), candidates.backends.len());
    }
}

/// Guards against hosts that fill the caches of different engines with the same prompt part.
#[test]
fn candidates_hosts_agree_on_an_engine_for_a_subject() {
    let pools = [large(1_700, 8_300), large(1_700, 8_300)];
    for subject in 0..50 {
        let preferred = pools.each_ref().map(|pool| {
            let seed = next_seed(subject);
            let candidates = pool.candidates(&Name::from("v1"), 1.0, Some(subject), seed, at(0.1));
            assert!(
                candidates.backends.iter().any(|b| Arc::ptr_eq(b, candidates.preferred.unwrap()))
            );
            candidates.preferred.unwrap().id.clone()
        });
        assert_eq!(preferred[0], preferred[1]);
    }
}

/// A different seed at each call.
fn next_seed(subject: u64) -> u64 {
    static CALLS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    policy::place::mix(subject ^ CALLS.fetch_add(1, Ordering::Relaxed))
}

/// Guards against requests of a version on trial that are refused while the version before has
/// servers, and against requests that try a version that is not trusted.
#[test]
fn versions_to_try_end_with_the_version_before() {
    let (trial, old) = (Name::from("v2"), Name::from("v1"));
    let names = |pool: &Pool, version: &Name, part| {
        let versions = pool.versions_to_try(version, at(part));
        versions.map(ToString::to_string).collect::<Vec<_>>()
    };
    assert_eq!(names(&pool(Stage::Trial, false), &trial, 0.6), ["v2", "v1"]);
    assert_eq!(names(&pool(Stage::Trial, false), &old, 0.6), ["v1"]);
    for stopped in [pool(Stage::Stopped, false), pool(Stage::Trial, true)] {
        assert_eq!(names(&stopped, &trial, 0.6), ["v1"]);
    }
}
