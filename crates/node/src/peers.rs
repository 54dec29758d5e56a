//! What hosts of one failure domain tell each other: long prompts that they have just sent.
//!
//! An engine's own report comes with its answers, and says nothing of a prompt that it is reading
//! now. Each host sees only its own prompts; with twenty hosts before fifteen engines nearly all
//! of them are others'. So each tells the others of its long ones, once, when it sends them. A
//! lost word costs one request's wait at most, so nothing is confirmed or repeated, and a word
//! passes by itself when the prompt must have been read.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use gateway::backend::{Limited, Prefill};
use gateway::{Codec, State};
use policy::backlog::Prompt;
use policy::canary::Evidence;
use policy::domain;
use policy::name::Name;
use policy::poison::Suspect;
use policy::poison::book::Source;
use policy::time::Millis;
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use wire::store::{Error, Rows};

use crate::counts::Counting;
use crate::follow::Position;
use crate::record::{self, Snapshot};
use crate::store::{List, Store};
use crate::watch::{Notice, Watch};

/// The table in which hosts are listed, by failure domain and name.
const TABLE: &str = "nodes";
/// Prefills are gathered for this long before they are sent.
const GATHER: Duration = Duration::from_millis(15);
/// Hosts notified at once, at most; of more, others each time. In a domain of 50 hosts every notice
/// still reaches half of them.
const TOLD_MAX: usize = 24;
/// Hosts remembered at most.
const PEERS_MAX: usize = 128;
/// Between two signs of life to all hosts known.
const EVERY: Duration = Duration::from_secs(5);
/// A host not heard of for this long is forgotten, in milliseconds.
const FORGET_MS: u64 = 20_000;
/// Largest message; what does not fit is not sent.
const MESSAGE_BYTES: usize = 1_400;
/// Prefills in one message, so that it fits.
const PREFILLS_MAX: usize = 16;
/// Limits in one message; each host hears the others' from their servers all the same.
const LIMITS_MAX: usize = 12;
/// Pause after a failed call of the store.
const PAUSE: Duration = Duration::from_secs(1);

domain! {
    /// A message from one host to another.
    #[derive(Default)]
    #[serde(default)]
    pub struct Message {
        /// The sender's name.
        pub host: Name,
        /// Prompts that were just sent.
        pub prefills: Vec<Prefill>,
        /// How new the lists are that the sender reads for the others.
        pub positions: Vec<Position>,
        /// How roll-outs stand, if the sender speaks for the domain.
        pub records: Vec<Snapshot>,
        /// What the sender counted of roll-outs.
        pub counted: Vec<Counting>,
        /// Lists of which the sender is being sent a change that is too long to be passed on.
        pub incoming: Vec<List>,
        /// Lists all of which the sender is reading.
        pub reading: Vec<List>,
        /// Lists of which the sender knows nothing yet, and would take from who has them.
        pub lacks: Vec<List>,
        /// Requests that were lost with their servers, with times of the sender's clock.
        pub suspects: Vec<Suspect>,
        /// What backend servers said of how much they take, with times of the sender's clock.
        pub limits: Vec<Limited>,
        /// The sender's clock.
        pub now: Millis,
    }

    /// A host's own row: where it listens.
    pub struct Listed {
        /// The address.
        pub address: SocketAddr,
    }
}

/// What is known of a message's sender.
#[derive(Clone, Copy, Debug, Default)]
struct Taken {
    /// It was not known before.
    is_new: bool,
    /// It speaks for the domain.
    speaks: bool,
    /// It has just started, and lacks lists that this host has.
    lacks: bool,
}

/// A host as it is listed.
struct Found {
    name: Name,
    address: SocketAddr,
}

/// What the exchange is made with.
pub struct Peers<S, C> {
    /// The host's name.
    pub host: Name,
    /// Where it stands.
    pub failure_domain: Name,
    /// No host can be listed yet.
    pub is_first_start: bool,
    /// The store, for finding the others, and its lists.
    pub watch: Arc<Watch<S, C>>,
    /// What requests share.
    pub state: Arc<State<C>>,
    /// Where messages come and go; news are had at the same address by TCP.
    pub socket: UdpSocket,
}

impl<S: Store, C: Codec> Peers<S, C> {
    /// Exchanges messages until the process ends.
    pub async fn run(
        self,
        mut prefills: mpsc::Receiver<Prefill>,
        mut limits: mpsc::Receiver<Limited>,
        mut notices: mpsc::Receiver<Notice>,
    ) {
        let mut known: HashMap<SocketAddr, Millis> = HashMap::new();
        let mut speaker = None;
        let mut greeted = tokio::time::Instant::now();
        let mut buffer = vec![0; MESSAGE_BYTES];
        // Messages are taken meanwhile: a host that starts while the store is away finds nobody,
        // but is found by those who knew it before.
        let mut find = std::pin::pin!(self.find());
        let mut has_found = false;
        loop {
            tokio::select! {
                found = &mut find, if !has_found => {
                    has_found = true;
                    let now = clock::steady();
                    known.extend(found.iter().map(|host| (host.address, now)));
                    log::info!(target: "peers", domain:% = self.failure_domain,
                        found = known.len(); "peers found");
                    let names: Vec<Name> = found.into_iter().map(|host| host.name).collect();
                    let lacks = self.watch.lacking();
                    let message = Message { lacks, ..self.message() };
                    self.send(known.keys().copied().collect(), message).await;
                    self.watch.found(&names);
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => {
                        let taken = self.take(&buffer[..length], from, &mut known);
                        if taken.speaks {
                            speaker = Some(from);
                        }
                        // It knows this host's address from the store, but not yet its name. A
                        // host that lacks the lists waits to hear who has them.
                        if taken.is_new || taken.lacks {
                            self.send(vec![from], self.message()).await;
                        }
                    }
                    // A host that is gone; it is forgotten when nothing more is heard of it.
                    Err(error) => log::debug!(target: "peers", error:% = error; "message lost"),
                },
                Some(prefill) = prefills.recv() => {
                    tokio::time::sleep(GATHER).await;
                    let mut message = Message { host: self.host.clone(), ..Message::default() };
                    message.prefills.push(prefill);
                    while message.prefills.len() < PREFILLS_MAX {
                        let Ok(prefill) = prefills.try_recv() else { break };
                        message.prefills.push(prefill);
                    }
                    self.send(some(&known), message).await;
                }
                Some(limited) = limits.recv() => {
                    let (limits, now) = (vec![limited], clock::steady());
                    let message =
                        Message { host: self.host.clone(), limits, now, ..Message::default() };
                    self.send(known.keys().copied().collect(), message).await;
                }
                Some(notice) = notices.recv() => match notice {
                    Notice::Positions => {
                        let message = self.message();
                        if !message.positions.is_empty() {
                            self.send(known.keys().copied().collect(), message).await;
                        }
                    }
                    Notice::Counts => self.send_counts(speaker).await,
                    Notice::Suspects => self.send_suspects(&known).await,
                    Notice::Incoming(list) => {
                        let host = self.host.clone();
                        let message = Message { host, incoming: vec![list], ..Message::default() };
                        self.send(known.keys().copied().collect(), message).await;
                    }
                    Notice::WholeRead(list) => {
                        let host = self.host.clone();
                        let message = Message { host, reading: vec![list], ..Message::default() };
                        self.send(known.keys().copied().collect(), message).await;
                    }
                },
                () = tokio::time::sleep_until(greeted + EVERY) => {
                    greeted = tokio::time::Instant::now();
                    let now = clock::steady();
                    known.retain(|_, heard| now.since(*heard) < FORGET_MS);
                    self.send(known.keys().copied().collect(), self.message()).await;
                }
            }
        }
    }

    fn message(&self) -> Message {
        let positions = self.watch.positions();
        let speaks = positions.iter().any(|position| position.list == List::Operators);
        let records = match speaks {
            true => self.watch.catalog.records(clock::steady()),
            false => Vec::new(),
        };
        let now = clock::steady();
        let suspects = self.state.poison.with(|book| book.suspects(now));
        let (host, limits) = (self.host.clone(), self.limits(now));
        Message { host, positions, records, suspects, limits, now, ..Message::default() }
    }

    /// What backend servers said lately of how much they take.
    fn limits(&self, now: Millis) -> Vec<Limited> {
        let world = self.state.world.load();
        let backends = world.pools.values().flat_map(|pool| &pool.backends);
        let told = backends.filter_map(|backend| {
            let limit = backend.with_throttle(|throttle| throttle.shared(now))?;
            Some(Limited { backend: backend.id.clone(), limit })
        });
        told.take(LIMITS_MAX).collect()
    }

    /// Tells all hosts known what is new of requests that were lost with their servers, in as many
    /// messages as it takes.
    async fn send_suspects(&self, known: &HashMap<SocketAddr, Millis>) {
        let now = clock::steady();
        let mut parts = vec![self.state.poison.with(|book| book.for_peers(now))];
        while let Some(mut suspects) = parts.pop() {
            let host = self.host.clone();
            let message = Message { host, suspects: suspects.clone(), now, ..Message::default() };
            if suspects.len() > 1 && !fits(&message) {
                let rest = suspects.split_off(suspects.len() / 2);
                parts.extend([rest, suspects]);
            } else if !suspects.is_empty() {
                self.send(known.keys().copied().collect(), message).await;
            }
        }
    }

    /// Tells the host that speaks for the domain what this one counted, in as many messages as it
    /// takes: how long a route's name is is up to operators.
    async fn send_counts(&self, speaker: Option<SocketAddr>) {
        let Some(speaker) = speaker else { return };
        for (service, order) in self.watch.catalog.orders() {
            let mut parts = vec![self.state.tally.of(&service)];
            while let Some(mut routes) = parts.pop() {
                let message = self.counts(&service, order, &routes);
                if routes.len() > 1 && !fits(&message) {
                    let rest = routes.split_off(routes.len() / 2);
                    parts.extend([rest, routes]);
                } else if !routes.is_empty() {
                    self.send(vec![speaker], message).await;
                }
            }
        }
    }

    fn counts(&self, service: &Name, order: u64, routes: &[Evidence]) -> Message {
        let counted = Counting { service: service.clone(), order, routes: routes.to_vec() };
        Message { host: self.host.clone(), counted: vec![counted], ..Message::default() }
    }

    /// Finds the other hosts that are listed, and lists this one unless it is. Of two hosts that are
    /// listed at the same time the one that reads later finds the other, and makes itself known to
    /// it.
    async fn find(&self) -> Vec<Found> {
        loop {
            match self.try_find().await {
                Ok(found) => return found,
                Err(error) => {
                    // Nobody is waited for: the lists are read, or had from whoever is heard of.
                    self.watch.found(&[]);
                    log::warn!(target: "peers", error:% = error; "peers not found, tried again");
                }
            }
            tokio::time::sleep(PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }

    async fn try_find(&self) -> Result<Vec<Found>, Error> {
        let own = self.socket.local_addr().map_err(|error| Error::Refused(error.to_string()))?;
        let prefix = format!("{}/", self.failure_domain);
        let listed = record::write(&Listed { address: own }).map_err(Error::Malformed)?;
        let key = Name::from(format!("{prefix}{}", self.host));
        // A host that starts again is listed already, and its callers wait.
        let rows = match self.is_first_start {
            true => Rows::default(),
            false => self.watch.store.rows(TABLE, &prefix).await?,
        };
        let is_listed = rows.rows.iter().any(|row| row.key == key && row.value == listed);
        let rows = match is_listed {
            true => rows,
            false => {
                self.watch.store.commit(&record::change(TABLE, key, None, listed), None).await?;
                self.watch.store.rows(TABLE, &prefix).await?
            }
        };
        let found = rows.rows.iter().filter_map(|row| {
            let listed = record::read::<Listed>(&row.value);
            let listed = listed.inspect_err(|error| {
                log::warn!(target: "peers", key:% = row.key, error:% = error; "row unreadable");
            });
            let name = Name::from(row.key.strip_prefix(&prefix)?);
            Some(Found { name, address: listed.ok()?.address })
        });
        Ok(found.filter(|host| host.address != own).take(PEERS_MAX).collect())
    }

    /// Takes a message.
    fn take(
        &self,
        bytes: &[u8],
        from: SocketAddr,
        known: &mut HashMap<SocketAddr, Millis>,
    ) -> Taken {
        let now = clock::steady();
        let message: Message = match serde_json::from_slice(bytes) {
            Ok(message) => message,
            Err(error) => {
                log::debug!(target: "peers", from:% = from, error:% = error; "message unreadable");
                return Taken::default();
            }
        };
        let is_new = !known.contains_key(&from) && known.len() < PEERS_MAX;
        if known.len() < PEERS_MAX || known.contains_key(&from) {
            known.insert(from, now);
        }
        if !message.host.is_empty() {
            self.watch.met(&message.host);
            self.watch.take_over(from);
        }
        let speaks = message.positions.iter().any(|position| position.list == List::Operators);
        for position in message.positions {
            self.watch.hear_position(&message.host, from, position);
        }
        message.incoming.iter().for_each(|list| self.watch.incoming(&message.host, *list));
        message.reading.iter().for_each(|list| self.watch.peer_reads(&message.host, *list));
        let has = |list: &List| self.watch.follow(*list).position(now).is_some();
        let lacks = message.lacks.iter().any(has);
        message.records.into_iter().for_each(|snapshot| self.watch.adopt(snapshot));
        for counting in message.counted {
            self.watch.counts.take(&message.host, counting);
        }
        let ours = message.suspects.into_iter().map(|told| told.on_clock(message.now, now));
        for told in ours {
            self.state.poison.learn(&told, Source::Peer);
        }
        let world = self.state.world.load();
        let named = |id: &Name| {
            let mut backends = world.pools.values().flat_map(|pool| &pool.backends);
            backends.find(|backend| backend.id == *id)
        };
        for Limited { backend, limit } in &message.limits {
            if let Some(backend) = named(backend) {
                backend.learn_limit(limit.on_clock(message.now, now), now);
            }
        }
        for prefill in &message.prefills {
            if let Some(backend) = named(&prefill.backend) {
                let prompt = Prompt { rank: prefill.rank, read_ms: f64::from(prefill.read_ms) };
                backend.announced(prompt, now);
            }
        }
        metrics::counter!("node_peer_prefills_total").increment(message.prefills.len() as u64);
        Taken { is_new, speaks, lacks }
    }

    async fn send(&self, to: Vec<SocketAddr>, message: Message) {
        let Some(bytes) = write(message) else { return };
        for address in to {
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                log::debug!(target: "peers", to:% = address, error:% = error; "message not sent");
            }
        }
    }
}

/// Whether a message can be sent as it is.
fn fits(message: &Message) -> bool {
    serde_json::to_vec(message).is_ok_and(|bytes| bytes.len() <= MESSAGE_BYTES)
}

/// A message as it is sent: without changes if it is too long with them, which are then had by a
/// call; without prefills if it is too long still, which are hints only.
fn write(mut message: Message) -> Option<Vec<u8>> {
    let shorten: [fn(&mut Message); 6] = [
        |_| {},
        |message| message.positions.iter_mut().for_each(|position| position.changes = None),
        |message| message.prefills.clear(),
        // They are read by each host for itself then.
        |message| message.records.clear(),
        // Those who need them heard of them when they were new, or read the store.
        |message| message.suspects.clear(),
        |message| message.limits.clear(),
    ];
    for step in shorten {
        step(&mut message);
        match serde_json::to_vec(&message) {
            Ok(bytes) if bytes.len() <= MESSAGE_BYTES => return Some(bytes),
            Ok(_) => {}
            Err(error) => {
                log::warn!(target: "peers", error:% = error; "message not written");
                return None;
            }
        }
    }
    log::warn!(target: "peers", "message too long, not sent");
    None
}

/// All hosts known, or as many as are notified at once.
fn some(known: &HashMap<SocketAddr, Millis>) -> Vec<SocketAddr> {
    let mut all: Vec<SocketAddr> = known.keys().copied().collect();
    if all.len() > TOLD_MAX {
        all.shuffle(&mut rand::rng());
        all.truncate(TOLD_MAX);
    }
    all
}
