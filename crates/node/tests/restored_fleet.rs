//! A model of a whole deployment whose store comes back from a copy: who undoes what was acknowledged, who misses what
//! comes behind it. Lists and hosts are modelled, calls and their times are not.

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
/// Between two readings, in milliseconds; as long as news take through a failure domain.
const ROUND_MS: u64 = 200;
const MISSING_MS: u64 = 2_000;
const DOMAINS: usize = 6;
const SERVERS: usize = 40;
/// In which a change is in force, in milliseconds, and what a host must have been in reach for to be bound.
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
        Update { entries: entries.collect(), is_whole: true, ..self.nothing() }
    }

    /// The whole list where changes behind a revision are not to be had.
    fn changes(&self, after: Revision) -> Update {
        if after.era != self.era || after.number > self.number {
            return self.read();
        }
        let changed = self.rows.iter().filter(|(_, (number, _))| *number > after.number);
        let changed = changed.map(|(key, (number, fact))| self.entry(key, *number, fact));
        let removed = self.removed.iter().filter(|(_, number)| **number > after.number);
        let removed = removed.map(|(key, number)| self.entry(key, *number, &Fact::Removed));
        Update { entries: changed.chain(removed).collect(), ..self.nothing() }
    }

    fn nothing(&self) -> Update {
        Update { revision: Revision::new(self.era, self.number), ..Update::default() }
    }

    fn entry(&self, key: &Name, number: u64, fact: &Fact) -> Entry {
        let revision = Revision::new(self.era, number);
        Entry { key: key.clone(), revision, fact: fact.clone() }
    }
}

struct Host {
    history: History,
    /// Neither the store nor other hosts are reached until then.
    cut_until: Millis,
}

impl Host {
    fn take(&mut self, update: &Update, now: Millis) {
        let resolved = self.history.resolve(update).expect("edits of a known table").into_owned();
        let reconciled = self.history.reconcile(&resolved, now).update.into_owned();
        self.history.apply(&reconciled);
    }

    fn own(&self) -> Revision {
        self.history.revision().unwrap_or_default()
    }

    /// What it has under a key.
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
        let host = |_| Host { history: History::new(MISSING_MS), cut_until: START };
        let mut fleet = Self { store, hosts: (0..count).map(host).collect(), now: START };
        fleet.run(IN_FORCE_MS + ROUND_MS);
        fleet
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(ROUND_MS) {
            self.now = self.now + ROUND_MS;
            (0..DOMAINS.min(self.hosts.len())).for_each(|domain| self.round(domain));
        }
    }

    /// One host of a domain reads, the others take it from there; one that was given less than the others hold on to
    /// takes that from them.
    fn round(&mut self, domain: usize) {
        let now = self.now;
        let count = self.hosts.len();
        let here = (domain..count).step_by(DOMAINS);
        let here: Vec<usize> = here.filter(|host| self.hosts[*host].cut_until <= now).collect();
        for host in &here {
            if let Some(update) = self.hosts[*host].history.expire_overrides(now) {
                self.hosts[*host].history.apply(&update);
            }
        }
        let Some(reader) = here.first().copied() else { return };
        let update = self.store.changes(self.hosts[reader].own());
        self.hosts[reader].take(&update, now);
        for _ in 0..2 {
            let ahead = here.iter().copied().max_by_key(|host| self.hosts[*host].own());
            let ahead = ahead.unwrap_or(reader);
            for host in &here {
                let own = self.hosts[*host].own();
                if own < self.hosts[ahead].own() {
                    let update = self.hosts[ahead].history.update_since(own, now).unwrap();
                    self.hosts[*host].take(&update, now);
                }
            }
        }
    }

    fn cut(&mut self, host: usize, ms: u64) {
        self.hosts[host].cut_until = self.now + ms;
    }

    fn restart(&mut self, host: usize) {
        self.hosts[host].history = History::new(MISSING_MS);
    }

    /// Hosts that have reached the store and the others for long enough.
    fn bound(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|host| host.cut_until + IN_FORCE_MS <= self.now)
    }

    /// How many of them have something under a key.
    fn with(&self, key: &str, fact: Option<&Fact>) -> usize {
        self.bound().filter(|host| host.fact(key).as_ref() == fact).count()
    }

    fn in_touch(&self) -> usize {
        self.bound().count()
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

/// Guards against hosts that undo what was acknowledged before the copy's return, or miss what comes behind it, at
/// any size; some are cut off, and some start in that moment, the first of a domain among them.
#[test]
fn copy_undoes_nothing_and_hides_nothing_at_any_size() {
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
        fleet.run(ROUND_MS * 2);
        let seed = |host: usize| mix(host as u64 ^ count as u64);
        (0..count).filter(|host| seed(*host) % 9 == 0).for_each(|host| fleet.cut(host, 4_000));
        fleet.store.restore(&copy);
        (0..count).filter(|host| seed(*host) % 7 == 0).for_each(|host| fleet.restart(host));
        // The one that reads first of each domain knows nothing of before; others of the domain do.
        if count > DOMAINS {
            (0..DOMAINS).for_each(|host| fleet.restart(host));
        }
        fleet.run(1_000);
        let in_touch = fleet.in_touch();
        assert_eq!(fleet.with("b0", Some(&server(0, true))), in_touch, "{count} leave");
        assert_eq!(fleet.with("b1", None), in_touch, "{count} removed");
        assert_eq!(fleet.with("new", Some(&server(2, false))), in_touch, "{count} listed");
        assert_eq!(fleet.with("config", Some(&table(9))), in_touch, "{count} table");
        assert_eq!(fleet.with("evacuate/a", Some(&evacuation)), in_touch, "{count} evacuation");
        // Written again, and more behind it, all at numbers that had been given out.
        fleet.store.put("b0", server(0, true));
        fleet.store.remove("b1");
        fleet.store.put("config", table(9));
        fleet.store.put("evacuate/a", evacuation);
        fleet.store.put("b3", server(3, true));
        fleet.store.put("config", table(11));
        fleet.store.remove("evacuate/a");
        fleet.run(IN_FORCE_MS);
        let in_touch = fleet.in_touch();
        assert_eq!(fleet.with("b3", Some(&server(3, true))), in_touch, "{count} leave after");
        assert_eq!(fleet.with("config", Some(&table(11))), in_touch, "{count} table after");
        assert_eq!(fleet.with("evacuate/a", None), in_touch, "{count} evacuation ended");
        // Never written again, the server is given up; those that were cut off have caught up.
        fleet.run(12_000);
        assert_eq!(fleet.in_touch(), count);
        assert_eq!(fleet.with("new", None), count, "{count} given up");
        assert_eq!(fleet.with("b0", Some(&server(0, true))), count, "{count} leave in the end");
        assert_eq!(fleet.with("config", Some(&table(11))), count, "{count} table in the end");
    }
}
