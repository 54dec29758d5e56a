//! Callers' connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer::Answer;
use crate::chain;
use crate::state::State;

/// hyper's own buffer is this much larger than the bound on headers, so that a caller a little
/// over the bound gets a refusal with a body instead of hyper's bare status.
const BUFFER_FACTOR: usize = 4;
/// Pause after a failed accept, as when the process is out of file descriptors.
const PAUSE: Duration = Duration::from_millis(50);
/// Connections that were made before the listener closes are still taken, for this long.
const BACKLOG: Duration = Duration::from_millis(50);

/// What answers callers' requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. Dropped when its caller leaves.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Answer>> + Send;

    /// Bounds for a connection that begins now.
    fn bounds(&self) -> Bounds;

    /// Whether a new connection is taken; it is closed unread if not, and its caller comes back at
    /// another host.
    fn takes_connection(&self) -> bool {
        true
    }
}

/// Bounds on one connection.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bytes of all headers of a request.
    pub header_bytes: usize,
    /// Longest time from the end of one request to the end of the next one's headers.
    pub idle: Duration,
}

impl Handler for State {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Answer> {
        chain::handle(self, request).await
    }

    fn bounds(&self) -> Bounds {
        let bounds = &self.settings.bounds;
        let idle = Duration::from_millis(bounds.slow_ms);
        Bounds { header_bytes: bounds.header_bytes, idle }
    }
}

/// Accepts until `close`; each connection then ends after the requests under way on it.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    state: Arc<H>,
    close: CancellationToken,
    connections: TaskTracker,
) {
    loop {
        tokio::select! {
            () = close.cancelled() => break,
            accepted = listener.accept() => take(accepted, &state, &close, &connections).await,
        }
    }
    // One time for all of them. Callers that open a new connection as soon as one closes would
    // otherwise keep the port open until the process is ended with their requests under way.
    let until = tokio::time::Instant::now() + BACKLOG;
    while let Ok(accepted) = tokio::time::timeout_at(until, listener.accept()).await {
        take(accepted, &state, &close, &connections).await;
    }
}

async fn take<H: Handler>(
    accepted: std::io::Result<(TcpStream, std::net::SocketAddr)>,
    state: &Arc<H>,
    close: &CancellationToken,
    connections: &TaskTracker,
) {
    match accepted {
        // Dropped unread.
        Ok(_) if !state.takes_connection() => {
            metrics::counter!("callers_connections_closed_unread_total").increment(1);
        }
        Ok((stream, _)) => {
            connections.spawn(connection(stream, Arc::clone(state), close.clone()));
        }
        Err(error) => {
            log::warn!("entry: accept: {error}");
            tokio::time::sleep(PAUSE).await;
        }
    }
}

async fn connection<H: Handler>(stream: TcpStream, state: Arc<H>, close: CancellationToken) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("entry: a caller's connection: {error}");
        return;
    }
    let bounds = state.bounds();
    let service = service_fn(move |request| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(state.handle(request).await) }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(bounds.idle)
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
