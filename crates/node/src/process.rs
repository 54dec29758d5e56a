//! Starts and stops the parts of the process, and opens its sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use entry::{callers, clock};
use gateway::admission::Admission;
use gateway::forward::PeerHandler;
use gateway::moves::{self, Moves};
use gateway::prefixes::Prefixes;
use gateway::shed::Shedder;
use gateway::state::{Grace, Outbox};
use gateway::volume::BufferBudget;
use gateway::{Codec, State};
use metrics_exporter_prometheus::PrometheusHandle;
use policy::bootstrap::Bootstrap;
use policy::grace;
use policy::overload;
use policy::relay::Relay;
use policy::strength;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};
use wire::settings;

use crate::budget::Budget;
use crate::caches::{self, Caches};
use crate::catalog::Catalog;
use crate::counts::Counts;
use crate::directory::Directory;
use crate::error::Error;
use crate::exchange::{self, Cache};
use crate::far;
use crate::follow::Follower;
use crate::helpers;
use crate::operators::{self, Context};
use crate::peers::{Peers, Queues};
use crate::poison::Poison;
use crate::rollout::Rollouts;
use crate::store::{List, Store};
use crate::watch::{self, Watch};

/// How long new connections are accepted after the signal to stop. The load balancer goes on
/// sending them until two checks, a second apart, have found the process not ready.
const CLOSE_DELAY: Duration = Duration::from_millis(2_600);
/// Ports that are tried to find one that is free for both UDP and TCP.
const BIND_TRIES_MAX: u32 = 16;
/// Send buffer of callers' connections in the kernel, if the host's memory for requests is bounded.
/// A caller within the region that reads takes more per second than the host's link carries.
const SEND_BUFFER_BYTES: u32 = 32 << 10;
/// Connections that wait to be accepted, the same number as [`TcpListener::bind`] sets.
const BACKLOG_MAX: u32 = 1_024;
/// Longest queue of notices to peers.
const NOTICE_QUEUE_MAX: usize = 8;
/// Longest queue of prefills to be announced to peers.
const PREFILL_QUEUE_MAX: usize = 64;
/// Longest queue of notices of engines' caches to be sent to peers.
const CACHE_QUEUE_MAX: usize = 64;
/// Longest queue of backend servers' limits to be sent to peers.
const RESTRICTION_QUEUE_MAX: usize = 64;
/// Longest queue of load reports to be announced to peers.
const LOAD_QUEUE_MAX: usize = 64;
/// Longest queue of suspect requests that wait for permission to be tried.
const TRIAL_QUEUE_MAX: usize = 16;
/// Part of the drain time that is left for the process itself to end.
const STOP_RESERVE: Duration = Duration::from_millis(500);

/// Open sockets of the process.
pub struct Listeners {
    /// Connections of client accounts.
    pub callers: TcpListener,
    /// Readiness, metrics and status.
    pub operators: TcpListener,
    /// The same as `operators` on another address; `None` if the settings have no such address.
    pub metrics: Option<TcpListener>,
    /// Messages of peers by UDP, and their calls for updates of lists by TCP; `None` if the
    /// settings have no address for peers.
    pub peers: Option<(UdpSocket, TcpListener)>,
    /// Requests that other hosts forward because they reach no backend server; `None` if this host
    /// takes none.
    pub forward: Option<TcpListener>,
}

impl Listeners {
    /// Opens the sockets; for port 0 the system chooses a port.
    ///
    /// # Errors
    /// [`Error::Listen`] for the first address that can't be opened.
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
        let callers = match settings.held_bytes {
            Some(_) => bind_bounded(settings.listen),
            None => bind(settings.listen).await,
        }?;
        Ok(Self { callers, operators: bind(settings.operators).await?, metrics, peers, forward })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

/// Opens a TCP socket whose connections have a small send buffer.
///
/// The kernel's buffers are beside what the host counts as held. Without a limit, the kernel lets
/// them grow to megabytes for each caller that does not read.
fn bind_bounded(address: SocketAddr) -> Result<TcpListener, Error> {
    let open = || {
        let socket = match address.is_ipv4() {
            true => TcpSocket::new_v4()?,
            false => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
        socket.bind(address)?;
        socket.listen(BACKLOG_MAX)
    };
    open().map_err(|error| Error::Listen(address, error))
}

/// Opens a UDP and a TCP socket on the same port.
async fn bind_both(address: SocketAddr) -> Result<(UdpSocket, TcpListener), Error> {
    let mut tries = if address.port() == 0 { BIND_TRIES_MAX } else { 1 };
    loop {
        tries -= 1;
        let listener = bind(address).await?;
        let bound = listener.local_addr().map_err(|error| Error::Listen(address, error))?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((socket, listener)),
            // The system chose a port that is free for TCP, but taken for UDP.
            Err(_) if tries > 0 => {}
            Err(error) => return Err(Error::Listen(bound, error)),
        }
    }
}

/// Runs until `stop` is cancelled, then shuts down without cutting off requests that can still end
/// in the drain time.
///
/// Settings that arrive through `changes` take effect where they can: the retry budget, the
/// share of hedged requests, the drain time, what placement weighs and which copies of streams are
/// made. Other changes are logged as needing a restart.
pub async fn run<S: Store, C: Codec, E: caches::Engines + moves::Engines + Clone>(
    settings: settings::Node,
    mut changes: mpsc::UnboundedReceiver<settings::Node>,
    listeners: Listeners,
    (store, codec, engines): (S, C, E),
    metrics: PrometheusHandle,
    stop: CancellationToken,
) {
    let (prefills, prefill_queue) = mpsc::channel(PREFILL_QUEUE_MAX);
    let (restrictions, restriction_queue) = mpsc::channel(RESTRICTION_QUEUE_MAX);
    let (trials, trial_queue) = mpsc::channel(TRIAL_QUEUE_MAX);
    let (loads, load_queue) = mpsc::channel(LOAD_QUEUE_MAX);
    let outbox = Outbox { prefills, restrictions, loads, trials };
    let budget = Budget::new(&settings);
    let memory = settings.resources.memory_bytes();
    let shed = Shedder::new(overload::connections_max(settings.resources.descriptors, memory));
    let state = State::new(codec, budget.allowance(), outbox, stop.clone());
    let waiting_max = settings.admission.map(|admission| admission.waiting_max as usize);
    let admission = Admission::new(waiting_max);
    state.placement.store(Arc::new(settings.placement));
    state.streams.store(Arc::new(settings.streams));
    state.leaving_ms.store(settings.leaving_ms, Ordering::Relaxed);
    let prefixes = Prefixes::new(settings.prefix_index.map(|index| index.entries_max));
    let held_max = settings.held_bytes.and_then(|held| held.bytes_max(memory));
    let buffers = BufferBudget::new(memory).with_bound(held_max);
    state.hedging.set_share(hedge_share(&settings));
    state.hedging.set_failure_domains(settings.failure_domains.len());
    let (moves, move_calls) = Moves::new();
    let moves = Arc::new(moves);
    let state = Arc::new(State { shed, buffers, admission, prefixes, moves, ..state });
    let catalog = Catalog::new(settings.failure_domain.clone());
    let catalog = Arc::new(catalog.with_exposure_share(settings.exposure_share));
    let (orders, order_queue) = mpsc::unbounded_channel();
    let (notifier, notices) = mpsc::channel(NOTICE_QUEUE_MAX);
    let (changes_within, now) = (watch::bounds(&settings), clock::steady());
    let bootstrap =
        if settings.first_start { Bootstrap::first_start(now) } else { Bootstrap::new(now) };
    let class = strength::class(settings.resources.core_share, settings.resources.link_mbps);
    let relay = |list: List| {
        let relay = Relay::new(changes_within, &settings.name, list.name(), bootstrap);
        relay.with_class(&settings.name, class)
    };
    let follower = |list| Follower::new(list, relay(list));
    let watch = Arc::new(Watch {
        store: Arc::new(store),
        catalog: Arc::clone(&catalog),
        state: Arc::clone(&state),
        orders,
        followers: Arc::new(List::ALL.map(follower)),
        notifier,
        counts: Counts::default(),
        era: tokio::sync::watch::Sender::new(None),
        directory: Directory::default(),
        cache: Cache::default(),
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
    let followers = Arc::clone(&watch.followers);
    let context = Arc::new(Context { state: Arc::clone(&state), catalog, followers, metrics });
    let mut background = vec![
        spawn(Arc::clone(&watch).run(List::Operators)),
        spawn(Arc::clone(&watch).run(List::Backends)),
        spawn(Arc::clone(&watch).maintain()),
        spawn(Arc::new(rollouts).run(order_queue)),
        spawn(Arc::new(poison).run(trial_queue, settings.first_start)),
        spawn(Arc::clone(&state).probe_while_isolated()),
        spawn(Arc::clone(&state).follow_memory()),
        spawn(helpers::find(settings.clone(), Arc::clone(&watch))),
        spawn(operators::serve(listeners.operators, Arc::clone(&context))),
    ];
    background.push(spawn(moves::serve(engines.clone(), Arc::clone(&state.moves), move_calls)));
    let (cache_notices, cache_queue) = mpsc::channel(CACHE_QUEUE_MAX);
    if state.prefixes.is_on() {
        let caches = Caches { engines, state: Arc::clone(&state), notices: cache_notices };
        background.push(spawn(Arc::new(caches).run()));
    }
    let (far_notices, far_queue) = mpsc::channel(CACHE_QUEUE_MAX);
    background.push(spawn(far::announce(settings.clone(), Arc::clone(&watch), far_notices)));
    if let Some(standing_ms) = settings.standing_delay_ms {
        background.push(spawn(Arc::clone(&state).follow_delay(standing_ms)));
    }
    if let Some(listener) = listeners.metrics {
        background.push(spawn(operators::serve(listener, context)));
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
        let queues = Queues {
            prefills: prefill_queue,
            restrictions: restriction_queue,
            loads: load_queue,
            caches: cache_queue,
            far: far_queue,
            notices,
        };
        background.push(spawn(peers.run(queues)));
        background.push(spawn(exchange::serve(
            listener,
            Arc::clone(&watch),
            watch.cache.clone(),
            class,
        )));
    }
    let close = CancellationToken::new();
    let connections = state.shed.connections.clone();
    let caller_task =
        callers::serve(listeners.callers, Arc::clone(&state), close.clone(), connections.clone());
    let caller_task = spawn(caller_task);
    let forward_task = listeners.forward.map(|listener| {
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
    let deadline =
        Instant::now() + Duration::from_millis(current.drain_ms).saturating_sub(STOP_RESERVE);
    let until = deadline - Duration::from_millis(grace::ANSWER_RESERVE_MS);
    let stop_grace = Grace { since: Instant::now().into_std(), until: until.into_std() };
    // The signal comes once, and nobody else sets it.
    let _ = state.grace.set(stop_grace);
    let ending = state.ending.clone();
    background.push(spawn(async move {
        tokio::time::sleep_until(until).await;
        ending.cancel();
    }));
    log::info!(target: "process", connections = connections.len(),
        requests = state.in_flight.load(Ordering::Relaxed);
        "stopping: not ready any more, open requests go on");
    tokio::time::sleep_until(deadline.min(Instant::now() + CLOSE_DELAY)).await;
    close.cancel();
    drop(caller_task.await);
    if let Some(forward_task) = forward_task {
        drop(forward_task.await);
    }
    finish(&state, &connections, deadline).await;
    drop(background);
}

/// Most hedges per request; `None` if no requests are hedged.
fn hedge_share(settings: &settings::Node) -> Option<f64> {
    settings.hedging.as_ref().map(|hedging| hedging.share)
}

/// Port of a listener; 0 without a listener.
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
    watch.budget.update_settings(&changed);
    watch.state.allowance.store(Arc::new(watch.budget.allowance()));
    watch.state.placement.store(Arc::new(changed.placement));
    watch.state.streams.store(Arc::new(changed.streams));
    watch.state.hedging.set_share(hedge_share(&changed));
    watch.state.hedging.set_failure_domains(changed.failure_domains.len());
    let comparable = settings::Node {
        hedging: current.hedging.clone(),
        placement: current.placement,
        streams: current.streams,
        repeats: current.repeats.clone(),
        failure_domains: current.failure_domains.clone(),
        drain_ms: current.drain_ms,
        log: current.log.clone(),
        first_start: current.first_start,
        ..changed.clone()
    };
    let needs_restart = comparable != current;
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
        Ok(()) => log::info!(target: "process", "stopped, no request was cut off"),
        Err(_) => log::warn!(target: "process", connections = connections.len(),
            streams = state.relays.len();
            "stopped at the end of the drain time, open requests were cut off"),
    }
}
