//! Backend servers of a service while its version changes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use gateway::backend::Backend;
use gateway::pool::{Pool, Rollout};
use policy::canary::Stage;
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
    };
    Arc::new(Backend::new(&row, true))
}

fn pool(stage: Stage, halted: bool) -> Pool {
    let rollout = Rollout {
        target: Name::from("v2"),
        stage,
        began: Millis(0),
        within_ms: WITHIN_MS,
        halted: Arc::new(AtomicBool::new(halted)),
    };
    Pool {
        base: Name::from("v1"),
        backends: vec![backend("old", "v1"), backend("new", "v2")],
        rollout: Some(rollout),
    }
}

fn at(part: f64) -> Millis {
    Millis((part * WITHIN_MS as f64) as u64)
}

/// Streams cut when old servers stop, on a host that has not yet heard of the roll-out's success,
/// used up their tries at other stopped servers.
#[test]
fn keeps_not_the_old_version_once_the_new_one_has_all() {
    let pool = pool(Stage::Moving, false);
    assert!(pool.keeps(&Name::from("v1"), at(0.9)));
    assert!(!pool.keeps(&Name::from("v1"), at(0.96)));
    assert!(pool.keeps(&Name::from("v2"), at(0.96)));
}

#[test]
fn keeps_the_old_version_if_the_new_one_is_halted_or_stopped() {
    assert!(pool(Stage::Moving, true).keeps(&Name::from("v1"), at(0.96)));
    assert!(pool(Stage::Stopped, false).keeps(&Name::from("v1"), at(0.96)));
    let halted = pool(Stage::Moving, false);
    halted.rollout.as_ref().unwrap().halted.store(true, Ordering::Relaxed);
    assert!(halted.keeps(&Name::from("v1"), at(0.96)));
}
