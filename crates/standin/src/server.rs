//! The HTTP server of all stand-ins, except the proxy: its connections can be cut, and its port can
//! be closed and opened again.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::port::Port;

/// Interval between attempts to listen again on a port that was closed for a while.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Connections that may wait to be accepted. The 128 of the standard library overflow when hundreds
/// of streams break in one moment, and the kernel then delays a connection by a second.
const QUEUED_CONNECTIONS_MAX: u32 = 4_096;

/// Body of an answer. An error in the body breaks the connection visibly.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// Instead of an answer or its next bytes: the connection has to be broken here.
#[derive(Clone, Copy, Debug)]
pub struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut by a fault")
    }
}

impl std::error::Error for Cut {}

/// Answers the requests of a stand-in.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request, or has its connection cut. The future is dropped when the caller goes
    /// away.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, Cut>> + Send;
}

/// Whether the server's port is open.
#[derive(Clone, Copy, PartialEq)]
enum Gate {
    Open,
    /// The port is closed until it is opened again.
    Closed,
    /// The port is closed for good.
    Stopped,
}

/// A running stand-in. Dropping it stops its server.
pub struct Running<H> {
    /// Address that the server listens on.
    pub address: SocketAddr,
    handler: Arc<H>,
    gate: watch::Sender<Gate>,
    /// Kept for as long as the stand-in can be told to listen again, or is meant to refuse.
    _port: Arc<Port>,
}

impl<H> Deref for Running<H> {
    type Target = H;

    fn deref(&self) -> &H {
        &self.handler
    }
}

impl<H> Running<H> {
    /// The stand-in's state, which can be read after the server has stopped.
    #[must_use]
    pub fn state(&self) -> Arc<H> {
        Arc::clone(&self.handler)
    }

    /// Cuts all connections and refuses new ones until [`Running::open`].
    pub fn close(&self) {
        self.gate.send_replace(Gate::Closed);
    }

    /// Listens again on the same address after [`Running::close`].
    pub fn open(&self) {
        self.gate.send_replace(Gate::Open);
    }

    /// Cuts all connections and refuses new ones for good.
    pub fn stop(&self) {
        self.gate.send_replace(Gate::Stopped);
    }

    /// Waits until [`Running::stop`] has taken effect.
    pub async fn stopped(&self) {
        self.gate.closed().await;
    }
}

impl<H> Drop for Running<H> {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts a stand-in's server on the current runtime.
///
/// # Errors
/// When the address can't be listened on.
pub fn start<H: Handler>(listen: SocketAddr, handler: H) -> io::Result<Running<H>> {
    let port = Arc::new(Port::reserve(listen)?);
    let listener = port.listen(QUEUED_CONNECTIONS_MAX)?;
    let address = port.address;
    let handler = Arc::new(handler);
    let (gate, watching) = watch::channel(Gate::Open);
    tokio::spawn(accept(listener, Arc::clone(&port), Arc::clone(&handler), watching));
    Ok(Running { address, handler, gate, _port: port })
}

async fn accept<H: Handler>(
    listener: TcpListener,
    port: Arc<Port>,
    handler: Arc<H>,
    mut gate: watch::Receiver<Gate>,
) {
    let mut listening = Some(listener);
    // Dropping `serving` cuts all connections. That comes after the port is closed, so that a
    // caller whose connection breaks finds the port closed, as after the end of a process.
    let (mut serving, _) = watch::channel(());
    loop {
        let state = *gate.borrow_and_update();
        match (state, listening.take()) {
            (Gate::Stopped, listener) => {
                drop(listener);
                return;
            }
            (Gate::Closed, listener) => {
                // Dropped explicitly: otherwise the matched value would keep the listener until the
                // gate opens, and new connections would hang instead of being refused.
                drop(listener);
                (serving, _) = watch::channel(());
                if gate.changed().await.is_err() {
                    return;
                }
            }
            (Gate::Open, None) => match port.listen(QUEUED_CONNECTIONS_MAX) {
                Ok(listener) => listening = Some(listener),
                Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
            },
            (Gate::Open, Some(listener)) => {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => {
                            tokio::spawn(connection(stream, Arc::clone(&handler), serving.subscribe()));
                        }
                        Err(error) => log::warn!("standin: can't accept a connection: {error}"),
                    },
                    changed = gate.changed() => if changed.is_err() {
                        return;
                    },
                }
                listening = Some(listener);
            }
        }
    }
}

async fn connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    mut served: watch::Receiver<()>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| Arc::clone(&handler).handle(request));
    let serving =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = serving => {}
        _ = served.changed() => {}
    }
}
