//! How soon a list that has grown is with every host of a failure domain, by a model of their
//! links.

use std::collections::BTreeMap;

use policy::bootstrap::Bootstrap;
use policy::name::Name;
use policy::relay::{Bounds, Relay};
use policy::strength;
use policy::time::Millis;
use policy::tree;

const CHANGE_MS: u64 = 3_000;
/// Length of a route as the store sends it, in bytes.
const ROUTE_BYTES: f64 = 261.0;
/// How much shorter a table is as hosts pass it on.
const PACKED: f64 = 14.0;
/// What a host with an eighth of a core takes to pass a table on and to take it in, in
/// milliseconds, for each thousand routes.
const TAKE_MS: f64 = 20.0;
/// Part of a narrow link that its host's callers take.
const CALLERS_PART: f64 = 0.1;

#[derive(Clone, Copy)]
struct Link {
    class: u8,
    mbps: f64,
}

const NARROW: Link = Link { class: 0, mbps: 10.0 };
const WIDE: Link = Link { class: 6, mbps: 200.0 };

/// How long so many bytes take on a link, in milliseconds.
fn ms(bytes: f64, link: Link) -> f64 {
    bytes * 8.0 / (link.mbps * (1.0 - CALLERS_PART) * 1_000.0)
}

/// A domain before a table of so many routes comes to its reader, the first host.
struct Domain {
    hosts: Vec<(Name, Link)>,
    routes: f64,
}

impl Domain {
    fn new(count: usize, wide: usize, routes: f64) -> Self {
        let link = |number| if number < wide { WIDE } else { NARROW };
        let host = |number| (Name::from(format!("front-{number}")), link(number));
        Self { hosts: (0..count).map(host).collect(), routes }
    }

    fn bytes(&self) -> f64 {
        self.routes * ROUTE_BYTES
    }

    /// Whether the others wait for the reader.
    fn is_passed_on(&self) -> bool {
        let (name, link) = &self.hosts[0];
        let bounds = Bounds { change_ms: CHANGE_MS, alone_ms: CHANGE_MS };
        let relay = Relay::new(bounds, name, "list", Bootstrap::new(Millis(1)));
        relay.can_relay_in_time(self.bytes() as u64, link.mbps)
    }

    /// When the last host has it, in milliseconds, if each reads it from the store.
    fn last_direct(&self) -> f64 {
        let all = self.hosts.iter().map(|(_, link)| ms(self.bytes(), *link));
        all.fold(0.0, f64::max) + self.take_ms()
    }

    /// The same, if one reads and the others take it from it and from each other.
    fn last_passed_on(&self) -> f64 {
        let root = &self.hosts[0].0;
        let classes = || self.hosts.iter().map(|(name, link)| (name, link.class));
        let mut from: BTreeMap<&Name, Name> = BTreeMap::new();
        for (name, link) in &self.hosts[1..] {
            let sources = tree::sources((name, link.class), root, classes());
            from.insert(name, sources[0].clone());
        }
        let mut given: BTreeMap<&Name, usize> = BTreeMap::new();
        from.values().for_each(|source| *given.entry(source).or_default() += 1);
        let link = |name: &Name| self.hosts.iter().find(|(host, _)| host == name).unwrap().1;
        let packed = self.bytes() / PACKED;
        let mut last: f64 = 0.0;
        for (name, own) in &self.hosts[1..] {
            let mut at = name;
            let mut took = ms(self.bytes(), self.hosts[0].1) + ms(packed, *own);
            while let Some(source) = from.get(at) {
                took += ms(packed * given[source] as f64, link(source));
                at = source;
            }
            last = last.max(took);
        }
        last + self.take_ms()
    }

    fn take_ms(&self) -> f64 {
        self.routes / 1_000.0 * TAKE_MS
    }
}

/// Guards against hosts bound by an old table though one of their domain has the new one: a table
/// that grows at once from nothing to so many routes, before domains of three to a third of a
/// thousand hosts.
#[test]
fn is_waited_for_table_in_force_in_time() {
    for (count, wide) in [(3, 1), (27, 2), (51, 3), (164, 6), (330, 12)] {
        for routes in [1_400.0, 4_200.0, 8_000.0, 14_000.0, 20_000.0] {
            let domain = Domain::new(count, wide, routes);
            let (direct, passed_on) = (domain.last_direct(), domain.last_passed_on());
            println!(
                "{count} hosts, {routes} routes: direct {direct:.0}, passed on {passed_on:.0} ms"
            );
            assert!(domain.is_passed_on());
            assert!(passed_on < CHANGE_MS as f64, "{count} {routes} {passed_on}");
        }
    }
}

/// Guards against a domain without a wide link that waits for one host's long read, and then for
/// the steps through the domain: what is waited for comes in time, and what is not has no quicker
/// way.
#[test]
fn is_waited_for_no_long_read_on_a_narrow_link() {
    for count in [3, 27, 51, 164, 330] {
        for routes in [300.0, 1_400.0, 2_800.0, 4_200.0, 8_000.0] {
            let domain = Domain::new(count, 0, routes);
            let (direct, passed_on) = (domain.last_direct(), domain.last_passed_on());
            let is_passed_on = domain.is_passed_on();
            println!(
                "{count} hosts, {routes} routes: direct {direct:.0}, passed on {passed_on:.0} ms, \
                {is_passed_on}"
            );
            match is_passed_on {
                true => assert!(passed_on < CHANGE_MS as f64, "{count} {routes} {passed_on}"),
                false => assert!(direct <= passed_on, "{count} {routes}"),
            }
        }
    }
}

/// The classes that the model's links stand for.
#[test]
fn class_of_the_model_links() {
    assert_eq!(strength::class(0.12, NARROW.mbps), NARROW.class);
    assert_eq!(strength::class(0.5, WIDE.mbps), WIDE.class);
}
