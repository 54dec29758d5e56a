//! Applies updates of a list, from the store or a peer, to this host's state.

use std::collections::HashMap;

use entry::clock;
use gateway::Codec;
use policy::evacuation::{self, Change};
use policy::name::Name;
use policy::recovery;
use policy::roster::Removal;
use policy::time::Millis;
use wire::routing::Table;

use super::{Era, Watch};
use crate::follow::Confirmed;
use crate::store::{Entry, Fact, List, Store, Update};

/// Most changes of backend servers in an update that get a log line each. For a longer update one
/// line tells how many there are of each kind, because thousands of servers list themselves
/// together when a deployment starts.
const LOGGED_MAX: usize = 16;

impl<S: Store, C: Codec> Watch<S, C> {
    /// Applies an update. Returns false if it is older than this host's copy, or an edit of a table
    /// that this host does not have.
    pub(super) fn accept(&self, list: List, update: &Update) -> bool {
        let follower = self.follower(list);
        let Some(update) = follower.resolve(update) else {
            log::info!(target: "watch", list:? = list, revision:% = update.revision;
                "update ignored: it edits a table that this host does not have");
            return false;
        };
        let update = follower.reconcile(&update, clock::steady());
        let is_accepted = match list {
            List::Operators => self.accept_operators(&update),
            List::Backends => self.accept_backends(&update),
        };
        if is_accepted {
            follower.record_accepted(&update, clock::steady());
            self.record_era(update.revision.era);
        }
        is_accepted
    }

    /// Records the store's era. If it rises, the store was restored from a copy, and rows that this
    /// host wrote may be lost.
    pub fn record_era(&self, number: u64) {
        let now = clock::steady();
        let is_back = self.era.send_if_modified(|held| match *held {
            Some(known) if known.number >= number => false,
            known => {
                let started_at = known.map(|_| now);
                *held = Some(Era { number, started_at });
                started_at.is_some()
            }
        });
        if is_back {
            log::warn!(target: "watch", era = number; "the store has come back from a copy");
            metrics::counter!("node_store_returns_total").increment(1);
        }
    }

    fn accept_operators(&self, update: &Update) -> bool {
        let mut changed = false;
        for Entry { key, revision, fact } in &update.entries {
            let revision = *revision;
            match fact {
                Fact::Table(table) => {
                    let version = table.version;
                    // The store accepted the table, so it is in force even if it has faults.
                    for fault in wire::routing::check(table) {
                        log::warn!(target: "watch", table = version, fault:% = fault;
                            "table has a fault");
                    }
                    let taken = self.catalog.accept_table(Table::clone(table));
                    changed |= taken;
                    log::info!(target: "watch", table = version, revision:%, taken;
                        "table of routes read");
                }
                Fact::Order(order) => {
                    let service = order.service.clone();
                    let target = order.target.clone();
                    let is_rewritten =
                        self.was_restored_within(recovery::REWRITE_TIMEOUT_MS, clock::steady());
                    let taken = self.catalog.accept_order(order.clone(), revision, is_rewritten);
                    changed |= taken;
                    log::info!(target: "watch", service:% = service, version:% = target, revision:%,
                        taken; "order read");
                    if taken && self.orders.send(service).is_err() {
                        log::warn!(target: "watch", "no task is left to carry out the order");
                    }
                }
                Fact::Unreadable(why) => {
                    log::error!(target: "watch", key:% = key, revision:%, why:% = why;
                        "entry can't be parsed, the previous one stays in force");
                }
                Fact::Backend(_) | Fact::Edit(_) | Fact::Evacuation(_) | Fact::Removed => {}
            }
        }
        changed |= self.accept_evacuations(update);
        if changed {
            self.publish();
        }
        true
    }

    /// Applies orders to evacuate failure domains and their removals. Returns whether an evacuation
    /// began or ended.
    fn accept_evacuations(&self, update: &Update) -> bool {
        let entry = |entry: &Entry| {
            let failure_domain = match &entry.fact {
                Fact::Evacuation(failure_domain) => Some(failure_domain.clone()),
                Fact::Removed => None,
                _ => return None,
            };
            let (key, revision) = (entry.key.clone(), entry.revision);
            Some(evacuation::Entry { key, revision, failure_domain })
        };
        let entries: Vec<_> = update.entries.iter().filter_map(entry).collect();
        let Change { begun, ended } = self.catalog.accept_evacuations(
            &entries,
            update.revision,
            update.is_whole,
            clock::steady(),
        );
        let revision = update.revision;
        for domain in &begun {
            let servers = self.catalog.count_servers_in(domain);
            log::info!(target: "watch", domain:% = domain, revision:%, servers;
                "evacuation begins");
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

    fn accept_backends(&self, update: &Update) -> bool {
        let now = clock::steady();
        let count = update.entries.len();
        let revision = update.revision;
        let confirmed = self.follower(List::Backends).confirmed(now);
        self.catalog.set_changed_since(now - confirmed.most_ms.unwrap_or(confirmed.least_ms));
        let mut removals = HashMap::new();
        let is_accepted = self.catalog.with_roster(|roster| match update.is_whole {
            true => {
                let rows = update.entries.iter().filter_map(|entry| match &entry.fact {
                    Fact::Backend(backend) => Some((backend.clone(), entry.revision)),
                    _ => None,
                });
                let is_accepted = roster.replace(rows.collect(), revision, now);
                if is_accepted {
                    unreadable(update)
                        .for_each(|entry| roster.withdraw(&entry.key, entry.revision, now));
                }
                is_accepted
            }
            false => {
                for entry in &update.entries {
                    match &entry.fact {
                        Fact::Backend(backend) => roster.put(backend.clone(), entry.revision),
                        Fact::Removed => {
                            let removal = roster.remove(&entry.key, entry.revision, now);
                            removals.insert(entry.key.clone(), removal);
                        }
                        Fact::Unreadable(_) => roster.withdraw(&entry.key, entry.revision, now),
                        Fact::Table(_) | Fact::Edit(_) | Fact::Order(_) | Fact::Evacuation(_) => {}
                    }
                }
                true
            }
        });
        if is_accepted {
            let backends = update.entries.iter().filter_map(|entry| match &entry.fact {
                Fact::Backend(backend) => Some(backend),
                _ => None,
            });
            backends.for_each(|backend| self.catalog.set_warmup(backend, now));
        }
        match update.is_whole {
            true => {
                log::info!(target: "watch", revision:%, count; "all backend servers listed");
                self.catalog.with_roster(|roster| {
                    roster.kept().take(LOGGED_MAX).for_each(|(id, until)| log_kept(id, until, now));
                });
            }
            false if count > LOGGED_MAX => log_backends(update, confirmed, &removals, now),
            false => update.entries.iter().for_each(|entry| {
                log_backend(entry, confirmed, removals.get(&entry.key).copied(), now);
            }),
        }
        if !is_accepted {
            log::info!(target: "watch", revision:%, count; "stale list of backend servers ignored");
            return false;
        }
        if update.is_whole {
            self.catalog.set_backends_read();
        }
        if update.is_whole || count > 0 {
            self.publish();
        }
        true
    }
}

fn unreadable(update: &Update) -> impl Iterator<Item = &Entry> {
    update.entries.iter().filter(|entry| matches!(entry.fact, Fact::Unreadable(_)))
}

/// Logs that an entry is kept although it is gone from the list.
fn log_kept(id: &Name, until: Millis, now: Millis) {
    log::info!(target: "watch", backend:% = id, kept_ms = until.since(now);
        "entry kept, it may have lapsed while the store was away");
}

fn log_backends(
    update: &Update,
    confirmed: Confirmed,
    removals: &HashMap<Name, Removal>,
    now: Millis,
) {
    let count =
        |is: fn(&Fact) -> bool| update.entries.iter().filter(|entry| is(&entry.fact)).count();
    let is_draining = |fact: &Fact| matches!(fact, Fact::Backend(backend) if backend.draining);
    let kept = removals.values().filter(|removal| matches!(removal, Removal::Kept(_))).count();
    log::info!(target: "watch", revision:% = update.revision, count = update.entries.len(),
        draining = count(is_draining), removed = count(|fact| *fact == Fact::Removed), kept,
        confirmed_ms = confirmed.least_ms, confirmed_max_ms:? = confirmed.most_ms;
        "many backend servers changed");
    let unreadable = unreadable(update).take(LOGGED_MAX);
    unreadable.for_each(|entry| log_backend(entry, confirmed, None, now));
}

/// Logs what became of a server's entry. `confirmed` tells when the store had confirmed the change.
fn log_backend(entry: &Entry, confirmed: Confirmed, removal: Option<Removal>, now: Millis) {
    let (confirmed_ms, confirmed_max_ms) = (confirmed.least_ms, confirmed.most_ms);
    match &entry.fact {
        Fact::Backend(backend) => {
            log::info!(target: "watch", backend:% = backend.id, service:% = backend.service,
                version:% = backend.version, address:% = backend.address,
                draining = backend.draining, revision:% = entry.revision, confirmed_ms,
                confirmed_max_ms:?; "backend server listed");
        }
        Fact::Removed => {
            log::info!(target: "watch", backend:% = entry.key, revision:% = entry.revision,
                confirmed_ms, confirmed_max_ms:?; "backend server removed");
            if let Some(Removal::Kept(until)) = removal {
                log_kept(&entry.key, until, now);
            }
        }
        Fact::Unreadable(why) => {
            log::error!(target: "watch", key:% = entry.key, why:% = why; "entry can't be parsed");
        }
        Fact::Table(_) | Fact::Edit(_) | Fact::Order(_) | Fact::Evacuation(_) => {}
    }
}
