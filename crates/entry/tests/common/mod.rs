//! Helpers shared by the tests of entry: a stand-in control, and a bench with the process under
//! test and its servers.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod bench;
pub mod control;

use std::time::Duration;

/// Waits until a condition holds; after 20 s it fails with the text `what`.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let waits = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), waits).await;
    assert!(waited.is_ok(), "not within 20 s: {what}");
}

/// Like [`until`], for an asynchronous condition, which also sets the interval of the checks.
pub async fn until_async(what: &str, holds: impl AsyncFn() -> bool) {
    let waits = async { while !holds().await {} };
    let waited = tokio::time::timeout(Duration::from_secs(20), waits).await;
    assert!(waited.is_ok(), "not within 20 s: {what}");
}
