//! The `control` process: binds, starts all controllers, serves, stops gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::peer::Key;
use wire::settings;

use crate::node::{self, Node};
use crate::peers::{Peers, Source};
use crate::process::Process;
use crate::store::Client;
use crate::{operators, server};

/// How long handing over may take before the process goes without.
const HAND_OVER: Duration = Duration::from_secs(10);

/// Why the process can't run.
#[derive(Debug)]
pub enum Error {
    /// An address can't be bound, or asked for.
    Listen(SocketAddr, std::io::Error),
    /// The shared key can't be read.
    Key(String),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "{address}: {error}"),
            Self::Key(why) => write!(f, "peer_key: {why}"),
        }
    }
}

/// Both ports, bound.
pub struct Listeners {
    /// For entries and peers.
    pub peers: TcpListener,
    /// For operators.
    pub operators: TcpListener,
}

impl Listeners {
    /// Binds both.
    ///
    /// # Errors
    /// When an address is taken or not ours.
    pub async fn bind(settings: &settings::Control) -> Result<Self, Error> {
        Ok(Self { peers: bind(settings.listen).await?, operators: bind(settings.operators).await? })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

/// Runs until asked to stop, then hands over and returns.
///
/// # Errors
/// When it can't start.
pub async fn run(
    settings: settings::Control,
    listeners: Listeners,
    metrics: PrometheusHandle,
    stop: CancellationToken,
) -> Result<(), Error> {
    let key = Key::new(settings.peer_key.load().map_err(Error::Key)?);
    let process = Process::new(node(settings, &listeners, &key)?, metrics);
    let tasks = TaskTracker::new();
    // Peers are served until the hand-over is done: they must take over from one who answers.
    let serving = CancellationToken::new();
    tasks.spawn(server::serve(
        listeners.peers,
        key,
        process.clone(),
        tasks.clone(),
        serving.clone(),
    ));
    tasks.spawn(operators::serve(
        listeners.operators,
        process.clone(),
        tasks.clone(),
        serving.clone(),
    ));
    process.run(&tasks, &serving);
    stop.cancelled().await;
    info!("control: handing over");
    let hand_over = futures::future::join(process.shards.hand_over(), process.ledger.hand_over());
    if tokio::time::timeout(HAND_OVER, hand_over).await.is_err() {
        log::warn!("control: not all was handed over");
    }
    serving.cancel();
    tasks.close();
    tasks.wait().await;
    info!("control: stopped");
    Ok(())
}

fn node(settings: settings::Control, listeners: &Listeners, key: &Key) -> Result<Arc<Node>, Error> {
    let bound =
        listeners.peers.local_addr().map_err(|error| Error::Listen(settings.listen, error))?;
    let peers = Arc::new(Peers::new(settings.name.clone(), key.clone()));
    for peer in &settings.peers {
        peers.learn(Source::Settings, &peer.name, &peer.failure_domain, peer.address);
    }
    Ok(Arc::new(Node {
        incarnation: node::incarnation(&settings.name),
        store: Client::new(settings.platform),
        address: settings.advertise.unwrap_or(bound),
        peers,
        settings,
    }))
}
