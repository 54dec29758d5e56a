//! The list of backend servers under stale reads, outages, lapses and restarts.

use policy::name::Name;
use policy::revision::Revision;
use policy::roster::{Entry, LAPSE_GRACE_MS, Roster};
use policy::time::Millis;

const START: Millis = Millis(1_000_000);

#[derive(Clone, Debug, PartialEq)]
struct Server {
    id: Name,
    born: u64,
    leaving: bool,
}

impl Entry for Server {
    fn id(&self) -> &Name {
        &self.id
    }

    fn born(&self) -> u64 {
        self.born
    }

    fn is_leaving(&self) -> bool {
        self.leaving
    }

    fn into_leaving(self) -> Self {
        Self { leaving: true, ..self }
    }
}

fn at(number: u64) -> Revision {
    number.into()
}

fn server(id: &str) -> Server {
    Server { id: Name::from(id), born: 1, leaving: false }
}

fn working(roster: &Roster<Server>, now: Millis) -> Vec<String> {
    let entries = roster.entries(now).into_iter().filter(|entry| !entry.leaving);
    entries.map(|entry| entry.id.to_string()).collect()
}

#[test]
fn remove_is_final_while_list_is_reached() {
    let mut roster = Roster::default();
    roster.put(server("a"), at(1));
    roster.remove(&Name::from("a"), at(2), START);
    assert!(working(&roster, START).is_empty());
}

/// Guards against requests to a leaving server, which would be cut off when it ends. The store
/// drops the list's history, so the list is read again, from a state some seconds old in which the
/// server is ready.
#[test]
fn replace_by_stale_list_brings_no_server_back() {
    let mut roster = Roster::default();
    roster.put(server("a"), at(1));
    roster.put(server("a").into_leaving(), at(5));
    assert!(!roster.replace(vec![(server("a"), at(1))], at(3), START));
    assert!(working(&roster, START).is_empty());
    assert!(roster.replace(vec![(server("a"), at(1))], at(6), START));
    assert!(working(&roster, START).is_empty());
}

/// Guards against refusing every request after an outage that is longer than entries live. The
/// entries of live servers have lapsed by then, and the servers renew them within two seconds of
/// the list's return.
#[test]
fn remove_after_outage_is_a_lapse() {
    let mut roster = Roster::default();
    roster.put(server("a"), at(1));
    roster.put(server("b"), at(2));
    roster.record_unreachable(START);
    roster.record_reached(START + 4_000);
    for (id, revision) in [("a", 3), ("b", 4)] {
        roster.remove(&Name::from(id), Revision::from(revision), START + 4_000);
    }
    assert_eq!(working(&roster, START + 4_100), ["a", "b"]);
    roster.put(server("b"), at(5));
    assert_eq!(working(&roster, START + 4_000 + LAPSE_GRACE_MS), ["b"]);
    assert_eq!(working(&roster, START + 60_000), ["b"]);
}

#[test]
fn remove_of_leaving_server_is_no_lapse() {
    let mut roster = Roster::default();
    roster.put(server("a").into_leaving(), at(1));
    roster.record_unreachable(START);
    roster.record_reached(START + 10);
    roster.remove(&Name::from("a"), at(2), START + 20);
    assert!(roster.entries(START + 30).is_empty());
}

#[test]
fn remove_long_after_outage_is_final() {
    let mut roster = Roster::default();
    roster.put(server("a"), at(1));
    roster.record_unreachable(START);
    roster.record_reached(START + 100);
    roster.remove(&Name::from("a"), at(2), START + 100 + LAPSE_GRACE_MS);
    assert!(working(&roster, START + 100 + LAPSE_GRACE_MS).is_empty());
}

/// Changes, outages, dropped history and stale reads in any order, compared with the store itself.
/// A server's leave is never forgotten. Once the list is read and lapses have passed, exactly the
/// listed servers that are not leaving are in use.
#[test]
fn entries_generated_sequences() {
    fuzz::check::<Vec<(u8, u8)>>(2_000, |steps| {
        let mut store: Vec<(Server, Revision)> = Vec::new();
        let mut old: Vec<(Vec<(Server, Revision)>, Revision)> = Vec::new();
        // No id is used twice here, so the roster must keep to a leave that it has seen.
        let mut used: Vec<Name> = Vec::new();
        let mut said_leaving: Vec<Name> = Vec::new();
        let mut roster = Roster::default();
        let (mut revision, mut now) = (0_u64, START);
        for (step, which) in steps {
            now = now + u64::from(which % 50) * 20;
            revision += 1;
            let id = Name::from(format!("s{}", which % 23));
            let at = store.iter().position(|(server, _)| server.id == id);
            let is_seen = step & 0x10 == 0;
            old.push((store.clone(), Revision::from(revision - 1)));
            match (step % 5, at) {
                (0, None) if !used.contains(&id) => {
                    used.push(id.clone());
                    store.push((server(&id), Revision::from(revision)));
                    if is_seen {
                        roster.put(server(&id), Revision::from(revision));
                    }
                }
                (1, Some(at)) => {
                    store[at] = (server(&id).into_leaving(), Revision::from(revision));
                    if is_seen {
                        said_leaving.push(id.clone());
                        roster.put(server(&id).into_leaving(), Revision::from(revision));
                    }
                }
                (2, Some(at)) => {
                    store.remove(at);
                    if is_seen {
                        roster.remove(&id, Revision::from(revision), now);
                    }
                }
                (3, _) => {
                    roster.record_unreachable(now);
                    now = now + 500;
                    roster.record_reached(now);
                }
                (4, _) => {
                    let (stale, as_of) =
                        &old[old.len() - 1 - usize::from(*which) % old.len().min(4)];
                    roster.replace(stale.clone(), *as_of, now);
                }
                _ => {}
            }
            let working = working(&roster, now);
            assert!(said_leaving.iter().all(|id| !working.contains(&id.to_string())));
        }
        roster.replace(store.clone(), Revision::from(revision + 1), now);
        now = now + LAPSE_GRACE_MS + 1_000;
        let mut expected: Vec<String> = store
            .iter()
            .filter(|(server, _)| !server.leaving)
            .map(|(server, _)| server.id.to_string())
            .collect();
        expected.sort();
        assert_eq!(working(&roster, now), expected);
    });
}

/// Guards against a server that never gets work again because it said that it leaves, ended, and
/// was started again later under the same id.
#[test]
fn put_restarted_server_gets_work() {
    let mut roster = Roster::default();
    roster.put(server("a"), at(1));
    roster.put(server("a").into_leaving(), at(2));
    roster.remove(&Name::from("a"), at(3), START);
    roster.put(Server { born: 2, ..server("a") }, at(4));
    assert_eq!(working(&roster, START), ["a"]);
    // A late write from before the restart changes nothing.
    roster.put(server("a").into_leaving(), at(5));
    assert_eq!(working(&roster, START), ["a"]);
}

/// Shortly after an outage another writer replaces a server's entry by an unreadable one. This is
/// not a lapse: the server is no longer used, and is used again once its own entry is back.
#[test]
fn withdraw_is_no_lapse() {
    let mut roster = Roster::default();
    roster.put(server("a"), at(1));
    roster.put(server("b"), at(2));
    roster.record_unreachable(START);
    roster.record_reached(START + 100);
    roster.withdraw(&Name::from("a"), at(3), START + 200);
    assert_eq!(working(&roster, START + 200), ["b"]);
    roster.put(server("a"), at(4));
    assert_eq!(working(&roster, START + 300), ["a", "b"]);
}

/// Guards against lapsed servers that stay in use for good: their time is over, something else asks
/// for the entries, and nobody is left who tells requests.
#[test]
fn entries_leaves_lapsed_entries_to_expire() {
    let mut roster = Roster::default();
    roster.put(server("a"), at(1));
    roster.record_unreachable(START);
    roster.record_reached(START);
    roster.remove(&Name::from("a"), at(2), START);
    let over = START + LAPSE_GRACE_MS;
    assert!(working(&roster, over).is_empty());
    assert_eq!(roster.next_lapse(), Some(over));
    roster.expire(over);
    assert_eq!(roster.next_lapse(), None);
}
