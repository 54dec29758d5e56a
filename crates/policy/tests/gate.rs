//! Admission to one service, as one host decides it.

use policy::admit::gate::{Answered, Gate};
use policy::admit::room::{self, Kind, Room, Server};
use policy::admit::share::{Offered, Shares};
use policy::admit::{Arrival, Verdict};
use policy::name::Name;
use policy::time::Millis;

const NOW: Millis = Millis(100_000);
const WORK_MS: f64 = 60.0;

fn server(reported: u32, age: u64) -> Server {
    Server { slots: 6, reported, report_age_ms: Some(age), ..Server::default() }
}

fn room(servers: &[Server]) -> Room {
    Room::of(servers.iter().copied(), Kind::Plain, WORK_MS)
}

fn arrive(gate: &mut Gate, room: Room, left_ms: u64, now: Millis) -> Verdict {
    let mut arrival = Arrival::new("a", 1, now + left_ms);
    gate.arrive(&mut arrival, (room, 78), (0.5, 0.5), now)
}

/// Guards against requests that wait while servers outside the sample are idle.
#[test]
fn sample_counts_for_its_pool() {
    let sample = room(&[Server { slots: 6, ..Server::default() }; 256]).scaled(1_024, 256);
    assert_eq!(sample.slots, 6 * 1_024);
    // All of the host's requests are at servers outside the sample.
    let left = sample.after_admitted(2_000);
    assert!(left.within > 20_000.0, "{left:?}");
}

/// Guards against refusals that rest on a report of a while ago, and against the refusal of requests
/// within their account's share.
#[test]
fn overdue_request_is_refused_only_if_no_slot_can_be_idle() {
    for (slots, age, is_refused) in [(100.0, 10, true), (100.0, 400, false), (0.1, 10, false)] {
        let mut gate = Gate::new(16, WORK_MS);
        gate.shares.record(&Name::from("b"), WORK_MS, NOW);
        let offered = vec![Offered { account: Name::from("a"), slots }];
        gate.shares.accept(&Name::from("h1"), offered, NOW);
        let full = room(&[server(30, 10); 4]);
        // Uses up the pace at which requests within their shares are sent in any case.
        gate.arrive(&mut Arrival::new("b", 1, NOW + 5_000), (full, 78), (0.0, 0.5), NOW);
        assert!(matches!(arrive(&mut gate, full, 500, NOW), Verdict::Wait { .. }));
        let served = gate.serve((room(&[server(30, age); 4]), 78), (0.5, 0.0), NOW + 440);
        assert_eq!(served.refused.len(), usize::from(is_refused), "{slots} slots, {age} ms");
        assert_eq!(served.started.len(), usize::from(!is_refused), "{slots} slots, {age} ms");
    }
}

/// Guards against a pace that grows while servers reject requests at once.
#[test]
fn rejected_request_says_nothing_of_the_work() {
    let mut gate = Gate::new(16, WORK_MS);
    gate.finish(None);
    assert_eq!((gate.work_ms, gate.queue.service_ms), (WORK_MS, WORK_MS));
    gate.finish(Some(Answered { ms: 120.0, crowding: 2.0 }));
    assert!((gate.work_ms - WORK_MS).abs() < 1e-9, "the wait at the server is no work");
}

/// Guards against hosts that choose the same server by the same report, and against a choice that
/// ignores distance while all servers have room.
#[test]
fn spread_only_beside_full_servers() {
    assert_eq!(room::spread(&[(server(2, 10), 1.0); 4], 0.5), None);
    let servers = [(server(30, 10), 1.0), (server(6, 10), 1.0), (server(6, 10), 0.0)];
    let chosen = |draw| room::spread(&servers, draw);
    let picks: Vec<_> = (0..100).map(|step| chosen(f64::from(step) / 100.0)).collect();
    let count = |index| picks.iter().filter(|pick| **pick == Some(index)).count();
    assert!(count(0) > 0 && count(0) < count(1) && count(2) == 0, "{picks:?}");
}

/// Guards against demand that counts twice, counts when it is outdated, or names absurd amounts.
#[test]
fn demand_of_other_hosts_late_lost_and_repeated() {
    let offered = |slots| vec![Offered { account: Name::from("large"), slots }];
    let is_within = |shares: &mut Shares, now| {
        shares.is_within(&Name::from("large"), (30.0 * 0.85, 6), 0.999, now)
    };
    let fresh = || {
        let mut shares = Shares::default();
        shares.record(&Name::from("small"), WORK_MS, NOW);
        shares
    };
    let mut repeated = fresh();
    for _ in 0..20 {
        repeated.accept(&Name::from("h1"), offered(8.0), NOW);
    }
    assert!(is_within(&mut repeated, NOW), "8 of 30 slots at one of two hosts known of six");
    repeated.accept(&Name::from("h1"), offered(20.0), NOW);
    assert!(!is_within(&mut repeated, NOW + 100));
    // The report is lost from then on, then the clock jumps by an hour.
    assert!(is_within(&mut repeated, NOW + 3_200));
    assert!(is_within(&mut repeated, NOW + 3_600_000));
    let mut absurd = fresh();
    for slots in [f64::NAN, f64::INFINITY, -1.0, 1e9] {
        absurd.accept(&Name::from("h1"), offered(slots), NOW);
        assert!(is_within(&mut absurd, NOW));
    }
}

/// Guards against a host that sends nothing, or all at once, after a jump of its clock.
#[test]
fn clock_that_jumps() {
    for now in [Millis(0), NOW + 3_600_000] {
        let mut gate = Gate::new(16, WORK_MS);
        let full = room(&[server(30, 10); 4]);
        arrive(&mut gate, full, 5_000, NOW);
        arrive(&mut gate, full, 4_000_000, NOW);
        let served = gate.serve((full, 78), (0.5, 0.0), now);
        assert!(served.started.len() <= 1 && served.refused.is_empty());
        let idle = room(&[server(0, 10); 4]);
        let mut serve =
            |step: u64| gate.serve((idle, 78), (0.5, 0.5), now + 5 * step).started.len();
        assert_eq!(served.started.len() + (1..200).map(&mut serve).sum::<usize>(), 1);
    }
}

/// Guards against hosts that keep the servers' queues full with requests that are sent because no
/// report excludes an idle slot.
#[test]
fn probes_of_all_hosts_together_are_few() {
    const SECONDS: u64 = 20;
    for hosts in [6, 78, 300] {
        let stale = room(&[server(30, 400); 4]);
        let mut sent = 0;
        for host in 0..hosts {
            let mut claim = room::Claim::default();
            // An overdue request every 200 ms.
            sent += (1..SECONDS * 5)
                .filter(|step| {
                    let draw = f64::from(host * 31 % hosts) / f64::from(hosts);
                    let draw = (draw + *step as f64 * 0.618).fract();
                    claim.may_probe(stale, hosts, WORK_MS, draw, NOW + 200 * step)
                })
                .count();
        }
        // 24 slots answer 400 requests a second.
        let share = sent as f64 / (SECONDS * 400) as f64;
        assert!((0.02..0.08).contains(&share), "{hosts} hosts: {share:.3} of the answers");
    }
}

/// Guards against a refusal while a report shows an idle slot, whatever was sent before.
#[test]
fn reported_idle_slot_is_used_without_a_limit() {
    let idle = |age| room(&[server(5, age)]).reported_idle;
    assert_eq!((idle(10), idle(400)), (4, 1), "a recent report allows for departures");
    assert_eq!(room(&[server(30, 400)]).reported_idle, 0);
    assert_eq!(room(&[Server { slots: 6, ..Server::default() }]).reported_idle, 6);
}

/// Guards against requests that will be late and go before those that can be in time.
#[test]
fn wait_at_crowded_servers_counts_towards_the_objective() {
    let crowded = room(&[server(24, 10); 4]);
    let mut gate = Gate::new(16, WORK_MS);
    gate.arrive(&mut Arrival::new("b", 1, NOW + 5_000), (crowded, 78), (0.0, 0.5), NOW);
    let mut wait = |objective_ms| {
        let mut arrival = Arrival::new("a", 1, NOW + 5_000).with_objective(NOW + objective_ms);
        match gate.arrive(&mut arrival, (crowded, 78), (0.5, 0.5), NOW) {
            Verdict::Wait { ticket, .. } => ticket,
            verdict => panic!("{verdict:?}"),
        }
    };
    let (late, timely) = (wait(400), wait(600));
    // The servers need some 240 ms for a request that is sent now.
    let served = gate.serve((crowded, 78), (0.5, 0.0), NOW + 230);
    assert_eq!(served.started, vec![timely], "{late:?} can't be in time");
}
