//! Stand-in for the platform: rows with conditional transactions, objects, the lagging host list.
//!
//! It speaks the published protocol of the platform's store; `PUT /hosts`, `GET /records` and
//! `PUT /faults` are its own.

pub mod audit;
pub mod fault;
pub mod hosts;
pub mod http;
mod query;
pub mod store;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use policy::domain;
use policy::name::Name;
use tokio::sync::watch;
use wire::host::Host;
use wire::store::{Row, Transaction, Write};

use crate::server::{self, Running};
use audit::{AcceptedGeneration, Bills};
use fault::{Faults, RateLimiter};
use hosts::Hosts;
use store::{Backup, Record, Store};

/// The table that the host list is published in, each host under its name.
pub const HOSTS_TABLE: &str = "hosts";

domain! {
    /// What the platform starts with.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Its hosts.
        pub hosts: Vec<Host>,
        /// Rows, written by one transaction before anything else.
        pub rows: Vec<Row>,
        /// Its faults, with its rate caps.
        pub faults: Faults,
    }

    /// All that is recorded, for audits.
    #[serde(deny_unknown_fields)]
    pub struct Records {
        /// What took effect, in order.
        pub committed: Vec<Record>,
        /// What the bill logs hold.
        pub bills: Bills,
    }
}

/// The platform's state.
pub struct Platform {
    store: Mutex<Store>,
    hosts: Mutex<Hosts>,
    faults: Mutex<Faults>,
    writes: RateLimiter,
    reads: RateLimiter,
    calls: AtomicU64,
    ranges: Mutex<BTreeMap<Name, u64>>,
    changes: Mutex<BTreeMap<Name, u64>>,
    /// Wakes calls that are held back.
    changed: watch::Sender<u64>,
    started: Instant,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            store: Mutex::default(),
            hosts: Mutex::default(),
            faults: Mutex::default(),
            writes: RateLimiter::default(),
            reads: RateLimiter::default(),
            calls: AtomicU64::new(0),
            ranges: Mutex::default(),
            changes: Mutex::default(),
            changed: watch::Sender::new(0),
            started: Instant::now(),
        }
    }
}

/// Starts a platform.
///
/// # Errors
/// When the address can't be listened on.
pub fn start(listen: SocketAddr, settings: Settings) -> io::Result<Running<Platform>> {
    server::start(listen, Platform::new(settings))
}

impl Platform {
    /// A platform with rows and hosts in place.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let platform = Self::default();
        let transaction = Transaction {
            writes: settings.rows.into_iter().map(store::write).collect(),
            ..Transaction::default()
        };
        if !transaction.writes.is_empty() {
            // Without conditions there is nothing to conflict with.
            let _ = platform.store().transact(transaction);
        }
        platform.set_hosts(settings.hosts);
        platform.set_faults(settings.faults);
        platform
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// The faults as they are; `lose_answers` counts down with each answer lost.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the host list; callers see it once the list's lag has passed.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        let mut list = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        list.set(hosts, Instant::now());
    }

    /// The newest hosts, without the lag.
    #[must_use]
    pub fn hosts(&self) -> Vec<Host> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner).newest()
    }

    /// Brings the table of hosts up to what its lag allows to be seen now.
    fn publish_hosts(&self) {
        let lag_ms = self.faults().lag_ms;
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let seen = hosts.seen(Instant::now(), lag_ms);
        drop(hosts);
        let mut store = self.store();
        let wanted = seen
            .iter()
            .filter_map(|host| Some((host.name.clone(), serde_json::to_string(host).ok()?)));
        let mut wanted: BTreeMap<Name, String> = wanted.collect();
        let mut writes = Vec::new();
        for row in store.rows(HOSTS_TABLE) {
            match wanted.remove(&row.key) {
                Some(value) if value == row.value => {}
                value => writes.push(Write { table: row.table, key: row.key, value }),
            }
        }
        let new = wanted.into_iter();
        writes.extend(new.map(|(key, value)| Write {
            table: Name::from(HOSTS_TABLE),
            key,
            value: Some(value),
        }));
        if !writes.is_empty() {
            let version = store.apply(writes);
            drop(store);
            self.changed.send_replace(version);
        }
    }

    /// Writes a row as an operator or a backend server would.
    pub fn put(&self, table: &str, key: &str, value: &serde_json::Value) {
        self.write(table, key, Some(value.to_string()));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Writes many rows in one transaction: nobody reads some of them without the others.
    pub fn put_all(&self, table: &str, rows: impl Iterator<Item = (String, serde_json::Value)>) {
        let write = |(key, value): (String, serde_json::Value)| Write {
            table: Name::from(table),
            key: Name::from(key),
            value: Some(value.to_string()),
        };
        self.apply(rows.map(write).collect());
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        self.apply(vec![Write { table: Name::from(table), key: Name::from(key), value }]);
    }

    fn apply(&self, writes: Vec<Write>) {
        let version = self.store().apply(writes);
        self.changed.send_replace(version);
    }

    /// What a row holds.
    #[must_use]
    pub fn get(&self, table: &str, key: &str) -> Option<serde_json::Value> {
        serde_json::from_str(&self.row(table, key)?.value).ok()
    }

    /// Forgets its history; feeds that ask for it get an error.
    pub fn forget_history(&self) {
        self.store().forget_history();
        self.changed.send_modify(|_| {});
    }

    /// Answers reads from its state as of now, whatever changes, or from the newest again.
    pub fn set_stale(&self, stale: bool) {
        self.store().set_stale(stale);
    }

    /// Its state as of now, to come back to.
    #[must_use]
    pub fn backup(&self) -> Backup {
        self.store().backup()
    }

    /// Comes back from a copy: what was acknowledged since is gone, whoever wrote it.
    pub fn restore(&self, backup: Backup) {
        self.store().restore(backup);
        self.changed.send_modify(|_| {});
    }

    /// How often it has come back from a copy.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.store().era()
    }

    /// Calls that reached it so far.
    #[must_use]
    pub fn call_count(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Ranges of a table's rows that were read so far.
    #[must_use]
    pub fn range_reads(&self, table: &str) -> u64 {
        lock(&self.ranges).get(table).copied().unwrap_or_default()
    }

    /// Answers so far that brought changes of a table.
    #[must_use]
    pub fn change_answers(&self, table: &str) -> u64 {
        lock(&self.changes).get(table).copied().unwrap_or_default()
    }

    /// Everything that took effect, in order.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.store().records().to_vec()
    }

    /// One row, if there is one.
    #[must_use]
    pub fn row(&self, table: &str, key: &str) -> Option<Row> {
        self.store().row(table, key)
    }

    /// All rows of a table, by key.
    #[must_use]
    pub fn rows(&self, table: &str) -> Vec<Row> {
        self.store().rows(table)
    }

    /// Names of objects that begin with a prefix, sorted.
    #[must_use]
    pub fn objects(&self, prefix: &str) -> Vec<Name> {
        self.store().names(prefix)
    }

    /// Generations accepted, in order, as the committed transactions tell.
    #[must_use]
    pub fn accepted_generations(&self) -> Vec<AcceptedGeneration> {
        audit::accepted_generations(self.store().records())
    }

    /// What the bill logs hold.
    #[must_use]
    pub fn bills(&self) -> Bills {
        let objects = self.store().with_prefix(audit::BILLS_PREFIX);
        audit::bills(objects.iter().map(|(name, bytes)| (name.as_str(), bytes.as_ref())))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a call by its table.
fn count(counts: &Mutex<BTreeMap<Name, u64>>, table: &str) {
    *lock(counts).entry(table.into()).or_default() += 1;
}
