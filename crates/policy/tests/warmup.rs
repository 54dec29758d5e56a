//! Backend servers that are warming up. Until they are warm, they stop running at a rate well above
//! their limit.

use fuzz::check;
use policy::place::mix;
use policy::throttle::{Limit, Place, Throttle};
use policy::time::Millis;

const START: Millis = Millis(1_000_000);
const WARMUP_MS: u64 = 3_000;
const WINDOW_MS: u64 = 1_000;
/// Factor of the rate that all hosts together may send in a second.
const OVERRUN_FACTOR: f64 = 1.5;
/// Number of requests that all hosts together may send in a second beyond that factor.
const SLACK: f64 = 5.0;
/// Time between two chances to send, in milliseconds.
const STEP_MS: u64 = 10;
/// Least share of a server's rate that must be used if callers send enough.
const USED_MIN: f64 = 0.7;

/// The number of hosts by failure domain; all hosts know each other.
struct Fleet {
    hosts: Vec<usize>,
}

impl Fleet {
    /// Returns the hosts' places at a server of the first domain; ranks are hashes, as hosts
    /// compute them.
    fn places(&self, server: u64) -> Vec<Place> {
        let rank = |domain: usize, host: usize| mix(mix((domain * 1_000 + host) as u64) ^ server);
        let place = |domain: usize, host: usize| Place {
            before: (0..self.hosts[domain])
                .filter(|other| rank(domain, *other) < rank(domain, host))
                .count(),
            hosts: self.hosts[domain],
            is_near: domain == 0,
            domains: self.hosts.len(),
        };
        let domains = 0..self.hosts.len();
        domains.flat_map(|d| (0..self.hosts[d]).map(move |h| place(d, h))).collect()
    }
}

/// Returns when requests reach a server for which all hosts know the same limit, if they send
/// whenever they may. `delay_ms` gives the delay of a host's requests, in milliseconds.
fn arrivals(places: &[Place], per_second: f64, delay_ms: impl Fn(usize) -> u64) -> Vec<u64> {
    let limit = Limit::warmup(per_second, START + WARMUP_MS, START);
    let mut throttles = vec![Throttle::default(); places.len()];
    throttles.iter_mut().for_each(|throttle| assert!(throttle.learn(limit, START)));
    let mut arrivals = Vec::new();
    for ms in (0..WARMUP_MS).step_by(STEP_MS as usize) {
        let now = START + ms;
        for (host, (throttle, place)) in throttles.iter_mut().zip(places).enumerate() {
            if throttle.has_room(place, now) {
                throttle.record_sent(place, now);
                arrivals.push(ms + delay_ms(host));
            }
        }
    }
    arrivals.sort_unstable();
    arrivals
}

/// Returns the most requests in any second.
fn most(arrivals: &[u64]) -> usize {
    let within = |from: u64| {
        let second = from..from + WINDOW_MS;
        arrivals.iter().filter(|at| second.contains(at)).count()
    };
    arrivals.iter().map(|from| within(*from)).max().unwrap_or_default()
}

fn allowed(per_second: f64) -> usize {
    (per_second * OVERRUN_FACTOR + SLACK) as usize
}

#[test]
fn has_room_warmup_limit_is_kept_and_used_by_300_hosts() {
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

/// Guards against servers that stay idle when a whole failure domain of them comes back. The hosts
/// of the domain must be able to send their callers' requests at once.
#[test]
fn rate_during_warmup_of_a_whole_domain_suffices_for_its_hosts() {
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
fn has_room_after_the_warmup() {
    let mut throttle = Throttle::default();
    throttle.learn(Limit::warmup(11.0, START + WARMUP_MS, START), START);
    let far = Place { before: 3, hosts: 9, is_near: false, domains: 4 };
    assert!(!throttle.has_room(&far, START + WARMUP_MS - 1));
    assert!(throttle.has_room(&far, START + WARMUP_MS));
    assert!(!throttle.is_limited(START + WARMUP_MS));
}

/// Guards against a host that counts a server as warm because another host does not know that the
/// server has started again.
#[test]
fn learn_later_end_of_the_warmup_holds() {
    let mut throttle = Throttle::default();
    assert!(throttle.learn(Limit::warmup(11.0, START + 2_000, START), START));
    assert!(!throttle.learn(Limit::warmup(11.0, START + 1_000, START), START + 10));
    assert_eq!(throttle.warmup_ms(START + 10), 1_990);
    assert!(!throttle.learn(Limit::warmup(11.0, START + 3_000, START), START + 10));
    assert_eq!(throttle.warmup_ms(START + 10), 2_990);
    // The server starts again.
    assert!(throttle.learn(Limit::warmup(11.0, START + 9_000, START + 6_000), START + 6_000));
}

#[test]
fn per_second_is_the_lower_of_both_limits() {
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

/// With a rate of zero, which makes no sense, the server gets no request until it is warm.
#[test]
fn has_room_not_at_a_warmup_rate_of_zero() {
    let places = Fleet { hosts: vec![3, 3] }.places(1);
    assert!(arrivals(&places, 0.0, |_| 0).is_empty());
}

/// The limit holds for any fleet and rate, with any delays of hosts within a tenth of a second.
#[test]
fn has_room_warmup_limit_is_kept_by_any_fleet() {
    check(300, |(per_second, hosts, seed): &(u8, Vec<u8>, u64)| {
        let hosts: Vec<usize> = hosts.iter().take(5).map(|n| usize::from(*n % 60) + 1).collect();
        if hosts.is_empty() {
            return;
        }
        let per_second = f64::from(*per_second) / 4.0;
        let places = Fleet { hosts: hosts.clone() }.places(*seed);
        let delay_ms = |host: usize| mix(*seed ^ host as u64) % 100;
        let most = most(&arrivals(&places, per_second, delay_ms));
        assert!(most <= allowed(per_second), "{most} of {per_second}, {hosts:?}");
    });
}
