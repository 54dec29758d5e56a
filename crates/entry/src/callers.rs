//! Callers' connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::chain;
use crate::state::State;

/// hyper's own buffer is this much larger than the bound on headers, so that a caller a little
/// over the bound gets a refusal with a body instead of hyper's bare status.
const BUFFER_FACTOR: usize = 4;
/// Pause after a failed accept, as when the process is out of file descriptors.
const PAUSE: Duration = Duration::from_millis(50);
/// Connections that were made before the listener closes are still taken, for this long.
const BACKLOG: Duration = Duration::from_millis(50);

/// Accepts until `close`; each connection then ends after the requests under way on it.
pub async fn serve(
    listener: TcpListener,
    state: Arc<State>,
    close: CancellationToken,
    connections: TaskTracker,
) {
    loop {
        tokio::select! {
            () = close.cancelled() => break,
            accepted = listener.accept() => take(accepted, &state, &close, &connections).await,
        }
    }
    while let Ok(accepted) = tokio::time::timeout(BACKLOG, listener.accept()).await {
        take(accepted, &state, &close, &connections).await;
    }
}

async fn take(
    accepted: std::io::Result<(TcpStream, std::net::SocketAddr)>,
    state: &Arc<State>,
    close: &CancellationToken,
    connections: &TaskTracker,
) {
    match accepted {
        Ok((stream, _)) => {
            connections.spawn(connection(stream, Arc::clone(state), close.clone()));
        }
        Err(error) => {
            log::warn!("entry: accept: {error}");
            tokio::time::sleep(PAUSE).await;
        }
    }
}

async fn connection(stream: TcpStream, state: Arc<State>, close: CancellationToken) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("entry: a caller's connection: {error}");
        return;
    }
    let bounds = state.settings.bounds.clone();
    let service = service_fn(move |request| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(chain::handle(state, request).await) }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(bounds.slow_ms))
            .max_buf_size((bounds.header_bytes * BUFFER_FACTOR).max(64 << 10))
            .serve_connection(TokioIo::new(stream), service)
    );
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = close.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("entry: a caller's connection: {error}");
    }
}
