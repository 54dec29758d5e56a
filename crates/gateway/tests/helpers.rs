//! Other hosts that requests go through.

use std::net::SocketAddr;

use entry::clock;
use gateway::detour_hosts::DetourHosts;
use policy::name::Name;

const NAME: &str = "host-1";

fn address() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

fn detour_hosts() -> DetourHosts {
    let detour_hosts = DetourHosts::default();
    detour_hosts.add(&Name::from(NAME), address(), &Name::from("a"), true);
    detour_hosts
}

fn choose(detour_hosts: &DetourHosts, tried: &[Name]) -> Option<Name> {
    let chosen = detour_hosts.choose(tried, 1, clock::steady());
    chosen.map(|host| host.id.clone())
}

#[test]
fn choose_none_that_was_tried() {
    let detour_hosts = detour_hosts();
    assert_eq!(choose(&detour_hosts, &[]), Some(Name::from(NAME)));
    assert_eq!(choose(&detour_hosts, &[Name::from(NAME)]), None);
    assert!(!detour_hosts.has_untried(&[Name::from(NAME)], clock::steady()));
}

/// Guards against a host that is not used for long after it has come back.
#[test]
fn add_again_makes_a_failed_host_usable() {
    let detour_hosts = detour_hosts();
    let host = detour_hosts.choose(&[], 1, clock::steady()).unwrap();
    host.server.record_failure(clock::steady());
    assert_eq!(choose(&detour_hosts, &[]), None);
    detour_hosts.add(&Name::from(NAME), address(), &Name::from("a"), true);
    assert_eq!(choose(&detour_hosts, &[]), Some(Name::from(NAME)));
}

/// Guards against hosts that are marked ill, for longer each time, because they say that they are
/// cut off.
#[test]
fn record_unavailable_is_no_failure() {
    let detour_hosts = detour_hosts();
    let host = detour_hosts.choose(&[], 1, clock::steady()).unwrap();
    host.record_unavailable(clock::steady());
    assert_eq!(choose(&detour_hosts, &[]), None);
    assert!(!host.server.is_ill(clock::steady()));
}

#[test]
fn retain_near_forgets_those_that_are_gone() {
    let detour_hosts = detour_hosts();
    detour_hosts.add(&Name::from("far"), address(), &Name::from("b"), false);
    detour_hosts.retain_near(|_| false);
    assert_eq!(choose(&detour_hosts, &[]), Some(Name::from("far")));
}
