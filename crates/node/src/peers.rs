//! Messages between the hosts of a failure domain: datagrams without confirmation.
//!
//! An engine reports its load along with its answers, so it says nothing of a prompt that it is
//! reading now. A host knows only its own prompts; with twenty hosts and fifteen engines nearly all
//! prompts at an engine are those of other hosts. So each host announces its long prompts, once,
//! when it sends them. A lost announcement costs at most the wait of one request, and no longer
//! matters when the engine must have read the prompt. What must not be lost is repeated with each
//! heartbeat.

mod batch;
pub mod find;
mod hedges;
pub mod message;
mod parts;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use gateway::backend::{LoadReport, Prefill, Restriction, RestrictionNotice};
use gateway::far_loads::FarLoads;
use gateway::paces::PaceSample;
use gateway::{Codec, State};
use policy::backlog::Prompt;
use policy::hedge::Pace;
use policy::listing::Listing;
use policy::name::Name;
use policy::poison::registry::Source;
use policy::prefix::far::Budget;
use policy::time::Millis;
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::caches::CacheNotice;
use crate::counts::HostCounts;
use crate::store::{List, Store};
use crate::watch::{Notice, Watch};
use batch::LoadBatch;
pub use find::ListedHost;
use message::{Entry, FarNotice, Message};

/// How long prefills are collected before they are announced in one message.
const PREFILL_BATCH_DELAY: Duration = Duration::from_millis(15);
/// Most peers that a prefill is announced to. If there are more, each announcement goes to a random
/// sample. In a failure domain of 50 hosts each still reaches half of them.
const NOTIFIED_HOSTS_MAX: usize = 24;
/// Most peers that load reports are announced to. With fewer receivers each host announces its
/// reports sooner within its bound on bytes.
const LOAD_HOSTS_MAX: usize = 12;
/// Interval of messages about the speeds of engines, as observed from their streams.
const STREAM_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Interval of messages about the work that accounts offer, while a service is short. Each names one
/// service.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);
/// Most peers that such a message goes to. The hosts that are heard stand for all.
const DEMAND_HOSTS_MAX: usize = 6;
/// Mean interval between two hosts' checks whether the store still has their rows.
const ROW_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of messages about engines' caches.
const CACHE_NOTICE_INTERVAL: Duration = Duration::from_secs(1);
/// Most prefills in one message.
const PREFILLS_MAX: usize = 16;
/// Most restrictions of backend servers in one heartbeat. Each host hears of them from the servers
/// as well.
const RESTRICTIONS_MAX: usize = 48;

/// What a message says about its sender.
#[derive(Clone, Copy, Debug, Default)]
struct Received {
    /// The sender was not known before.
    is_new: bool,
    /// The sender is the delegate of its failure domain.
    is_delegate: bool,
    /// The sender has just started and lacks lists that this host has.
    lacks_lists: bool,
}

/// What a host of another failure domain has sent, to be passed on.
enum Direct {
    Parts(FarNotice),
    Loads(FarLoads),
}

/// Exchanges messages with peers.
pub struct Peers<S, C> {
    /// Name of this host.
    pub host: Name,
    /// Failure domain of this host.
    pub failure_domain: Name,
    /// Number of failure domains in the deployment; 0 if the settings don't name them.
    pub failure_domains: usize,
    /// Whether the deployment starts for the first time, so that no host can be listed yet.
    pub is_first_start: bool,
    /// The store, in which peers are listed, and its lists.
    pub watch: Arc<Watch<S, C>>,
    /// State that all requests share.
    pub state: Arc<State<C>>,
    /// Socket for messages. Updates of lists are served at the same address by TCP.
    pub socket: UdpSocket,
    /// Port at which this host takes requests that others forward; 0 if it takes none.
    pub forward: u16,
}

/// Queues of what is sent to peers.
pub struct Queues {
    /// Long prompts that were just sent to engines.
    pub prefills: mpsc::Receiver<Prefill>,
    /// Restrictions that backend servers have just set on what they take.
    pub restrictions: mpsc::Receiver<RestrictionNotice>,
    /// Load reports of backend servers that are nearly full, or no longer so.
    pub loads: mpsc::Receiver<LoadReport>,
    /// What was heard of engines' caches.
    pub caches: mpsc::Receiver<CacheNotice>,
    /// Announcements to hosts of other failure domains, with the hosts' addresses.
    pub far: mpsc::Receiver<(SocketAddr, Entry)>,
    /// Other events that peers are notified of.
    pub notices: mpsc::Receiver<Notice>,
}

impl<S: Store, C: Codec> Peers<S, C> {
    /// Exchanges messages until the process ends.
    pub async fn run(self, mut queues: Queues) {
        let mut delegate = None;
        let mut loads = LoadBatch::default();
        let mut sent = tokio::time::Instant::now();
        let mut stream_reports = tokio::time::interval(STREAM_REPORT_INTERVAL);
        let mut cache_notices = tokio::time::interval(CACHE_NOTICE_INTERVAL);
        let (mut cache_budget, mut load_budget) = (Budget::default(), Budget::default());
        let mut demands = tokio::time::interval(DEMAND_INTERVAL);
        let mut hedges = tokio::time::interval(hedges::CHECK_INTERVAL);
        let mut pace = Pace::default();
        let mut buffer = vec![0; message::BYTES_MAX];
        // Messages are received while peers are looked up in the store: a host that starts while
        // the store is away finds no peers, but those that knew it before find it.
        let mut find = Box::pin(self.find(Listing::new(self.is_first_start), Duration::ZERO));
        let (mut is_finding, mut has_found) = (true, false);
        let mut era = self.watch.era.subscribe();
        let mut isolated = self.state.reach.watch();
        loop {
            tokio::select! {
                Ok(()) = era.changed() => {
                    find = Box::pin(self.find(Listing::new(false), self.row_check_delay()));
                    is_finding = true;
                }
                found = &mut find, if is_finding => {
                    let is_first = !std::mem::replace(&mut has_found, true);
                    is_finding = false;
                    for ListedHost { name, address, class, forward } in &found {
                        self.watch.directory.record(name, *address, *class, clock::steady());
                        self.set_forward(name, *forward);
                    }
                    log::info!(target: "peers", domain:% = self.failure_domain,
                        found = found.len(); "peers found in the store");
                    let lacks = self.watch.unread_lists().into_iter().map(Entry::Lacks);
                    let heartbeat = lacks.chain(self.heartbeat()).collect();
                    self.send(self.addresses(), heartbeat).await;
                    if is_first {
                        self.request_cached_parts();
                    }
                    self.watch.set_listed_peers(&found);
                    self.watch.update_retry_budget();
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => {
                        let (sender, far) = self.receive(&buffer[..length], from);
                        match far {
                            Some(Direct::Parts(notice)) => {
                                self.pass_on(notice, &mut cache_budget).await;
                            }
                            Some(Direct::Loads(loads)) => {
                                self.pass_on_loads(loads, &mut load_budget).await;
                            }
                            None => {}
                        }
                        if sender.is_delegate {
                            delegate = Some(from);
                        }
                        // A new peer has this host's address from the store, but no message from it
                        // yet. A peer that lacks the lists waits to hear who has them.
                        if sender.is_new && has_found {
                            self.watch.update_retry_budget();
                        }
                        if sender.is_new || sender.lacks_lists {
                            self.send(vec![from], self.heartbeat()).await;
                        }
                    }
                    // The error of an earlier message to a peer that is gone. It is evicted when it
                    // stays silent.
                    Err(error) => log::debug!(target: "peers", error:% = error;
                        "receiving a message failed"),
                },
                Some(prefill) = queues.prefills.recv() => {
                    tokio::time::sleep(PREFILL_BATCH_DELAY).await;
                    let mut entries = vec![Entry::Prefill(prefill)];
                    while entries.len() < PREFILLS_MAX {
                        let Ok(prefill) = queues.prefills.try_recv() else { break };
                        entries.push(Entry::Prefill(prefill));
                    }
                    self.send(self.random_addresses(), entries).await;
                }
                Some(report) = queues.loads.recv() => loads.add(report, tokio::time::Instant::now()),
                () = loads.wait() => {
                    let is_newest = |report: &LoadReport| {
                        let backend = self.watch.catalog.backend(&report.backend);
                        backend.is_some_and(|backend| backend.is_newest_report(report.at))
                    };
                    let mut to = self.random_addresses();
                    if self.state.placement.load().loads {
                        to.shuffle(&mut rand::rng());
                        to.truncate(LOAD_HOSTS_MAX);
                    }
                    let entries = loads.take(is_newest, to.len(), tokio::time::Instant::now());
                    if !entries.is_empty() {
                        for report in &entries {
                            if let Some(backend) = self.watch.catalog.backend(&report.backend) {
                                backend.record_sent_report(report);
                            }
                        }
                        let entries: Vec<Entry> = entries.into_iter().map(Entry::Load).collect();
                        metrics::counter!("node_peer_loads_sent_total")
                            .increment(entries.len() as u64);
                        self.send(to, entries).await;
                    }
                }
                Some(restricted) = queues.restrictions.recv() => {
                    if matches!(restricted.restriction, Restriction::Leaving) {
                        self.watch.publish();
                    }
                    self.send(self.addresses(), vec![Entry::Restricted(restricted)]).await;
                }
                // Peers stop forwarding requests to a host that reaches no server, and resume when
                // it does.
                Ok(()) = isolated.changed() => self.send(self.addresses(), Vec::new()).await,
                Some((to, entry)) = queues.far.recv() => self.send(vec![to], vec![entry]).await,
                Some(notice) = queues.notices.recv() => {
                    self.notify(notice, delegate).await;
                }
                _ = demands.tick() => {
                    if let Some(demand) = self.state.admission.next_demand(clock::steady()) {
                        let mut to = self.random_addresses();
                        to.shuffle(&mut rand::rng());
                        to.truncate(DEMAND_HOSTS_MAX);
                        self.send(to, vec![Entry::Demand(demand)]).await;
                    }
                }
                _ = hedges.tick() => self.send_hedge_reports(&mut pace).await,
                _ = stream_reports.tick() => {
                    let seen: Vec<Entry> = self.state.paces.take().into_iter().map(Entry::Seen).collect();
                    if !seen.is_empty() {
                        self.send(self.random_addresses(), seen).await;
                    }
                }
                _ = cache_notices.tick() => {
                    self.send_cache_notices(&mut queues.caches, &mut cache_budget).await;
                }
                () = tokio::time::sleep_until(sent + self.watch.directory.heartbeat_interval()) => {
                    sent = tokio::time::Instant::now();
                    self.watch.directory.evict_silent(clock::steady());
                    let directory = &self.watch.directory;
                    self.state.detour_hosts.retain_near(|name| directory.address(name).is_some());
                    self.state.detour_hosts.set_neighbours(directory.count());
                    if has_found {
                        self.watch.update_retry_budget();
                    }
                    self.send(self.addresses(), self.heartbeat()).await;
                }
            }
        }
    }

    /// Random delay until this host checks whether the store still has its row, after a restore of
    /// the store from a copy. All hosts check then, and the store takes only so many calls per
    /// second.
    fn row_check_delay(&self) -> Duration {
        let hosts = (self.watch.directory.count() + 1) * self.failure_domains.max(1);
        ROW_CHECK_INTERVAL.mul_f64(hosts as f64 * rand::random::<f64>())
    }

    async fn notify(&self, notice: Notice, delegate: Option<SocketAddr>) {
        let (to, entries) = match notice {
            Notice::Positions => (self.addresses(), self.positions()),
            Notice::Rollouts => (self.addresses(), self.rollouts()),
            Notice::Counts => (delegate.into_iter().collect(), self.counts()),
            Notice::Suspects => {
                let new = self.state.poison.with_book(|book| book.take_for_peers(clock::steady()));
                (self.addresses(), new.into_iter().map(Entry::Suspect).collect())
            }
            Notice::Incoming(list) => (self.addresses(), vec![Entry::Incoming(list)]),
            Notice::WholeRead(list) => (self.addresses(), vec![Entry::Reading(list)]),
            Notice::Overrides(list, address) => {
                let revision = self.watch.follower(list).revision().unwrap_or_default();
                (vec![address], vec![Entry::Doubts(list, revision)])
            }
        };
        if !entries.is_empty() {
            self.send(to, entries).await;
        }
    }

    /// Content of a heartbeat.
    fn heartbeat(&self) -> Vec<Entry> {
        let now = clock::steady();
        let suspects = self.state.poison.with_book(|book| book.suspects(now));
        let suspects = suspects.into_iter().map(Entry::Suspect);
        self.positions().into_iter().chain(suspects).chain(self.restrictions(now)).collect()
    }

    /// Positions of the lists that this host reads, and states of roll-outs if it is the delegate
    /// of its failure domain.
    fn positions(&self) -> Vec<Entry> {
        let positions = self.watch.positions();
        let is_delegate = positions.iter().any(|position| position.list == List::Operators);
        let rollouts = if is_delegate { self.rollouts() } else { Vec::new() };
        positions.into_iter().map(Entry::Position).chain(rollouts).collect()
    }

    fn rollouts(&self) -> Vec<Entry> {
        let rollouts = self.watch.catalog.rollout_states(clock::steady());
        rollouts.into_iter().map(Entry::Record).collect()
    }

    /// Recent restrictions of backend servers, as many as fit a heartbeat.
    fn restrictions(&self, now: Millis) -> Vec<Entry> {
        let restricted = self.watch.catalog.restrictions(now).into_iter();
        restricted.take(RESTRICTIONS_MAX).map(Entry::Restricted).collect()
    }

    /// What this host counted during roll-outs, with an entry for each route.
    fn counts(&self) -> Vec<Entry> {
        let orders = self.watch.catalog.open_orders().into_iter();
        let counts = orders.flat_map(|(service, order)| {
            let routes = self.state.tally.evidence(&service, clock::steady()).into_iter();
            routes.map(move |route| {
                let routes = vec![route];
                Entry::Counted(HostCounts { service: service.clone(), order, routes })
            })
        });
        counts.collect()
    }

    /// Handles a message. Returns what it says about the sender, and what is to be passed on.
    fn receive(&self, bytes: &[u8], from: SocketAddr) -> (Received, Option<Direct>) {
        let now = clock::steady();
        let message: Message = match serde_json::from_slice(bytes) {
            Ok(message) => message,
            Err(error) => {
                metrics::counter!("node_peer_messages_unreadable_total").increment(1);
                log::debug!(target: "peers", from:% = from, error:% = error;
                    "message can't be parsed");
                return <_>::default();
            }
        };
        if message.host.is_empty() || message.host == self.host {
            log::debug!(target: "peers", from:% = from, host:% = message.host;
                "message ignored: no sender, or this host");
            return <_>::default();
        }
        // The sender is no peer.
        match message.entries.as_slice() {
            [Entry::Far(notice)] if notice.is_direct => {
                self.state.prefixes.record_far(&notice.parts, now);
                return (Received::default(), Some(Direct::Parts(notice.clone())));
            }
            [Entry::FarLoads(loads)] if loads.is_direct => {
                let is_news = self.state.accept_far_loads(loads, now);
                let passed_on = is_news.then(|| Direct::Loads(loads.clone()));
                return (Received::default(), passed_on);
            }
            _ => {}
        }
        let class = message.class;
        let is_new = self.watch.directory.record(&message.host, from, class, now);
        let delay_ms = self.watch.directory.record_delay(&message.host, message.now, now);
        let forward = SocketAddr::new(from.ip(), message.forward);
        self.set_forward(&message.host, (message.forward > 0).then_some(forward));
        self.watch.record_peer(&message.host, class);
        self.watch.adopt_lists(&message.host);
        let mut sender = Received { is_new, ..Received::default() };
        let mut is_changed = false;
        for entry in message.entries {
            match entry {
                Entry::Position(position) => {
                    sender.is_delegate |= position.list == List::Operators;
                    self.watch.accept_position(&message.host, position);
                }
                Entry::Record(rollout) => self.watch.adopt_rollout(rollout),
                Entry::Incoming(list) => self.watch.accept_incoming(&message.host, list),
                Entry::Reading(list) => self.watch.record_peer_reading(&message.host, list),
                Entry::Doubts(list, revision) => {
                    self.watch.fetch_overrides(&message.host, list, revision);
                }
                Entry::Lacks(list) => {
                    sender.lacks_lists |= self.watch.follower(list).position(now).is_some();
                }
                Entry::Counted(report) => self.watch.counts.accept(&message.host, report),
                Entry::Suspect(suspect) => {
                    let suspect = suspect.on_clock(message.now, now);
                    self.state.poison.learn(&suspect, Source::Peer);
                }
                Entry::Restricted(restricted) => {
                    is_changed |=
                        self.watch.catalog.accept_restriction(&restricted, message.now, now);
                }
                Entry::Seen(PaceSample { backend, shown }) => {
                    if let Some(backend) = self.watch.catalog.backend(&backend) {
                        backend.record_streams(shown, now);
                    }
                }
                Entry::Load(LoadReport { backend, load, at }) => {
                    metrics::counter!("node_peer_loads_total").increment(1);
                    let Some(backend) = self.watch.catalog.backend(&backend) else { continue };
                    if let Some(scope) = self.state.announced_loads(&backend) {
                        let at = now - message.now.since(at).saturating_add(delay_ms);
                        backend.record_announced_load(load, at, scope, now);
                    }
                }
                Entry::Demand(demand) => {
                    self.state.admission.accept_demand(&message.host, demand, now);
                }
                Entry::Hedges(report) => self.state.accept_hedge_report(&message.host, &report),
                Entry::Prefill(prefill) => self.receive_prefill(&prefill, now),
                Entry::Cached(CacheNotice { start, at, forget, parts }) => {
                    let queued_ms = if at > Millis(0) { message.now.since(at) } else { 0 };
                    let age_ms = queued_ms.saturating_add(delay_ms);
                    if forget {
                        self.state.prefixes.forget(start, now - age_ms);
                    }
                    self.state.prefixes.record_heard(start, &parts, age_ms, now);
                }
                Entry::Far(notice) => self.state.prefixes.record_far(&notice.parts, now),
                Entry::FarLoads(loads) => {
                    self.state.accept_far_loads(&loads, now);
                }
            }
        }
        if is_changed {
            self.watch.publish();
        }
        (sender, None)
    }

    /// Records a prompt that a peer has sent to an engine.
    fn receive_prefill(&self, prefill: &Prefill, now: Millis) {
        metrics::counter!("node_peer_prefills_total").increment(1);
        let Some(backend) = self.watch.catalog.backend(&prefill.backend) else { return };
        let Prefill { rank, read_ms, .. } = *prefill;
        if !prefill.is_far {
            backend.record_announced(Prompt { rank, read_ms: f64::from(read_ms) }, now);
        }
        self.state.prefixes.record_announced(&backend, prefill.model, &prefill.shared, now);
    }

    /// Records the address at which a peer takes forwarded requests; `None` if it takes none.
    fn set_forward(&self, host: &Name, forward: Option<SocketAddr>) {
        match forward {
            Some(address) => {
                self.state.detour_hosts.add(host, address, &self.failure_domain, true);
            }
            None => self.state.detour_hosts.remove(host),
        }
        self.state.detour_hosts.set_neighbours(self.watch.directory.count());
    }

    /// Addresses of all known peers.
    fn addresses(&self) -> Vec<SocketAddr> {
        self.watch.directory.addresses()
    }

    /// Addresses of all known peers, or of a random sample if there are too many.
    fn random_addresses(&self) -> Vec<SocketAddr> {
        let mut random_addresses = self.addresses();
        if random_addresses.len() > NOTIFIED_HOSTS_MAX {
            random_addresses.shuffle(&mut rand::rng());
            random_addresses.truncate(NOTIFIED_HOSTS_MAX);
        }
        random_addresses
    }

    async fn send(&self, to: Vec<SocketAddr>, entries: Vec<Entry>) {
        let (host, class) = (self.host.clone(), self.watch.class);
        let forward = if self.state.reach.is_isolated() { 0 } else { self.forward };
        let message = Message { host, class, forward, now: clock::steady(), entries };
        for datagram in message.datagrams() {
            for address in &to {
                if let Err(error) = self.socket.send_to(&datagram, address).await {
                    log::debug!(target: "peers", to:% = address, error:% = error;
                        "message not sent");
                }
            }
        }
    }
}
