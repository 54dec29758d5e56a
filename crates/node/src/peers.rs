//! What hosts of one failure domain send each other: datagrams, without confirmation.
//!
//! An engine's own report comes with its answers, and says nothing of a prompt that it is reading
//! now. Each host sees only its own prompts; with twenty hosts before fifteen engines nearly all
//! of them are others'. So each announces its long ones, once, when it sends them. A lost
//! announcement costs one request's wait at most, and passes by itself when the prompt must have
//! been read. What must not be lost is repeated with each sign of life.

pub mod find;
pub mod message;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use gateway::backend::{Prefill, Restriction, RestrictionNotice};
use gateway::paces::PaceSample;
use gateway::{Codec, State};
use policy::backlog::Prompt;
use policy::listing::Listing;
use policy::name::Name;
use policy::poison::book::Source;
use policy::time::Millis;
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::counts::Counting;
use crate::store::{List, Store};
use crate::watch::{Notice, Watch};
pub use find::Found;
use message::{Entry, Message};

/// Prefills are gathered for this long before they are sent.
const GATHER: Duration = Duration::from_millis(15);
/// Hosts notified of a prefill at once, at most; of more, others each time. In a domain of 50 hosts
/// every notice still reaches half of them.
const NOTIFIED_MAX: usize = 24;
/// Between two messages of what streams showed of engines.
const SHOW_EVERY: Duration = Duration::from_secs(2);
/// Between two hosts that look whether the store has still got their rows.
const RELISTED_EACH: Duration = Duration::from_millis(5);
/// Prefills in one message.
const PREFILLS_MAX: usize = 16;
/// What servers say of how much they take, in one sign of life; each host hears it from them all the same.
const RESTRICTIONS_MAX: usize = 48;

/// What is known of a message's sender.
#[derive(Clone, Copy, Debug, Default)]
struct Taken {
    /// It was not known before.
    is_new: bool,
    /// It is the delegate of its failure domain.
    is_delegate: bool,
    /// It has just started, and lacks lists that this host has.
    lacks: bool,
}

/// What the exchange is made with.
pub struct Peers<S, C> {
    /// The host's name.
    pub host: Name,
    /// Where it stands.
    pub failure_domain: Name,
    /// How many failure domains there are.
    pub failure_domains: usize,
    /// No host can be listed yet.
    pub is_first_start: bool,
    /// The store, for finding the others, and its lists.
    pub watch: Arc<Watch<S, C>>,
    /// What requests share.
    pub state: Arc<State<C>>,
    /// Where messages come and go; news are had at the same address by TCP.
    pub socket: UdpSocket,
    /// The port at which this host takes requests that others pass on; 0 if it takes none.
    pub forward: u16,
}

/// What this host has for the others.
pub struct Inbox {
    /// Long prompts that were just sent.
    pub prefills: mpsc::Receiver<Prefill>,
    /// What backend servers say of how much they take.
    pub restrictions: mpsc::Receiver<RestrictionNotice>,
    /// What else is new.
    pub notices: mpsc::Receiver<Notice>,
}

impl<S: Store, C: Codec> Peers<S, C> {
    /// Exchanges messages until the process ends.
    pub async fn run(self, mut inbox: Inbox) {
        let mut delegate = None;
        let mut greeted = tokio::time::Instant::now();
        let mut shown = tokio::time::interval(SHOW_EVERY);
        let mut buffer = vec![0; message::BYTES_MAX];
        // Messages are taken meanwhile: a host that starts while the store is away finds nobody,
        // but is found by those who knew it before.
        let mut find = Box::pin(self.find(Listing::new(self.is_first_start), Duration::ZERO));
        let (mut is_finding, mut has_found) = (true, false);
        let mut era = self.watch.era.subscribe();
        let mut isolated = self.state.reach.watch();
        loop {
            tokio::select! {
                Ok(()) = era.changed() => {
                    find = Box::pin(self.find(Listing::new(false), self.spread()));
                    is_finding = true;
                }
                found = &mut find, if is_finding => {
                    (is_finding, has_found) = (false, true);
                    for Found { name, address, class, forward } in &found {
                        self.watch.directory.note(name, *address, *class, clock::steady());
                        self.note_forward(name, *forward);
                    }
                    log::info!(target: "peers", domain:% = self.failure_domain,
                        found = found.len(); "peers found");
                    let lacks = self.watch.lacking().into_iter().map(Entry::Lacks);
                    let greeting = lacks.chain(self.greeting()).collect();
                    self.send(self.all(), greeting).await;
                    self.watch.found(&found);
                    self.watch.share_repeats();
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => {
                        let taken = self.take(&buffer[..length], from);
                        if taken.is_delegate {
                            delegate = Some(from);
                        }
                        // It knows this host's address from the store, but not yet its name. A
                        // host that lacks the lists waits to hear who has them.
                        if taken.is_new && has_found {
                            self.watch.share_repeats();
                        }
                        if taken.is_new || taken.lacks {
                            self.send(vec![from], self.greeting()).await;
                        }
                    }
                    // A host that is gone; it is forgotten when nothing more is heard of it.
                    Err(error) => log::debug!(target: "peers", error:% = error; "message lost"),
                },
                Some(prefill) = inbox.prefills.recv() => {
                    tokio::time::sleep(GATHER).await;
                    let mut entries = vec![Entry::Prefill(prefill)];
                    while entries.len() < PREFILLS_MAX {
                        let Ok(prefill) = inbox.prefills.try_recv() else { break };
                        entries.push(Entry::Prefill(prefill));
                    }
                    self.send(self.some(), entries).await;
                }
                Some(restricted) = inbox.restrictions.recv() => {
                    if matches!(restricted.restriction, Restriction::Leaving) {
                        self.watch.publish();
                    }
                    self.send(self.all(), vec![Entry::Restricted(restricted)]).await;
                }
                // The others stop passing requests on to a host that reaches no server, and begin again.
                Ok(()) = isolated.changed() => self.send(self.all(), Vec::new()).await,
                Some(notice) = inbox.notices.recv() => {
                    self.notify(notice, delegate).await;
                }
                _ = shown.tick() => {
                    let seen: Vec<Entry> = self.state.paces.take().into_iter().map(Entry::Seen).collect();
                    if !seen.is_empty() {
                        self.send(self.some(), seen).await;
                    }
                }
                () = tokio::time::sleep_until(greeted + self.watch.directory.pulse()) => {
                    greeted = tokio::time::Instant::now();
                    self.watch.directory.forget(clock::steady());
                    let directory = &self.watch.directory;
                    self.state.detour_hosts.retain_near(|name| directory.address(name).is_some());
                    self.state.detour_hosts.set_neighbours(directory.count());
                    if has_found {
                        self.watch.share_repeats();
                    }
                    self.send(self.all(), self.greeting()).await;
                }
            }
        }
    }

    /// Until this host looks whether the store has still got its row, after the store's return from a copy. All hosts
    /// look then, and the store takes only so many calls a second.
    fn spread(&self) -> Duration {
        let hosts = (self.watch.directory.count() + 1) * self.failure_domains.max(1);
        RELISTED_EACH.mul_f64(hosts as f64 * rand::random::<f64>())
    }

    async fn notify(&self, notice: Notice, delegate: Option<SocketAddr>) {
        let (to, entries) = match notice {
            Notice::Positions => (self.all(), self.positions()),
            Notice::Records => (self.all(), self.records()),
            Notice::Counts => (delegate.into_iter().collect(), self.counts()),
            Notice::Suspects => {
                let new = self.state.poison.with_book(|book| book.for_peers(clock::steady()));
                (self.all(), new.into_iter().map(Entry::Suspect).collect())
            }
            Notice::Incoming(list) => (self.all(), vec![Entry::Incoming(list)]),
            Notice::WholeRead(list) => (self.all(), vec![Entry::Reading(list)]),
            Notice::Doubts(list, address) => {
                let revision = self.watch.follow(list).revision().unwrap_or_default();
                (vec![address], vec![Entry::Doubts(list, revision)])
            }
        };
        if !entries.is_empty() {
            self.send(to, entries).await;
        }
    }

    /// What a sign of life says.
    fn greeting(&self) -> Vec<Entry> {
        let now = clock::steady();
        let suspects = self.state.poison.with_book(|book| book.suspects(now));
        let suspects = suspects.into_iter().map(Entry::Suspect);
        self.positions().into_iter().chain(suspects).chain(self.restrictions(now)).collect()
    }

    /// How new the lists are that this host reads, and how roll-outs stand if it is the delegate of its
    /// domain.
    fn positions(&self) -> Vec<Entry> {
        let positions = self.watch.positions();
        let is_delegate = positions.iter().any(|position| position.list == List::Operators);
        let records = if is_delegate { self.records() } else { Vec::new() };
        positions.into_iter().map(Entry::Position).chain(records).collect()
    }

    fn records(&self) -> Vec<Entry> {
        let records = self.watch.catalog.records(clock::steady());
        records.into_iter().map(Entry::Record).collect()
    }

    /// What backend servers said lately of how much they take.
    fn restrictions(&self, now: Millis) -> Vec<Entry> {
        let restricted = self.watch.catalog.restrictions(now).into_iter();
        restricted.take(RESTRICTIONS_MAX).map(Entry::Restricted).collect()
    }

    /// What this host counted of roll-outs, by route.
    fn counts(&self) -> Vec<Entry> {
        let orders = self.watch.catalog.orders().into_iter();
        let counted = orders.flat_map(|(service, order)| {
            let routes = self.state.tally.evidence(&service).into_iter();
            routes.map(move |route| {
                let routes = vec![route];
                Entry::Counted(Counting { service: service.clone(), order, routes })
            })
        });
        counted.collect()
    }

    /// Takes a message.
    fn take(&self, bytes: &[u8], from: SocketAddr) -> Taken {
        let now = clock::steady();
        let message: Message = match serde_json::from_slice(bytes) {
            Ok(message) => message,
            Err(error) => {
                log::debug!(target: "peers", from:% = from, error:% = error; "message unreadable");
                return Taken::default();
            }
        };
        if message.host.is_empty() || message.host == self.host {
            log::debug!(target: "peers", from:% = from, host:% = message.host; "message of nobody");
            return Taken::default();
        }
        let class = message.class;
        let is_new = self.watch.directory.note(&message.host, from, class, now);
        let forward = SocketAddr::new(from.ip(), message.forward);
        self.note_forward(&message.host, (message.forward > 0).then_some(forward));
        self.watch.met(&message.host, class);
        self.watch.take_over(&message.host);
        let mut taken = Taken { is_new, ..Taken::default() };
        let mut is_changed = false;
        for entry in message.entries {
            match entry {
                Entry::Position(position) => {
                    taken.is_delegate |= position.list == List::Operators;
                    self.watch.hear_position(&message.host, position);
                }
                Entry::Record(snapshot) => self.watch.adopt(snapshot),
                Entry::Incoming(list) => self.watch.incoming(&message.host, list),
                Entry::Reading(list) => self.watch.peer_reads(&message.host, list),
                Entry::Doubts(list, revision) => {
                    self.watch.hear_doubts(&message.host, list, revision);
                }
                Entry::Lacks(list) => {
                    taken.lacks |= self.watch.follow(list).position(now).is_some();
                }
                Entry::Counted(counting) => self.watch.counts.take(&message.host, counting),
                Entry::Suspect(suspect) => {
                    let suspect = suspect.on_clock(message.now, now);
                    self.state.poison.learn(&suspect, Source::Peer);
                }
                Entry::Restricted(restricted) => {
                    is_changed |= self.watch.catalog.restrict(&restricted, message.now, now);
                }
                Entry::Seen(PaceSample { backend, shown }) => {
                    if let Some(backend) = self.watch.catalog.backend(&backend) {
                        backend.record_streams(shown, now);
                    }
                }
                Entry::Prefill(Prefill { backend, read_ms, rank }) => {
                    metrics::counter!("node_peer_prefills_total").increment(1);
                    if let Some(backend) = self.watch.catalog.backend(&backend) {
                        backend.record_announced(Prompt { rank, read_ms: f64::from(read_ms) }, now);
                    }
                }
            }
        }
        if is_changed {
            self.watch.publish();
        }
        taken
    }

    /// Another host takes requests that are passed on at an address, or takes none.
    fn note_forward(&self, host: &Name, forward: Option<SocketAddr>) {
        match forward {
            Some(address) => {
                self.state.detour_hosts.add(host, address, &self.failure_domain, true);
            }
            None => self.state.detour_hosts.remove(host),
        }
        self.state.detour_hosts.set_neighbours(self.watch.directory.count());
    }

    /// All hosts known.
    fn all(&self) -> Vec<SocketAddr> {
        self.watch.directory.addresses()
    }

    /// All hosts known, or as many as are notified at once.
    fn some(&self) -> Vec<SocketAddr> {
        let mut some = self.all();
        if some.len() > NOTIFIED_MAX {
            some.shuffle(&mut rand::rng());
            some.truncate(NOTIFIED_MAX);
        }
        some
    }

    async fn send(&self, to: Vec<SocketAddr>, entries: Vec<Entry>) {
        let (host, class) = (self.host.clone(), self.watch.class);
        let forward = if self.state.reach.is_isolated() { 0 } else { self.forward };
        let message = Message { host, class, forward, now: clock::steady(), entries };
        for piece in message.pieces() {
            for address in &to {
                if let Err(error) = self.socket.send_to(&piece, address).await {
                    log::debug!(target: "peers", to:% = address, error:% = error;
                        "message not sent");
                }
            }
        }
    }
}
