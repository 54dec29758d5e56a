//! Start, background tasks and shutdown of an entry process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};
use wire::peer::Key;
use wire::settings;

use crate::error::Error;
use crate::filter::admit;
use crate::state::State;
use crate::{bills, callers, feed, loads, operators, reports};

/// Time after the stop signal in which new connections are still accepted: the load balancer sends
/// them until it has seen that the process is not ready.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(1_000);
/// Shortest time left for the last bills after the last answer, even if the drain used up its own
/// time.
const BILLS_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval of the checks whether all bills are confirmed, and the shortest wait for relays.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Sockets that the process listens on.
pub struct Listeners {
    /// Socket for the requests of callers.
    pub callers: TcpListener,
    /// Socket for the HTTP interface with health and metrics.
    pub operators: TcpListener,
}

impl Listeners {
    /// Opens both sockets; with port 0 the operating system chooses a port.
    ///
    /// # Errors
    /// [`Error::Listen`] if an address can't be bound.
    pub async fn bind(settings: &settings::Entry) -> Result<Self, Error> {
        let callers = bind(settings.listen).await?;
        let operators = bind(settings.operators).await?;
        Ok(Self { callers, operators })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

/// Runs until `stop` is cancelled, then shuts down. Requests in flight may finish within
/// `drain_ms`.
///
/// # Errors
/// [`Error::PeerKey`] at the start; [`Error::BillsLeft`] if no control accepted the last bills.
pub async fn run(
    settings: settings::Entry,
    listeners: Listeners,
    metrics: PrometheusHandle,
    stop: CancellationToken,
) -> Result<(), Error> {
    let key = Key::new(settings.peer_key.load().map_err(Error::PeerKey)?);
    let drain = Duration::from_millis(settings.drain_ms);
    let state = Arc::new(State::new(settings, &key, stop.clone()));
    let close = CancellationToken::new();
    let connections = TaskTracker::new();
    bills::start(&state);
    let _background = [
        spawn(feed::run(Arc::clone(&state))),
        spawn(loads::run(Arc::clone(&state))),
        spawn(admit::tick(Arc::clone(&state))),
        spawn(reports::run(Arc::clone(&state))),
        spawn(operators::serve(listeners.operators, Arc::clone(&state), metrics)),
    ];
    let accepts =
        callers::serve(listeners.callers, Arc::clone(&state), close.clone(), connections.clone());
    let accepts = spawn(accepts);
    stop.cancelled().await;
    log::info!("entry: shutting down; no longer ready, {} connections open", connections.len());
    let deadline = Instant::now() + drain;
    tokio::time::sleep(ACCEPT_AFTER_STOP.min(drain)).await;
    close.cancel();
    drop(accepts.await);
    finish(&state, &connections, deadline).await
}

fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(task))
}

async fn finish(state: &State, connections: &TaskTracker, deadline: Instant) -> Result<(), Error> {
    connections.close();
    if tokio::time::timeout_at(deadline, connections.wait()).await.is_err() {
        log::warn!("entry: drain_ms is over; {} connections are cut off", connections.len());
    }
    state.relays.close();
    drop(
        tokio::time::timeout_at(deadline.max(Instant::now() + CHECK_INTERVAL), state.relays.wait())
            .await,
    );
    let deadline = deadline.max(Instant::now() + BILLS_TIMEOUT);
    while state.bills.pending() > 0 && Instant::now() < deadline {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    match state.bills.pending() {
        0 => Ok(()),
        left => Err(Error::BillsLeft(left)),
    }
}
