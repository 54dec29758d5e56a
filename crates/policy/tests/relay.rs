//! Hosts of one failure domain that read the store for each other.

mod hosts;

use hosts::{Domain, PATIENT, PAUSE_MS, Path, bounds};
use policy::bootstrap::Bootstrap;
use policy::name::Name;
use policy::relay::{Action, Bounds, Relay, alone_ms};
use policy::time::Millis;

#[test]
fn action_few_hosts_read_alone() {
    // With fewer calls than that there is nothing to save, and a host that trusts nobody can't be
    // behind for another's sake.
    let mut domain = Domain::within(PATIENT, 3);
    domain.run(30_000);
    assert!(domain.hosts.iter().all(|host| host.calls >= 8));
}

/// Guards against small failure domains in which each host reads although one that reads for all would
/// make fewer calls: where changes may take longer, it reads less often.
#[test]
fn action_few_hosts_one_reads_where_that_saves_calls() {
    for (change_ms, hosts, is_shared) in [
        (2_000, 4, false),
        (2_000, 5, true),
        (5_000, 2, true),
        (5_000, 4, true),
        (10_000, 1, false),
    ] {
        let mut domain = Domain::within(Bounds { change_ms, ..PATIENT }, hosts);
        domain.run(10_000);
        let begun = domain.calls();
        domain.change();
        domain.run(40_000);
        let made = domain.calls() - begun;
        let alone = hosts as u64 * 40_000 / PATIENT.alone_ms;
        let shared = 40_000 / (change_ms * 2 / 5);
        println!("{change_ms} ms, {hosts} hosts: {made} calls, alone {alone}, shared {shared}");
        assert!(made <= alone.min(shared) + 3 + hosts as u64, "{change_ms} {hosts} {made}");
        let readers = domain.hosts.iter().filter(|host| host.relay.is_reader()).count();
        assert_eq!(readers == 1 && hosts > 1, is_shared, "{change_ms} {hosts}");
    }
}

#[test]
fn action_many_hosts_one_reads() {
    // The load: 22 hosts, nothing changes. Each for itself they would make 22 calls in 3.5 s.
    let mut domain = Domain::new(22);
    domain.run(5_000);
    let begun = domain.calls();
    domain.run(30_000);
    let made = domain.calls() - begun;
    assert!(made <= 30_000 / 800 + 5, "{made} calls");
    let readers =
        domain.hosts.iter().filter(|host| host.relay.reads_for_others(Millis(domain.now)));
    assert_eq!(readers.count(), 1);
}

/// Guards against hundreds of hosts that each ask a store which is away once a second.
#[test]
fn action_store_away_is_asked_in_the_time_that_changes_leave() {
    let change_ms = 5_000;
    let mut domain = Domain::within(Bounds { change_ms, ..bounds() }, 100);
    domain.run(6_000);
    (0..100).for_each(|number| domain.set_path(number, Path::Refused));
    domain.run(6_000);
    let begun = domain.calls();
    domain.run(6_000);
    let asked = domain.calls() - begun;
    assert!(asked <= 100 * 6_000 / 2_500, "{asked} calls in 6 s");
    (0..100).for_each(|number| domain.set_path(number, Path::Open));
    domain.change();
    domain.run(500);
    assert!(domain.hosts.iter().all(|host| host.revision == 1));
}

/// Guards against a host that waits for the turns of hundreds before it, none of which it hears of: the
/// reader's messages don't reach it, though all others' signs of life do.
#[test]
fn action_host_that_hears_of_no_reading_is_in_time() {
    for hosts in [6, 50, 120] {
        for step in 0..2 {
            let mut domain = Domain::new(hosts);
            domain.run(3_000 + step * 170);
            // It waits longest.
            domain.deaf = Some(domain.last());
            domain.change();
            domain.run(2_500);
        }
    }
}

/// Guards against lists of thousands of servers that are read over a narrow link while the domain has
/// hosts with wide ones.
#[test]
fn action_a_strong_host_reads() {
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
    // While strong ones are lost, others read.
    (0..30).step_by(10).for_each(|strong| domain.set_path(strong, Path::Refused));
    domain.change();
    let begun = domain.hosts[0].calls;
    domain.run(6_000);
    assert!(!is_strong(domain.reader()));
    assert!(domain.hosts[0].calls - begun < 8, "{}", domain.hosts[0].calls - begun);
    // A strong one reads again once it can, though the weak one's news come in time.
    (0..30).step_by(10).for_each(|strong| domain.set_path(strong, Path::Open));
    domain.run(5_000);
    assert!(is_strong(domain.reader()));
    let readers = domain.hosts.iter().filter(|host| host.relay.is_reader()).count();
    assert_eq!(readers, 1);
}

/// Guards against a weak host that has all others read a long change themselves while a strong one reads it for
/// them: its own call outlasts the change of readers.
#[test]
fn reads_first_not_beside_a_strong_host() {
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
    // It is lost again.
    assert!(relay.is_first_reader(call + 1_310 + 1_240));
}

#[test]
fn action_reader_is_gone() {
    // The host that reads is stopped. The others hear nothing, one of them reads for itself in
    // time, and the rest go on with that one.
    let mut domain = Domain::new(12);
    domain.run(6_000);
    let reader = domain.reader();
    domain.hosts[reader].frozen_until = u64::MAX;
    domain.change();
    domain.run(2_200);
    assert_eq!(domain.hosts.iter().filter(|host| host.revision == 1).count(), 11);
    let begun = domain.calls();
    domain.run(10_000);
    assert!(domain.calls() - begun <= 10_000 / 800 + 4);
}

#[test]
fn action_reader_and_those_after_it_lose_the_store() {
    // The store turns away the host that reads and the three that would follow it; its answers to
    // the others are as always. A change is in force with those in time all the same.
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
fn action_store_away_is_asked_seldom_and_heard_at_once() {
    // The store is down for all. Together the hosts ask about ten times a second, not each of
    // them; when it is back one hears it, and tells the others.
    let mut domain = Domain::new(20);
    domain.run(5_000);
    for number in 0..20 {
        domain.set_path(number, Path::Refused);
    }
    domain.run(2_000);
    let begun = domain.calls();
    domain.run(5_000);
    let asked = domain.calls() - begun;
    assert!(asked <= 100, "{asked} calls in 5 s");
    for number in 0..20 {
        domain.set_path(number, Path::Open);
    }
    domain.change();
    domain.run(500);
    assert!(domain.hosts.iter().all(|host| host.revision == 1));
}

#[test]
fn action_long_answers_come_to_all_at_once() {
    // A table of routes takes 1.1 s on every host's link. The hosts that do not read for the others
    // heard of it when the one that does had all of it, and began then: 2.2 s after the change where
    // 2 s are allowed. They hear of it when its answer begins.
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
fn action_pause_is_not_ended_by_old_news() {
    // The store is down for all. Hosts go on telling each other things, among them how new their
    // lists were before; each time one of them is a little newer than a host's own. Had that host
    // asked at once every time, the store would have been asked thousands of times a second.
    let mut relay = Relay::new(PATIENT, &Name::from("host-0"), "list", Bootstrap::new(Millis(1)));
    let peers: Vec<Name> = (1..20).map(|number| Name::from(format!("host-{number}"))).collect();
    for peer in &peers {
        relay.record_peer(peer, Millis(1));
    }
    relay.record_read(Millis(1_000));
    let mut asked = 0;
    for now in (1_000..9_000).step_by(10) {
        if now > 4_000 {
            relay.record_peer_read(
                &peers[now as usize % 19],
                Millis(1_000 + now % 90),
                Millis(now),
            );
        }
        if let Action::Read { .. } = relay.action(Millis(now)) {
            asked += 1;
            relay.record_failure(PAUSE_MS, 0.5, Millis(now));
        }
    }
    assert!(asked < 10, "{asked} calls in 8 s");
}

/// Guards against hosts bound by an old table for too long, since the connection on which they wait for news
/// has gone silent: whenever that is, and whenever the table changes.
#[test]
fn action_silent_connections_are_noticed_while_others_wait_for_contact() {
    for (change_ms, touch_ms) in [(2_000, 3_000), (3_000, 4_000), (4_000, 5_000)] {
        for hosts in [1, 2, 3, 5, 12] {
            for step in 0..20 {
                let bounds = Bounds { change_ms, alone_ms: alone_ms(touch_ms) };
                let mut domain = Domain::within(bounds, hosts);
                domain.touch_ms = touch_ms;
                domain.run(3_000 + step * 190);
                domain.silence_connections();
                domain.run(step % 8 * 150);
                domain.change();
                domain.run(touch_ms + change_ms);
            }
        }
    }
}

/// Hosts that stand still, start anew, lose the store in either way, lost words and changes, in
/// any order: whoever has reached the store for three seconds knows each change in time.
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
    for (what, which, how_long) in steps.iter().take(24) {
        let number = usize::from(*which) % hosts;
        let ms = 200 + u64::from(*how_long) * 20;
        match what % 8 {
            0 => domain.hosts[number].frozen_until = domain.now + ms,
            1 => domain.restart(number),
            2 => domain.set_path(number, Path::Silent),
            3 => domain.set_path(number, Path::Refused),
            4 => (0..hosts).for_each(|number| domain.set_path(number, Path::Open)),
            5 => domain.lose_every = 2 + u64::from(*which % 40),
            // A third of the hosts at once.
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
