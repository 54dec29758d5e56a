//! The routing table, indexed for the request path.

use std::collections::HashMap;
use std::sync::Arc;

use policy::name::Name;
use wire::routing::{Account, Limits, Route, Service, Table};

/// A route with the values derived from it once per table version.
#[derive(Clone, Debug)]
pub struct IndexedRoute {
    /// The route as operators configured it.
    pub route: Route,
    /// The keys of the route's answer times in [`crate::State::timings`], one for each model, or a
    /// single one if the route has no models.
    pub timings: Vec<Name>,
}

/// One version of the routing table.
#[derive(Debug, Default)]
pub struct Index {
    /// The table's version; 0 if there is no table yet.
    pub version: u64,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Services by name.
    pub services: HashMap<Name, Service>,
    /// Routes by host name, those with the longest prefix first.
    routes: HashMap<Name, Vec<Arc<IndexedRoute>>>,
    accounts: HashMap<Name, Arc<Account>>,
}

impl Index {
    /// Indexes a routing table.
    #[must_use]
    pub fn new(table: Table) -> Self {
        let mut routes: HashMap<Name, Vec<Arc<IndexedRoute>>> = HashMap::new();
        for route in table.routes {
            let indexed = IndexedRoute { timings: timings(&route), route };
            routes.entry(indexed.route.host.clone()).or_default().push(Arc::new(indexed));
        }
        for of_host in routes.values_mut() {
            of_host.sort_by_key(|indexed| std::cmp::Reverse(indexed.route.prefix.len()));
        }
        let mut accounts = HashMap::new();
        for account in table.accounts.into_iter().map(Arc::new) {
            let keys = account.keys.iter().cloned();
            accounts.extend(keys.map(|key| (key, Arc::clone(&account))));
        }
        let services = table.services.into_iter();
        let services = services.map(|service| (service.name.clone(), service)).collect();
        Self { version: table.version, limits: table.limits, services, routes, accounts }
    }

    /// The route for a host name and path: the one with the longest prefix of the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<IndexedRoute>> {
        let of_host = match self.routes.get(host) {
            Some(of_host) => of_host,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        of_host.iter().find(|indexed| path.starts_with(indexed.route.prefix.as_str()))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &IndexedRoute> {
        self.routes.values().flatten().map(Arc::as_ref)
    }

    /// Whether this is the key of a route's answer times.
    #[must_use]
    pub fn has_timing(&self, key: &Name) -> bool {
        self.routes().any(|route| route.timings.contains(key))
    }

    /// The client account that a key belongs to.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.get(key)
    }

    /// The client account with this name.
    #[must_use]
    pub fn account_named(&self, name: &str) -> Option<&Arc<Account>> {
        self.accounts.values().find(|account| &*account.name == name)
    }

    /// Whether the table has client accounts, so that requests need a key.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }
}

fn timings(route: &Route) -> Vec<Name> {
    match route.models.as_slice() {
        [] => vec![route.name.clone()],
        models => {
            models.iter().map(|model| Name::from(format!("{}/{model}", route.name))).collect()
        }
    }
}
