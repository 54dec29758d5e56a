//! The process: what it listens on, what it runs, how it stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use entry::{callers, clock};
use gateway::forward::PeerHandler;
use gateway::shed::Shedder;
use gateway::state::Outbox;
use gateway::volume::BufferBudget;
use gateway::{Codec, State};
use metrics_exporter_prometheus::PrometheusHandle;
use policy::bootstrap::Bootstrap;
use policy::overload;
use policy::relay::Relay;
use policy::strength;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};
use wire::settings;

use crate::budget::Budget;
use crate::catalog::Catalog;
use crate::counts::Counts;
use crate::directory::Directory;
use crate::error::Error;
use crate::exchange::{self, Shelf};
use crate::follow::Follow;
use crate::helpers;
use crate::operators::{self, Subject};
use crate::peers::{Inbox, Peers};
use crate::poison::Poison;
use crate::rollout::Rollouts;
use crate::store::{List, Store};
use crate::watch::{self, Watch};

/// After the signal to stop new connections are still taken for a while: the balancer goes on
/// sending them until it has seen twice, a second apart, that the process is not ready.
const LINGER: Duration = Duration::from_millis(2_600);
/// Ports tried that are free for both UDP and TCP.
const PORT_TRIES: u32 = 16;
/// Notices that wait to be sent.
const NOTICES: usize = 8;
/// Prefills that wait to be announced.
const PREFILLS: usize = 64;
/// Limits of backend servers that wait to be sent.
const RESTRICTIONS: usize = 64;
/// Requests that wait for leave to be tried.
const TRIALS: usize = 16;
/// Kept of the time to stop, for the process's own end.
const RESERVE: Duration = Duration::from_millis(500);

/// Sockets that the process listens on.
pub struct Listeners {
    /// Callers come in here.
    pub callers: TcpListener,
    /// Readiness and metrics.
    pub operators: TcpListener,
    /// Metrics on an address of their own.
    pub metrics: Option<TcpListener>,
    /// Messages of the other hosts of the failure domain, and their questions for news.
    pub peers: Option<(UdpSocket, TcpListener)>,
    /// Requests that other hosts pass on.
    pub forward: Option<TcpListener>,
}

impl Listeners {
    /// Opens them; port 0 lets the system choose.
    ///
    /// # Errors
    /// [`Error::Listen`].
    pub async fn bind(settings: &settings::Node) -> Result<Self, Error> {
        let metrics = match settings.metrics {
            Some(address) => Some(bind(address).await?),
            None => None,
        };
        let peers = match settings.peers {
            Some(address) => Some(bind_both(address).await?),
            None => None,
        };
        let forward = match settings.forward {
            Some(address) => Some(bind(address).await?),
            None => None,
        };
        let callers = bind(settings.listen).await?;
        Ok(Self { callers, operators: bind(settings.operators).await?, metrics, peers, forward })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

/// The same port by UDP and by TCP.
async fn bind_both(address: SocketAddr) -> Result<(UdpSocket, TcpListener), Error> {
    let mut tries = if address.port() == 0 { PORT_TRIES } else { 1 };
    loop {
        tries -= 1;
        let listener = bind(address).await?;
        let bound = listener.local_addr().map_err(|error| Error::Listen(address, error))?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((socket, listener)),
            // A port chosen by the system for the one may be taken for the other.
            Err(_) if tries > 0 => {}
            Err(error) => return Err(Error::Listen(bound, error)),
        }
    }
}

/// Runs until `stop`, then shuts down without cutting off a request that can still end in time.
///
/// New settings that come while it runs take effect where they can: how often requests may be sent
/// again. The others are logged and need a restart.
pub async fn run<S: Store, C: Codec>(
    settings: settings::Node,
    mut changes: mpsc::UnboundedReceiver<settings::Node>,
    listeners: Listeners,
    (store, codec): (S, C),
    metrics: PrometheusHandle,
    stop: CancellationToken,
) {
    let (prefills, announced) = mpsc::channel(PREFILLS);
    let (restrictions, restricted) = mpsc::channel(RESTRICTIONS);
    let (trials, asked) = mpsc::channel(TRIALS);
    let outbox = Outbox { prefills, restrictions, trials };
    let budget = Budget::new(&settings);
    let settings::Resources { descriptors, memory_mb, .. } = settings.resources;
    let memory = memory_mb.map(|megabytes| megabytes << 20);
    let shed = Shedder::new(overload::connections_max(descriptors, memory));
    let state = State::new(codec, budget.allowance(), outbox, stop.clone());
    let state = Arc::new(State { shed, buffers: BufferBudget::new(memory), ..state });
    let catalog = Catalog::new(settings.failure_domain.clone());
    let catalog = Arc::new(catalog.exposing(settings.exposure_share));
    let (orders, ordered) = mpsc::unbounded_channel();
    let (notifier, notices) = mpsc::channel(NOTICES);
    let (changes_within, now) = (watch::bounds(&settings), clock::steady());
    let bootstrap = if settings.first_start { Bootstrap::first(now) } else { Bootstrap::new(now) };
    let class = strength::class(settings.resources.core_share, settings.resources.link_mbps);
    let relay = |list: List| {
        let relay = Relay::new(changes_within, &settings.name, list.name(), bootstrap);
        relay.with_class(&settings.name, class)
    };
    let follow = |list| Follow::new(list, relay(list));
    let watch = Arc::new(Watch {
        store: Arc::new(store),
        catalog: Arc::clone(&catalog),
        state: Arc::clone(&state),
        orders,
        follows: Arc::new(List::ALL.map(follow)),
        notifier,
        counts: Counts::default(),
        fresh: AtomicU64::new(0),
        era: tokio::sync::watch::Sender::new(None),
        directory: Directory::default(),
        shelf: Shelf::default(),
        budget,
        host: settings.name.clone(),
        class,
        link_mbps: settings.resources.link_mbps,
    });
    let rollouts = Rollouts {
        host: settings.name.clone(),
        failure_domain: settings.failure_domain.clone(),
        watch: Arc::clone(&watch),
    };
    let poison = Poison { host: settings.name.clone(), watch: Arc::clone(&watch) };
    let follows = Arc::clone(&watch.follows);
    let subject = Arc::new(Subject { state: Arc::clone(&state), catalog, follows, metrics });
    let mut background = vec![
        spawn(Arc::clone(&watch).run(List::Operators)),
        spawn(Arc::clone(&watch).run(List::Backends)),
        spawn(Arc::clone(&watch).settle()),
        spawn(Arc::new(rollouts).run(ordered)),
        spawn(Arc::new(poison).run(asked, settings.first_start)),
        spawn(Arc::clone(&state).probe_while_isolated()),
        spawn(helpers::find(settings.clone(), Arc::clone(&watch))),
        spawn(operators::serve(listeners.operators, Arc::clone(&subject))),
    ];
    if let Some(standing_ms) = settings.standing_delay_ms {
        background.push(spawn(Arc::clone(&state).follow_delay(standing_ms)));
    }
    if let Some(listener) = listeners.metrics {
        background.push(spawn(operators::serve(listener, subject)));
    }
    if let Some((socket, listener)) = listeners.peers {
        let peers = Peers {
            host: settings.name.clone(),
            failure_domain: settings.failure_domain.clone(),
            failure_domains: settings.failure_domains.len(),
            is_first_start: settings.first_start,
            watch: Arc::clone(&watch),
            state: Arc::clone(&state),
            socket,
            forward: port(listeners.forward.as_ref()),
        };
        let inbox = Inbox { prefills: announced, restrictions: restricted, notices };
        background.push(spawn(peers.run(inbox)));
        background.push(spawn(exchange::serve(
            listener,
            Arc::clone(&watch),
            watch.shelf.clone(),
            class,
        )));
    }
    let close = CancellationToken::new();
    let connections = state.shed.connections.clone();
    let accepts =
        callers::serve(listeners.callers, Arc::clone(&state), close.clone(), connections.clone());
    let accepts = spawn(accepts);
    let forwards = listeners.forward.map(|listener| {
        let port = Arc::new(PeerHandler(Arc::clone(&state)));
        spawn(callers::serve(listener, port, close.clone(), connections.clone()))
    });
    log::info!(target: "process", domain:% = settings.failure_domain, listen:% = settings.listen,
        platform:% = settings.platform; "started");
    let mut current = settings;
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(changed) = changes.recv() => current = reload(&watch, current, changed),
        }
    }
    let deadline = Instant::now() + Duration::from_millis(current.drain_ms).saturating_sub(RESERVE);
    log::info!(target: "process", connections = connections.len(),
        requests = state.in_flight.load(std::sync::atomic::Ordering::Relaxed); "stopping, not ready");
    tokio::time::sleep_until(deadline.min(Instant::now() + LINGER)).await;
    close.cancel();
    drop(accepts.await);
    if let Some(forwards) = forwards {
        drop(forwards.await);
    }
    finish(&state, &connections, deadline).await;
    drop(background);
}

/// The port that a listener has; 0 without one.
fn port(listener: Option<&TcpListener>) -> u16 {
    let address = listener.and_then(|listener| listener.local_addr().ok());
    address.map_or(0, |address| address.port())
}

fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(task))
}

fn reload<S: Store, C: Codec>(
    watch: &Watch<S, C>,
    current: settings::Node,
    changed: settings::Node,
) -> settings::Node {
    watch.budget.set(&changed);
    watch.state.allowance.store(Arc::new(watch.budget.allowance()));
    let same = settings::Node {
        repeats: current.repeats.clone(),
        failure_domains: current.failure_domains.clone(),
        drain_ms: current.drain_ms,
        log: current.log.clone(),
        first_start: current.first_start,
        ..changed.clone()
    };
    let needs_restart = same != current;
    log::info!(target: "process", needs_restart, drain_ms = changed.drain_ms;
        "settings read again");
    changed
}

async fn finish<C>(state: &State<C>, connections: &TaskTracker, deadline: Instant) {
    connections.close();
    state.relays.close();
    let ended = async {
        connections.wait().await;
        state.relays.wait().await;
    };
    match tokio::time::timeout_at(deadline, ended).await {
        Ok(()) => log::info!(target: "process", "stopped, nothing cut off"),
        Err(_) => log::warn!(target: "process", connections = connections.len(),
            streams = state.relays.len(); "stopped, the time was over"),
    }
}
