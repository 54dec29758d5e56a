//! A model of a whole deployment whose store is restored from a copy. It shows which hosts undo
//! acknowledged changes, and which miss later ones. Lists and hosts are modelled; calls and their
//! durations are not.

use std::collections::BTreeMap;
use std::sync::Arc;

use node::history::History;
use node::store::{Entry, Fact, Update};
use policy::name::Name;
use policy::place::mix;
use policy::revision::Revision;
use policy::time::Millis;
use wire::routing::{Backend, Table};

const START: Millis = Millis(1_000_000);
/// Interval between two reads of the store, in milliseconds; an update takes as long through a
/// failure domain.
const ROUND_INTERVAL_MS: u64 = 200;
const MISSING_MS: u64 = 2_000;
const DOMAINS: usize = 6;
const SERVERS: usize = 40;
/// Time within which a change must be in force, in milliseconds. It binds only hosts that were
/// connected for as long.
const IN_FORCE_MS: u64 = 3_000;

#[derive(Clone, Default)]
struct Store {
    era: u64,
    number: u64,
    rows: BTreeMap<Name, (u64, Fact)>,
    removed: BTreeMap<Name, u64>,
}

impl Store {
    fn put(&mut self, key: &str, fact: Fact) {
        self.number += 1;
        self.removed.remove(key);
        self.rows.insert(Name::from(key), (self.number, fact));
    }

    fn remove(&mut self, key: &str) {
        self.number += 1;
        self.rows.remove(key);
        self.removed.insert(Name::from(key), self.number);
    }

    fn restore(&mut self, copy: &Self) {
        *self = Self { era: self.era + 1, ..copy.clone() };
    }

    fn read(&self) -> Update {
        let entries = self.rows.iter().map(|(key, (number, fact))| self.entry(key, *number, fact));
        Update { entries: entries.collect(), is_whole: true, ..self.empty_update() }
    }

    /// The changes behind a revision, or the whole list if they are not available.
    fn changes(&self, after: Revision) -> Update {
        if after.era != self.era || after.number > self.number {
            return self.read();
        }
        let changed = self.rows.iter().filter(|(_, (number, _))| *number > after.number);
        let changed = changed.map(|(key, (number, fact))| self.entry(key, *number, fact));
        let removed = self.removed.iter().filter(|(_, number)| **number > after.number);
        let removed = removed.map(|(key, number)| self.entry(key, *number, &Fact::Removed));
        Update { entries: changed.chain(removed).collect(), ..self.empty_update() }
    }

    fn empty_update(&self) -> Update {
        Update { revision: Revision::new(self.era, self.number), ..Update::default() }
    }

    fn entry(&self, key: &Name, number: u64, fact: &Fact) -> Entry {
        let revision = Revision::new(self.era, number);
        Entry { key: key.clone(), revision, fact: fact.clone() }
    }
}

struct Host {
    history: History,
    /// Until then the host reaches neither the store nor its peers.
    unreachable_until: Millis,
}

impl Host {
    fn accept(&mut self, update: &Update, now: Millis) {
        let resolved = self.history.resolve(update).expect("edits of a known table").into_owned();
        let reconciled = self.history.reconcile(&resolved, now).update.into_owned();
        self.history.apply(&reconciled);
    }

    fn revision(&self) -> Revision {
        self.history.revision().unwrap_or_default()
    }

    /// Content that the host has under a key.
    fn fact(&self, key: &str) -> Option<Fact> {
        let all = self.history.update_since(Revision::NONE, START)?.entries;
        all.into_iter().find(|entry| &*entry.key == key).map(|entry| entry.fact)
    }
}

struct Fleet {
    store: Store,
    hosts: Vec<Host>,
    now: Millis,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut store = Store::default();
        store.put("config", table(7));
        (0..SERVERS).for_each(|number| store.put(&format!("b{number}"), server(number, false)));
        let host = |_| Host { history: History::new(MISSING_MS), unreachable_until: START };
        let mut fleet = Self { store, hosts: (0..count).map(host).collect(), now: START };
        fleet.run(IN_FORCE_MS + ROUND_INTERVAL_MS);
        fleet
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(ROUND_INTERVAL_MS) {
            self.now = self.now + ROUND_INTERVAL_MS;
            (0..DOMAINS.min(self.hosts.len())).for_each(|domain| self.round(domain));
        }
    }

    /// One host of a failure domain reads the store, and its peers fetch from it. A host whose
    /// update has fewer overrides than its peers hold fetches these from them.
    fn round(&mut self, domain: usize) {
        let now = self.now;
        let count = self.hosts.len();
        let here = (domain..count).step_by(DOMAINS);
        let here: Vec<usize> =
            here.filter(|host| self.hosts[*host].unreachable_until <= now).collect();
        for host in &here {
            if let Some(update) = self.hosts[*host].history.expired_overrides(now) {
                self.hosts[*host].history.apply(&update);
            }
        }
        let Some(reader) = here.first().copied() else { return };
        let update = self.store.changes(self.hosts[reader].revision());
        self.hosts[reader].accept(&update, now);
        for _ in 0..2 {
            let ahead = here.iter().copied().max_by_key(|host| self.hosts[*host].revision());
            let ahead = ahead.unwrap_or(reader);
            for host in &here {
                let revision = self.hosts[*host].revision();
                if revision < self.hosts[ahead].revision() {
                    let update = self.hosts[ahead].history.update_since(revision, now).unwrap();
                    self.hosts[*host].accept(&update, now);
                }
            }
        }
    }

    fn disconnect(&mut self, host: usize, ms: u64) {
        self.hosts[host].unreachable_until = self.now + ms;
    }

    fn restart(&mut self, host: usize) {
        self.hosts[host].history = History::new(MISSING_MS);
    }

    /// Hosts that have reached the store and their peers for long enough.
    fn connected(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|host| host.unreachable_until + IN_FORCE_MS <= self.now)
    }

    /// Number of connected hosts that have this content under a key.
    fn count_with(&self, key: &str, fact: Option<&Fact>) -> usize {
        self.connected().filter(|host| host.fact(key).as_ref() == fact).count()
    }

    fn count_connected(&self) -> usize {
        self.connected().count()
    }
}

fn server(number: usize, draining: bool) -> Fact {
    Fact::Backend(Backend {
        id: Name::from(format!("b{number}")),
        born: 1,
        service: Name::from("desk"),
        address: format!("10.0.0.{number}:80").parse().unwrap(),
        failure_domain: Name::from("a"),
        version: Name::from("v1"),
        slots: 8,
        draining,
        warmup_ms: None,
    })
}

fn table(version: u64) -> Fact {
    Fact::Table(Arc::new(Table { version, ..Table::default() }))
}

/// Guards against hosts that undo what was acknowledged before the restore, or miss later changes,
/// in deployments of any size. Some hosts are disconnected or start during the restore, among them
/// the first of each failure domain.
#[test]
fn restore_keeps_acknowledged_changes_and_hides_no_later_ones() {
    for count in [6, 30, 81, 300, 985] {
        let mut fleet = Fleet::new(count);
        let copy = fleet.store.clone();
        let evacuation = Fact::Evacuation(Name::from("a"));
        fleet.store.put("b0", server(0, true));
        fleet.store.remove("b1");
        fleet.store.put("new", server(2, false));
        fleet.store.put("config", table(9));
        fleet.store.put("evacuate/a", evacuation.clone());
        (0..200).for_each(|number| fleet.store.put("other", server(number % 9, false)));
        fleet.run(ROUND_INTERVAL_MS * 2);
        let seed = |host: usize| mix(host as u64 ^ count as u64);
        (0..count)
            .filter(|host| seed(*host) % 9 == 0)
            .for_each(|host| fleet.disconnect(host, 4_000));
        fleet.store.restore(&copy);
        (0..count).filter(|host| seed(*host) % 7 == 0).for_each(|host| fleet.restart(host));
        // The host of each failure domain that reads first knows nothing from before the restore,
        // but its peers do.
        if count > DOMAINS {
            (0..DOMAINS).for_each(|host| fleet.restart(host));
        }
        fleet.run(1_000);
        let connected = fleet.count_connected();
        assert_eq!(fleet.count_with("b0", Some(&server(0, true))), connected, "{count} leave");
        assert_eq!(fleet.count_with("b1", None), connected, "{count} removed");
        assert_eq!(fleet.count_with("new", Some(&server(2, false))), connected, "{count} listed");
        assert_eq!(fleet.count_with("config", Some(&table(9))), connected, "{count} table");
        assert_eq!(
            fleet.count_with("evacuate/a", Some(&evacuation)),
            connected,
            "{count} evacuation"
        );
        // The lost changes are written again, and more after them, all under numbers that were used
        // before.
        fleet.store.put("b0", server(0, true));
        fleet.store.remove("b1");
        fleet.store.put("config", table(9));
        fleet.store.put("evacuate/a", evacuation);
        fleet.store.put("b3", server(3, true));
        fleet.store.put("config", table(11));
        fleet.store.remove("evacuate/a");
        fleet.run(IN_FORCE_MS);
        let connected = fleet.count_connected();
        assert_eq!(
            fleet.count_with("b3", Some(&server(3, true))),
            connected,
            "{count} leave after"
        );
        assert_eq!(fleet.count_with("config", Some(&table(11))), connected, "{count} table after");
        assert_eq!(fleet.count_with("evacuate/a", None), connected, "{count} evacuation ended");
        // The new server is never written again, so it is given up. Disconnected hosts have caught
        // up.
        fleet.run(12_000);
        assert_eq!(fleet.count_connected(), count);
        assert_eq!(fleet.count_with("new", None), count, "{count} given up");
        assert_eq!(
            fleet.count_with("b0", Some(&server(0, true))),
            count,
            "{count} leave in the end"
        );
        assert_eq!(fleet.count_with("config", Some(&table(11))), count, "{count} table in the end");
    }
}
