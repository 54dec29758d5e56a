//! Follows the store's lists, and makes the world anew when they change.

mod accept;
mod fetch;
mod peers;
mod start;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
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

/// An answer whose head comes so much later than the store was asked to hold it back comes from a
/// store that was away meanwhile.
const LATE_THRESHOLD: Duration = Duration::from_millis(150);
/// Between two questions about backend servers when the first brought news. Many servers come or
/// go together; one question for each of them would make most of a large fleet's calls. Work must
/// not go to a leaving server for longer than about two seconds.
const BACKENDS_BATCH_DELAY: Duration = Duration::from_secs(1);
/// Pause after a failed call, first and longest; drawn from half of it up to all of it.
const RETRY_DELAY_MIN_MS: u64 = 100;
const RETRY_DELAY_MAX_MS: u64 = 800;

/// What the watchers share.
pub struct Watch<S, C> {
    /// The store.
    pub store: Arc<S>,
    /// What was read.
    pub catalog: Arc<Catalog>,
    /// Where worlds go.
    pub state: Arc<State<C>>,
    /// Services whose orders are new.
    pub orders: mpsc::UnboundedSender<Name>,
    /// The lists.
    pub followers: Arc<[Follower; 2]>,
    /// Wakes whoever tells the other hosts of the failure domain.
    pub notifier: mpsc::Sender<Notice>,
    /// What other hosts of the failure domain counted of roll-outs.
    pub counts: Counts,
    /// Who they are.
    pub directory: Directory,
    /// What is passed on to them.
    pub cache: Cache,
    /// This host's part of the requests that may be sent again.
    pub budget: Budget,
    /// When the store's state was last known to be new, by any list.
    pub fresh_at: AtomicU64,
    /// How often the store has come back from a copy, once that is known. Whoever writes rows of this host looks
    /// whether they are still there when it rises.
    pub era: watch::Sender<Option<Era>>,
    /// This host's name.
    pub host: Name,
    /// Its strength.
    pub class: u8,
    /// Megabits a second of its link.
    pub link_mbps: f64,
}

/// The store's life since it last came back from a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Era {
    /// How often it has come back.
    pub number: u64,
    /// When this host learnt of the last return; none if it has not known the store before.
    pub started_at: Option<Millis>,
}

/// Clocks of two hosts, or a host's and the store's, may part by this much in what they say of a
/// roll-out's age, in milliseconds, before it is set right.
pub const CLOCK_DRIFT_MAX_MS: u64 = 100;

/// What the other hosts of the failure domain are to be notified of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Notice {
    /// All of them: how new the lists are that this host reads, and how roll-outs stand.
    Positions,
    /// All of them: how roll-outs stand, as this host has just written or read.
    Rollouts,
    /// The one that speaks for the domain: what this host counted of roll-outs.
    Counts,
    /// All of them: a change of a list is on its way to this host that is too long to be passed on.
    Incoming(List),
    /// All of them: this host is reading all of a list.
    WholeRead(List),
    /// All of them: what is new of requests that were lost with their servers.
    Suspects,
    /// The one that gave a list: this host holds on to something against it, since the store has come back from a
    /// copy.
    Overrides(List, SocketAddr),
}

/// How long changes may take, as the settings say.
#[must_use]
pub fn bounds(settings: &wire::settings::Node) -> Bounds {
    Bounds {
        change_ms: settings.change_ms.min(settings.leaving_ms),
        alone_ms: relay::alone_ms(settings.contact_ms),
    }
}

impl<S: Store, C: Codec> Watch<S, C> {
    /// Makes the world anew.
    pub fn publish(&self) {
        let published = self.catalog.publish(&self.state.world, clock::steady());
        if published.is_complete {
            self.state.started.cancel();
        }
        for server in &published.vanished_servers {
            self.state.poison.ended(server);
        }
        if !published.vanished_servers.is_empty() {
            self.state.poison.alarm();
        }
    }

    /// A list as it is followed.
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
            let asked = clock::steady();
            let answer = match follower.request_after() {
                None => self.read_whole(list).await,
                Some(after) => {
                    let on_head = |bytes| self.accept_head(list, bytes);
                    self.store.follow(list, after, hold, on_head).await
                }
            };
            follower.set_incoming(false);
            record_call(list, hold, &answer);
            if let Ok(Answer { update, arrival }) = &answer {
                follower.record_bytes(arrival.bytes, update.is_whole);
            }
            let took = Duration::from_millis(clock::steady().since(asked));
            if was_store_away(&answer, took, hold) {
                log::info!(target: "watch", list:? = list, took_ms = took.as_millis() as u64,
                    hold_ms = hold.as_millis() as u64; "late answer, the store was away meanwhile");
                self.record_absence(list);
            }
            let update = answer.map(|answer| answer.update);
            let changes = match self.accept_answer(list, update) {
                Ok(count) => {
                    if !has_store {
                        log::info!(target: "watch", list:? = list; "store regained");
                    }
                    has_store = true;
                    delay_ms = RETRY_DELAY_MIN_MS;
                    if list == List::Backends { count } else { 0 }
                }
                Err(error) => {
                    if has_store {
                        log::warn!(target: "watch", list:? = list, error:% = error; "store lost");
                    }
                    has_store = false;
                    // Callers learn at once that this host can't serve them yet.
                    self.state.started.cancel();
                    self.fetch_missing(list);
                    // Until the store has answered again nothing is held back: a question asked
                    // while it is silent is never answered, and its return must be heard at once.
                    follower.relay().failed(delay_ms, rand::random(), clock::steady());
                    delay_ms = (delay_ms * 2).min(RETRY_DELAY_MAX_MS);
                    0
                }
            };
            if changes > 0 {
                tokio::time::sleep(self.batch_delay(list, changes)).await;
            }
        }
    }

    /// An answer of the store has begun; whether it is read on. A change of the table that takes this host's
    /// link too long the others read themselves, and begin now: once this host has all of it, the way
    /// through the domain would be late. A long table in which little has changed is passed on as an edit.
    fn accept_head(&self, list: List, bytes: u64) -> bool {
        if bytes <= exchange::MESSAGE_BYTES_MAX as u64 {
            return true;
        }
        let follower = self.follower(list);
        let is_table = list == List::Operators;
        let is_waited_for = follower.relay().is_waited_for(bytes, self.link_mbps);
        let is_long_change = is_table && !is_waited_for && follower.is_long_change(bytes);
        follower.set_incoming(is_long_change);
        if is_long_change && follower.relay().reads_first(clock::steady()) {
            log::info!(target: "watch", list:? = list, bytes, link_mbps = self.link_mbps;
                "long answer begins, others notified");
            self.notify(Notice::Incoming(list));
        }
        !follower.is_reread_shorter(bytes)
    }

    /// How long changes gather before the store is asked for more, behind so many.
    fn batch_delay(&self, list: List, changes: usize) -> Duration {
        let relay = self.follower(list).relay();
        match relay.reads_for_others(clock::steady()) {
            true => Duration::from_millis(relay.gather_ms(changes)),
            false => BACKENDS_BATCH_DELAY,
        }
    }

    /// What the store answered; how many changes it brought.
    fn accept_answer(&self, list: List, update: Result<Update, Error>) -> Result<usize, Error> {
        let follower = self.follower(list);
        let update = match update {
            Ok(update) => update,
            Err(error @ (Error::Forgotten | Error::Declined)) => {
                let after = follower.revision().unwrap_or_default();
                log::info!(target: "watch", list:? = list, why:% = error, after:%;
                    "list read afresh");
                follower.mark_incomplete();
                return Ok(0);
            }
            Err(error) => {
                self.record_absence(list);
                return Err(error);
            }
        };
        self.record_contact(list, clock::steady());
        let own = follower.revision().unwrap_or_default();
        let is_stale = update.is_whole && update.revision < own.stored();
        if !self.accept(list, &update) || is_stale {
            // Read afresh in a moment: the store has answered from an old state.
            follower.relay().failed(RETRY_DELAY_MIN_MS, rand::random(), clock::steady());
            return Ok(0);
        }
        follower.record_read(clock::steady());
        self.notify_positions();
        Ok(update.entries.len())
    }

    /// The store's state was new at that time, as this host read or heard.
    ///
    /// Entries lapse only while the store is away for their servers, and then it is away for the
    /// hosts as well. A host that reads alone knows that from its calls. Among others a call that
    /// fails says nothing: another host has read meanwhile. To take that for an absence would keep
    /// servers in use for seconds that had really left.
    fn record_contact(&self, list: List, fresh_at: Millis) {
        self.catalog.set_answered_at(list.name(), clock::steady());
        let before = Millis(self.fresh_at.fetch_max(fresh_at.0, Ordering::Relaxed));
        let relay = self.follower(list).relay();
        let (is_alone, away_ms) = (relay.is_alone(clock::steady()), relay.away_ms());
        drop(relay);
        let was_away = !is_alone && before > Millis(0) && fresh_at.since(before) > away_ms;
        if was_away {
            log::info!(target: "watch", list:? = list, without_ms = fresh_at.since(before);
                "the store was away for all hosts of the domain");
        }
        self.catalog.with_roster(|roster| {
            if was_away {
                roster.away(before);
            }
            roster.reached(clock::steady());
        });
    }

    /// The hosts of the failure domain that are known by now share its requests that may be sent again.
    pub fn update_retry_budget(&self) {
        self.budget.set_host_count(self.directory.count() + 1);
        self.state.allowance.store(Arc::new(self.budget.allowance()));
    }

    /// Tells the others how new the lists are that this host reads, and how roll-outs stand.
    pub fn notify_positions(&self) {
        self.notify(Notice::Positions);
    }

    /// Tells the others how roll-outs stand. Whoever has written that tells them, also if another
    /// host is the delegate by now.
    pub fn notify_rollouts(&self) {
        self.notify(Notice::Rollouts);
    }

    /// Tells the delegate of the domain what this one counted.
    pub fn notify_counts(&self) {
        self.notify(Notice::Counts);
    }

    /// Whether this host calls the store for what concerns its failure domain, or itself alone.
    pub fn is_delegate(&self) -> bool {
        let relay = self.follower(List::Operators).relay();
        let now = clock::steady();
        relay.is_alone(now) || relay.reads_for_others(now)
    }

    /// Whether the store has come back from a copy lately: what was written shortly before may be lost.
    #[must_use]
    pub fn was_restored_within(&self, ms: u64, now: Millis) -> bool {
        let started_at = self.era.borrow().and_then(|era| era.started_at);
        started_at.is_some_and(|started_at| now.since(started_at) < ms)
    }

    /// Has the other hosts of the failure domain notified.
    pub fn notify(&self, notice: Notice) {
        if self.notifier.try_send(notice).is_err() {
            // The sender is behind, or there is none. The others hear with the next message, or read
            // for themselves.
            metrics::counter!("node_relay_unsent_total").increment(1);
        }
    }

    /// A host alone could not read, or late: entries that lapse meanwhile are no deaths.
    fn record_absence(&self, list: List) {
        if self.follower(list).relay().is_alone(clock::steady()) {
            self.catalog.with_roster(|roster| roster.away(clock::steady()));
        }
    }

    /// Lets requests know which hosts of the failure domain live.
    fn publish_peers(&self) {
        let hash = |name: &Name| place::hash(name.as_bytes());
        let relay = self.follower(List::Backends).relay();
        let others = relay.alive(clock::steady()).map(hash).collect();
        drop(relay);
        self.state.peers.store(Arc::new(Some(Peers { own: hash(&self.host), others })));
    }

    /// What was held on to against the store's lists since its return from a copy, and was not written again, is given
    /// up when its time has come.
    fn expire_overrides(&self) {
        for list in List::ALL {
            if let Some(update) = self.follower(list).expire_overrides(clock::steady()) {
                log::info!(target: "watch", list:? = list, revision:% = update.revision,
                    count = update.entries.len(); "what was not written again is given up");
                self.accept(list, &update);
            }
        }
    }

    /// Gives up lapsed backend servers when their time has come, and tells of lists that are behind;
    /// runs until the process ends.
    pub async fn maintain(self: Arc<Self>) {
        const INTERVAL: Duration = Duration::from_millis(100);
        /// Looks between two at who is there.
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

/// Whether an answer came so late that the store was away meanwhile.
///
/// The time to the head of the answer tells; the body's time is the link's. A long table on a narrow
/// link was taken for an absence, and servers that left in the two seconds behind it were kept in
/// use as lapsed.
#[must_use]
pub fn was_store_away(answer: &Result<Answer, Error>, took: Duration, hold: Duration) -> bool {
    let waited = match answer {
        Ok(answer) => Duration::from_millis(answer.arrival.head_ms),
        Err(_) => took,
    };
    waited > hold + LATE_THRESHOLD
}

/// What a call of the store took, for operators.
fn record_call(list: List, hold: Duration, answer: &Result<Answer, Error>) {
    let outcome = answer.as_ref().map_or_else(Error::label, |_| "answered");
    let name = list.name();
    metrics::counter!("node_store_calls_total", "list" => name, "outcome" => outcome).increment(1);
    let Ok(Answer { update, arrival }) = answer else { return };
    metrics::counter!("node_store_bytes_total", "list" => name).increment(arrival.bytes);
    let body_ms = arrival.whole_ms.saturating_sub(arrival.head_ms);
    metrics::histogram!("node_store_body_seconds", "list" => name).record(body_ms as f64 / 1e3);
    if list == List::Operators && !update.entries.is_empty() {
        log::info!(target: "watch", list:? = list, revision:% = update.revision, bytes = arrival.bytes,
            head_ms = arrival.head_ms, body_ms, hold_ms = hold.as_millis() as u64; "news read");
    }
}
