//! What a host holds for callers that read slowly is bounded, and callers that read are served as
//! before. No test needs a network.

use policy::memory::{Cut, CutCause, Governor, Holding, Load, STEP_INTERVAL_MS, Step, may_read};
use policy::time::Millis;

const START: Millis = Millis(1_000_000);
/// A quarter of a host of 120 MB.
const BOUND: u64 = 30 << 20;

fn holding(id: u64, bytes: u64, blocked_since: Option<Millis>) -> Holding {
    Holding { id, bytes, blocked_since, deadline: START + 60_000, is_stream: false }
}

fn load(held: u64) -> Load {
    Load { held, bound: BOUND, holders: 100 }
}

/// One step of a governor that made its last one in time.
fn step(holdings: &[Holding], now: Millis) -> Step {
    let mut governor = Governor::default();
    governor.step(&[], &load(0), now - STEP_INTERVAL_MS);
    let held = holdings.iter().map(|one| one.bytes).sum();
    governor.step(holdings, &load(held), now)
}

/// Guards against a caller that never reads and fills the host: nothing is read for it any more,
/// before callers that read feel the bound.
#[test]
fn may_read_caller_that_never_reads() {
    let (stalled, now) = (holding(1, 100 << 10, Some(START)), START + 600);
    let reading = holding(2, 100 << 10, None);
    assert!(may_read(&stalled, 0, &load(BOUND / 2), now));
    assert!(!may_read(&stalled, 0, &load(BOUND * 4 / 5), now));
    assert!(may_read(&reading, 0, &load(BOUND * 4 / 5), now));
    assert!(!may_read(&reading, 0, &load(BOUND), now));
}

/// Guards against small answers and ordinary streams that wait because others fill the memory, and
/// against small holdings that exceed the bound together.
#[test]
fn may_read_small_holding_at_the_bound() {
    for (holders, small) in [(1, 64 << 10), (2_000, 7 << 10), (1_000_000, 4 << 10)] {
        for held in [BOUND * 4 / 5 + 1, BOUND] {
            let load = Load { holders, ..load(held) };
            assert!(may_read(&holding(1, small, None), 0, &load, START), "{holders}");
            assert!(!may_read(&holding(1, 65 << 10, None), 0, &load, START), "{holders}");
        }
        let load = Load { holders, ..load(BOUND) };
        assert!(!may_read(&holding(1, small - 1, None), 1, &load, START), "{holders}");
    }
}

/// Guards against a long stream that pauses because others fill the memory, although its caller
/// takes each piece at once; and against streams that fill it while no caller has stalled yet.
#[test]
fn may_read_stream_at_the_bound() {
    let load = |held| Load { holders: 2_000, ..load(held) };
    let stream = |bytes, since| Holding { is_stream: true, ..holding(1, bytes, since) };
    assert!(may_read(&stream(12 << 10, None), 0, &load(BOUND), START));
    assert!(!may_read(&stream(13 << 10, None), 0, &load(BOUND), START));
    assert!(!may_read(&stream(11 << 10, None), 1, &load(BOUND), START));
    assert!(!may_read(&stream(12 << 10, Some(START)), 0, &load(BOUND * 4 / 5), START + 1));
}

/// Guards against a reader that stays held back after it has become fast again.
#[test]
fn may_read_reader_fast_again() {
    let now = START + 600;
    assert!(!may_read(&holding(1, 1, Some(START)), 0, &load(BOUND), now));
    assert!(may_read(&holding(1, 1, None), 0, &load(BOUND), now));
    assert!(may_read(&holding(1, 1, Some(now)), 0, &load(BOUND), now));
}

/// Guards against requests that a server never takes and that fill the host: their callers are not
/// to blame and stay connected, but no further large body is read.
#[test]
fn step_server_that_never_reads() {
    let bodies: Vec<_> = (0..40).map(|id| holding(id, 1 << 20, None)).collect();
    assert!(step(&bodies, START).cuts.is_empty());
    assert!(!may_read(&holding(40, 1 << 20, None), 0, &load(40 << 20), START));
}

/// Guards against 2,000 callers that stop reading at once: those that hold most are disconnected,
/// and only until enough is free.
#[test]
fn step_many_stalled_at_once() {
    let now = START + 2_000;
    let bytes = |id: u64| if id < 100 { 64 << 10 } else { 14 << 10 };
    let holdings: Vec<_> = (0..2_000).map(|id| holding(id, bytes(id), Some(START))).collect();
    let cuts = step(&holdings, now).cuts;
    let freed: u64 = cuts.iter().map(|cut| bytes(cut.id)).sum();
    let left = holdings.iter().map(|one| one.bytes).sum::<u64>() - freed;
    assert!(left < BOUND * 3 / 4 && left > BOUND * 7 / 10, "{left}");
    assert!(cuts[..100].iter().all(|cut| cut.id < 100 && cut.cause == CutCause::Memory));
}

/// Guards against callers that are disconnected although they read, or stopped only just now.
#[test]
fn step_short_without_stalled_callers() {
    let reading: Vec<_> = (0..40).map(|id| holding(id, 1 << 20, Some(START))).collect();
    assert!(step(&reading, START + 900).cuts.is_empty());
    assert_eq!(step(&reading, START + 1_000).cuts.len(), 18);
}

/// Guards against an unread answer that is held for ever once its caller has given up, and against
/// a late answer that is taken from a caller that reads it.
#[test]
fn step_stalled_past_its_deadline() {
    let overdue = |blocked_since| Holding { deadline: START, ..holding(1, 10, blocked_since) };
    let now = START + 6_000;
    let cut = Cut { id: 1, cause: CutCause::Overdue };
    assert_eq!(step(&[overdue(Some(START))], now).cuts, [cut]);
    assert!(step(&[overdue(Some(START + 1_001))], now).cuts.is_empty());
    assert!(step(&[overdue(None)], now).cuts.is_empty());
    assert!(step(&[holding(1, 10, Some(START))], now).cuts.is_empty());
}

/// Guards against callers that are disconnected for a pause of the host itself.
#[test]
fn step_after_a_pause_of_the_process() {
    let stalled: Vec<_> = (0..40).map(|id| holding(id, 1 << 20, Some(START))).collect();
    let (mut governor, load) = (Governor::default(), load(40 << 20));
    governor.step(&stalled, &load, START);
    let woken = START + 5_000;
    assert!(governor.step(&stalled, &load, woken).cuts.is_empty());
    assert!(!governor.step(&stalled, &load, woken + STEP_INTERVAL_MS).cuts.is_empty());
}

/// Guards against a host that begins and ends to read less with every few bytes.
#[test]
fn step_turns_with_a_margin() {
    let mut governor = Governor::default();
    let mut turned = |percent: u64| governor.step(&[], &load(BOUND * percent / 100), START).turned;
    assert_eq!([50, 76, 70, 76, 60].map(&mut turned), [None, Some(true), None, None, Some(false)]);
}
