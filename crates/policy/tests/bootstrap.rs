//! Hundreds of hosts that start within the same second: who reads the whole list, and when each has
//! it, in simulated time.

use std::collections::BTreeSet;

use policy::bootstrap::Bootstrap;
use policy::name::Name;
use policy::relay::{Action, Bounds, Relay};
use policy::time::Millis;

const BOUNDS: Bounds = Bounds { change_ms: 4_000, alone_ms: 3_500 };
/// A call of the store, to find the others.
const FIND_MS: u64 = 15;
/// Hosts that one host gives the list to at once.
const GIVES_MAX: usize = 2;

struct Host {
    name: Name,
    relay: Relay,
    starts: u64,
    /// It is listed, and never comes.
    is_gone: bool,
    /// It stops for good while it reads.
    dies_reading: bool,
    reads_until: Option<u64>,
    /// Who gives it the list, and until when.
    takes_until: Option<(usize, u64)>,
    has_at: Option<u64>,
    /// It heard from these that they have the list.
    heard: Vec<usize>,
    reads: u64,
}

struct Domain {
    hosts: Vec<Host>,
    read_ms: u64,
    give_ms: u64,
}

impl Domain {
    /// Hosts that start one after the other within 300 ms.
    fn new(count: usize, read_ms: u64, give_ms: u64) -> Self {
        let host = |number| {
            let name = Name::from(format!("host-{number}"));
            let starts = 1 + (number as u64 * 7_919) % 300;
            Host {
                relay: Relay::new(BOUNDS, &name, "list", Bootstrap::new(Millis(starts))),
                name,
                starts,
                is_gone: false,
                dies_reading: false,
                reads_until: None,
                takes_until: None,
                has_at: None,
                heard: Vec::new(),
                reads: 0,
            }
        };
        Self { hosts: (0..count).map(host).collect(), read_ms, give_ms }
    }

    fn run(&mut self, ms: u64) {
        (1..ms).for_each(|now| self.tick(now));
    }

    fn tick(&mut self, now: u64) {
        for number in 0..self.hosts.len() {
            if self.hosts[number].is_gone || now < self.hosts[number].starts + FIND_MS {
                continue;
            }
            if now == self.hosts[number].starts + FIND_MS {
                self.greet(number, now);
            }
            self.step(number, now);
        }
    }

    /// All are listed, from before. Those that have the list tell of it.
    fn greet(&mut self, number: usize, now: u64) {
        let names: Vec<Name> = self.hosts.iter().map(|host| host.name.clone()).collect();
        let others = names.iter().filter(|name| **name != names[number]);
        self.hosts[number].relay.record_listed(others.map(|name| (name, 0)), Millis(now));
        for other in 0..self.hosts.len() {
            let tells = self.hosts[other].has_at.is_some()
                && self.hosts[other].relay.announces_reads(Millis(now));
            if tells {
                self.hosts[number].heard.push(other);
            }
        }
    }

    fn step(&mut self, number: usize, now: u64) {
        if self.hosts[number].has_at.is_some() {
            return;
        }
        if let Some((from, until)) = self.hosts[number].takes_until {
            self.hosts[number].relay.defer_first_read(Millis(now));
            if now >= until {
                self.hosts[number].relay.record_start_from_peer(Millis(now));
                self.hosts[number].has_at = Some(now);
                self.hosts[number].takes_until = None;
                // Whoever is busy names those that it gave the list to.
                self.hosts.iter_mut().filter(|h| h.heard.contains(&from)).for_each(|h| {
                    h.heard.push(number);
                });
            }
            return;
        }
        if let Some(until) = self.hosts[number].reads_until {
            return self.go_on_reading(number, until, now);
        }
        self.begin(number, now);
    }

    fn begin(&mut self, number: usize, now: u64) {
        let sources = self.hosts[number].heard.clone();
        let free = |from: &usize| {
            let given = self.hosts.iter().filter(|h| h.takes_until.is_some_and(|t| t.0 == *from));
            given.count() < GIVES_MAX
        };
        let may_take = self.hosts[number].relay.may_start_from_peer(Millis(now), Millis(now));
        if let Some(from) = sources.iter().copied().find(free).filter(|_| may_take) {
            self.hosts[number].takes_until = Some((from, now + self.give_ms));
        } else if !sources.is_empty() {
            self.hosts[number].relay.defer_first_read(Millis(now));
        }
        let host = &mut self.hosts[number];
        let reads = matches!(host.relay.action(Millis(now)), Action::Read { .. });
        if host.takes_until.is_none() && reads {
            host.reads += 1;
            host.reads_until = Some(now + self.read_ms);
        }
    }

    fn go_on_reading(&mut self, number: usize, until: u64, now: u64) {
        if self.hosts[number].dies_reading {
            return;
        }
        let name = self.hosts[number].name.clone();
        if now < until {
            // Told every 100 ms.
            if (until - now).is_multiple_of(100) || until - now == self.read_ms - 1 {
                let others = self.hosts.iter_mut().filter(|host| host.name != name);
                others.for_each(|host| host.relay.record_peer_reading(&name, Millis(now)));
            }
            return;
        }
        self.hosts[number].relay.record_read(Millis(now));
        self.hosts[number].has_at = Some(now);
        if self.hosts[number].relay.announces_reads(Millis(now)) {
            let others = self.hosts.iter_mut().filter(|host| host.name != name);
            others.for_each(|host| host.heard.push(number));
        }
    }

    fn reads(&self) -> u64 {
        self.hosts.iter().map(|host| host.reads).sum()
    }

    /// How long the last one took from its start.
    fn slowest_ms(&self) -> u64 {
        let lives = self.hosts.iter().filter(|host| !host.is_gone && !host.dies_reading);
        lives.map(|host| host.has_at.map_or(u64::MAX, |at| at - host.starts)).max().unwrap()
    }
}

/// The store sent each of hundreds of hosts the whole list of thousands of servers.
#[test]
fn hosts_started_at_once_read_the_whole_list_a_few_times() {
    for count in [50, 100, 150] {
        let mut short = Domain::new(count, 10, 10);
        short.run(4_000);
        assert!(short.reads() <= 8, "{count}: {}", short.reads());
        assert!(short.slowest_ms() <= 1_000, "{count}: {}", short.slowest_ms());
        let mut long = Domain::new(count, 500, 120);
        long.run(6_000);
        assert!(long.reads() <= 8, "{count}: {}", long.reads());
        assert!(long.slowest_ms() <= 2_000, "{count}: {}", long.slowest_ms());
    }
}

/// Hosts whose rows stand still but that never come, and one that is lost while it reads, must not
/// keep the others from the list.
#[test]
fn hosts_that_are_gone_are_not_waited_for() {
    let mut domain = Domain::new(60, 100, 20);
    let gone = (0..60).step_by(2);
    gone.for_each(|number: usize| domain.hosts[number].is_gone = true);
    domain.hosts[1].dies_reading = true;
    domain.run(5_000);
    assert!(domain.slowest_ms() <= 3_000, "{}", domain.slowest_ms());
}

/// A store so slow that nobody's read ends soon is not asked by all hosts at the same time.
#[test]
fn hosts_before_a_slow_store_do_not_ask_at_the_same_time() {
    let mut domain = Domain::new(100, 5_000, 20);
    let mut begun = Vec::new();
    for now in 1..6_000 {
        let before = domain.reads();
        domain.tick(now);
        begun.push(domain.reads() - before);
    }
    assert!(begun.iter().all(|count| *count <= 4), "{:?}", begun.iter().max());
}

#[test]
fn turn_few_others_at_once() {
    let mut bootstrap = Bootstrap::new(Millis(1_000));
    bootstrap.record_listed(3, 2, Millis(1_020));
    assert_eq!(bootstrap.turn(), Millis(1_020));
    assert!(!bootstrap.announces_reads(Millis(1_030)));
}

#[test]
fn turn_nobody_found_in_time() {
    let bootstrap = Bootstrap::new(Millis(1_000));
    assert!(bootstrap.turn() < Millis(1_500));
}

/// Neighbours that say for ever that they are reading must not keep a host from the store.
#[test]
fn turn_is_not_put_off_for_ever() {
    let mut bootstrap = Bootstrap::new(Millis(0));
    bootstrap.record_listed(50, 49, Millis(20));
    (20..20_000).for_each(|now| bootstrap.defer(Millis(now)));
    assert!(bootstrap.turn() <= Millis(3_000), "{:?}", bootstrap.turn());
}

/// Guards against a first start at which each host that is listed early finds nobody, and reads the list
/// for itself.
#[test]
fn first_start_is_read_once_by_hosts_that_find_each_other_one_by_one() {
    let names: Vec<Name> = (0..80).map(|number| Name::from(format!("host-{number}"))).collect();
    let mut relays: Vec<Relay> = names
        .iter()
        .map(|name| Relay::new(BOUNDS, name, "list", Bootstrap::first_start(Millis(1))))
        .collect();
    /// A long list on a narrow link.
    const READ_MS: u64 = 600;
    let mut readers = BTreeSet::new();
    let mut listed = 0;
    let mut reading: Option<(usize, u64)> = None;
    let mut has = vec![false; names.len()];
    for now in 2..4_000_u64 {
        // Three hosts are listed in ten milliseconds, each finds those before it, and greets them.
        let before = listed;
        listed = names.len().min(now as usize * 3 / 10);
        for number in before..listed {
            relays[number].record_listed(names[..number].iter().map(|name| (name, 0)), Millis(now));
            for other in 0..number {
                relays[other].record_peer(&names[number], Millis(now));
                relays[number].record_peer(&names[other], Millis(now));
            }
        }
        if let Some((reader, until)) = reading {
            let others = (0..names.len()).filter(|other| *other != reader);
            if now == until {
                relays[reader].record_read(Millis(now));
                reading = None;
            }
            // Told at once, and then each 100 ms.
            let is_told = (until - now).is_multiple_of(100) || until - now == READ_MS - 1;
            for other in others.filter(|_| is_told) {
                relays[other].record_peer_reading(&names[reader], Millis(now));
                if now == until && relays[other].may_start_from_peer(Millis(now), Millis(now)) {
                    relays[other].record_start_from_peer(Millis(now));
                    has[other] = true;
                }
            }
        }
        for number in (0..names.len()).filter(|number| !has[*number]).collect::<Vec<_>>() {
            if matches!(relays[number].action(Millis(now)), Action::Read { .. }) {
                readers.insert(number);
                has[number] = true;
                reading = reading.or(Some((number, now + READ_MS)));
            }
        }
    }
    assert!(readers.len() <= 2, "{readers:?}");
}
