//! Backend servers that are not warm yet, and end at a rate well above what they take until then.

use fuzz::check;
use policy::place::mix;
use policy::throttle::{Limit, Place, Throttle};
use policy::time::Millis;

const START: Millis = Millis(1_000_000);
const WARMUP_MS: u64 = 3_000;
const WINDOW_MS: u64 = 1_000;
/// Beyond the rate, what all hosts may send in a second.
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Between two chances to send, in milliseconds.
const STEP_MS: u64 = 10;
/// Of what a server takes, that must be used where callers ask for enough.
const USED_MIN: f64 = 0.7;

/// A fleet: hosts by failure domain, all of which know each other.
struct Fleet {
    hosts: Vec<usize>,
}

impl Fleet {
    /// Hosts' places at a server of the first domain; turns are hashes, as hosts work them out.
    fn places(&self, server: u64) -> Vec<Place> {
        let turn = |domain: usize, host: usize| mix(mix((domain * 1_000 + host) as u64) ^ server);
        let place = |domain: usize, host: usize| Place {
            before: (0..self.hosts[domain])
                .filter(|other| turn(domain, *other) < turn(domain, host))
                .count(),
            hosts: self.hosts[domain],
            is_near: domain == 0,
            domains: self.hosts.len(),
        };
        let domains = 0..self.hosts.len();
        domains.flat_map(|d| (0..self.hosts[d]).map(move |h| place(d, h))).collect()
    }
}

/// When requests reach a server of which all hosts believe the same, hosts sending whenever they
/// may.
fn arrivals(places: &[Place], per_second: f64, late: impl Fn(usize) -> u64) -> Vec<u64> {
    let limit = Limit::warmup(per_second, START + WARMUP_MS, START);
    let mut throttles = vec![Throttle::default(); places.len()];
    throttles.iter_mut().for_each(|throttle| assert!(throttle.learn(limit, START)));
    let mut arrivals = Vec::new();
    for ms in (0..WARMUP_MS).step_by(STEP_MS as usize) {
        let now = START + ms;
        for (host, (throttle, place)) in throttles.iter_mut().zip(places).enumerate() {
            if throttle.has_room(place, now) {
                throttle.record_sent(place, now);
                arrivals.push(ms + late(host));
            }
        }
    }
    arrivals.sort_unstable();
    arrivals
}

/// The most in any second.
fn most(arrivals: &[u64]) -> usize {
    let within = |from: u64| {
        let second = from..from + WINDOW_MS;
        arrivals.iter().filter(|at| second.contains(at)).count()
    };
    arrivals.iter().map(|from| within(*from)).max().unwrap_or_default()
}

fn allowed(per_second: f64) -> usize {
    (per_second * OVERRUN + SLACK) as usize
}

#[test]
fn warmup_is_kept_and_used_by_300_hosts() {
    let fleets = [vec![50; 6], vec![1, 2, 1, 2], vec![300], vec![1], vec![2, 3, 2], vec![22; 4]];
    for hosts in fleets {
        let fleet = Fleet { hosts };
        for per_second in [3.0, 11.0, 20.0, 60.0] {
            for server in 0..8 {
                let places = fleet.places(server);
                let arrivals = arrivals(&places, per_second, |host| host as u64 % 7);
                let most = most(&arrivals);
                let hosts = &fleet.hosts;
                assert!(most <= allowed(per_second), "{most} of {per_second}, {hosts:?}");
                let used = arrivals.len() as f64 * 1_000.0 / WARMUP_MS as f64;
                assert!(used >= USED_MIN * per_second, "{used} of {per_second}, {hosts:?}");
            }
        }
    }
}

/// Guards against servers that are left alone where a whole failure domain of them comes back: the
/// hosts of the domain must find room for their callers at once.
#[test]
fn warmup_of_a_whole_domain_has_room_for_its_hosts() {
    const SERVERS: u64 = 28;
    let fleet = Fleet { hosts: vec![22; 4] };
    let mut by_host = vec![0.0; 22];
    for server in 0..SERVERS {
        let limit = Limit::warmup(11.0, START + WARMUP_MS, START);
        let places = fleet.places(mix(server));
        places.iter().take(22).enumerate().for_each(|(h, place)| by_host[h] += limit.rate(place));
    }
    let all: f64 = by_host.iter().sum();
    assert!(all >= USED_MIN * 11.0 * SERVERS as f64, "{all}");
    assert!(by_host.iter().all(|rate| *rate > 2.0), "{by_host:?}");
}

#[test]
fn warmup_ends_by_itself() {
    let mut throttle = Throttle::default();
    throttle.learn(Limit::warmup(11.0, START + WARMUP_MS, START), START);
    let far = Place { before: 3, hosts: 9, is_near: false, domains: 4 };
    assert!(!throttle.has_room(&far, START + WARMUP_MS - 1));
    assert!(throttle.has_room(&far, START + WARMUP_MS));
    assert!(!throttle.is_limited(START + WARMUP_MS));
}

/// Guards against a host that takes a server for warm since another has not heard of its new start.
#[test]
fn learn_later_end_of_the_warmup_holds() {
    let mut throttle = Throttle::default();
    assert!(throttle.learn(Limit::warmup(11.0, START + 2_000, START), START));
    assert!(!throttle.learn(Limit::warmup(11.0, START + 1_000, START), START + 10));
    assert_eq!(throttle.warmup_ms(START + 10), 1_990);
    assert!(!throttle.learn(Limit::warmup(11.0, START + 3_000, START), START + 10));
    assert_eq!(throttle.warmup_ms(START + 10), 2_990);
    // It turns cold once more.
    assert!(throttle.learn(Limit::warmup(11.0, START + 9_000, START + 6_000), START + 6_000));
}

#[test]
fn learn_of_both_kinds_the_lower_limit_holds() {
    let alone = Place { before: 0, hosts: 1, is_near: true, domains: 1 };
    let mut throttle = Throttle::default();
    throttle.record_answer(Some(4.0), START, START);
    throttle.learn(Limit::warmup(11.0, START + WARMUP_MS, START), START);
    assert_eq!(throttle.per_second(START), Some(4.0));
    throttle.record_answer(None, START + 10, START + 20);
    assert_eq!(throttle.per_second(START + 20), Some(11.0));
    assert!(!throttle.has_room(&alone, START + 20));
    assert_eq!(throttle.per_second(START + WARMUP_MS), None);
}

/// Guards against a rate that makes no sense: the server is left alone until it is warm.
#[test]
fn warmup_of_rate_zero_takes_nothing() {
    let places = Fleet { hosts: vec![3, 3] }.places(1);
    assert!(arrivals(&places, 0.0, |_| 0).is_empty());
}

/// Whatever the fleet, the rate and the hosts' delays within a tenth of a second.
#[test]
fn warmup_is_kept_whatever_the_fleet() {
    check(300, |(per_second, hosts, seed): &(u8, Vec<u8>, u64)| {
        let hosts: Vec<usize> = hosts.iter().take(5).map(|n| usize::from(*n % 60) + 1).collect();
        if hosts.is_empty() {
            return;
        }
        let per_second = f64::from(*per_second) / 4.0;
        let places = Fleet { hosts: hosts.clone() }.places(*seed);
        let late = |host: usize| mix(*seed ^ host as u64) % 100;
        let most = most(&arrivals(&places, per_second, late));
        assert!(most <= allowed(per_second), "{most} of {per_second}, {hosts:?}");
    });
}
