//! Simulation of servers that fail when they reject too many requests, under load from many hosts
//! that compete for their slots.

use std::collections::BinaryHeap;

use policy::place::mix;
use policy::rejection::{Load, Room, Tolerance, quota};
use policy::throttle::Place;
use policy::time::Millis;

const DOMAINS: usize = 4;
const SLOTS: u32 = 6;
/// Rejected requests per second that a server tolerates.
const TOLERATED: f64 = 4.0;
const SERVICE_MS: u64 = 20;
/// Time from which on hosts must stay within what servers tolerate, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Length of the simulation, in milliseconds.
const TIME_MS: u64 = 6_000;
/// Servers of other failure domains that are considered for a request.
const CONSIDERED_FAR_MAX: usize = 64;
const START: u64 = 1_000_000;

/// A uniform draw from 0 to 1.
fn draw(seed: &mut u64) -> f64 {
    *seed = mix(*seed);
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}

/// Hosts and servers, spread evenly over the failure domains, under a load.
struct Fleet {
    hosts: usize,
    servers: usize,
    /// Requests as a multiple of what the servers can answer.
    load: f64,
}

/// Result of a simulation.
#[derive(Debug)]
struct Outcome {
    /// Most requests that one server rejected in one second.
    rejected: usize,
    /// Fraction of the servers' capacity that was used.
    used: f64,
}

impl Fleet {
    /// Each host's place among the hosts of a server.
    fn places(&self, server: usize) -> Vec<Place> {
        let rank = |host: &usize| mix((*host ^ (server << 20)) as u64);
        let mut places = vec![None; self.hosts];
        for domain in 0..DOMAINS {
            let mut hosts: Vec<usize> = (domain..self.hosts).step_by(DOMAINS).collect();
            hosts.sort_by_key(rank);
            for (before, host) in hosts.iter().enumerate() {
                let is_near = domain == server % DOMAINS;
                let place = Place { before, hosts: hosts.len(), is_near, domains: DOMAINS };
                places[*host] = Some(place);
            }
        }
        places.into_iter().flatten().collect()
    }

    /// Sends requests to random hosts. Each host considers the servers of its failure domain and
    /// some others, and sends the request to the first that is open.
    fn simulate(&self, mut seed: u64) -> Outcome {
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
            for server in near.into_iter().chain(far.into_iter().take(CONSIDERED_FAR_MAX)) {
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
        let capacity = (TIME_MS - CONTACT_MS) * (self.servers as u64) * u64::from(SLOTS);
        Outcome {
            rejected: rejected.iter().map(in_a_second).max().unwrap_or(0),
            used: (done * SERVICE_MS) as f64 / capacity as f64,
        }
    }
}

/// Guards against servers that fail because each of many hosts sends as much as one host alone
/// could.
#[test]
fn rejections_stay_within_tolerance_for_any_number_of_hosts() {
    for (hosts, servers) in [(1, 4), (6, 4), (30, 12), (300, 100), (1_000, 100)] {
        for load in [0.5, 3.0] {
            let outcome = Fleet { hosts, servers, load }.simulate(hosts as u64);
            println!("{hosts} hosts, {servers} servers, load {load}: {outcome:?}");
            assert!(
                outcome.rejected as f64 <= TOLERATED,
                "{hosts} hosts, load {load}: {outcome:?}"
            );
        }
    }
}

/// Guards against hosts that spare servers so much that few requests are answered.
#[test]
fn servers_are_used_under_overload() {
    for (hosts, servers) in [(4, 4), (30, 12), (300, 100)] {
        let outcome = Fleet { hosts, servers, load: 3.0 }.simulate(7);
        assert!(outcome.used >= 0.5, "{hosts} hosts: {outcome:?}");
    }
}

#[test]
fn quota_of_all_hosts_adds_up_to_the_slots() {
    for hosts in [1, 2, 3, 7, 50] {
        for slots in [2, 6, 64] {
            let all: u32 = (0..DOMAINS)
                .flat_map(|domain| (0..hosts).map(move |before| (domain, before)))
                .map(|(domain, before)| {
                    quota(slots, &Place { before, hosts, is_near: domain == 0, domains: DOMAINS })
                })
                .sum();
            assert_eq!(all, slots, "{hosts} hosts per failure domain, {slots} slots");
        }
    }
}

#[test]
fn record_answer_without_a_number_ends_tolerance_unless_older() {
    let mut tolerance = Tolerance::default();
    assert!(!tolerance.record_answer(None, Millis(10), Millis(20)));
    assert!(tolerance.record_answer(Some(3.0), Millis(20), Millis(30)));
    assert!(!tolerance.record_answer(Some(3.0), Millis(30), Millis(40)));
    assert!(!tolerance.record_answer(None, Millis(35), Millis(50)));
    assert_eq!(tolerance.per_second(), Some(3.0));
    assert!(tolerance.record_answer(None, Millis(45), Millis(60)));
    assert_eq!(tolerance.per_second(), None);
}
