//! Takes what came of a list, from the store or from a peer, into what this host knows.

use entry::clock;
use gateway::Codec;
use policy::evacuation::{self, Change};
use policy::recovery;
use wire::routing::Table;

use super::{Era, Watch};
use crate::store::{Entry, Fact, List, News, Store};

/// Changes of backend servers with a log line each; of more at once a line says how many of each kind there
/// are. Thousands list themselves together when a deployment starts.
const LOGGED_MAX: usize = 16;

impl<S: Store, C: Codec> Watch<S, C> {
    /// Takes what came; false if it is older than what is known, or made of what is not known.
    pub(super) fn take(&self, list: List, news: &News) -> bool {
        let follow = self.follow(list);
        let Some(news) = follow.resolve(news) else {
            log::info!(target: "watch", list:? = list, revision:% = news.revision;
                "edit of a table that this host does not know");
            return false;
        };
        let news = follow.reconcile(&news, clock::steady());
        let taken = match list {
            List::Operators => self.take_operators(&news),
            List::Backends => self.take_backends(&news),
        };
        if taken {
            follow.taken(&news, clock::steady());
            self.note_era(news.revision.era);
        }
        taken
    }

    /// The store was heard in an era. A later one than before tells that it has come back from a copy, and that rows
    /// of this host may be lost.
    pub fn note_era(&self, number: u64) {
        let now = clock::steady();
        let is_back = self.era.send_if_modified(|held| match *held {
            Some(known) if known.number >= number => false,
            known => {
                let began = known.map(|_| now);
                *held = Some(Era { number, began });
                began.is_some()
            }
        });
        if is_back {
            log::warn!(target: "watch", era = number; "the store has come back from a copy");
            metrics::counter!("node_store_returns_total").increment(1);
        }
    }

    fn take_operators(&self, news: &News) -> bool {
        let mut changed = false;
        for Entry { key, revision, fact } in &news.entries {
            let revision = *revision;
            match fact {
                Fact::Table(table) => {
                    let version = table.version;
                    // The store took it, so it is in force whatever is odd about it.
                    for fault in wire::routing::check(table) {
                        log::warn!(target: "watch", table = version, fault:% = fault; "table has a fault");
                    }
                    let taken = self.catalog.take_table(Table::clone(table));
                    changed |= taken;
                    log::info!(target: "watch", table = version, revision:%, taken;
                        "table of routes read");
                }
                Fact::Order(order) => {
                    let service = order.service.clone();
                    let target = order.target.clone();
                    let is_rewritten =
                        self.is_back_within(recovery::REWRITE_TIMEOUT_MS, clock::steady());
                    let taken = self.catalog.take_order(order.clone(), revision, is_rewritten);
                    changed |= taken;
                    log::info!(target: "watch", service:% = service, version:% = target, revision:%,
                        taken; "order read");
                    if taken && self.orders.send(service).is_err() {
                        log::warn!(target: "watch", "nobody takes orders any more");
                    }
                }
                Fact::Unreadable(why) => {
                    log::error!(target: "watch", key:% = key, revision:%, why:% = why;
                        "entry unreadable, the one before stays in force");
                }
                Fact::Backend(_) | Fact::Edit(_) | Fact::Evacuation(_) | Fact::Removed => {}
            }
        }
        changed |= self.take_evacuations(news);
        if changed {
            self.publish();
        }
        true
    }

    /// Takes orders to evacuate failure domains, and their ends; whether there are any.
    fn take_evacuations(&self, news: &News) -> bool {
        let entry = |entry: &Entry| {
            let failure_domain = match &entry.fact {
                Fact::Evacuation(failure_domain) => Some(failure_domain.clone()),
                Fact::Removed => None,
                _ => return None,
            };
            let (key, revision) = (entry.key.clone(), entry.revision);
            Some(evacuation::Entry { key, revision, failure_domain })
        };
        let entries: Vec<_> = news.entries.iter().filter_map(entry).collect();
        let Change { begun, ended } =
            self.catalog.take_evacuations(&entries, news.revision, news.is_whole, clock::steady());
        let revision = news.revision;
        for domain in &begun {
            let servers = self.catalog.servers_in(domain);
            log::info!(target: "watch", domain:% = domain, revision:%, servers; "evacuation begins");
            if servers == Some(0) {
                log::warn!(target: "watch", domain:% = domain, revision:%;
                    "no backend server stands in the evacuated failure domain");
            }
        }
        for domain in &ended {
            log::info!(target: "watch", domain:% = domain, revision:%; "evacuation ends");
        }
        !begun.is_empty() || !ended.is_empty()
    }

    fn take_backends(&self, news: &News) -> bool {
        let now = clock::steady();
        let count = news.entries.len();
        let revision = news.revision;
        let taken = self.catalog.with_roster(|roster| match news.is_whole {
            true => {
                let rows = news.entries.iter().filter_map(|entry| match &entry.fact {
                    Fact::Backend(backend) => Some((backend.clone(), entry.revision)),
                    _ => None,
                });
                let taken = roster.replace(rows.collect(), revision, now);
                if taken {
                    unreadable(news)
                        .for_each(|entry| roster.withdraw(&entry.key, entry.revision, now));
                }
                taken
            }
            false => {
                for entry in &news.entries {
                    match &entry.fact {
                        Fact::Backend(backend) => roster.put(backend.clone(), entry.revision),
                        Fact::Removed => roster.remove(&entry.key, entry.revision, now),
                        Fact::Unreadable(_) => roster.withdraw(&entry.key, entry.revision, now),
                        Fact::Table(_) | Fact::Edit(_) | Fact::Order(_) | Fact::Evacuation(_) => {}
                    }
                }
                true
            }
        });
        if taken {
            let listed = news.entries.iter().filter_map(|entry| match &entry.fact {
                Fact::Backend(backend) => Some(backend),
                _ => None,
            });
            listed.for_each(|backend| self.catalog.warms(backend, now));
        }
        match news.is_whole {
            true => log::info!(target: "watch", revision:%, count; "all backend servers listed"),
            false if count > LOGGED_MAX => log_backends(news),
            false => news.entries.iter().for_each(log_backend),
        }
        if !taken {
            log::info!(target: "watch", revision:%, count; "stale list of backend servers ignored");
            return false;
        }
        if news.is_whole {
            self.catalog.set_roster_read();
        }
        if news.is_whole || count > 0 {
            self.publish();
        }
        true
    }
}

fn unreadable(news: &News) -> impl Iterator<Item = &Entry> {
    news.entries.iter().filter(|entry| matches!(entry.fact, Fact::Unreadable(_)))
}

fn log_backends(news: &News) {
    let count = |is: fn(&Fact) -> bool| news.entries.iter().filter(|entry| is(&entry.fact)).count();
    let is_draining = |fact: &Fact| matches!(fact, Fact::Backend(backend) if backend.draining);
    log::info!(target: "watch", revision:% = news.revision, count = news.entries.len(),
        draining = count(is_draining), removed = count(|fact| *fact == Fact::Removed);
        "many backend servers changed");
    let unreadable = unreadable(news).take(LOGGED_MAX);
    unreadable.for_each(log_backend);
}

fn log_backend(entry: &Entry) {
    match &entry.fact {
        Fact::Backend(backend) => {
            log::info!(target: "watch", backend:% = backend.id, service:% = backend.service,
                version:% = backend.version, address:% = backend.address,
                draining = backend.draining, revision:% = entry.revision; "backend server listed");
        }
        Fact::Removed => {
            log::info!(target: "watch", backend:% = entry.key, revision:% = entry.revision;
                "backend server removed");
        }
        Fact::Unreadable(why) => {
            log::error!(target: "watch", key:% = entry.key, why:% = why; "entry unreadable");
        }
        Fact::Table(_) | Fact::Edit(_) | Fact::Order(_) | Fact::Evacuation(_) => {}
    }
}
