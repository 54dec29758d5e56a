//! Validates a routing table.

use std::collections::{HashMap, HashSet};

use policy::name::Name;

use super::{Route, Table};
use crate::fault::Fault;

/// Returns all faults of a routing table, each with its path.
#[must_use]
pub fn check(table: &Table) -> Vec<Fault> {
    let mut faults = Vec::new();
    if table.version == 0 {
        faults.push(Fault::at("version", "must be 1 or more"));
    }
    let services: HashSet<&Name> = table.services.iter().map(|service| &service.name).collect();
    let mut routes_by_place = HashMap::new();
    for (index, route) in table.routes.iter().enumerate() {
        let path = format!("routes[{index}]");
        check_route(&path, route, &services, &mut faults);
        if let Some(first) = routes_by_place.insert((&route.host, &route.prefix), index) {
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
    let mut report = |member: &str, is_faulty: bool, message: &str| {
        if is_faulty {
            faults.push(Fault::at(format!("{path}.{member}"), message.to_owned()));
        }
    };
    let prefix = route.prefix.as_str();
    report("host", route.host.is_empty(), "must not be empty");
    report(
        "prefix",
        !prefix.starts_with('/') || !prefix.ends_with('/'),
        "must begin and end with a slash",
    );
    report("timeout_ms", route.timeout_ms == 0, "must not be 0");
    report("attempts_max", route.attempts_max == 0, "must not be 0");
    let weight: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    report("targets", weight == 0, "must name a service with a weight");
    let has_unknown = route.targets.iter().any(|target| !services.contains(&target.service));
    report("targets", has_unknown, "must name services of this table only");
}

/// Reports keys of more than one account: requests of one account would count as the other's.
fn check_keys(table: &Table, faults: &mut Vec<Fault>) {
    let mut owners: HashMap<&Name, usize> = HashMap::new();
    for (index, account) in table.accounts.iter().enumerate() {
        for (key_index, key) in account.keys.iter().enumerate() {
            match owners.insert(key, index) {
                Some(other) if other != index => faults.push(Fault::at(
                    format!("accounts[{index}].keys[{key_index}]"),
                    format!("is also a key of accounts[{other}]"),
                )),
                _ => {}
            }
        }
    }
}
