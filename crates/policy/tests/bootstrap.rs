//! A simulation of hundreds of hosts that start within the same second: which of them read the
//! whole list, and when each has it.

use std::collections::BTreeSet;

use policy::bootstrap::Bootstrap;
use policy::name::Name;
use policy::relay::{Action, Bounds, Relay};
use policy::time::Millis;

const BOUNDS: Bounds = Bounds { change_ms: 4_000, alone_ms: 3_500 };
/// Duration of the store call that finds the other hosts, in milliseconds.
const FIND_MS: u64 = 15;
/// Most hosts to which one host gives the list at the same time.
const GIVEN_AT_ONCE_MAX: usize = 2;

struct Host {
    name: Name,
    relay: Relay,
    starts_at: u64,
    /// Whether the host is listed but never starts.
    is_gone: bool,
    /// Whether the host stops for good while it reads.
    dies_reading: bool,
    /// When the read in flight ends.
    reads_until: Option<u64>,
    /// The host that is giving the list to this one, and when it has given it.
    transfer: Option<(usize, u64)>,
    /// When the host got the list.
    received_at: Option<u64>,
    /// Hosts known to have the list.
    known_sources: Vec<usize>,
    /// Number of reads started.
    reads: u64,
}

struct Domain {
    hosts: Vec<Host>,
    /// How long a read of the list from the store takes.
    read_ms: u64,
    /// How long it takes to give the list to another host.
    give_ms: u64,
}

impl Domain {
    /// Creates hosts that start one after another within 300 ms.
    fn new(count: usize, read_ms: u64, give_ms: u64) -> Self {
        let host = |number| {
            let name = Name::from(format!("host-{number}"));
            let starts_at = 1 + (number as u64 * 7_919) % 300;
            Host {
                relay: Relay::new(BOUNDS, &name, "list", Bootstrap::new(Millis(starts_at))),
                name,
                starts_at,
                is_gone: false,
                dies_reading: false,
                reads_until: None,
                transfer: None,
                received_at: None,
                known_sources: Vec::new(),
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
            if self.hosts[number].is_gone || now < self.hosts[number].starts_at + FIND_MS {
                continue;
            }
            if now == self.hosts[number].starts_at + FIND_MS {
                self.introduce(number, now);
            }
            self.advance(number, now);
        }
    }

    /// Introduces a host that has just started. All hosts are listed already, and those that have
    /// the list announce it to the host.
    fn introduce(&mut self, number: usize, now: u64) {
        let names: Vec<Name> = self.hosts.iter().map(|host| host.name.clone()).collect();
        let others = names.iter().filter(|name| **name != names[number]);
        self.hosts[number].relay.record_listed(others.map(|name| (name, 0)), Millis(now));
        for other in 0..self.hosts.len() {
            let is_announced = self.hosts[other].received_at.is_some()
                && self.hosts[other].relay.announces_reads(Millis(now));
            if is_announced {
                self.hosts[number].known_sources.push(other);
            }
        }
    }

    fn advance(&mut self, number: usize, now: u64) {
        if self.hosts[number].received_at.is_some() {
            return;
        }
        if let Some((from, until)) = self.hosts[number].transfer {
            self.hosts[number].relay.defer_first_read(Millis(now));
            if now >= until {
                self.hosts[number].relay.record_start_from_peer(Millis(now));
                self.hosts[number].received_at = Some(now);
                self.hosts[number].transfer = None;
                // A host that is busy names the hosts to which it gave the list.
                self.hosts.iter_mut().filter(|h| h.known_sources.contains(&from)).for_each(|h| {
                    h.known_sources.push(number);
                });
            }
            return;
        }
        if let Some(until) = self.hosts[number].reads_until {
            return self.continue_reading(number, until, now);
        }
        self.begin(number, now);
    }

    fn begin(&mut self, number: usize, now: u64) {
        let sources = self.hosts[number].known_sources.clone();
        let free = |from: &usize| {
            let transfers = self.hosts.iter().filter(|h| h.transfer.is_some_and(|t| t.0 == *from));
            transfers.count() < GIVEN_AT_ONCE_MAX
        };
        let may_take = self.hosts[number].relay.may_start_from_peer(Millis(now), Millis(now));
        if let Some(from) = sources.iter().copied().find(free).filter(|_| may_take) {
            self.hosts[number].transfer = Some((from, now + self.give_ms));
        } else if !sources.is_empty() {
            self.hosts[number].relay.defer_first_read(Millis(now));
        }
        let host = &mut self.hosts[number];
        let reads = matches!(host.relay.action(Millis(now)), Action::Read { .. });
        if host.transfer.is_none() && reads {
            host.reads += 1;
            host.reads_until = Some(now + self.read_ms);
        }
    }

    fn continue_reading(&mut self, number: usize, until: u64, now: u64) {
        if self.hosts[number].dies_reading {
            return;
        }
        let name = self.hosts[number].name.clone();
        if now < until {
            // Announces the read every 100 ms.
            if (until - now).is_multiple_of(100) || until - now == self.read_ms - 1 {
                let others = self.hosts.iter_mut().filter(|host| host.name != name);
                others.for_each(|host| host.relay.record_peer_reading(&name, Millis(now)));
            }
            return;
        }
        self.hosts[number].relay.record_read(Millis(now));
        self.hosts[number].received_at = Some(now);
        if self.hosts[number].relay.announces_reads(Millis(now)) {
            let others = self.hosts.iter_mut().filter(|host| host.name != name);
            others.for_each(|host| host.known_sources.push(number));
        }
    }

    fn reads(&self) -> u64 {
        self.hosts.iter().map(|host| host.reads).sum()
    }

    /// Longest time from a host's start until it had the list, in milliseconds.
    fn slowest_ms(&self) -> u64 {
        let alive = self.hosts.iter().filter(|host| !host.is_gone && !host.dies_reading);
        alive.map(|host| host.received_at.map_or(u64::MAX, |at| at - host.starts_at)).max().unwrap()
    }
}

/// Guards against a store that sends the whole list of thousands of servers to each of hundreds of
/// hosts.
#[test]
fn action_hosts_started_at_once_read_the_whole_list_a_few_times() {
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

/// Guards against hosts that wait for hosts which are listed but gone, or for one that is lost
/// while it reads.
#[test]
fn action_hosts_that_are_gone_are_not_waited_for() {
    let mut domain = Domain::new(60, 100, 20);
    let gone = (0..60).step_by(2);
    gone.for_each(|number: usize| domain.hosts[number].is_gone = true);
    domain.hosts[1].dies_reading = true;
    domain.run(5_000);
    assert!(domain.slowest_ms() <= 3_000, "{}", domain.slowest_ms());
}

/// Guards against hosts that all call a slow store at the same time, because no other host's read
/// ends soon.
#[test]
fn action_slow_store_is_not_called_by_all_hosts_at_once() {
    let mut domain = Domain::new(100, 5_000, 20);
    let mut started_reads = Vec::new();
    for now in 1..6_000 {
        let before = domain.reads();
        domain.tick(now);
        started_reads.push(domain.reads() - before);
    }
    assert!(started_reads.iter().all(|count| *count <= 4), "{:?}", started_reads.iter().max());
}

#[test]
fn turn_with_few_others_is_now() {
    let mut bootstrap = Bootstrap::new(Millis(1_000));
    bootstrap.record_listed(3, 2, Millis(1_020));
    assert_eq!(bootstrap.turn(), Millis(1_020));
    assert!(!bootstrap.announces_reads(Millis(1_030)));
}

#[test]
fn turn_without_other_hosts_comes_in_time() {
    let bootstrap = Bootstrap::new(Millis(1_000));
    assert!(bootstrap.turn() < Millis(1_500));
}

/// Guards against peers that keep a host from the store because they announce without end that they
/// are reading.
#[test]
fn turn_is_not_put_off_without_end() {
    let mut bootstrap = Bootstrap::new(Millis(0));
    bootstrap.record_listed(50, 49, Millis(20));
    (20..20_000).for_each(|now| bootstrap.defer(Millis(now)));
    assert!(bootstrap.turn() <= Millis(3_000), "{:?}", bootstrap.turn());
}

/// Guards against a first start at which each host that is listed early finds no other host and
/// reads the list for itself.
#[test]
fn first_start_hosts_that_find_each_other_one_by_one_read_once() {
    let names: Vec<Name> = (0..80).map(|number| Name::from(format!("host-{number}"))).collect();
    let mut relays: Vec<Relay> = names
        .iter()
        .map(|name| Relay::new(BOUNDS, name, "list", Bootstrap::first_start(Millis(1))))
        .collect();
    /// How long a long list takes on a narrow link, in milliseconds.
    const READ_MS: u64 = 600;
    let mut readers = BTreeSet::new();
    let mut listed = 0;
    let mut reading: Option<(usize, u64)> = None;
    let mut has = vec![false; names.len()];
    for now in 2..4_000_u64 {
        // Three hosts are listed every ten milliseconds. Each finds those before it and sends them
        // a message.
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
            // Announces the read at once, and then every 100 ms.
            let is_announced = (until - now).is_multiple_of(100) || until - now == READ_MS - 1;
            for other in others.filter(|_| is_announced) {
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
