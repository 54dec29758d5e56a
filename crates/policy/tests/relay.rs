//! Hosts of one failure domain that read the store for each other.

mod hosts;

use hosts::{Domain, Host, PATIENT, PAUSE_MS, Path, bounds};
use policy::bootstrap::Bootstrap;
use policy::name::Name;
use policy::relay::{Action, Bounds, CHANGE_MS_MIN, Relay, alone_ms};
use policy::time::Millis;

/// Guards against two hosts that each call the store, or that both depend on a third call. One
/// reads for both, and either reads for itself without the other.
#[test]
fn action_few_hosts_one_reads_and_either_can() {
    for lost in 0..2 {
        let mut domain = Domain::within(PATIENT, 2);
        domain.run(30_000);
        assert!(domain.calls() <= 30_000 / 800 + 4, "{} calls", domain.calls());
        domain.hosts[lost].frozen_until = u64::MAX;
        domain.change();
        domain.run(2_000);
        assert_eq!(domain.hosts[1 - lost].revision, 1);
    }
}

/// Guards against small failure domains in which each host reads although one reader for all would
/// make fewer calls. Where changes may take longer, such a reader reads less often.
#[test]
fn action_few_hosts_one_reads_where_that_saves_calls() {
    for (change_ms, hosts, is_shared) in [
        (2_000, 1, false),
        (2_000, 2, true),
        (2_000, 4, true),
        (2_000, 5, true),
        (5_000, 2, true),
        (5_000, 4, true),
        (10_000, 1, false),
    ] {
        let mut domain = Domain::within(Bounds { change_ms, ..PATIENT }, hosts);
        domain.run(10_000);
        let calls_before = domain.calls();
        domain.change();
        domain.run(40_000);
        let made = domain.calls() - calls_before;
        let alone = hosts as u64 * 40_000 / PATIENT.alone_ms.min(change_ms * 2 / 5);
        let shared = 40_000 / (change_ms * 2 / 5);
        println!("{change_ms} ms, {hosts} hosts: {made} calls, alone {alone}, shared {shared}");
        assert!(made <= alone.min(shared) + 3 + hosts as u64, "{change_ms} {hosts} {made}");
        let readers = domain.hosts.iter().filter(|host| host.relay.is_reader()).count();
        assert_eq!(readers == 1 && hosts > 1, is_shared, "{change_ms} {hosts}");
    }
}

#[test]
fn action_many_hosts_one_reads() {
    // While nothing changes, 22 hosts that read for themselves would make 22 calls in 3.5 s.
    let mut domain = Domain::new(22);
    domain.run(5_000);
    let calls_before = domain.calls();
    domain.run(30_000);
    let made = domain.calls() - calls_before;
    assert!(made <= 30_000 / 800 + 5, "{made} calls");
    let readers =
        domain.hosts.iter().filter(|host| host.relay.reads_for_others(Millis(domain.now)));
    assert_eq!(readers.count(), 1);
}

/// Guards against hundreds of hosts that each call an unreachable store once a second.
#[test]
fn action_unreachable_store_is_called_as_seldom_as_changes_allow() {
    let change_ms = 5_000;
    let mut domain = Domain::within(Bounds { change_ms, ..bounds() }, 100);
    domain.run(6_000);
    (0..100).for_each(|number| domain.set_path(number, Path::Refused));
    domain.run(6_000);
    let calls_before = domain.calls();
    domain.run(6_000);
    let made = domain.calls() - calls_before;
    assert!(made <= 100 * 6_000 / 2_500, "{made} calls in 6 s");
    (0..100).for_each(|number| domain.set_path(number, Path::Open));
    domain.change();
    domain.run(500);
    assert!(domain.hosts.iter().all(|host| host.revision == 1));
}

/// Guards against a host that waits for the turns of hundreds of hosts before it without learning
/// the outcome of any of them: it receives all heartbeats, but no announcement of the reader.
#[test]
fn action_host_without_announcements_is_in_time() {
    for hosts in [6, 50, 120] {
        for step in 0..2 {
            let mut domain = Domain::new(hosts);
            domain.run(3_000 + step * 170);
            // The last host waits longest.
            domain.deaf = Some(domain.last());
            domain.change();
            domain.run(2_500);
        }
    }
}

/// Guards against lists of thousands of servers that are read over a narrow link although the
/// domain has hosts with wide ones.
#[test]
fn action_strong_host_reads() {
    let mut domain = Domain::new(30);
    let is_strong = |number: usize| number.is_multiple_of(10);
    let classes = |number: usize| if is_strong(number) { 9 } else { 1 };
    let names: Vec<Name> = domain.hosts.iter().map(|host| host.name.clone()).collect();
    for number in 0..30 {
        let host = &mut domain.hosts[number];
        host.relay = host.relay.clone().with_class(&names[number], classes(number));
        for other in (0..30).filter(|other| *other != number) {
            host.relay.record_peer_class(&names[other], classes(other), Millis(1));
        }
    }
    domain.run(6_000);
    assert!(is_strong(domain.reader()));
    // A weak host reads while the strong ones can't reach the store.
    (0..30).step_by(10).for_each(|strong| domain.set_path(strong, Path::Refused));
    domain.change();
    let calls_before = domain.hosts[0].calls;
    domain.run(6_000);
    assert!(!is_strong(domain.reader()));
    assert!(domain.hosts[0].calls - calls_before < 8, "{}", domain.hosts[0].calls - calls_before);
    // A strong host reads again once it can, although the weak reader's announcements come in time.
    (0..30).step_by(10).for_each(|strong| domain.set_path(strong, Path::Open));
    domain.run(5_000);
    assert!(is_strong(domain.reader()));
    let readers = domain.hosts.iter().filter(|host| host.relay.is_reader()).count();
    assert_eq!(readers, 1);
}

/// Guards against a weak reader that makes all hosts read a long change for themselves while a
/// strong host reads it for them. The weak reader's call is still held when the strong one has
/// taken over.
#[test]
fn is_first_reader_not_beside_a_strong_reader() {
    let bounds = Bounds { change_ms: 2_000, alone_ms: 100 };
    let (own, strong, weak) = (Name::from("own"), Name::from("strong"), Name::from("weak"));
    let bootstrap = Bootstrap::new(Millis(0));
    let mut relay = Relay::new(bounds, &own, "list", bootstrap).with_class(&own, 4);
    let call = Millis(10_000);
    relay.record_read(call);
    relay.record_peer_class(&strong, 9, call);
    relay.record_peer_class(&weak, 1, call);
    assert_eq!(relay.action(call + 1_300), Action::Read { hold_ms: 0 });
    relay.record_read(call + 1_300);
    relay.record_peer_read(&weak, call + 1_310, call + 1_310);
    assert!(relay.is_first_reader(call + 1_310));
    relay.record_peer_read(&strong, call + 1_310, call + 1_310);
    assert!(relay.reads_for_others(call + 1_310));
    assert!(!relay.is_first_reader(call + 1_310));
    // The strong host's state is stale again.
    assert!(relay.is_first_reader(call + 1_310 + 1_240));
}

#[test]
fn action_reader_is_gone() {
    // The reader stops. The others hear no announcement, one of them reads for itself in time, and
    // the rest follow that one.
    let mut domain = Domain::new(12);
    domain.run(6_000);
    let reader = domain.reader();
    domain.hosts[reader].frozen_until = u64::MAX;
    domain.change();
    domain.run(2_200);
    assert_eq!(domain.hosts.iter().filter(|host| host.revision == 1).count(), 11);
    let calls_before = domain.calls();
    domain.run(10_000);
    assert!(domain.calls() - calls_before <= 10_000 / 800 + 4);
}

#[test]
fn action_reader_and_its_successors_lose_the_store() {
    // The reader and the three hosts that succeed it lose the store one after another, while it
    // answers all other hosts. Each change is still in force on those in time.
    let mut domain = Domain::new(16);
    for lost in 0..4 {
        domain.run(2_500);
        let reader = domain.reader();
        let path = if lost % 2 == 0 { Path::Silent } else { Path::Refused };
        domain.set_path(reader, path);
        domain.change();
    }
    domain.run(10_000);
}

#[test]
fn action_unreachable_store_is_called_seldom_and_found_at_once() {
    // The store refuses all hosts. All of them together, not each, call it about ten times a
    // second. When it is back, one host finds it and announces that.
    let mut domain = Domain::new(20);
    domain.run(5_000);
    for number in 0..20 {
        domain.set_path(number, Path::Refused);
    }
    domain.run(2_000);
    let calls_before = domain.calls();
    domain.run(5_000);
    let made = domain.calls() - calls_before;
    assert!(made <= 100, "{made} calls in 5 s");
    for number in 0..20 {
        domain.set_path(number, Path::Open);
    }
    domain.change();
    domain.run(500);
    assert!(domain.hosts.iter().all(|host| host.revision == 1));
}

#[test]
fn action_long_answers_reach_all_hosts_in_time() {
    // A routing table takes 1.1 s on every host's link, and 2 s are allowed. If the other hosts
    // learned of it only once the reader had received it whole, they would have it after 2.2 s. The
    // reader announces it when its answer begins.
    let mut domain = Domain::new(22);
    domain.run(5_000);
    domain.body_ms = 1_100;
    for _ in 0..5 {
        domain.change();
        domain.run(2_700);
        assert!(domain.hosts.iter().all(|host| host.revision == domain.revision));
    }
}

#[test]
fn action_retry_pause_is_not_ended_by_old_state() {
    // The store is unreachable for all hosts. They still announce how new their lists were before,
    // and each such state may be a little newer than a host's own. If each of these ended the retry
    // pause, the store would be called thousands of times a second.
    let mut relay = Relay::new(PATIENT, &Name::from("host-0"), "list", Bootstrap::new(Millis(1)));
    let peers: Vec<Name> = (1..20).map(|number| Name::from(format!("host-{number}"))).collect();
    for peer in &peers {
        relay.record_peer(peer, Millis(1));
    }
    relay.record_read(Millis(1_000));
    let mut calls = 0;
    for now in (1_000..9_000).step_by(10) {
        if now > 4_000 {
            relay.record_peer_read(
                &peers[now as usize % 19],
                Millis(1_000 + now % 90),
                Millis(now),
            );
        }
        if let Action::Read { .. } = relay.action(Millis(now)) {
            calls += 1;
            relay.record_failure(PAUSE_MS, 0.5, Millis(now));
        }
    }
    assert!(calls < 10, "{calls} calls in 8 s");
}

/// Guards against hosts that keep using an old routing table for too long because the connection on
/// which they wait for changes has gone silent, whenever that happens and whenever the table
/// changes.
#[test]
fn action_silent_connections_are_noticed_in_time() {
    for (change_ms, contact_ms) in [(2_000, 3_000), (3_000, 4_000), (4_000, 5_000)] {
        for hosts in [1, 2, 3, 5, 12] {
            for step in 0..20 {
                let bounds = Bounds { change_ms, alone_ms: alone_ms(contact_ms) };
                let mut domain = Domain::within(bounds, hosts);
                domain.contact_ms = contact_ms;
                domain.run(3_000 + step * 190);
                domain.silence_connections();
                domain.run(step % 8 * 150);
                domain.change();
                domain.run(contact_ms + change_ms);
            }
        }
    }
}

/// Guards against bounds that the parts of a change's way exceed together, at any deployment.
#[test]
fn notice_ms_is_within_the_bound() {
    for change_ms in [CHANGE_MS_MIN, 2_000, 3_000, 4_000, 5_000, 10_000] {
        for contact_ms in [2_000, 3_000, 4_000, 6_000] {
            let bounds = Bounds { change_ms, alone_ms: alone_ms(contact_ms) };
            assert!(bounds.notice_ms() < change_ms, "{bounds:?}: {}", bounds.notice_ms());
        }
    }
    let short = Bounds { change_ms: CHANGE_MS_MIN - 100, ..bounds() };
    assert!(short.notice_ms() >= short.change_ms, "{}", short.notice_ms());
}

/// Guards against changes that come late because the call that waits for them was lost, alone and
/// beside a killed reader, and against entries that are kept for it. Nothing excuses the host.
#[test]
fn action_lost_calls_are_noticed_in_time() {
    for change_ms in [2_000, 3_000, 5_000] {
        for hosts in [1, 2, 3, 5, 12] {
            for step in 0..40 {
                let mut domain = Domain::within(Bounds { change_ms, ..bounds() }, hosts);
                domain.run(8_000 + step * 70);
                if step % 2 == 1 && hosts > 1 {
                    let reader = domain.reader();
                    domain.hosts[reader].frozen_until = u64::MAX;
                }
                domain.hosts.iter_mut().for_each(Host::lose_call);
                domain.run(step % 7 * 100);
                domain.change();
                domain.run(change_ms + 2_000);
                assert!(domain.hosts.iter().all(|host| host.outages == 0), "{hosts} at {step}");
            }
        }
    }
}

/// Guards against callers that are refused because entries lapsed while the store was away, and
/// nobody noticed that it was.
#[test]
fn end_outage_long_absence_of_the_store_is_noticed_by_all() {
    for (change_ms, away_ms) in [(2_000, 3_600), (3_000, 4_500), (5_000, 6_400)] {
        for path in [Path::Refused, Path::Silent] {
            for hosts in [1, 2, 3, 6, 12, 30] {
                let mut domain = Domain::within(Bounds { change_ms, ..bounds() }, hosts);
                domain.run(6_000);
                (0..hosts).for_each(|number| domain.set_path(number, path));
                domain.run(away_ms);
                (0..hosts).for_each(|number| domain.set_path(number, Path::Open));
                domain.run(3_000);
                let noticed = domain.hosts.iter().filter(|host| host.outages > 0).count();
                assert_eq!(noticed, hosts, "{change_ms} {path:?}");
            }
        }
    }
}

/// Guards against servers that are kept when they leave, because an answer came late or was long.
#[test]
fn end_outage_late_or_long_answer_is_none() {
    let mut relay = Relay::new(bounds(), &Name::from("own"), "list", Bootstrap::new(Millis(0)));
    relay.record_read(Millis(1_000));
    for answered_at in [2_300, 4_300, 60_000] {
        assert!(!relay.end_outage(Millis(answered_at)));
        relay.record_read(Millis(answered_at));
    }
}

/// Guards against hosts without processor time that take their own lateness for the store's.
#[test]
fn end_outage_host_that_did_not_run_is_none() {
    let mut relay = Relay::new(bounds(), &Name::from("own"), "list", Bootstrap::new(Millis(0)));
    relay.record_read(Millis(1_000));
    assert_eq!(relay.action(Millis(2_000)), Action::Read { hold_ms: 800 });
    relay.record_unanswered(60_000, 800, Millis(61_000));
    relay.record_failure(PAUSE_MS, 1.0, Millis(61_000));
    assert!(!relay.end_outage(Millis(62_000)));
}

/// Pauses, restarts, both kinds of lost store connections, lost messages and changes, in any order.
/// Each host that has reached the store for three seconds knows each change in time.
#[test]
fn action_generated_sequences() {
    fuzz::check::<(u8, Vec<(u8, u8, u8)>)>(60, |(size, steps)| {
        for change_ms in [2_000, 5_000] {
            play(Bounds { change_ms, ..bounds() }, 1 + usize::from(*size) % 24, steps);
        }
    });
}

fn play(bounds: Bounds, hosts: usize, steps: &[(u8, u8, u8)]) {
    let mut domain = Domain::within(bounds, hosts);
    domain.run(3_000);
    for (event, host, length) in steps.iter().take(24) {
        let number = usize::from(*host) % hosts;
        let ms = 200 + u64::from(*length) * 20;
        match event % 8 {
            0 => domain.hosts[number].frozen_until = domain.now + ms,
            1 => domain.restart(number),
            2 => domain.set_path(number, Path::Silent),
            3 => domain.set_path(number, Path::Refused),
            4 => (0..hosts).for_each(|number| domain.set_path(number, Path::Open)),
            5 => domain.lose_every = 2 + u64::from(*host % 40),
            // A third of the hosts lose the store at once.
            6 => (number..hosts).step_by(3).for_each(|number| {
                domain.set_path(number, Path::Silent);
            }),
            _ => domain.change(),
        }
        domain.run(ms / 3);
    }
    domain.change();
    domain.run(bounds.change_ms + 1_000);
}
