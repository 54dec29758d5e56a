//! What a host believes engines to have cached, from prompts, announcements and cache events.

use gateway::backend::Backend;
use gateway::prefixes::Prefixes;
use policy::name::Name;
use policy::prefix::far::FarPart;
use policy::prefix::{Held, Key, Part, Scope, Taken};
use policy::time::Millis;
use wire::routing::{Engine, Model, Service};

const NOW: Millis = Millis(1_000_000);
const LARGE: u64 = 5;

fn service(events_max: u32, models: usize) -> Service {
    let model = |number| Model { name: Name::from(format!("m{number}")), price: 1.0 };
    Service {
        name: Name::from("s"),
        models: (0..models).map(model).collect(),
        connections_max: 9,
        warmup: None,
        engine: Some(Engine { events_max, ..Engine::default() }),
    }
}

fn engine(id: &str, born: u64, version: &str) -> Backend {
    let row = wire::routing::Backend {
        id: Name::from(id),
        born,
        service: Name::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: Name::from("a"),
        version: Name::from(version),
        slots: 8,
        draining: false,
        warmup_ms: None,
    };
    let backend = Backend::new(&row, true);
    backend.set_service(Some(&service(12, 1)));
    backend
}

fn prompt() -> [Part; 3] {
    [(1, 500), (2, 300), (3, 20)].map(|(id, tokens)| Part { id, tokens })
}

fn held(part: u64, tokens: u32) -> Held {
    Held { part, tokens, model: 0 }
}

fn taken(scope: Scope, parts: &[Held]) -> Taken {
    Taken { scope, parts: parts.to_vec() }
}

/// Without the setting, or for engines without cache events, only what a host has sent itself counts,
/// for 30 seconds.
#[test]
fn off_counts_own_prompts_only() {
    let (on, off) = (Prefixes::new(Some(1_024)), Prefixes::new(None));
    let without_events = engine("e1", 0, "v1");
    without_events.set_service(Some(&service(0, 1)));
    for (prefixes, backend) in [(&on, without_events), (&off, engine("e2", 0, "v1"))] {
        let cached = |now| prefixes.cached_tokens(&backend, 0, &prompt(), now);
        prefixes.record_announced(&backend, 0, &prompt()[..2], NOW);
        assert_eq!(cached(NOW), 0.0);
        prefixes.record_sent(&backend, 0, &prompt(), NOW);
        assert_eq!(cached(NOW + 29_999), 820.0);
        assert_eq!(cached(NOW + 30_000), 0.0);
        assert!(prefixes.holders(backend.weights(0), &prompt(), NOW).is_empty());
        assert_eq!(prefixes.count(NOW), 0);
    }
}

/// Holders come with the longest leading prefix first; a part behind a gap does not count.
#[test]
fn holders_are_ranked_by_leading_tokens() {
    let prefixes = Prefixes::new(Some(1_024));
    let engines: Vec<Backend> = (0..6).map(|n| engine(&format!("e{n}"), 0, "v1")).collect();
    for (number, backend) in engines.iter().enumerate() {
        prefixes.record_announced(backend, 0, &prompt()[..1 + number % 2], NOW);
    }
    prefixes.record_sent(&engines[3], 0, &prompt(), NOW);
    let last = engine("behind a gap", 0, "v1");
    prefixes.record_taken(&last, &taken(Scope::Changes, &[held(2, 300)]), NOW);
    let holders = prefixes.holders(last.weights(0), &prompt(), NOW);
    assert_eq!(
        holders.iter().map(|holder| holder.tokens).collect::<Vec<_>>(),
        [820.0, 800.0, 800.0, 500.0]
    );
    assert_eq!(holders[0].backend, engines[3].start);
    assert_eq!(prefixes.cached_tokens(&last, 0, &prompt(), NOW), 0.0);
}

/// A restart under the same id, other weights and another model have nothing cached.
#[test]
fn restart_rollout_and_models_are_apart() {
    let prefixes = Prefixes::new(Some(1_024));
    let before = engine("e", 1, "v1");
    prefixes.record_sent(&before, 0, &prompt(), NOW);
    for other in [engine("e", 2, "v1"), engine("e", 1, "v2")] {
        assert_eq!(prefixes.cached_tokens(&other, 0, &prompt(), NOW), 0.0);
    }
    assert!(prefixes.holders(engine("e", 1, "v2").weights(0), &prompt(), NOW).is_empty());
    assert_eq!(prefixes.cached_tokens(&before, LARGE, &prompt(), NOW), 820.0, "its one model");
    before.set_service(Some(&service(12, 2)));
    assert_eq!(prefixes.cached_tokens(&before, LARGE, &prompt(), NOW), 0.0, "one of several");
}

/// Other hosts are told of shared parts alone, also of those that a listing no longer has; a new
/// epoch drops what was known.
#[test]
fn events_of_shared_parts_are_passed_on() {
    let prefixes = Prefixes::new(Some(1_024));
    let backend = engine("e", 0, "v1");
    let key = |part| backend.weights(0).key(part);
    prefixes.record_sent(&backend, 0, &prompt(), NOW);
    let events = taken(Scope::Changes, &[held(1, 500), held(2, 0), held(3, 20), held(9, 10)]);
    assert_eq!(prefixes.record_taken(&backend, &events, NOW), [(key(1), 500), (key(2), 0)]);
    assert_eq!(prefixes.cached_tokens(&backend, 0, &prompt(), NOW), 500.0);
    let list = taken(Scope::Whole, &[held(2, 300)]);
    assert_eq!(prefixes.record_taken(&backend, &list, NOW), [(key(2), 300), (key(1), 0)]);
    let other = Prefixes::new(Some(1_024));
    other.record_heard(backend.start, &[(key(1), 500), (key(2), 200)], 400, NOW);
    assert_eq!(other.cached_tokens(&backend, 0, &prompt(), NOW), 700.0, "a part kept in part");
    assert_eq!(other.shared_entries(9, NOW).len(), 2);
    other.record_taken(&backend, &taken(Scope::NewEpoch, &[]), NOW);
    assert_eq!(other.count(NOW), 0);
}

/// Guards against a host that announces parts at engines of other failure domains as its own, and
/// against far holders that displace those in the same failure domain.
#[test]
fn far_parts_are_announced_and_recorded_within_bounds() {
    let prefixes = Prefixes::new(Some(1_024));
    let (near, far) = (engine("near", 0, "v1"), engine("far", 0, "v1"));
    let key = near.weights(0).key(1);
    prefixes.record_far(&[FarPart(key, far.start, 500)], NOW);
    let known = |prefixes: &Prefixes| prefixes.holders(near.weights(0), &prompt()[..1], NOW).len();
    assert_eq!(known(&prefixes), 1);
    prefixes.record_announced(&near, 0, &prompt()[..1], NOW);
    prefixes.record_taken(&near, &taken(Scope::Changes, &[held(1, 500)]), NOW);
    assert_eq!(prefixes.take_outgoing(9), [], "this host announces nothing");
    let own = || [near.start].into_iter().collect();
    prefixes.set_announces_far(true, own, NOW);
    assert_eq!(prefixes.take_outgoing(9), [FarPart(key, near.start, 500)]);
    prefixes.set_announces_far(true, own, NOW);
    assert_eq!(prefixes.take_outgoing(9), [], "announced once");
    prefixes.record_far(&[FarPart(key, 99, 500)], NOW);
    assert_eq!(known(&prefixes), 2);
    prefixes.record_far(&[FarPart(key, far.start, 0)], NOW);
    assert_eq!(known(&prefixes), 1, "evictions always count");
}

/// Guards against messages of any content that take memory without bound, or after which more is
/// believed cached than a prompt has.
#[test]
fn heard_parts_of_any_content_are_bounded() {
    fuzz::check::<Vec<(u8, u64, u32, u64)>>(2_000, |items| {
        let prefixes = Prefixes::new(Some(64));
        let backend = engine("e", 0, "v1");
        prefixes.set_announces_far(true, std::collections::HashSet::new, NOW);
        for (part, start, tokens, age_ms) in items {
            let start = if start % 2 == 0 { backend.start } else { *start };
            let key = if part % 2 == 0 { backend.weights(0).key(1) } else { Key(u64::from(*part)) };
            prefixes.record_far(&[FarPart(key, start, *tokens)], NOW);
            prefixes.record_heard(start, &[(key, *tokens)], *age_ms, NOW);
            prefixes.forget(start, NOW - *age_ms);
        }
        assert!(prefixes.cached_tokens(&backend, 0, &prompt(), NOW) <= 820.0);
        assert!(prefixes.count(NOW) <= 16 * 8 * 2);
        assert!(prefixes.take_outgoing(usize::MAX).len() <= 512);
    });
}
