//! Follows the store's lists, and makes the world anew when they change.

use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use gateway::{Codec, State};
use policy::name::Name;
use tokio::sync::mpsc;
use wire::store::Error;

use crate::facts::Facts;
use crate::store::{Entry, Fact, List, News, Store};

/// How long the store may hold a question back while nothing changes. A connection that has gone
/// silent shows only after that, and a change must be in force within seconds; each question has
/// its price, and all hosts ask. Shorter than the three heartbeats after which a silent server's
/// entry lapses, so that an outage long enough for that is noticed.
const WAIT: Duration = Duration::from_millis(3_500);
/// An answer that comes so much later than the store was asked to hold it back comes from a store
/// that was away meanwhile.
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
    pub facts: Arc<Facts>,
    /// Where worlds go.
    pub state: Arc<State<C>>,
    /// Services whose orders are new.
    pub orders: mpsc::UnboundedSender<Name>,
}

impl<S: Store, C: Codec> Watch<S, C> {
    /// Makes the world anew.
    pub fn publish(&self) {
        self.state.world.store(Arc::new(self.facts.world(clock::steady())));
    }

    /// Follows one list until the process ends.
    pub async fn run(self: Arc<Self>, list: List) {
        let mut pause_ms = PAUSE_MS;
        let mut after = None;
        let mut reached = true;
        loop {
            // A question that was asked while the store was silent is never answered. Until it has
            // answered again nothing is held back, so that its return is heard at once.
            let wait = if reached { WAIT } else { Duration::ZERO };
            let asked = clock::steady();
            let news = match after {
                None => self.store.read(list).await,
                Some(after) => self.store.follow(list, after, wait).await,
            };
            let outcome = news.as_ref().map_or_else(Error::label, |_| "answered");
            metrics::counter!("node_store_calls_total", "list" => list.name(), "outcome" => outcome)
                .increment(1);
            let held_back = Duration::from_millis(clock::steady().since(asked));
            if held_back > wait + LATE {
                self.away();
            }
            match news {
                Ok(news) => {
                    self.facts.set_heard(list.name(), clock::steady());
                    if !reached {
                        log::info!(target: "watch", list:? = list; "store regained");
                    }
                    reached = true;
                    pause_ms = PAUSE_MS;
                    self.facts.with_roster(|roster| roster.reached(clock::steady()));
                    let is_news = !news.entries.is_empty();
                    after = self.take(list, news, after.is_none());
                    if after.is_some() {
                        if is_news && list == List::Backends {
                            tokio::time::sleep(GATHER).await;
                        }
                        continue;
                    }
                }
                Err(Error::Forgotten) => {
                    log::info!(target: "watch", list:? = list, after:? = after;
                        "history dropped, read afresh");
                    after = None;
                }
                Err(error) => {
                    if reached {
                        log::warn!(target: "watch", list:? = list, error:% = error; "store lost");
                    }
                    reached = false;
                    self.away();
                }
            }
            let draw: f64 = rand::random();
            tokio::time::sleep(Duration::from_millis(pause_ms).mul_f64(0.5 + draw / 2.0)).await;
            pause_ms = (pause_ms * 2).min(PAUSE_MAX_MS);
        }
    }

    /// The store is away, or was. Entries that lapse meanwhile are no deaths.
    fn away(&self) {
        self.facts.with_roster(|roster| roster.away(clock::steady()));
    }

    /// Takes what came; the revision to go on behind, or none if it is older than what is known.
    fn take(&self, list: List, news: News, whole: bool) -> Option<u64> {
        let revision = news.revision;
        let taken = match list {
            List::Operators => self.take_operators(news),
            List::Backends => self.take_backends(news, whole),
        };
        taken.then_some(revision)
    }

    fn take_operators(&self, news: News) -> bool {
        let mut changed = false;
        for Entry { key, revision, fact } in news.entries {
            match fact {
                Fact::Table(table) => {
                    let version = table.version;
                    // The store took it, so it is in force whatever is odd about it.
                    for fault in wire::routing::check(&table) {
                        log::warn!(target: "watch", table = version, fault:% = fault; "table has a fault");
                    }
                    let taken = self.facts.take_table(*table);
                    changed |= taken;
                    log::info!(target: "watch", table = version, revision, taken;
                        "table of routes read");
                }
                Fact::Order(order) => {
                    let service = order.service.clone();
                    let target = order.target.clone();
                    let taken = self.facts.take_order(order, revision);
                    changed |= taken;
                    log::info!(target: "watch", service:% = service, version:% = target, revision,
                        taken; "order read");
                    if taken && self.orders.send(service).is_err() {
                        log::warn!(target: "watch", "nobody takes orders any more");
                    }
                }
                Fact::Unreadable(why) => {
                    log::error!(target: "watch", key:% = key, revision, why:% = why;
                        "entry unreadable, the one before stays in force");
                }
                Fact::Backend(_) | Fact::Removed => {}
            }
        }
        if changed {
            self.publish();
        }
        true
    }

    fn take_backends(&self, news: News, whole: bool) -> bool {
        let now = clock::steady();
        let count = news.entries.len();
        let revision = news.revision;
        let taken = self.facts.with_roster(|roster| match whole {
            true => {
                let rows = news.entries.iter().filter_map(|entry| match &entry.fact {
                    Fact::Backend(backend) => Some((backend.clone(), entry.revision)),
                    _ => None,
                });
                roster.replace(rows.collect(), revision, now)
            }
            false => {
                for entry in &news.entries {
                    match &entry.fact {
                        Fact::Backend(backend) => roster.put(backend.clone(), entry.revision),
                        Fact::Removed => roster.remove(&entry.key, entry.revision, now),
                        _ => {}
                    }
                }
                true
            }
        });
        for entry in &news.entries {
            log_backend(entry);
        }
        if !taken {
            log::info!(target: "watch", revision, count; "stale list of backend servers ignored");
            return false;
        }
        if whole {
            self.facts.set_roster_read();
        }
        if whole || count > 0 {
            self.publish();
        }
        true
    }

    /// Gives up lapsed backend servers when their time has come; runs until the process ends.
    pub async fn settle(self: Arc<Self>) {
        const EVERY: Duration = Duration::from_millis(100);
        loop {
            tokio::time::sleep(EVERY).await;
            if self.facts.next_lapse().is_some_and(|lapse| lapse <= clock::steady()) {
                log::info!(target: "watch", "lapsed backend servers given up");
                self.publish();
            }
        }
    }
}

fn log_backend(entry: &Entry) {
    match &entry.fact {
        Fact::Backend(backend) => {
            log::info!(target: "watch", backend:% = backend.id, service:% = backend.service,
                version:% = backend.version, address:% = backend.address,
                draining = backend.draining, revision = entry.revision; "backend server listed");
        }
        Fact::Removed => {
            log::info!(target: "watch", backend:% = entry.key, revision = entry.revision;
                "backend server removed");
        }
        Fact::Unreadable(why) => {
            log::error!(target: "watch", key:% = entry.key, why:% = why; "entry unreadable");
        }
        Fact::Table(_) | Fact::Order(_) => {}
    }
}
