//! Accepts connections from callers and serves HTTP/1.1 requests on them.

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
use crate::connection::BUFFER_BYTES_MAX;
use crate::progress::{self, Progress, Watched};
use crate::state::State;

/// Memory of hyper's read buffer beyond the limit on header bytes, so that a caller slightly over the
/// limit gets a refusal with a body instead of hyper's bare status.
const HEADER_SLACK_BYTES: usize = 4 << 10;
/// Delay after a failed accept, for instance when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after the close signal in which connections waiting in the listener's backlog are still
/// accepted.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(50);

/// Answers the requests of callers.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. The returned future is dropped when the caller disconnects.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Answer>> + Send;

    /// Limits for a connection that is accepted now; they stay the same for its lifetime.
    fn bounds(&self) -> Bounds;

    /// Whether a new connection is accepted. Otherwise the connection is closed unread, and its
    /// caller connects again to another host.
    fn accepts_connection(&self) -> bool {
        true
    }

    /// The record of a new connection's write progress; `None` if it is not recorded. The requests
    /// of the connection have it as an extension.
    fn watch(&self) -> Option<Arc<Progress>> {
        None
    }
}

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Limit on the bytes of all headers of a request together.
    pub header_bytes: usize,
    /// Limit on the time from the end of one request to the end of the next request's headers.
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

/// Accepts connections until `close` is cancelled. Each connection then ends after the requests in
/// flight on it.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    state: Arc<H>,
    close: CancellationToken,
    connections: TaskTracker,
) {
    loop {
        tokio::select! {
            () = close.cancelled() => break,
            accepted = listener.accept() => handle(accepted, &state, &close, &connections).await,
        }
    }
    // One deadline for the whole backlog. With one per connection, callers that open a new
    // connection as soon as one closes would keep the port open until the process is killed with
    // their requests in flight.
    let deadline = tokio::time::Instant::now() + BACKLOG_TIMEOUT;
    while let Ok(accepted) = tokio::time::timeout_at(deadline, listener.accept()).await {
        handle(accepted, &state, &close, &connections).await;
    }
}

async fn handle<H: Handler>(
    accepted: std::io::Result<(TcpStream, std::net::SocketAddr)>,
    state: &Arc<H>,
    close: &CancellationToken,
    connections: &TaskTracker,
) {
    match accepted {
        // Dropping the stream closes the connection without reading from it.
        Ok(_) if !state.accepts_connection() => {
            metrics::counter!("callers_connections_closed_unread_total").increment(1);
        }
        Ok((stream, _)) => {
            connections.spawn(serve_connection(stream, Arc::clone(state), close.clone()));
        }
        Err(error) => {
            log::warn!("entry: can't accept a connection: {error}");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, state: Arc<H>, close: CancellationToken) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("entry: a caller's connection failed: {error}");
        return;
    }
    let bounds = state.bounds();
    let progress = state.watch();
    let watched = progress.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let state = Arc::clone(&state);
        if let Some(progress) = &watched {
            request.extensions_mut().insert(Arc::clone(progress));
        }
        async move { Ok::<_, Infallible>(state.handle(request).await) }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(bounds.idle)
            .max_buf_size((bounds.header_bytes + HEADER_SLACK_BYTES).max(BUFFER_BYTES_MAX))
            .serve_connection(TokioIo::new(Watched::new(stream, progress.clone())), service)
    );
    let mut cut = std::pin::pin!(progress::wait_until_cut(progress.as_deref()));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        // Dropping the connection closes it and frees what is held for it.
        () = cut.as_mut() => return,
        () = close.cancelled() => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection => ended,
                () = cut => return,
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("entry: a caller's connection failed: {error}");
    }
}
