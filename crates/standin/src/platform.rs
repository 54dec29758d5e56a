//! Stand-in for the platform: a store with rows, conditional transactions and objects, and a host
//! list that readers see late.
//!
//! It speaks the published protocol of the platform's store. `PUT /hosts`, `GET /records`,
//! `GET /faults` and `PUT /faults` are additions for tests.

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

/// The table with the host list: a row for each host, with the host's name as key.
pub const HOSTS_TABLE: &str = "hosts";
/// First character of a row that holds bytes instead of text; each further character is a byte.
const BYTES_MARK: char = '\u{ffff}';

domain! {
    /// The state that a platform starts with.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// The host list.
        pub hosts: Vec<Host>,
        /// Rows that the platform's first transaction writes.
        pub rows: Vec<Row>,
        /// Faults and rate limits that are in force from the start.
        pub faults: Faults,
    }

    /// Everything that the platform records for audits.
    #[serde(deny_unknown_fields)]
    pub struct Records {
        /// The writes that took effect, in order.
        pub committed: Vec<Record>,
        /// The content of the bill logs.
        pub bills: Bills,
    }
}

/// The state of a platform.
pub struct Platform {
    store: Mutex<Store>,
    hosts: Mutex<Hosts>,
    faults: Mutex<Faults>,
    writes: RateLimiter,
    reads: RateLimiter,
    calls: AtomicU64,
    range_reads: Mutex<BTreeMap<Name, u64>>,
    change_answers: Mutex<BTreeMap<Name, u64>>,
    /// Wakes calls that wait for a change; holds the store's revision.
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
            range_reads: Mutex::default(),
            change_answers: Mutex::default(),
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
    /// Makes a platform that holds the rows and hosts of its settings.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let platform = Self::default();
        let transaction = Transaction {
            writes: settings.rows.into_iter().map(store::to_write).collect(),
            ..Transaction::default()
        };
        if !transaction.writes.is_empty() {
            // A transaction without conditions can't conflict.
            let _ = platform.store().commit(transaction);
        }
        platform.set_hosts(settings.hosts);
        platform.set_faults(settings.faults);
        platform
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// The faults in force; `lose_answers` counts down with each lost answer.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the host list; readers see the new list once [`Faults::lag_ms`] has passed.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        let mut list = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        list.set(hosts, Instant::now());
    }

    /// The newest host list, which readers may not see yet.
    #[must_use]
    pub fn hosts(&self) -> Vec<Host> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner).newest()
    }

    /// Updates the table of hosts to the list that readers see now, after its lag.
    fn publish_hosts(&self) {
        let lag_ms = self.faults().lag_ms;
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let visible = hosts.visible(Instant::now(), lag_ms);
        drop(hosts);
        let mut store = self.store();
        let expected = visible
            .iter()
            .filter_map(|host| Some((host.name.clone(), serde_json::to_string(host).ok()?)));
        let mut expected: BTreeMap<Name, String> = expected.collect();
        let mut writes = Vec::new();
        for row in store.rows(HOSTS_TABLE) {
            match expected.remove(&row.key) {
                Some(value) if value == row.value => {}
                value => writes.push(Write { table: row.table, key: row.key, value }),
            }
        }
        let new = expected.into_iter();
        writes.extend(new.map(|(key, value)| Write {
            table: Name::from(HOSTS_TABLE),
            key,
            value: Some(value),
        }));
        if !writes.is_empty() {
            let revision = store.apply(writes);
            drop(store);
            self.changed.send_replace(revision);
        }
    }

    /// Writes a row without a group, as an operator or a backend server would.
    pub fn put(&self, table: &str, key: &str, value: &serde_json::Value) {
        self.write(table, key, Some(value.to_string()));
    }

    /// Writes a row without a group whose text may be no JSON, as another writer would.
    pub fn put_text(&self, table: &str, key: &str, text: String) {
        self.write(table, key, Some(text));
    }

    /// Writes a row without a group that holds bytes instead of text, as another writer would.
    pub fn put_bytes(&self, table: &str, key: &str, bytes: &[u8]) {
        let text = bytes.iter().map(|byte| char::from(*byte));
        self.write(table, key, Some(std::iter::once(BYTES_MARK).chain(text).collect()));
    }

    /// Removes a row without a group.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Writes many rows in one transaction, so that readers see either none or all of them.
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
        let revision = self.store().apply(writes);
        self.changed.send_replace(revision);
    }

    /// The value of a row without a group, parsed as JSON; `None` if the row is absent or holds no
    /// JSON.
    #[must_use]
    pub fn get(&self, table: &str, key: &str) -> Option<serde_json::Value> {
        serde_json::from_str(&self.row(table, key)?.value).ok()
    }

    /// Drops the history of changes; calls that ask for changes since an earlier revision get an
    /// error.
    pub fn forget_history(&self) {
        self.store().forget_history();
        self.changed.send_modify(|_| {});
    }

    /// With `true`, answers all further reads from the present state, even after changes. With
    /// `false`, answers reads from the newest state again.
    pub fn set_stale(&self, stale: bool) {
        self.store().set_stale(stale);
    }

    /// A copy of the present state, for [`Self::restore`].
    #[must_use]
    pub fn backup(&self) -> Backup {
        self.store().backup()
    }

    /// Replaces the state by a copy: all writes since the copy are lost, also acknowledged ones.
    pub fn restore(&self, backup: Backup) {
        self.store().restore(backup);
        self.changed.send_modify(|_| {});
    }

    /// Number of times that the state was restored from a copy.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.store().era()
    }

    /// Number of calls of the store that arrived so far, rejected ones included.
    #[must_use]
    pub fn call_count(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Number of reads of a range of a table's rows so far.
    #[must_use]
    pub fn range_reads(&self, table: &str) -> u64 {
        lock(&self.range_reads).get(table).copied().unwrap_or_default()
    }

    /// Number of answers so far that carried changes of a table.
    #[must_use]
    pub fn change_answers(&self, table: &str) -> u64 {
        lock(&self.change_answers).get(table).copied().unwrap_or_default()
    }

    /// The writes by callers that took effect, in order.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.store().records().to_vec()
    }

    /// A row without a group; `None` if it is absent.
    #[must_use]
    pub fn row(&self, table: &str, key: &str) -> Option<Row> {
        self.store().row(table, key)
    }

    /// All rows of a table, ordered by group and key.
    #[must_use]
    pub fn rows(&self, table: &str) -> Vec<Row> {
        self.store().rows(table)
    }

    /// Names of the objects whose names begin with a prefix, sorted.
    #[must_use]
    pub fn objects(&self, prefix: &str) -> Vec<Name> {
        self.store().object_names(prefix)
    }

    /// Generations of the configuration that were accepted, in order, read from the transactions.
    #[must_use]
    pub fn accepted_generations(&self) -> Vec<AcceptedGeneration> {
        audit::accepted_generations(self.store().records())
    }

    /// The content of the bill logs.
    #[must_use]
    pub fn bills(&self) -> Bills {
        let objects = self.store().objects_with_prefix(audit::BILLS_PREFIX);
        audit::read_bills(objects.iter().map(|(name, bytes)| (name.as_str(), bytes.as_ref())))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Adds one to the count of a table.
fn increment(counts: &Mutex<BTreeMap<Name, u64>>, table: &str) {
    *lock(counts).entry(table.into()).or_default() += 1;
}
