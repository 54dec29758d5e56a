//! Follows the store's lists, and makes the world anew when they change.

mod peers;
mod share;
mod start;
mod take;

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
use crate::exchange::{self, Shelf};
use crate::follow::Follow;
use crate::store::{Answer, List, News, Store};

/// An answer whose head comes so much later than the store was asked to hold it back comes from a
/// store that was away meanwhile.
const LATE: Duration = Duration::from_millis(150);
/// Between two questions about backend servers when the first brought news. Many servers come or
/// go together; one question for each of them would make most of a large fleet's calls. Work must
/// not go to a leaving server for longer than about two seconds.
const GATHER: Duration = Duration::from_secs(1);
/// Pause after a failed call, first and longest; drawn from half of it up to all of it.
const PAUSE_MS: u64 = 100;
const PAUSE_MAX_MS: u64 = 800;

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
    pub follows: Arc<[Follow; 2]>,
    /// Wakes whoever tells the other hosts of the failure domain.
    pub notifier: mpsc::Sender<Notice>,
    /// What other hosts of the failure domain counted of roll-outs.
    pub counts: Counts,
    /// Who they are.
    pub directory: Directory,
    /// What is passed on to them.
    pub shelf: Shelf,
    /// This host's part of the requests that may be sent again.
    pub budget: Budget,
    /// When the store's state was last known to be new, by any list.
    pub fresh: AtomicU64,
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
    pub began: Option<Millis>,
}

/// Clocks of two hosts, or a host's and the store's, may part by this much in what they say of a
/// roll-out's age, in milliseconds, before it is set right.
pub const DRIFT_MS: u64 = 100;

/// What the other hosts of the failure domain are to be notified of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Notice {
    /// All of them: how new the lists are that this host reads, and how roll-outs stand.
    Positions,
    /// All of them: how roll-outs stand, as this host has just written or read.
    Records,
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
    Doubts(List, SocketAddr),
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
        let published = self.catalog.publish(&self.state.snapshot, clock::steady());
        if published.is_complete {
            self.state.started.cancel();
        }
        for server in &published.gone {
            self.state.poison.record_ended(server);
        }
        if !published.gone.is_empty() {
            self.state.poison.alarm();
        }
    }

    /// A list as it is followed.
    pub fn follow(&self, list: List) -> &Follow {
        match list {
            List::Operators => &self.follows[0],
            List::Backends => &self.follows[1],
        }
    }

    /// Follows one list until the process ends.
    pub async fn run(self: Arc<Self>, list: List) {
        let follow = self.follow(list);
        let mut pause_ms = PAUSE_MS;
        let mut reached = true;
        loop {
            let hold = match follow.action(clock::steady()) {
                Action::Read { hold_ms } => Duration::from_millis(hold_ms),
                Action::Listen { until } => {
                    let within = Duration::from_millis(until.since(clock::steady()).max(1));
                    follow.wait(within).await;
                    continue;
                }
            };
            let asked = clock::steady();
            let answer = match follow.asked_after() {
                None => self.read_whole(list).await,
                Some(after) => {
                    let on_head = |bytes| self.announce(list, bytes);
                    self.store.follow(list, after, hold, on_head).await
                }
            };
            follow.set_incoming(false);
            count(list, hold, &answer);
            if let Ok(Answer { news, arrival }) = &answer {
                follow.note_bytes(arrival.bytes, news.is_whole);
            }
            let took = Duration::from_millis(clock::steady().since(asked));
            if was_away(&answer, took, hold) {
                log::info!(target: "watch", list:? = list, took_ms = took.as_millis() as u64,
                    hold_ms = hold.as_millis() as u64; "late answer, the store was away meanwhile");
                self.away(list);
            }
            let news = answer.map(|answer| answer.news);
            let changes = match self.hear(list, news) {
                Ok(count) => {
                    if !reached {
                        log::info!(target: "watch", list:? = list; "store regained");
                    }
                    reached = true;
                    pause_ms = PAUSE_MS;
                    if list == List::Backends { count } else { 0 }
                }
                Err(error) => {
                    if reached {
                        log::warn!(target: "watch", list:? = list, error:% = error; "store lost");
                    }
                    reached = false;
                    // Callers learn at once that this host can't serve them yet.
                    self.state.started.cancel();
                    self.take_without_the_store(list);
                    // Until the store has answered again nothing is held back: a question asked
                    // while it is silent is never answered, and its return must be heard at once.
                    follow.relay().failed(pause_ms, rand::random(), clock::steady());
                    pause_ms = (pause_ms * 2).min(PAUSE_MAX_MS);
                    0
                }
            };
            if changes > 0 {
                tokio::time::sleep(self.gather(list, changes)).await;
            }
        }
    }

    /// An answer of the store has begun; whether it is read on. A change of the table that takes this host's
    /// link too long the others read themselves, and begin now: once this host has all of it, the way
    /// through the domain would be late. A long table in which little has changed is passed on as an edit.
    fn announce(&self, list: List, bytes: u64) -> bool {
        if bytes <= exchange::MESSAGE_BYTES_MAX as u64 {
            return true;
        }
        let follow = self.follow(list);
        let is_table = list == List::Operators;
        let is_waited_for = follow.relay().is_waited_for(bytes, self.link_mbps);
        let is_long_change = is_table && !is_waited_for && follow.is_long_change(bytes);
        follow.set_incoming(is_long_change);
        if is_long_change && follow.relay().reads_first(clock::steady()) {
            log::info!(target: "watch", list:? = list, bytes, link_mbps = self.link_mbps;
                "long answer begins, others notified");
            self.notify(Notice::Incoming(list));
        }
        !follow.is_shorter_afresh(bytes)
    }

    /// How long changes gather before the store is asked for more, behind so many.
    fn gather(&self, list: List, changes: usize) -> Duration {
        let relay = self.follow(list).relay();
        match relay.reads_for_others(clock::steady()) {
            true => Duration::from_millis(relay.gather_ms(changes)),
            false => GATHER,
        }
    }

    /// What the store answered; how many changes it brought.
    fn hear(&self, list: List, news: Result<News, Error>) -> Result<usize, Error> {
        let follow = self.follow(list);
        let news = match news {
            Ok(news) => news,
            Err(error @ (Error::Forgotten | Error::Declined)) => {
                let after = follow.revision().unwrap_or_default();
                log::info!(target: "watch", list:? = list, why:% = error, after:%;
                    "list read afresh");
                follow.forgotten();
                return Ok(0);
            }
            Err(error) => {
                self.away(list);
                return Err(error);
            }
        };
        self.reached(list, clock::steady());
        let own = follow.revision().unwrap_or_default();
        let is_old = news.is_whole && news.revision < own.stored();
        if !self.take(list, &news) || is_old {
            // Read afresh in a moment: the store has answered from an old state.
            follow.relay().failed(PAUSE_MS, rand::random(), clock::steady());
            return Ok(0);
        }
        follow.read(clock::steady());
        self.share_positions();
        Ok(news.entries.len())
    }

    /// The store's state was new at that time, as this host read or heard.
    ///
    /// Entries lapse only while the store is away for their servers, and then it is away for the
    /// hosts as well. A host that reads alone knows that from its calls. Among others a call that
    /// fails says nothing: another host has read meanwhile. To take that for an absence would keep
    /// servers in use for seconds that had really left.
    fn reached(&self, list: List, fresh: Millis) {
        self.catalog.set_heard(list.name(), clock::steady());
        let before = Millis(self.fresh.fetch_max(fresh.0, Ordering::Relaxed));
        let relay = self.follow(list).relay();
        let (is_alone, away_ms) = (relay.is_alone(clock::steady()), relay.away_ms());
        drop(relay);
        let was_away = !is_alone && before > Millis(0) && fresh.since(before) > away_ms;
        if was_away {
            log::info!(target: "watch", list:? = list, without_ms = fresh.since(before);
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
    pub fn share_repeats(&self) {
        self.budget.set_hosts(self.directory.count() + 1);
        self.state.allowance.store(Arc::new(self.budget.allowance()));
    }

    /// Tells the others how new the lists are that this host reads, and how roll-outs stand.
    pub fn share_positions(&self) {
        self.notify(Notice::Positions);
    }

    /// Tells the others how roll-outs stand. Whoever has written that tells them, also if another
    /// host is the delegate by now.
    pub fn share_records(&self) {
        self.notify(Notice::Records);
    }

    /// Tells the delegate of the domain what this one counted.
    pub fn share_counts(&self) {
        self.notify(Notice::Counts);
    }

    /// Whether this host calls the store for what concerns its failure domain, or itself alone.
    pub fn is_delegate(&self) -> bool {
        let relay = self.follow(List::Operators).relay();
        let now = clock::steady();
        relay.is_alone(now) || relay.reads_for_others(now)
    }

    /// Whether the store has come back from a copy lately: what was written shortly before may be lost.
    #[must_use]
    pub fn is_back_within(&self, ms: u64, now: Millis) -> bool {
        let began = self.era.borrow().and_then(|era| era.began);
        began.is_some_and(|began| now.since(began) < ms)
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
    fn away(&self, list: List) {
        if self.follow(list).relay().is_alone(clock::steady()) {
            self.catalog.with_roster(|roster| roster.away(clock::steady()));
        }
    }

    /// Lets requests know which hosts of the failure domain live.
    fn see_peers(&self) {
        let hash = |name: &Name| place::hash(name.as_bytes());
        let relay = self.follow(List::Backends).relay();
        let others = relay.alive(clock::steady()).map(hash).collect();
        drop(relay);
        self.state.peers.store(Arc::new(Some(Peers { own: hash(&self.host), others })));
    }

    /// What was held on to against the store's lists since its return from a copy, and was not written again, is given
    /// up when its time has come.
    fn settle_doubts(&self) {
        for list in List::ALL {
            if let Some(news) = self.follow(list).settle(clock::steady()) {
                log::info!(target: "watch", list:? = list, revision:% = news.revision,
                    count = news.entries.len(); "what was not written again is given up");
                self.take(list, &news);
            }
        }
    }

    /// Gives up lapsed backend servers when their time has come, and tells of lists that are behind;
    /// runs until the process ends.
    pub async fn settle(self: Arc<Self>) {
        const EVERY: Duration = Duration::from_millis(100);
        /// Looks between two at who is there.
        const PEERS: usize = 10;
        for look in 1.. {
            tokio::time::sleep(EVERY).await;
            if look % PEERS == 0 {
                self.see_peers();
            }
            self.follows.iter().for_each(|follow| follow.log_behind(clock::steady()));
            self.settle_doubts();
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
pub fn was_away(answer: &Result<Answer, Error>, took: Duration, hold: Duration) -> bool {
    let waited = match answer {
        Ok(answer) => Duration::from_millis(answer.arrival.head_ms),
        Err(_) => took,
    };
    waited > hold + LATE
}

/// What a call of the store took, for operators.
fn count(list: List, hold: Duration, answer: &Result<Answer, Error>) {
    let outcome = answer.as_ref().map_or_else(Error::label, |_| "answered");
    let name = list.name();
    metrics::counter!("node_store_calls_total", "list" => name, "outcome" => outcome).increment(1);
    let Ok(Answer { news, arrival }) = answer else { return };
    metrics::counter!("node_store_bytes_total", "list" => name).increment(arrival.bytes);
    let body_ms = arrival.whole_ms.saturating_sub(arrival.head_ms);
    metrics::histogram!("node_store_body_seconds", "list" => name).record(body_ms as f64 / 1e3);
    if list == List::Operators && !news.entries.is_empty() {
        log::info!(target: "watch", list:? = list, revision:% = news.revision, bytes = arrival.bytes,
            head_ms = arrival.head_ms, body_ms, hold_ms = hold.as_millis() as u64; "news read");
    }
}
