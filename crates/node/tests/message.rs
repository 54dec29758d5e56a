//! Messages between hosts that are too long for one datagram.

use gateway::backend::{Prefill, Restriction, RestrictionNotice};
use gateway::far_loads::FarLoads;
use node::peers::message::{BYTES_MAX, Entry, Message};
use node::record::{Record, RolloutState};
use policy::canary::Stage;
use policy::name::Name;
use policy::poison::{Crash, Digest, Suspect};
use policy::report::far::{FarReport, fanout};
use policy::throttle::Limit;
use policy::time::Millis;

const NOW: Millis = Millis(5_000);

fn record(stage: Stage) -> Entry {
    let record = Record { target: Name::from("v2"), stage, ..Record::default() };
    Entry::Record(RolloutState {
        service: Name::from("desk"),
        version: 7.into(),
        record,
        age_ms: 400,
    })
}

fn suspect(number: u64) -> Entry {
    let crash = |server| Crash {
        server: Name::from(format!("i-{server}")),
        born: 1_700_000_000_000,
        at: NOW,
        is_early: true,
    };
    let crashes = (0..4).map(crash).collect();
    Entry::Suspect(Suspect { crashes, ..Suspect::new(Digest(number)) })
}

fn limit(number: u64) -> Entry {
    let limit = Limit { per_second: Some(4.0), at: NOW, until: None };
    Entry::Restricted(RestrictionNotice {
        backend: Name::from(format!("i-{number}")),
        born: 1,
        restriction: Restriction::Limit(limit),
    })
}

fn parse(datagrams: &[Vec<u8>]) -> Vec<Entry> {
    let parse = |datagram: &Vec<u8>| serde_json::from_slice::<Message>(datagram).unwrap();
    datagrams.iter().map(parse).flat_map(|message| message.entries).collect()
}

fn message(entries: Vec<Entry>) -> Message {
    Message { host: Name::from("host-1"), class: 1, forward: 0, now: NOW, entries }
}

/// Guards against the stage of a roll-out being left out because the message has many other
/// entries.
#[test]
fn datagrams_hold_all_entries() {
    let suspects = (0..100).map(suspect);
    let entries: Vec<Entry> =
        suspects.chain([record(Stage::Done)]).chain((0..50).map(limit)).collect();
    let datagrams = message(entries.clone()).datagrams();
    assert!(datagrams.iter().all(|datagram| datagram.len() <= BYTES_MAX));
    assert_eq!(parse(&datagrams), entries);
}

#[test]
fn datagrams_short_message_is_one() {
    assert_eq!(message(vec![record(Stage::Moving), limit(1)]).datagrams().len(), 1);
    assert_eq!(message(Vec::new()).datagrams().len(), 1);
}

#[test]
fn datagrams_too_long_entry_is_the_only_one_dropped() {
    let backend = Name::from("x".repeat(2 * BYTES_MAX));
    let long = Entry::Prefill(Prefill {
        backend,
        read_ms: 5,
        rank: 0,
        is_far: false,
        model: 0,
        shared: Vec::new(),
    });
    let datagrams = message(vec![long, record(Stage::Done)]).datagrams();
    assert_eq!(parse(&datagrams), [record(Stage::Done)]);
}

/// Guards against loads of another failure domain that are never sent because the message is too long.
#[test]
fn datagrams_loads_of_a_domain_fit_one() {
    let report = FarReport(u64::MAX, 9_999, 2_000);
    let loads = Entry::FarLoads(FarLoads {
        is_direct: true,
        domain: Name::from("failure-domain-1"),
        from: u64::MAX,
        at: Millis(1_700_000_000_000),
        means: vec![(Name::from("service-of-usual-name"), 100); 4],
        engines: vec![report; fanout(1, 1).engines],
    });
    assert_eq!(parse(&message(vec![loads.clone()]).datagrams()), [loads]);
}
