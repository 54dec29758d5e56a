//! Stand-in for the platform: rows with conditional transactions, objects, the lagging host list.
//!
//! Its HTTP form is [`wire::platform`]'s; `PUT /hosts`, `GET /records` and `PUT /faults` are its
//! own.

pub mod audit;
pub mod fault;
pub mod hosts;
pub mod http;
pub mod store;

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use policy::domain;
use policy::name::Name;
use wire::host::{Host, List};
use wire::platform::{Row, Transaction};

use crate::server::{self, Running};
use audit::{Accepted, Bills};
use fault::{Faults, Limiter};
use hosts::Hosts;
use store::{Record, Store};

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
#[derive(Default)]
pub struct Platform {
    store: Mutex<Store>,
    hosts: Mutex<Hosts>,
    faults: Mutex<Faults>,
    writes: Limiter,
    reads: Limiter,
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
            conditions: Vec::new(),
            writes: settings.rows.into_iter().map(store::write).collect(),
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

    fn lagging_hosts(&self) -> List {
        let lag_ms = self.faults().lag_ms;
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.seen(Instant::now(), lag_ms)
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
    pub fn accepted(&self) -> Vec<Accepted> {
        audit::accepted(self.store().records())
    }

    /// What the bill logs hold.
    #[must_use]
    pub fn bills(&self) -> Bills {
        let objects = self.store().with_prefix(audit::PREFIX);
        audit::bills(objects.iter().map(|(name, bytes)| (name.as_str(), bytes.as_ref())))
    }
}
