//! What changed between two versions of a table of routes.
//!
//! Operators change a route or an account at a time, and a large fleet's table is long. Hosts that
//! know one version are sent the edit that makes the next one of it.

use std::collections::{HashMap, HashSet};

use policy::domain;
use policy::name::Name;

use super::{Account, Limits, Route, Service, Table};

domain! {
    /// What makes one version of a table of another one.
    #[derive(Default)]
    pub struct Edit {
        /// The version that it is made of.
        pub from: u64,
        /// The version that it makes.
        pub to: u64,
        /// Routes that are new or changed.
        pub routes: Vec<Route>,
        /// Names of routes that are dropped.
        pub dropped_routes: Vec<Name>,
        /// Services that are new or changed.
        pub services: Vec<Service>,
        /// Names of services that are dropped.
        pub dropped_services: Vec<Name>,
        /// Accounts that are new or changed.
        pub accounts: Vec<Account>,
        /// Names of accounts that are dropped.
        pub dropped_accounts: Vec<Name>,
        /// New bounds on what callers send, if they are changed.
        pub limits: Option<Limits>,
    }
}

/// What a table holds several of, each under a name.
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
    /// What makes the one of the other; none if names stand for several things each, or if what an edit
    /// makes would be in another order that means something.
    #[must_use]
    pub fn between(old: &Table, new: &Table) -> Option<Self> {
        let (routes, dropped_routes) = changed(&old.routes, &new.routes)?;
        let (services, dropped_services) = changed(&old.services, &new.services)?;
        let (accounts, dropped_accounts) = changed(&old.accounts, &new.accounts)?;
        let limits = (old.limits != new.limits).then(|| new.limits.clone());
        let places: HashSet<_> =
            new.routes.iter().map(|route| (&route.host, &route.prefix)).collect();
        // Of two routes with the same place the first one holds.
        let is_ordered = places.len() < new.routes.len();
        let (from, to) = (old.version, new.version);
        (!is_ordered).then_some(Self {
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

    /// The table that it makes of one; none if it is an edit of another version.
    #[must_use]
    pub fn apply(&self, table: &Table) -> Option<Table> {
        (table.version == self.from).then(|| Table {
            version: self.to,
            routes: applied(&table.routes, &self.routes, &self.dropped_routes),
            services: applied(&table.services, &self.services, &self.dropped_services),
            accounts: applied(&table.accounts, &self.accounts, &self.dropped_accounts),
            limits: self.limits.clone().unwrap_or_else(|| table.limits.clone()),
        })
    }

    /// Routes, services and accounts that it names.
    #[must_use]
    pub fn len(&self) -> usize {
        let changed = self.routes.len() + self.services.len() + self.accounts.len();
        let dropped = [&self.dropped_routes, &self.dropped_services, &self.dropped_accounts];
        changed + dropped.iter().map(|names| names.len()).sum::<usize>()
    }

    /// Whether it names none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// What is new or changed, and the names of what is dropped; none if a name stands twice.
fn changed<T: Named>(old: &[T], new: &[T]) -> Option<(Vec<T>, Vec<Name>)> {
    let before = by_name(old)?;
    let after = by_name(new)?;
    let is_changed = |one: &&T| before.get(one.name()) != Some(one);
    let dropped = old.iter().map(T::name).filter(|name| !after.contains_key(*name));
    Some((new.iter().filter(is_changed).cloned().collect(), dropped.cloned().collect()))
}

fn by_name<T: Named>(all: &[T]) -> Option<HashMap<&Name, &T>> {
    let named: HashMap<_, _> = all.iter().map(|one| (one.name(), one)).collect();
    (named.len() == all.len()).then_some(named)
}

fn applied<T: Named>(old: &[T], changed: &[T], dropped: &[Name]) -> Vec<T> {
    let mut new: HashMap<&Name, &T> = changed.iter().map(|one| (one.name(), one)).collect();
    let dropped: HashSet<&Name> = dropped.iter().collect();
    let kept = old.iter().filter(|one| !dropped.contains(one.name()));
    let mut all: Vec<T> = kept.map(|one| new.remove(one.name()).unwrap_or(one).clone()).collect();
    all.extend(changed.iter().filter(|one| new.contains_key(one.name())).cloned());
    all
}
