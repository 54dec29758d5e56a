//! The table of routes, indexed for the request path.

use std::collections::HashMap;
use std::sync::Arc;

use policy::name::Name;
use wire::routing::{Account, Limits, Route, Service, Table};

/// A route, and what is worked out of it once.
#[derive(Clone, Debug)]
pub struct IndexedRoute {
    /// The route.
    pub route: Route,
    /// Names under which the times of its answers are kept, by model; one if it has no models.
    pub timings: Vec<Name>,
}

/// One version of the table.
#[derive(Debug, Default)]
pub struct Index {
    /// Its version.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// Services by name.
    pub services: HashMap<Name, Service>,
    /// By host, longest prefix first.
    routes: HashMap<Name, Vec<Arc<IndexedRoute>>>,
    accounts: HashMap<Name, Arc<Account>>,
}

impl Index {
    /// Indexes a table.
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

    /// The route of a host and path: of those whose prefix begins the path, the longest.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<IndexedRoute>> {
        let of_host = match self.routes.get(host) {
            Some(of_host) => of_host,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        of_host.iter().find(|indexed| path.starts_with(indexed.route.prefix.as_str()))
    }

    /// The account that a key belongs to.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.get(key)
    }

    /// Whether requests need a key at all.
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
