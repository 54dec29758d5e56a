//! Follows the store's lists and publishes a new snapshot to requests when they change.

mod accept;
mod peers;
mod share;
mod start;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use entry::clock;
use gateway::state::Peers;
use gateway::{Codec, State};
use policy::name::Name;
use policy::place;
use policy::relay::{self, Action, Bounds};
use policy::time::Millis;
use tokio::sync::{mpsc, watch};
use wire::store::Error;

use crate::budget::Budget;
use crate::catalog::Catalog;
use crate::counts::Counts;
use crate::directory::Directory;
use crate::exchange::{self, Cache};
use crate::follow::Follower;
use crate::store::{Answer, List, Store, Update};

/// Shortest and longest delay after failed calls; it doubles with each, and the actual one is drawn
/// from its upper half.
const RETRY_DELAY_MIN_MS: u64 = relay::RETRY_MIN_MS;
const RETRY_DELAY_MAX_MS: u64 = 800;

/// State shared by the tasks that follow the lists, exchange messages with peers and carry out
/// roll-outs.
pub struct Watch<S, C> {
    /// Client of the platform's store.
    pub store: Arc<S>,
    /// Everything that was read from the store.
    pub catalog: Arc<Catalog>,
    /// State that all requests share; snapshots are published to it.
    pub state: Arc<State<C>>,
    /// Sends the names of services for which there is a new order.
    pub orders: mpsc::UnboundedSender<Name>,
    /// Followers of the store's lists, in the order of [`List::ALL`].
    pub followers: Arc<[Follower; 2]>,
    /// Wakes the task that sends messages to peers.
    pub notifier: mpsc::Sender<Notice>,
    /// What peers counted during roll-outs.
    pub counts: Counts,
    /// Names and addresses of the peers.
    pub directory: Directory,
    /// Compressed updates that are passed on to peers.
    pub cache: Cache,
    /// This host's quota of extra attempts.
    pub budget: Budget,
    /// How often the store was restored from a copy; `None` before this host has heard of the
    /// store. When it rises, the tasks that write rows for this host check whether these still
    /// exist.
    pub era: watch::Sender<Option<Era>>,
    /// Name of this host.
    pub host: Name,
    /// Strength class of this host's machine.
    pub class: u8,
    /// Bandwidth of this host's link, in megabits per second.
    pub link_mbps: f64,
}

/// The period since the store was last restored from a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Era {
    /// Number of restores so far.
    pub number: u64,
    /// When this host learnt of the last restore; `None` if it did not know the store before.
    pub started_at: Option<Millis>,
}

/// Difference, in milliseconds, up to which two clocks (of two hosts, or of a host and the store)
/// may disagree about when a roll-out began, before it is corrected.
pub const CLOCK_DRIFT_MAX_MS: u64 = 100;

/// What peers are notified of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Notice {
    /// To all peers: how new the lists are that this host reads, and the states of roll-outs if it
    /// is the delegate.
    Positions,
    /// To all peers: the states of roll-outs, which this host has just written or read.
    Rollouts,
    /// To the delegate of the failure domain: what this host counted during roll-outs.
    Counts,
    /// To all peers: a change of a list that is too long to be passed on is arriving at this host.
    Incoming(List),
    /// To all peers: this host is reading all of a list.
    WholeRead(List),
    /// To all peers: what is new about requests suspected of crashing servers.
    Suspects,
    /// To the peer that gave a list: this host overrides entries of it since the store was restored
    /// from a copy.
    Overrides(List, SocketAddr),
}

/// Time limits for changes, as the settings give them.
#[must_use]
pub fn bounds(settings: &wire::settings::Node) -> Bounds {
    Bounds {
        change_ms: settings.change_ms.min(settings.leaving_ms),
        alone_ms: relay::alone_ms(settings.contact_ms),
    }
}

impl<S: Store, C: Codec> Watch<S, C> {
    /// Builds a snapshot and publishes it to requests. Servers that have vanished since the
    /// snapshot before are reported as possible crashes.
    pub fn publish(&self) {
        let published = self.catalog.publish(&self.state.snapshot, clock::steady());
        if published.is_complete {
            self.state.started.cancel();
        }
        for server in &published.vanished_servers {
            self.state.poison.record_ended(server);
        }
        if !published.vanished_servers.is_empty() {
            self.state.poison.alarm();
        }
    }

    /// The follower of a list.
    pub fn follower(&self, list: List) -> &Follower {
        match list {
            List::Operators => &self.followers[0],
            List::Backends => &self.followers[1],
        }
    }

    /// Follows one list until the process ends.
    pub async fn run(self: Arc<Self>, list: List) {
        let follower = self.follower(list);
        let mut delay_ms = RETRY_DELAY_MIN_MS;
        let mut has_store = true;
        loop {
            let hold = match follower.action(clock::steady()) {
                Action::Read { hold_ms } => Duration::from_millis(hold_ms),
                Action::Listen { until } => {
                    let within = Duration::from_millis(until.since(clock::steady()).max(1));
                    follower.wait(within).await;
                    continue;
                }
            };
            let requested_at = clock::steady();
            let answer = match follower.request_after() {
                None => self.read_whole(list).await,
                Some(after) => {
                    let overdue = Duration::from_millis(follower.relay().overdue_ms());
                    let on_head = |bytes| self.accept_head(list, bytes);
                    self.store.follow(list, after, hold, overdue, on_head).await
                }
            };
            follower.set_incoming(false);
            record_call(list, hold, &answer);
            if let Ok(Answer { update, arrival, store_ms }) = &answer {
                follower.record_bytes(arrival.bytes, update.is_whole);
                follower.record_answered(*store_ms, clock::steady());
                self.publish_currency();
            }
            let update = answer.map(|answer| answer.update);
            let changes = match self.accept_answer(list, update) {
                Ok(count) => {
                    if !has_store {
                        log::info!(target: "watch", list:? = list; "store answers again");
                    }
                    has_store = true;
                    delay_ms = RETRY_DELAY_MIN_MS;
                    if list == List::Backends { count } else { 0 }
                }
                Err(error) => {
                    if has_store {
                        log::warn!(target: "watch", list:? = list, error:% = error;
                            "list can't be read from the store");
                    }
                    has_store = false;
                    // Requests that wait for the start are rejected at once, because this host
                    // can't serve them yet.
                    self.state.started.cancel();
                    self.fetch_missing(list);
                    let waited_ms = clock::steady().since(requested_at);
                    let hold_ms = hold.as_millis() as u64;
                    follower.relay().record_unanswered(waited_ms, hold_ms, clock::steady());
                    // Until the store has answered again, calls ask for no hold time. A call sent
                    // while the store is silent is never answered, and its return must be noticed
                    // at once.
                    follower.relay().record_failure(delay_ms, rand::random(), clock::steady());
                    delay_ms = (delay_ms * 2).min(RETRY_DELAY_MAX_MS);
                    0
                }
            };
            if changes > 0 {
                let gather_ms = follower.relay().gather_ms(changes);
                tokio::time::sleep(Duration::from_millis(gather_ms)).await;
            }
        }
    }

    /// Called when the head of the store's answer has come, with the length of the body. Returns
    /// whether to read on.
    ///
    /// If the change of the routing table takes this host's link too long, the peers read it from
    /// the store themselves and begin now: once this host has all of it, passing it through the
    /// failure domain would be too late. A long table in which little has changed is passed on as
    /// an edit.
    fn accept_head(&self, list: List, bytes: u64) -> bool {
        if bytes <= exchange::MESSAGE_BYTES_MAX as u64 {
            return true;
        }
        let follower = self.follower(list);
        let is_table = list == List::Operators;
        let is_waited_for = follower.relay().can_relay_in_time(bytes, self.link_mbps);
        let is_long_change = is_table && !is_waited_for && follower.is_long_change(bytes);
        follower.set_incoming(is_long_change);
        if is_long_change && follower.relay().is_first_reader(clock::steady()) {
            log::info!(target: "watch", list:? = list, bytes, link_mbps = self.link_mbps;
                "long answer is arriving, peers notified");
            self.notify(Notice::Incoming(list));
        }
        !follower.is_reread_shorter(bytes)
    }

    /// Applies the store's answer. Returns how many changes it brought.
    fn accept_answer(&self, list: List, update: Result<Update, Error>) -> Result<usize, Error> {
        let follower = self.follower(list);
        let update = match update {
            Ok(update) => update,
            Err(error @ (Error::Forgotten | Error::Declined)) => {
                let after = follower.revision().unwrap_or_default();
                log::info!(target: "watch", list:? = list, why:% = error, after:%;
                    "changes not usable, reading the whole list");
                follower.mark_incomplete();
                return Ok(0);
            }
            Err(error) => return Err(error),
        };
        self.record_contact(list, clock::steady());
        let own = follower.revision().unwrap_or_default();
        let is_stale = update.is_whole && update.revision < own.stored();
        if !self.accept(list, &update) || is_stale {
            // The store has answered from an old state; the list is read again in a moment.
            follower.relay().record_failure(RETRY_DELAY_MIN_MS, rand::random(), clock::steady());
            return Ok(0);
        }
        follower.record_read(clock::steady());
        self.notify_positions();
        Ok(update.entries.len())
    }

    /// Records that the store's state was current at `fresh_at`, as this host has read it or a peer
    /// reports.
    ///
    /// Entries of live servers lapse only while the store is away for long, and then it leaves the
    /// calls of every host unanswered. A call or two that failed, and a host that did not run, say
    /// nothing: if they counted as an absence, servers that have really left would be used for
    /// seconds more.
    fn record_contact(&self, list: List, fresh_at: Millis) {
        let now = clock::steady();
        self.catalog.set_answered_at(list.name(), now);
        let mut relay = self.follower(list).relay();
        let is_recent = now.since(fresh_at) < relay.change_ms();
        let was_away = is_recent && relay.end_outage(now);
        drop(relay);
        if !was_away || list != List::Backends {
            return;
        }
        log::info!(target: "watch", list:? = list; "the store was away, entries may have lapsed");
        self.catalog.with_roster(|roster| {
            roster.record_unreachable(now);
            roster.record_reached(now);
        });
    }

    /// Tells requests when the list of backend servers was last known to be current.
    pub(super) fn publish_currency(&self) {
        if let Some(at) = self.follower(List::Backends).current_at() {
            self.state.listed_at.store(at.0, Ordering::Relaxed);
        }
    }

    /// Shares the retry budget of the failure domain among the hosts that are known now.
    pub fn update_retry_budget(&self) {
        self.budget.set_host_count(self.directory.count() + 1);
        self.state.allowance.store(Arc::new(self.budget.allowance()));
    }

    /// Notifies all peers of how new the lists are that this host reads, and of the states of
    /// roll-outs if it is the delegate.
    pub fn notify_positions(&self) {
        self.notify(Notice::Positions);
    }

    /// Notifies all peers of the states of roll-outs. The host that has written a record does this,
    /// even if another host is the delegate by now.
    pub fn notify_rollouts(&self) {
        self.notify(Notice::Rollouts);
    }

    /// Notifies the delegate of the failure domain of what this host counted.
    pub fn notify_counts(&self) {
        self.notify(Notice::Counts);
    }

    /// Whether this host calls the store on behalf of its failure domain, or reads for itself
    /// alone.
    pub fn is_delegate(&self) -> bool {
        let relay = self.follower(List::Operators).relay();
        let now = clock::steady();
        relay.reads_alone(now) || relay.reads_for_others(now)
    }

    /// Whether the store was restored from a copy within the last `ms` milliseconds. What was
    /// written shortly before the restore may be lost.
    #[must_use]
    pub fn was_restored_within(&self, ms: u64, now: Millis) -> bool {
        let started_at = self.era.borrow().and_then(|era| era.started_at);
        started_at.is_some_and(|started_at| now.since(started_at) < ms)
    }

    /// Queues a notice for peers.
    pub fn notify(&self, notice: Notice) {
        if self.notifier.try_send(notice).is_err() {
            // The queue is full, or this host exchanges no messages. Peers learn of it from the
            // next message, or read from the store themselves.
            metrics::counter!("node_relay_unsent_total").increment(1);
        }
    }

    /// Tells requests which hosts of the failure domain are alive.
    fn publish_peers(&self) {
        let hash = |name: &Name| place::hash(name.as_bytes());
        let relay = self.follower(List::Backends).relay();
        let others = relay.alive(clock::steady()).map(hash).collect();
        drop(relay);
        self.state.peers.store(Arc::new(Some(Peers { own: hash(&self.host), others })));
    }

    /// Gives up the overrides that were not written to the store again in time.
    fn expire_overrides(&self) {
        for list in List::ALL {
            if let Some(update) = self.follower(list).expired_overrides(clock::steady()) {
                log::info!(target: "watch", list:? = list, revision:% = update.revision,
                    count = update.entries.len();
                    "overrides given up: their entries were not written again");
                self.accept(list, &update);
            }
        }
    }

    /// Gives up backend servers whose entries have lapsed for too long, gives up overrides, and
    /// logs lists that are behind; runs until the process ends.
    pub async fn maintain(self: Arc<Self>) {
        const INTERVAL: Duration = Duration::from_millis(100);
        /// Rounds between two updates of the peers that are alive.
        const PEERS_ROUNDS: usize = 10;
        for round in 1.. {
            tokio::time::sleep(INTERVAL).await;
            if round % PEERS_ROUNDS == 0 {
                self.publish_peers();
            }
            self.followers.iter().for_each(|follower| follower.log_behind(clock::steady()));
            self.expire_overrides();
            if self.catalog.next_lapse().is_some_and(|lapse| lapse <= clock::steady()) {
                log::info!(target: "watch", "lapsed backend servers given up");
                self.publish();
            }
        }
    }
}

/// Records metrics of a call of the store, and logs answers that changed the operators' list.
fn record_call(list: List, hold: Duration, answer: &Result<Answer, Error>) {
    let outcome = answer.as_ref().map_or_else(Error::label, |_| "answered");
    let name = list.name();
    metrics::counter!("node_store_calls_total", "list" => name, "outcome" => outcome).increment(1);
    let Ok(Answer { update, arrival, .. }) = answer else { return };
    metrics::counter!("node_store_bytes_total", "list" => name).increment(arrival.bytes);
    let body_ms = arrival.whole_ms.saturating_sub(arrival.head_ms);
    metrics::histogram!("node_store_body_seconds", "list" => name).record(body_ms as f64 / 1e3);
    if list == List::Operators && !update.entries.is_empty() {
        log::info!(target: "watch", list:? = list, revision:% = update.revision, bytes = arrival.bytes,
            head_ms = arrival.head_ms, body_ms, hold_ms = hold.as_millis() as u64;
            "update read from the store");
    }
}
