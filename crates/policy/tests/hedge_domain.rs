//! Hedged requests of hosts with few requests, which learn together with the hosts of their failure
//! domain.

mod hedges;

use std::collections::BTreeSet;

use hedges::{Outcome, Scene, WARM_MS, quantile, run};
use policy::hedge::{self, Arrival, Counts, Domain, LoadClass, Pace, Report, Runs, Unreported};
use policy::name::Name;
use policy::place::mix;
use policy::time::Millis;

/// Idempotent requests of a host, in a second.
const PER_HOST: f64 = 0.3;
const DOMAINS: usize = 3;
const SIZES: [usize; 3] = [6, 78, 300];
const SHARE: f64 = 0.2;
const WINDOW_MS: u64 = 60_000;

fn scene(hosts: usize) -> Scene {
    Scene {
        hosts,
        servers: 5,
        per_second: hosts as f64 * PER_HOST,
        share: SHARE,
        domains: DOMAINS,
        // Enough requests for the slowest thousandth of them.
        until: (18_000_000 / hosts as u64).max(120_000),
        ..Scene::default()
    }
}

fn count(times: &[u64], span: std::ops::Range<u64>) -> usize {
    times.iter().filter(|at| span.contains(at)).count()
}

/// Asserts that all hosts together keep to the share in each 60 s.
fn check_share(outcome: &Outcome, scene: &Scene) {
    for from in (0..=scene.until - WINDOW_MS).step_by(1_000) {
        let span = from..from + WINDOW_MS;
        let (hedges, requests) =
            (count(&outcome.hedges, span.clone()), count(&outcome.requests, span));
        let most = scene.share * requests as f64;
        assert!(hedges as f64 <= most, "{} hosts: {hedges}/{requests} at {from}", scene.hosts);
    }
}

/// Guards against hosts that never hedge because each has too few requests.
#[test]
fn slow_moments_at_hosts_with_few_requests() {
    for hosts in SIZES {
        for slowdown in [2.5, 5.0] {
            let with = Scene { slowdown, ..scene(hosts) };
            let alone = run(Scene { domains: 0, ..with });
            let without = run(Scene { share: 0.0, domains: 0, ..with });
            let outcome = run(with);
            println!(
                "{hosts} hosts, slower by {slowdown}: {} hedges for {} requests, withheld {:?}, {} B/s; \
                 {} hedges without reports",
                outcome.hedges.len(),
                outcome.requests.len(),
                outcome.withheld,
                outcome.bytes * 1_000 / with.until / hosts as u64,
                alone.hedges.len(),
            );
            for fraction in [0.5, 0.99, 0.999] {
                let of = |outcome: &Outcome| quantile(&outcome.took, fraction) as f64;
                let (before, after) = (of(&without), of(&outcome));
                println!("    {fraction}: {before} -> {after} ms, {} without reports", of(&alone));
                let is_kept = if fraction > 0.9 { after < before } else { after <= before };
                assert!(is_kept, "{hosts} hosts, {fraction}: {before} -> {after}");
            }
            check_share(&outcome, &with);
        }
    }
}

/// Two services of a deployment: servers, idempotent requests a second, and others a second.
const MIXED: [(usize, f64, f64); 2] = [(4, 30.0, 75.0), (5, 35.0, 150.0)];

fn mixed((servers, per_second, once_per_second): (usize, f64, f64)) -> Scene {
    let until = 320_000;
    Scene { servers, per_second, once_per_second, share: 0.1, slowdown: 2.5, until, ..scene(78) }
}

/// Guards against late requests that are hardly hedged, or too late to gain by it, where most requests
/// to the same servers may run once only.
#[test]
fn slow_moments_beside_requests_that_run_once() {
    for load in MIXED {
        let without = run(Scene { share: 0.0, domains: 0, ..mixed(load) });
        let of = |outcome: &Outcome| [0.5, 0.99, 0.999].map(|part| quantile(&outcome.took, part));
        for share in [0.05, 0.1] {
            let with = Scene { share, ..mixed(load) };
            let outcome = run(with);
            let (before, after) = (of(&without), of(&outcome));
            println!(
                "{load:?}, {share}: {} hedges ({} crowded) for {} requests, withheld {:?}, {} B/s, \
                 {before:?} -> {after:?} ms",
                outcome.hedges.len(),
                outcome.crowded,
                outcome.requests.len(),
                outcome.withheld,
                outcome.bytes * 1_000 / with.until / with.hosts as u64,
            );
            assert!(after[0] <= before[0] && after[2] < before[2], "{before:?} -> {after:?}");
            assert!(after[1] * 10 <= before[1] * 9, "{before:?} -> {after:?}");
            check_share(&outcome, &with);
        }
    }
}

/// Guards against hedges that go on when all servers are slow, and against bytes of reports.
#[test]
fn all_servers_slow() {
    for scene in SIZES.map(scene).into_iter().chain(MIXED.map(mixed)) {
        for share in [0.05, scene.share] {
            let scene = Scene { share, all_slow_from: 100_000, until: 105_000, ..scene };
            let outcome = run(scene);
            check_share(&outcome, &scene);
            let (first, later) = (
                count(&outcome.hedges, 100_000..101_000),
                count(&outcome.hedges, 101_000..u64::MAX),
            );
            let (hosts, once) = (scene.hosts, scene.once_per_second);
            let bytes = outcome.bytes * 1_000 / scene.until / hosts as u64;
            println!(
                "{hosts} hosts, {once}, {share}: {first} in the first second, {later} later, \
                 {bytes} B/s"
            );
            assert_eq!(later, 0, "{hosts} hosts go on");
            assert!(bytes <= 2_000, "{bytes} B/s");
        }
    }
}

/// Guards against wrong sums where messages are lost, late or repeated and a host restarts.
#[test]
fn unreliable_messages_keep_the_share() {
    // With three hosts, each is alone in its failure domain.
    for hosts in [3, 6, 78, 300] {
        let whole = scene(hosts);
        let faults = Scene { lost: 0.3, delayed: 0.3, restart_at: whole.until / 2, ..whole };
        let (whole, outcome) = (run(whole), run(faults));
        println!(
            "{hosts} hosts: {} hedges, {} without faults",
            outcome.hedges.len(),
            whole.hedges.len()
        );
        check_share(&outcome, &faults);
        let after = |outcome: &Outcome| count(&outcome.hedges, WARM_MS..u64::MAX);
        assert!(after(&outcome) * 2 >= after(&whole), "{hosts} hosts");
    }
}

struct Host {
    domain: Domain,
    unreported: Unreported,
    counts: Counts,
}

fn name(host: usize) -> Name {
    Name::from(format!("host-{host}"))
}

fn draw(seed: &mut u64) -> f64 {
    *seed = mix(seed.wrapping_add(0x9e37_79b9_7f4a_7c15));
    (*seed >> 11) as f64 / (1u64 << 53) as f64
}

/// Hosts of one failure domain that have each heard of all others.
fn domain(hosts: usize, seed: &mut u64, now: Millis) -> Vec<Host> {
    let new = |seed: &mut u64| {
        // About 18 requests, as many as come at random in 60 s.
        let requests = (0..180).filter(|_| draw(seed) < PER_HOST / 3.0).count() as u32;
        let counts = Counts { requests, hedges: 0 };
        Host { domain: Domain::default(), unreported: Unreported::default(), counts }
    };
    let mut all: Vec<Host> = (0..hosts).map(|_| new(seed)).collect();
    let service = Name::from("orders");
    let reports: Vec<Report> = all
        .iter_mut()
        .map(|host| host.unreported.take(1, &service, (host.counts, host.counts.requests), now))
        .collect();
    for (to, host) in all.iter_mut().enumerate() {
        for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
            host.domain.accept(&name(from), report, now);
        }
    }
    all
}

/// Guards against hosts that all see late responses at the same time and together exceed the share,
/// as no message can arrive before.
#[test]
fn burst_before_any_message_arrives() {
    let mut seed = 5;
    for hosts in SIZES {
        for share in [0.05, 0.1, SHARE] {
            let rounds = (900 / hosts).min(100);
            let (mut used, mut most) = (0.0, 0.0f64);
            for _ in 0..rounds {
                let (mut requests, mut hedges) = (0, 0);
                for _ in 0..DOMAINS {
                    for mut host in domain(hosts / DOMAINS, &mut seed, Millis(1_000)) {
                        requests += host.counts.requests;
                        for now in (1_000..2_500).step_by(100).map(Millis) {
                            let (peers, draw) = (hosts / DOMAINS - 1, draw(&mut seed));
                            let budget = host.domain.budget(host.counts, peers, share, draw, now);
                            if budget.left >= 1.0 {
                                host.counts.hedges += 1;
                                host.domain.record_hedge(now);
                            }
                        }
                        hedges += host.counts.hedges;
                    }
                }
                let part = f64::from(hedges) / (share * f64::from(requests));
                (used, most) = (used + part / rounds as f64, most.max(part));
            }
            println!("{hosts} hosts, share {share}: {used:.2} of it used, {most:.2} at most");
            assert!(most <= 1.0, "{hosts} hosts, share {share}: {most} of the allowed hedges");
            assert!(used > 0.1, "{hosts} hosts, share {share}: hardly used");
        }
    }
}

/// Guards against runs that are counted twice or not at all because reports arrive twice, in another
/// order, or from before a restart.
#[test]
fn accept_counts_each_report_once() {
    let (mut domain, mut unreported, host) = (Domain::default(), Unreported::default(), name(1));
    let mut report = |start, requests| {
        let counts = Counts { requests, hedges: 0 };
        unreported.take(start, &Name::from("orders"), (counts, requests), Millis(1))
    };
    let old: Vec<Report> = (0..4).map(|number| report(1, number)).collect();
    let new: Vec<Report> = (0..2).map(|number| report(2, 50 + number)).collect();
    let (newest, overtaken, repeated) = (Arrival::Newest, Arrival::Overtaken, Arrival::Repeated);
    for (report, expected) in [
        (&old[0], newest),
        (&old[0], repeated),
        (&old[3], newest),
        (&old[1], overtaken),
        (&old[1], repeated),
        (&old[0], repeated),
        (&new[0], newest),
        (&old[2], repeated),
        (&new[1], newest),
        (&new[0], repeated),
    ] {
        assert_eq!(domain.accept(&host, report, Millis(1)), expected, "{report:?}");
    }
    let budget =
        |domain: &mut Domain, now| domain.budget(Counts::default(), 1, SHARE, 0.5, Millis(now));
    assert_eq!(budget(&mut domain, 2).requests, 51.0);
    assert_eq!(budget(&mut domain, 10_000).heard, 0, "a peer that is gone still counts");
}

/// Guards against a host without peers that is allowed more or fewer hedges than its own share.
#[test]
fn budget_without_peers_is_of_own_requests() {
    let mut domain = Domain::default();
    let mut left = |hedges| {
        let own = Counts { requests: 100, hedges };
        domain.budget(own, 0, SHARE, 0.9, Millis(5)).left
    };
    assert!((left(0) - 17.0).abs() < 0.01);
    assert!(left(17) < 1.0);
}

/// Guards against a threshold for other requests than the domain has, among hosts of an earlier version
/// that do not report how many may be hedged.
#[test]
fn eligible_fraction_is_of_all_hosts() {
    let (mut domain, mut unreported) = (Domain::default(), Unreported::default());
    let own = Counts { requests: 60, hedges: 0 };
    assert_eq!(domain.eligible_fraction(own, 15, Millis(1_000)), 0.25);
    let counts = Counts { requests: 30, hedges: 0 };
    let report = unreported.take(1, &Name::from("orders"), (counts, 3), Millis(1_000));
    let text = serde_json::to_string(&report).unwrap();
    domain.accept(&name(1), &serde_json::from_str(&text).unwrap(), Millis(1_000));
    let earlier: Report = serde_json::from_str(&text.replace("\"eligible\":3,", "")).unwrap();
    assert_eq!(earlier.eligible, None);
    domain.accept(&name(2), &earlier, Millis(1_000));
    assert_eq!(domain.eligible_fraction(own, 15, Millis(2_000)), 0.4);
    assert_eq!(domain.eligible_fraction(own, 15, Millis(9_000)), 0.25, "peers that are gone count");
    assert_eq!(hedge::share_of_eligible(0.1, 0.4), 0.25);
    assert_eq!(hedge::share_of_eligible(0.5, 0.25), 1.0);
}

/// Guards against reports of any content that cause a panic, take memory, or allow a host more
/// hedges than it has requests.
#[test]
fn accept_reports_of_any_content() {
    type Input = Vec<(u8, u32, u32, (u32, u32), Option<u32>, (u32, u32), Vec<(u8, u8, u32)>)>;
    fuzz::check(2_000, |input: &Input| {
        let mut domain = Domain::default();
        let mut hosts = BTreeSet::new();
        for (host, start, number, counts, eligible, ended, runs) in input {
            let runs = runs.iter().map(|(class, bucket, count)| Runs {
                key: Name::from("get"),
                class: *class,
                counts: vec![(*bucket, *count)],
            });
            let report = Report {
                start: *start,
                number: *number,
                service: Name::from("orders"),
                counts: Counts::from(*counts),
                eligible: *eligible,
                ended: *ended,
                fast: Vec::new(),
                runs: runs.collect(),
            };
            let is_valid = report.is_valid();
            let arrival = domain.accept(&name(usize::from(*host)), &report, Millis(9));
            assert_eq!(arrival == Arrival::Invalid, !is_valid);
            hosts.extend(is_valid.then_some(*host));
            let text = serde_json::to_string(&report).unwrap();
            assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), report);
        }
        let own = Counts { requests: 3, hedges: 1 };
        let budget = domain.budget(own, 300, 1.0, 0.99, Millis(9));
        assert_eq!(budget.heard, hosts.len());
        assert!(budget.left <= 3.0 && budget.requests.is_finite(), "{budget:?}");
        let fraction = domain.eligible_fraction(own, 2, Millis(9));
        assert!(fraction > 0.0 && fraction <= 1.0, "{fraction}");
    });
}

/// Guards against messages that grow with the number of hosts or services.
#[test]
fn pace_is_two_kilobytes_in_a_second() {
    for bytes in [240, 700, 1_400] {
        let (mut pace, mut sent, mut most) = (Pace::default(), 0, 0);
        for now in (100_000..160_000).step_by(100).map(Millis) {
            while pace.may_send(now) {
                let receivers = pace.take(bytes, 328);
                most = most.max(receivers);
                sent += bytes * receivers;
            }
        }
        // What was saved up before, and a last report that delays the next one.
        assert!(sent <= 60 * 2_000 + 4_000 + bytes && sent > 50 * 2_000, "{bytes}: {sent}");
        assert!(most <= 24, "{bytes}: {most} receivers");
    }
    let mut pace = Pace::default();
    assert!(pace.may_send(Millis(5_000)));
    assert_eq!(pace.take(240, 0), 0, "a host alone sends to nobody");
}

/// Guards against a report that does not fit a datagram, and against runs that are left out or
/// reported twice.
#[test]
fn take_reports_all_runs_in_short_reports() {
    let mut unreported = Unreported::default();
    for number in 0..300 {
        let class = LoadClass::ALL[number % 3];
        unreported.record_run(&Name::from(format!("route-{}", number % 4)), class, number as f64);
        unreported.record_ended(number % 10 == 0);
    }
    let mut reported = (0, (0, 0));
    for _ in 0..20 {
        let service = Name::from("orders");
        let report = unreported.take(1, &service, (Counts::default(), 0), Millis(1));
        assert!(report.is_valid() && serde_json::to_vec(&report).unwrap().len() < 1_200);
        let counts = report.runs.iter().flat_map(|runs| &runs.counts);
        reported.0 += counts.map(|(_, count)| count).sum::<u32>();
        reported.1 = (reported.1.0 + report.ended.0, reported.1.1 + report.ended.1);
    }
    assert_eq!(reported, (300, (300, 30)));
}
