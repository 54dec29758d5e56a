//! Accepting connections, for whichever port.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Out of file descriptors, most likely; without a pause the loop would spin.
const FAILED: Duration = Duration::from_millis(50);

/// Accepts until asked to stop, and serves each connection in a task of its own.
pub async fn each<F>(
    listener: TcpListener,
    tasks: TaskTracker,
    stop: CancellationToken,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => drop(tasks.spawn(serve(stream))),
            Err(error) => {
                log::warn!("control: accept: {error}");
                tokio::time::sleep(FAILED).await;
            }
        }
    }
}
