//! Faults of a table of routes.

use std::collections::{HashMap, HashSet};

use policy::name::Name;

use super::{Route, Table};
use crate::fault::Fault;

/// Everything that is wrong with a table, each with its place.
#[must_use]
pub fn check(table: &Table) -> Vec<Fault> {
    let mut faults = Vec::new();
    if table.version == 0 {
        faults.push(Fault::at("version", "must be 1 or more"));
    }
    let services: HashSet<&Name> = table.services.iter().map(|service| &service.name).collect();
    let mut places = HashMap::new();
    for (index, route) in table.routes.iter().enumerate() {
        let path = format!("routes[{index}]");
        check_route(&path, route, &services, &mut faults);
        if let Some(first) = places.insert((&route.host, &route.prefix), index) {
            let message = format!("has the same host and prefix as routes[{first}]");
            faults.push(Fault::at(path, message));
        }
    }
    check_keys(table, &mut faults);
    for (index, service) in table.services.iter().enumerate() {
        if service.warmup.is_some_and(|warmup| warmup.per_second <= 0.0) {
            let path = format!("services[{index}].warmup.per_second");
            faults.push(Fault::at(path, "must be more than 0: servers get nothing until warm"));
        }
    }
    faults
}

fn check_route(path: &str, route: &Route, services: &HashSet<&Name>, faults: &mut Vec<Fault>) {
    let mut fault = |member: &str, wrong: bool, message: &str| {
        if wrong {
            faults.push(Fault::at(format!("{path}.{member}"), message.to_owned()));
        }
    };
    let prefix = route.prefix.as_str();
    fault("host", route.host.is_empty(), "must not be empty");
    fault(
        "prefix",
        !prefix.starts_with('/') || !prefix.ends_with('/'),
        "must begin and end with a slash",
    );
    fault("timeout_ms", route.timeout_ms == 0, "must not be 0");
    fault("attempts_max", route.attempts_max == 0, "must not be 0");
    let weight: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    fault("targets", weight == 0, "must name a service with a weight");
    let unknown = route.targets.iter().any(|target| !services.contains(&target.service));
    fault("targets", unknown, "must name services of this table only");
}

/// A key of two accounts would give one of them the other's requests.
fn check_keys(table: &Table, faults: &mut Vec<Fault>) {
    let mut held: HashMap<&Name, usize> = HashMap::new();
    for (index, account) in table.accounts.iter().enumerate() {
        for (key, name) in account.keys.iter().enumerate() {
            match held.insert(name, index) {
                Some(other) if other != index => faults.push(Fault::at(
                    format!("accounts[{index}].keys[{key}]"),
                    format!("is also a key of accounts[{other}]"),
                )),
                _ => {}
            }
        }
    }
}
