//! Admission: fairness among accounts, eviction from a full queue, early rejection, and that every
//! ticket leaves the queue exactly once.

use std::collections::BTreeSet;

use policy::admit::{Arrival, Load, Queue, Ticket, Verdict};
use policy::time::Millis;

const NOW: Millis = Millis(1_000);
const FULL: Load = Load { slots: 4, in_flight: 4, own: 4, entries: 1, closed_ms: 0 };

fn arrival(account: &str) -> Arrival {
    Arrival::new(account, 1, NOW + 60_000)
}

fn wait(queue: &mut Queue, arrival: &Arrival) -> Ticket {
    match queue.offer(arrival, FULL, 0.5, NOW) {
        Verdict::Wait { ticket, evicted: None } => ticket,
        other => panic!("{other:?}"),
    }
}

fn fill(queue: &mut Queue, count: usize, account: &str) {
    for _ in 0..count {
        wait(queue, &arrival(account));
    }
}

#[test]
fn offer_admits_with_a_free_slot() {
    let mut queue = Queue::new(8, 100.0);
    let load = Load { in_flight: 3, own: 3, ..FULL };
    assert_eq!(queue.offer(&arrival("a"), load, 0.5, NOW), Verdict::Admit);
}

/// Guards against idle slots: reports say that the pool is full, and an entry host that relied on
/// them would not use its own share of the slots until the next report.
#[test]
fn offer_admits_within_own_share_despite_full_report() {
    let mut queue = Queue::new(8, 100.0);
    let load = Load { slots: 12, in_flight: 12, own: 1, entries: 6, closed_ms: 0 };
    assert_eq!(queue.offer(&arrival("a"), load, 0.5, NOW), Verdict::Admit);
}

#[test]
fn offer_no_backend_server_does_not_admit() {
    let mut queue = Queue::new(8, 100.0);
    let load = Load { entries: 6, ..Load::default() };
    assert_ne!(queue.offer(&arrival("a"), load, 0.5, NOW), Verdict::Admit);
}

/// Four requests in flight take a second each, so a slot becomes free every 250 ms, and a waiting
/// request is answered after 1.25 s.
#[test]
fn offer_rejects_what_would_miss_its_deadline() {
    let offer = |arrival: Arrival| Queue::new(1000, 1_000.0).offer(&arrival, FULL, 0.0, NOW);
    assert!(matches!(offer(Arrival::new("a", 1, NOW + 1_200)), Verdict::Refuse { .. }));
    assert!(matches!(offer(Arrival::new("a", 1, NOW + 1_300)), Verdict::Wait { .. }));
    let short = Arrival::new("a", 1, NOW + 1_200).with_service(100.0);
    assert!(matches!(offer(short), Verdict::Wait { .. }));
}

#[test]
fn offer_retry_after_grows_with_queue_and_jitter() {
    let mut queue = Queue::new(20, 1_000.0);
    let hopeless = Arrival::new("b", 1, NOW + 10);
    let retry = |queue: &mut Queue, jitter| match queue.offer(&hopeless, FULL, jitter, NOW) {
        Verdict::Refuse { retry_after_ms } => retry_after_ms,
        other => panic!("{other:?}"),
    };
    let empty = retry(&mut queue, 0.0);
    fill(&mut queue, 20, "a");
    assert!(retry(&mut queue, 0.0) > empty);
    assert!(retry(&mut queue, 0.9) > retry(&mut queue, 0.1));
}

/// Guards against starvation of a small account: in order of arrival, its request would be served
/// after everything that a large account queued before. Served in turn, it is second.
#[test]
fn pop_alternates_among_accounts() {
    let mut queue = Queue::new(64, 10.0);
    fill(&mut queue, 30, "large");
    let small = wait(&mut queue, &arrival("small"));
    let order: Vec<Ticket> = std::iter::from_fn(|| queue.pop()).collect();
    assert!(order.iter().position(|ticket| *ticket == small).unwrap() <= 1);
    assert_eq!(order.len(), 31);
}

#[test]
fn pop_continued_first_then_by_priority() {
    let mut queue = Queue::new(64, 10.0);
    let late = wait(&mut queue, &Arrival::new("a", 5, NOW + 60_000));
    let first = wait(&mut queue, &Arrival::new("a", 0, NOW + 60_000));
    let continued = wait(&mut queue, &Arrival::new("b", 5, NOW + 60_000).continued());
    let order: Vec<Ticket> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, [continued, first, late]);
}

#[test]
fn pop_serves_accounts_by_weight() {
    let mut queue = Queue::new(64, 10.0);
    let heavy = Arrival { weight: 3.0, ..arrival("heavy") };
    let tickets: BTreeSet<Ticket> = (0..20).map(|_| wait(&mut queue, &heavy)).collect();
    fill(&mut queue, 20, "light");
    let heavy_count = (0..12).filter(|_| tickets.contains(&queue.pop().unwrap())).count();
    assert!((8..=10).contains(&heavy_count), "{heavy_count}");
}

#[test]
fn offer_full_queue_evicts_from_the_largest_account() {
    let mut queue = Queue::new(10, 10.0);
    let tickets: Vec<Ticket> = (0..10).map(|_| wait(&mut queue, &arrival("large"))).collect();
    match queue.offer(&arrival("small"), FULL, 0.5, NOW) {
        Verdict::Wait { evicted: Some(evicted), .. } => assert_eq!(evicted.ticket, tickets[9]),
        other => panic!("{other:?}"),
    }
    assert!(matches!(queue.offer(&arrival("large"), FULL, 0.5, NOW), Verdict::Refuse { .. }));
    assert_eq!(queue.len(), 10);
}

#[test]
fn evict_overdue_keeps_requests_with_time_left() {
    let mut queue = Queue::new(10, 100.0);
    let short = wait(&mut queue, &Arrival::new("a", 1, NOW + 1_000));
    let long = wait(&mut queue, &arrival("a"));
    let evicted = queue.evict_overdue(FULL, 0.0, NOW + 950);
    assert_eq!(evicted.iter().map(|e| e.ticket).collect::<Vec<_>>(), [short]);
    assert!(queue.cancel(long) && !queue.cancel(long));
}

/// Each ticket leaves the queue exactly once, whatever the order of calls.
#[test]
fn queue_random_calls_return_each_ticket_once() {
    fuzz::check(2000, |steps: &Vec<(u8, u8, u8)>| {
        let mut queue = Queue::new(6, 50.0);
        let mut waiting = BTreeSet::new();
        let mut now = NOW;
        for (step, account, extra) in steps {
            now = now + u64::from(*extra);
            match step % 4 {
                0 | 1 => {
                    let deadline = now + 1_000 + u64::from(*extra) * 50;
                    let arrival = Arrival::new(format!("a{}", account % 4), account % 3, deadline);
                    if let Verdict::Wait { ticket, evicted } = queue.offer(&arrival, FULL, 0.5, now)
                    {
                        assert!(evicted.is_none_or(|evicted| waiting.remove(&evicted.ticket)));
                        assert!(waiting.insert(ticket));
                    }
                }
                2 => assert!(queue.pop().is_none_or(|ticket| waiting.remove(&ticket))),
                _ => {
                    let overdue = queue.evict_overdue(FULL, 0.0, now);
                    assert!(overdue.iter().all(|evicted| waiting.remove(&evicted.ticket)));
                }
            }
            assert_eq!(queue.len(), waiting.len());
            assert!(queue.len() <= 6);
        }
    });
}
