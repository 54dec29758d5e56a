//! Other hosts that requests go by.

use std::net::SocketAddr;

use entry::clock;
use gateway::helpers::Helpers;
use policy::name::Name;

const NAME: &str = "host-1";

fn address() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

fn helpers() -> Helpers {
    let helpers = Helpers::default();
    helpers.add(&Name::from(NAME), address(), &Name::from("a"), true);
    helpers
}

fn choose(helpers: &Helpers, tried: &[Name]) -> Option<Name> {
    let chosen = helpers.choose(tried, 1, clock::steady());
    chosen.map(|host| host.id.clone())
}

#[test]
fn choose_none_that_was_tried() {
    let helpers = helpers();
    assert_eq!(choose(&helpers, &[]), Some(Name::from(NAME)));
    assert_eq!(choose(&helpers, &[Name::from(NAME)]), None);
    assert!(!helpers.has_untried(&[Name::from(NAME)], clock::steady()));
}

/// Guards against a host that is left alone for long after it has come back.
#[test]
fn add_again_makes_a_failed_host_usable() {
    let helpers = helpers();
    let host = helpers.choose(&[], 1, clock::steady()).unwrap();
    host.server.note_failure(clock::steady());
    assert_eq!(choose(&helpers, &[]), None);
    helpers.add(&Name::from(NAME), address(), &Name::from("a"), true);
    assert_eq!(choose(&helpers, &[]), Some(Name::from(NAME)));
}

/// Guards against hosts that are held ill, for longer each time, since they say that they are cut off.
#[test]
fn note_away_is_no_failure() {
    let helpers = helpers();
    let host = helpers.choose(&[], 1, clock::steady()).unwrap();
    host.note_away(clock::steady());
    assert_eq!(choose(&helpers, &[]), None);
    assert!(!host.server.is_ill(clock::steady()));
}

#[test]
fn retain_near_forgets_those_that_are_gone() {
    let helpers = helpers();
    helpers.add(&Name::from("far"), address(), &Name::from("b"), false);
    helpers.retain_near(|_| false);
    assert_eq!(choose(&helpers, &[]), Some(Name::from("far")));
}
