//! Queues: fair turns, room for others, refusals in time, every ticket leaves once.

use std::collections::BTreeSet;

use policy::admit::{Ask, Load, Queue, Ticket, Verdict};
use policy::time::Millis;

const NOW: Millis = Millis(1_000);
const FULL: Load = Load { slots: 4, in_flight: 4, own: 4, entries: 1, closed_ms: 0 };

fn ask(account: &str) -> Ask {
    Ask::new(account, 1, NOW + 60_000)
}

fn wait(queue: &mut Queue, ask: &Ask) -> Ticket {
    match queue.offer(ask, FULL, 0.5, NOW) {
        Verdict::Wait { ticket, evicted: None } => ticket,
        other => panic!("{other:?}"),
    }
}

fn fill(queue: &mut Queue, count: usize, account: &str) {
    for _ in 0..count {
        wait(queue, &ask(account));
    }
}

#[test]
fn offer_free_place() {
    let mut queue = Queue::new(8, 100.0);
    let load = Load { in_flight: 3, own: 3, ..FULL };
    assert_eq!(queue.offer(&ask("a"), load, 0.5, NOW), Verdict::Admit);
}

/// Every other host's report says full, and an entry host that believed it would let its own part
/// of the slots stand idle until the next report.
#[test]
fn offer_own_part_despite_full_report() {
    let mut queue = Queue::new(8, 100.0);
    let load = Load { slots: 12, in_flight: 12, own: 1, entries: 6, closed_ms: 0 };
    assert_eq!(queue.offer(&ask("a"), load, 0.5, NOW), Verdict::Admit);
}

#[test]
fn offer_no_backend_server() {
    let mut queue = Queue::new(8, 100.0);
    let load = Load { entries: 6, ..Load::default() };
    assert_ne!(queue.offer(&ask("a"), load, 0.5, NOW), Verdict::Admit);
}

/// Four are under way, a second each: a place is free in a quarter of a second, so an answer takes
/// a second and a quarter.
#[test]
fn offer_hopeless_is_refused_at_once() {
    let offer = |ask: Ask| Queue::new(1000, 1_000.0).offer(&ask, FULL, 0.0, NOW);
    assert!(matches!(offer(Ask::new("a", 1, NOW + 1_200)), Verdict::Refuse { .. }));
    assert!(matches!(offer(Ask::new("a", 1, NOW + 1_300)), Verdict::Wait { .. }));
    let short = Ask::new("a", 1, NOW + 1_200).with_service(100.0);
    assert!(matches!(offer(short), Verdict::Wait { .. }));
}

#[test]
fn offer_retry_after_grows_with_queue_and_jitter() {
    let mut queue = Queue::new(20, 1_000.0);
    let hopeless = Ask::new("b", 1, NOW + 10);
    let retry = |queue: &mut Queue, jitter| match queue.offer(&hopeless, FULL, jitter, NOW) {
        Verdict::Refuse { retry_after_ms } => retry_after_ms,
        other => panic!("{other:?}"),
    };
    let empty = retry(&mut queue, 0.0);
    fill(&mut queue, 20, "a");
    assert!(retry(&mut queue, 0.0) > empty);
    assert!(retry(&mut queue, 0.9) > retry(&mut queue, 0.1));
}

/// A small account's caller waits for ever. One large account fills the queue before it; served
/// in order of arrival, all of that goes first. Accounts take turns, so it goes second.
#[test]
fn pop_takes_turns_among_accounts() {
    let mut queue = Queue::new(64, 10.0);
    fill(&mut queue, 30, "large");
    let small = wait(&mut queue, &ask("small"));
    let order: Vec<Ticket> = std::iter::from_fn(|| queue.pop()).collect();
    assert!(order.iter().position(|ticket| *ticket == small).unwrap() <= 1);
    assert_eq!(order.len(), 31);
}

#[test]
fn pop_by_priority_then_continued_first() {
    let mut queue = Queue::new(64, 10.0);
    let late = wait(&mut queue, &Ask::new("a", 5, NOW + 60_000));
    let first = wait(&mut queue, &Ask::new("a", 0, NOW + 60_000));
    let continued = wait(&mut queue, &Ask::new("b", 5, NOW + 60_000).continued());
    let order: Vec<Ticket> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, [continued, first, late]);
}

#[test]
fn pop_by_weight() {
    let mut queue = Queue::new(64, 10.0);
    let heavy = Ask { weight: 3.0, ..ask("heavy") };
    let tickets: BTreeSet<Ticket> = (0..20).map(|_| wait(&mut queue, &heavy)).collect();
    fill(&mut queue, 20, "light");
    let of_heavy = (0..12).filter(|_| tickets.contains(&queue.pop().unwrap())).count();
    assert!((8..=10).contains(&of_heavy), "{of_heavy}");
}

#[test]
fn offer_full_queue_evicts_from_the_fullest() {
    let mut queue = Queue::new(10, 10.0);
    let tickets: Vec<Ticket> = (0..10).map(|_| wait(&mut queue, &ask("large"))).collect();
    match queue.offer(&ask("small"), FULL, 0.5, NOW) {
        Verdict::Wait { evicted: Some(evicted), .. } => assert_eq!(evicted.ticket, tickets[9]),
        other => panic!("{other:?}"),
    }
    assert!(matches!(queue.offer(&ask("large"), FULL, 0.5, NOW), Verdict::Refuse { .. }));
    assert_eq!(queue.len(), 10);
}

#[test]
fn hopeless_removes_only_those() {
    let mut queue = Queue::new(10, 100.0);
    let short = wait(&mut queue, &Ask::new("a", 1, NOW + 1_000));
    let long = wait(&mut queue, &ask("a"));
    let evicted = queue.hopeless(FULL, 0.0, NOW + 950);
    assert_eq!(evicted.iter().map(|e| e.ticket).collect::<Vec<_>>(), [short]);
    assert!(queue.cancel(long) && !queue.cancel(long));
}

/// Whatever comes, in whatever order: each ticket leaves the queue exactly once.
#[test]
fn queue_any_order() {
    fuzz::check(2000, |steps: &Vec<(u8, u8, u8)>| {
        let mut queue = Queue::new(6, 50.0);
        let mut waiting = BTreeSet::new();
        let mut now = NOW;
        for (step, account, extra) in steps {
            now = now + u64::from(*extra);
            match step % 4 {
                0 | 1 => {
                    let deadline = now + 1_000 + u64::from(*extra) * 50;
                    let ask = Ask::new(format!("a{}", account % 4), account % 3, deadline);
                    if let Verdict::Wait { ticket, evicted } = queue.offer(&ask, FULL, 0.5, now) {
                        assert!(evicted.is_none_or(|evicted| waiting.remove(&evicted.ticket)));
                        assert!(waiting.insert(ticket));
                    }
                }
                2 => assert!(queue.pop().is_none_or(|ticket| waiting.remove(&ticket))),
                _ => {
                    let due = queue.hopeless(FULL, 0.0, now);
                    assert!(due.iter().all(|evicted| waiting.remove(&evicted.ticket)));
                }
            }
            assert_eq!(queue.len(), waiting.len());
            assert!(queue.len() <= 6);
        }
    });
}
