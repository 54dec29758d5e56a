//! How soon every host of a failure domain has a list that has grown, in a model of the hosts'
//! links.

use std::collections::BTreeMap;

use policy::bootstrap::Bootstrap;
use policy::name::Name;
use policy::relay::{Bounds, Relay};
use policy::strength;
use policy::time::Millis;
use policy::tree;

/// Time in which a change must be in force on all hosts, in milliseconds.
const CHANGE_MS: u64 = 3_000;
/// Length of a route as the store sends it, in bytes.
const ROUTE_BYTES: f64 = 261.0;
/// Factor by which a table is shorter when hosts pass it on.
const PACKED_FACTOR: f64 = 14.0;
/// Time that a host with an eighth of a core needs to pass a table on and to apply it, in
/// milliseconds per thousand routes.
const APPLY_MS_PER_1000_ROUTES: f64 = 20.0;
/// Share of a link that its host's callers use.
const CALLERS_SHARE: f64 = 0.1;

#[derive(Clone, Copy)]
struct Link {
    class: u8,
    mbps: f64,
}

const NARROW: Link = Link { class: 0, mbps: 10.0 };
const WIDE: Link = Link { class: 6, mbps: 200.0 };

/// Returns how long a transfer of `bytes` takes on a link, in milliseconds.
fn transfer_ms(bytes: f64, link: Link) -> f64 {
    bytes * 8.0 / (link.mbps * (1.0 - CALLERS_SHARE) * 1_000.0)
}

/// A domain whose reader, the first host, is about to receive a table with a number of routes.
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

    /// Whether the other hosts wait for the reader to pass the table on.
    fn is_passed_on(&self) -> bool {
        let (name, link) = &self.hosts[0];
        let bounds = Bounds { change_ms: CHANGE_MS, alone_ms: CHANGE_MS };
        let relay = Relay::new(bounds, name, "list", Bootstrap::new(Millis(1)));
        relay.can_relay_in_time(self.bytes() as u64, link.mbps)
    }

    /// Time until the last host has the table if each host reads it from the store, in
    /// milliseconds.
    fn last_direct_ms(&self) -> f64 {
        let all = self.hosts.iter().map(|(_, link)| transfer_ms(self.bytes(), *link));
        all.fold(0.0, f64::max) + self.apply_ms()
    }

    /// Time until the last host has the table if one host reads it and the others take it from that
    /// one and from each other, in milliseconds.
    fn last_passed_on_ms(&self) -> f64 {
        let root = &self.hosts[0].0;
        let classes = || self.hosts.iter().map(|(name, link)| (name, link.class));
        let mut parents: BTreeMap<&Name, Name> = BTreeMap::new();
        for (name, link) in &self.hosts[1..] {
            let sources = tree::sources((name, link.class), root, classes());
            parents.insert(name, sources[0].clone());
        }
        let mut children: BTreeMap<&Name, usize> = BTreeMap::new();
        parents.values().for_each(|source| *children.entry(source).or_default() += 1);
        let link = |name: &Name| self.hosts.iter().find(|(host, _)| host == name).unwrap().1;
        let packed = self.bytes() / PACKED_FACTOR;
        let mut last: f64 = 0.0;
        for (name, own) in &self.hosts[1..] {
            let mut at = name;
            let mut ms = transfer_ms(self.bytes(), self.hosts[0].1) + transfer_ms(packed, *own);
            while let Some(source) = parents.get(at) {
                ms += transfer_ms(packed * children[source] as f64, link(source));
                at = source;
            }
            last = last.max(ms);
        }
        last + self.apply_ms()
    }

    fn apply_ms(&self) -> f64 {
        self.routes / 1_000.0 * APPLY_MS_PER_1000_ROUTES
    }
}

/// Guards against hosts that keep using an old table although one host of their domain has the new
/// one. The table grows at once from nothing to thousands of routes, in domains of 3 to 330 hosts.
#[test]
fn can_relay_in_time_table_is_in_force_in_time() {
    for (count, wide) in [(3, 1), (27, 2), (51, 3), (164, 6), (330, 12)] {
        for routes in [1_400.0, 4_200.0, 8_000.0, 14_000.0, 20_000.0] {
            let domain = Domain::new(count, wide, routes);
            let (direct, passed_on) = (domain.last_direct_ms(), domain.last_passed_on_ms());
            println!(
                "{count} hosts, {routes} routes: direct {direct:.0}, passed on {passed_on:.0} ms"
            );
            assert!(domain.is_passed_on());
            assert!(passed_on < CHANGE_MS as f64, "{count} {routes} {passed_on}");
        }
    }
}

/// Guards against a domain without a wide link that waits for one host's long read and then for the
/// steps through the domain. A table that the hosts wait for arrives in time; one that each reads
/// for itself would not arrive sooner if it were passed on.
#[test]
fn can_relay_in_time_no_long_read_on_a_narrow_link() {
    for count in [3, 27, 51, 164, 330] {
        for routes in [300.0, 1_400.0, 2_800.0, 4_200.0, 8_000.0] {
            let domain = Domain::new(count, 0, routes);
            let (direct, passed_on) = (domain.last_direct_ms(), domain.last_passed_on_ms());
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

/// Checks that the links of the model belong to the classes that it gives them.
#[test]
fn class_of_the_model_links() {
    assert_eq!(strength::class(0.12, NARROW.mbps), NARROW.class);
    assert_eq!(strength::class(0.5, WIDE.mbps), WIDE.class);
}
