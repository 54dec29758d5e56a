//! Servers that fall over when they turn away too many requests, before hosts that all want their room.

use std::collections::BinaryHeap;

use policy::place::mix;
use policy::rejection::{Load, Room, Tolerance, quota};
use policy::throttle::Place;
use policy::time::Millis;

const DOMAINS: usize = 4;
const SLOTS: u32 = 6;
/// Rejected requests a second that a server tolerates.
const TOLERATED: f64 = 4.0;
const SERVICE_MS: u64 = 20;
/// Hosts keep to it from then on, in milliseconds.
const CONTACT_MS: u64 = 3_000;
const TIME_MS: u64 = 6_000;
/// Servers of other failure domains that a request looks at.
const LOOKED_FAR: usize = 64;
const START: u64 = 1_000_000;

/// A uniform draw from 0 to 1.
fn draw(seed: &mut u64) -> f64 {
    *seed = mix(*seed);
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}

/// Hosts before servers of which each failure domain has the same part.
struct Fleet {
    hosts: usize,
    servers: usize,
    /// Requests for each that the servers can answer.
    load: f64,
}

/// What came of a load.
#[derive(Debug)]
struct Outcome {
    /// Requests that one server turned away in one second, at most.
    rejected: usize,
    /// Part of what the servers can do that was done.
    used: f64,
}

impl Fleet {
    /// Where each host stands at a server.
    fn places(&self, server: usize) -> Vec<Place> {
        let turn = |host: &usize| mix((*host ^ (server << 20)) as u64);
        let mut places = vec![None; self.hosts];
        for domain in 0..DOMAINS {
            let mut hosts: Vec<usize> = (domain..self.hosts).step_by(DOMAINS).collect();
            hosts.sort_by_key(turn);
            for (before, host) in hosts.iter().enumerate() {
                let is_near = domain == server % DOMAINS;
                let place = Place { before, hosts: hosts.len(), is_near, domains: DOMAINS };
                places[*host] = Some(place);
            }
        }
        places.into_iter().flatten().collect()
    }

    /// Requests come to hosts at random; each looks at the servers of its failure domain and some others,
    /// and takes the first that is open.
    fn play(&self, mut seed: u64) -> Outcome {
        let places: Vec<Vec<Place>> = (0..self.servers).map(|server| self.places(server)).collect();
        let mut rooms = vec![vec![Room::default(); self.servers]; self.hosts];
        let mut own = vec![vec![0_u32; self.servers]; self.hosts];
        let mut reported = vec![vec![None::<(u32, u64)>; self.servers]; self.hosts];
        let mut running = vec![0_u32; self.servers];
        let mut rejected = vec![vec![0_usize; (TIME_MS / 100) as usize]; self.servers];
        let mut ends: BinaryHeap<std::cmp::Reverse<(u64, usize, usize)>> = BinaryHeap::new();
        let (mut now, mut done) = (0.0, 0_u64);
        let per_ms = self.load * self.servers as f64 * f64::from(SLOTS) / SERVICE_MS as f64;
        while now < TIME_MS as f64 {
            now += -draw(&mut seed).max(1e-9).ln() / per_ms;
            let at = now as u64;
            while let Some(std::cmp::Reverse((end, host, server))) = ends.peek().copied() {
                if end > at {
                    break;
                }
                ends.pop();
                running[server] -= 1;
                own[host][server] -= 1;
                reported[host][server] = Some((running[server], end));
                done += u64::from(end >= CONTACT_MS);
            }
            let host = (draw(&mut seed) * self.hosts as f64) as usize;
            let first = (draw(&mut seed) * self.servers as f64) as usize;
            let all = (0..self.servers).map(|n| (first + n) % self.servers);
            let (near, far): (Vec<_>, Vec<_>) =
                all.partition(|server| places[*server][host].is_near);
            for server in near.into_iter().chain(far.into_iter().take(LOOKED_FAR)) {
                let place = &places[server][host];
                let load = Load {
                    slots: SLOTS,
                    own: own[host][server],
                    reported: reported[host][server].map(|(count, then)| (count, at - then)),
                };
                let room = &mut rooms[host][server];
                let time = Millis(START + at);
                if !room.is_open(TOLERATED, &load, place, time) {
                    continue;
                }
                room.record_sent(time);
                if running[server] >= SLOTS {
                    rejected[server][(at / 100) as usize % (TIME_MS / 100) as usize] += 1;
                    room.record_rejection(TOLERATED, SLOTS, draw(&mut seed), time);
                } else {
                    running[server] += 1;
                    own[host][server] += 1;
                    let took = SERVICE_MS / 2 + (draw(&mut seed) * SERVICE_MS as f64) as u64;
                    ends.push(std::cmp::Reverse((at + took, host, server)));
                }
                break;
            }
        }
        let after = (CONTACT_MS / 100) as usize;
        let in_a_second = |cells: &Vec<usize>| {
            let windows = cells[after..].windows(10);
            windows.map(|window| window.iter().sum()).max().unwrap_or(0)
        };
        let possible = (TIME_MS - CONTACT_MS) * (self.servers as u64) * u64::from(SLOTS);
        Outcome {
            rejected: rejected.iter().map(in_a_second).max().unwrap_or(0),
            used: (done * SERVICE_MS) as f64 / possible as f64,
        }
    }
}

/// Guards against servers that fall over since each of many hosts sends what alone would be borne.
#[test]
fn server_turns_away_no_more_than_it_tolerates_from_any_number_of_hosts() {
    for (hosts, servers) in [(1, 4), (6, 4), (30, 12), (300, 100), (1_000, 100)] {
        for load in [0.5, 3.0] {
            let outcome = Fleet { hosts, servers, load }.play(hosts as u64);
            println!("{hosts} hosts, {servers} servers, load {load}: {outcome:?}");
            assert!(
                outcome.rejected as f64 <= TOLERATED,
                "{hosts} hosts, load {load}: {outcome:?}"
            );
        }
    }
}

/// Guards against servers that are spared until nobody is served.
#[test]
fn server_is_used_under_overload() {
    for (hosts, servers) in [(4, 4), (30, 12), (300, 100)] {
        let outcome = Fleet { hosts, servers, load: 3.0 }.play(7);
        assert!(outcome.used >= 0.5, "{hosts} hosts: {outcome:?}");
    }
}

#[test]
fn part_of_all_hosts_fills_the_places() {
    for hosts in [1, 2, 3, 7, 50] {
        for slots in [2, 6, 64] {
            let all: u32 = (0..DOMAINS)
                .flat_map(|domain| (0..hosts).map(move |before| (domain, before)))
                .map(|(domain, before)| {
                    quota(slots, &Place { before, hosts, is_near: domain == 0, domains: DOMAINS })
                })
                .sum();
            assert_eq!(all, slots, "{hosts} hosts a domain, {slots} places");
        }
    }
}

#[test]
fn heard_without_it_ends_it_unless_it_is_older() {
    let mut tolerance = Tolerance::default();
    assert!(!tolerance.record_answer(None, Millis(10), Millis(20)));
    assert!(tolerance.record_answer(Some(3.0), Millis(20), Millis(30)));
    assert!(!tolerance.record_answer(Some(3.0), Millis(30), Millis(40)));
    assert!(!tolerance.record_answer(None, Millis(35), Millis(50)));
    assert_eq!(tolerance.per_second(), Some(3.0));
    assert!(tolerance.record_answer(None, Millis(45), Millis(60)));
    assert_eq!(tolerance.per_second(), None);
}
