//! The process: what it listens on, what it runs, how it stops.

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

/// After the stop new connections are still taken for a while: the balancer goes on sending
/// them until it has seen that the process is not ready.
const LINGER: Duration = Duration::from_millis(1_000);
/// Time for the last bills after the last answer, also if the drain took all of its own.
const BILLS: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(10);

/// Sockets that the process listens on.
pub struct Listeners {
    /// Callers come in here.
    pub callers: TcpListener,
    /// Health and metrics.
    pub operators: TcpListener,
}

impl Listeners {
    /// Opens them; port 0 lets the system choose.
    ///
    /// # Errors
    /// [`Error::Listen`].
    pub async fn bind(settings: &settings::Entry) -> Result<Self, Error> {
        let callers = bind(settings.listen).await?;
        let operators = bind(settings.operators).await?;
        Ok(Self { callers, operators })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

/// Runs until `stop`, then shuts down without cutting off a request.
///
/// # Errors
/// [`Error`]; [`Error::BillsLeft`] if no control took the last bills.
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
    log::info!("entry: shuts down: not ready, {} connections", connections.len());
    let deadline = Instant::now() + drain;
    tokio::time::sleep(LINGER.min(drain)).await;
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
        log::warn!("entry: {} connections are cut off after drain_ms", connections.len());
    }
    state.relays.close();
    drop(tokio::time::timeout_at(deadline.max(Instant::now() + PAUSE), state.relays.wait()).await);
    let deadline = deadline.max(Instant::now() + BILLS);
    while state.bills.pending() > 0 && Instant::now() < deadline {
        tokio::time::sleep(PAUSE).await;
    }
    match state.bills.pending() {
        0 => Ok(()),
        left => Err(Error::BillsLeft(left)),
    }
}
