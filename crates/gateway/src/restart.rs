//! Tasks that go on after a panic.

use std::time::Duration;

/// Runs a task until it ends. After a panic it is started again, `delay` later.
pub async fn until_done<F>(delay: Duration, mut task: impl FnMut() -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    while let Err(error) = tokio::spawn(task()).await {
        if !error.is_panic() {
            return;
        }
        log::error!(target: "route", error:% = error; "task panicked, starting it again");
        tokio::time::sleep(delay).await;
    }
}
