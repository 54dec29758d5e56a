//! Differences between two versions of a routing table.
//!
//! Operators change one route or account at a time, and the table of a large fleet is long. So a
//! host that has one version is sent only the edit that turns it into the next version.

use std::collections::{HashMap, HashSet};

use policy::domain;
use policy::name::Name;

use super::{Account, Limits, Route, Service, Table};

domain! {
    /// The changes that turn one version of a routing table into another.
    #[derive(Default)]
    pub struct Edit {
        /// Version of the table to which the edit applies.
        pub from: u64,
        /// Version of the table after the edit.
        pub to: u64,
        /// Routes that are new or changed.
        pub routes: Vec<Route>,
        /// Names of routes that are removed.
        pub dropped_routes: Vec<Name>,
        /// Services that are new or changed.
        pub services: Vec<Service>,
        /// Names of services that are removed.
        pub dropped_services: Vec<Name>,
        /// Accounts that are new or changed.
        pub accounts: Vec<Account>,
        /// Names of accounts that are removed.
        pub dropped_accounts: Vec<Name>,
        /// Limits on what callers may send; absent if they are unchanged.
        pub limits: Option<Limits>,
    }
}

/// Entry of a table that is identified by its name.
trait Named: Clone + PartialEq {
    fn name(&self) -> &Name;
}

impl Named for Route {
    fn name(&self) -> &Name {
        &self.name
    }
}

impl Named for Service {
    fn name(&self) -> &Name {
        &self.name
    }
}

impl Named for Account {
    fn name(&self) -> &Name {
        &self.name
    }
}

impl Edit {
    /// Returns the edit that turns `old` into `new`. Returns none if a name is not unique in a
    /// table, or if several routes share a place: then their order matters, and an edit does not
    /// preserve it.
    #[must_use]
    pub fn between(old: &Table, new: &Table) -> Option<Self> {
        let (routes, dropped_routes) = diff(&old.routes, &new.routes)?;
        let (services, dropped_services) = diff(&old.services, &new.services)?;
        let (accounts, dropped_accounts) = diff(&old.accounts, &new.accounts)?;
        let limits = (old.limits != new.limits).then(|| new.limits.clone());
        let places: HashSet<_> =
            new.routes.iter().map(|route| (&route.host, &route.prefix)).collect();
        // Of several routes with the same host and prefix the first one applies.
        let is_order_relevant = places.len() < new.routes.len();
        let (from, to) = (old.version, new.version);
        (!is_order_relevant).then_some(Self {
            from,
            to,
            routes,
            dropped_routes,
            services,
            dropped_services,
            accounts,
            dropped_accounts,
            limits,
        })
    }

    /// Applies the edit to a table; returns none if the table has another version than `from`.
    #[must_use]
    pub fn apply(&self, table: &Table) -> Option<Table> {
        (table.version == self.from).then(|| Table {
            version: self.to,
            routes: merge(&table.routes, &self.routes, &self.dropped_routes),
            services: merge(&table.services, &self.services, &self.dropped_services),
            accounts: merge(&table.accounts, &self.accounts, &self.dropped_accounts),
            limits: self.limits.clone().unwrap_or_else(|| table.limits.clone()),
        })
    }

    /// Number of routes, services and accounts that the edit changes or removes.
    #[must_use]
    pub fn len(&self) -> usize {
        let changed = self.routes.len() + self.services.len() + self.accounts.len();
        let dropped = [&self.dropped_routes, &self.dropped_services, &self.dropped_accounts];
        changed + dropped.iter().map(|names| names.len()).sum::<usize>()
    }

    /// Whether the edit changes no route, service or account.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Returns entries that are new or changed, and the names of removed entries; none if a name is not
/// unique.
fn diff<T: Named>(old: &[T], new: &[T]) -> Option<(Vec<T>, Vec<Name>)> {
    let before = index_by_name(old)?;
    let after = index_by_name(new)?;
    let is_changed = |entry: &&T| before.get(entry.name()) != Some(entry);
    let dropped = old.iter().map(T::name).filter(|name| !after.contains_key(*name));
    Some((new.iter().filter(is_changed).cloned().collect(), dropped.cloned().collect()))
}

fn index_by_name<T: Named>(entries: &[T]) -> Option<HashMap<&Name, &T>> {
    let named: HashMap<_, _> = entries.iter().map(|entry| (entry.name(), entry)).collect();
    (named.len() == entries.len()).then_some(named)
}

/// Returns the old entries without the removed ones, with changed entries replaced in place and new
/// ones at the end.
fn merge<T: Named>(old: &[T], changed: &[T], dropped: &[Name]) -> Vec<T> {
    let mut pending: HashMap<&Name, &T> =
        changed.iter().map(|entry| (entry.name(), entry)).collect();
    let dropped: HashSet<&Name> = dropped.iter().collect();
    let kept = old.iter().filter(|entry| !dropped.contains(entry.name()));
    let mut merged: Vec<T> =
        kept.map(|entry| pending.remove(entry.name()).unwrap_or(entry).clone()).collect();
    merged.extend(changed.iter().filter(|entry| pending.contains_key(entry.name())).cloned());
    merged
}
