//! Tasks that go on after a panic.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use gateway::restart;

/// Guards against requests that wait until their deadline because the task that admits them is gone.
#[tokio::test]
async fn task_goes_on_after_a_panic() {
    let starts = Arc::new(AtomicU32::new(0));
    let task = || {
        let start = starts.fetch_add(1, Ordering::Relaxed);
        async move { assert!(start > 0, "the first start panics") }
    };
    restart::until_done(Duration::from_millis(1), task).await;
    assert_eq!(starts.load(Ordering::Relaxed), 2);
}
