//! What the tests of entry share: a control that does as it is told, and a bench round it.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod bench;
pub mod control;

use std::time::Duration;

/// Waits until a condition holds; fails with what it waited for after a long while.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let waits = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), waits).await;
    assert!(waited.is_ok(), "waited in vain: {what}");
}

/// The same with a condition that takes steps of its own.
pub async fn until_async(what: &str, holds: impl AsyncFn() -> bool) {
    let waits = async { while !holds().await {} };
    let waited = tokio::time::timeout(Duration::from_secs(20), waits).await;
    assert!(waited.is_ok(), "waited in vain: {what}");
}
