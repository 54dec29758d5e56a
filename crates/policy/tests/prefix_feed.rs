//! Following an engine's cache events through failures.

use policy::prefix::{Batch, Call, Change, Feed, Held, Scope, Sign, Taken, Trouble, receivers_max};
use policy::time::Millis;

const NOW: Millis = Millis(1_000_000);
const EPOCH: u64 = 7;

fn change(number: u64, sign: Sign, part: u64) -> Change {
    Change { number, sign, part, tokens: 100, model: 0 }
}

fn batch(next: u64, items: Vec<Change>) -> Batch<Change> {
    Batch { epoch: EPOCH, next, is_gap: false, items }
}

fn held(part: u64, tokens: u32) -> Held {
    Held { part, tokens, model: 0 }
}

/// A feed that has taken events up to number 10.
fn begun() -> Feed {
    let mut feed = Feed::new(0.0, NOW);
    feed.record_call(Call::Events(0), NOW);
    feed.accept_events(&batch(10, vec![change(9, Sign::Added, 1)]), NOW);
    feed
}

/// A call that returns at once is as expensive as a probe, so the next one begins a second after
/// it. A call that waited that long is followed at once.
#[test]
fn calls_begin_a_second_apart() {
    let mut feed = Feed::new(0.0, NOW);
    assert_eq!(feed.next(NOW), Call::Events(0));
    feed.record_call(Call::Events(0), NOW);
    feed.accept_events(&batch(10, Vec::new()), NOW + 20);
    assert_eq!(feed.next(NOW + 20), Call::Wait(NOW + 1_000));
    assert_eq!(feed.next(NOW + 1_000), Call::Events(10));
    feed.record_call(Call::Events(10), NOW + 1_000);
    feed.accept_events(&batch(10, Vec::new()), NOW + 2_010);
    assert_eq!(feed.next(NOW + 2_010), Call::Events(10));
    assert_eq!(Feed::new(0.5, NOW).next(NOW), Call::Wait(NOW + 500), "hosts begin apart");
}

/// An event that comes again must not undo a newer one, and one that comes late must not either.
#[test]
fn repeated_and_late_events_do_not_undo_newer_ones() {
    let mut feed = begun();
    let removed = feed.accept_events(&batch(12, vec![change(11, Sign::Removed, 1)]), NOW);
    assert_eq!(removed.parts, [held(1, 0)]);
    let again = vec![change(9, Sign::Added, 1), change(11, Sign::Removed, 1)];
    assert_eq!(feed.accept_events(&batch(12, again), NOW), Taken::default());
    let late = feed.accept_events(&batch(12, vec![change(8, Sign::Added, 2)]), NOW);
    assert_eq!(late.parts, [held(2, 100)], "a late event about another part counts");
    feed.accept_events(&batch(500, Vec::new()), NOW);
    let old = feed.accept_events(&batch(500, vec![change(12, Sign::Added, 1)]), NOW);
    assert_eq!(old.parts, [], "too old to know whether newer ones were forgotten");
}

/// After a gap the cache is listed once, and not again for half a minute: the call delays the
/// engine's work.
#[test]
fn gap_leads_to_one_listing() {
    let mut feed = begun();
    let gap = Batch { is_gap: true, ..batch(40, vec![change(39, Sign::Added, 5)]) };
    assert_eq!(feed.accept_events(&gap, NOW).parts, [held(5, 100)], "its events count");
    let at = NOW + 1_000;
    assert_eq!(feed.next(at), Call::List);
    feed.record_call(Call::List, at);
    let list = Batch { epoch: EPOCH, next: 60, is_gap: false, items: vec![held(2, 80)] };
    let taken = feed.accept_list(list, at);
    assert_eq!(taken, Taken { scope: Scope::Whole, parts: vec![held(2, 80)] });
    assert_eq!(feed.next(at + 1_000), Call::Events(60));
    feed.accept_events(&Batch { is_gap: true, ..batch(90, Vec::new()) }, at + 1_000);
    assert_eq!(feed.next(at + 3_000), Call::Events(90), "listed too recently");
    assert_eq!(feed.next(at + 30_000), Call::List);
}

/// Numbers that run backwards within an epoch mean that events were lost.
#[test]
fn backward_number_is_a_gap() {
    let mut feed = begun();
    feed.accept_events(&batch(3, Vec::new()), NOW);
    assert_eq!(feed.next(NOW + 1_000), Call::List);
}

/// A restarted engine has an empty cache and counts its events anew: what was known is dropped, and
/// nothing is taken that was asked for by an old number.
#[test]
fn new_epoch_drops_what_was_known() {
    let mut feed = begun();
    let other = Batch { epoch: 8, ..batch(3, vec![change(2, Sign::Added, 1)]) };
    assert_eq!(
        feed.accept_events(&other, NOW),
        Taken { scope: Scope::NewEpoch, parts: Vec::new() }
    );
    assert_eq!(feed.next(NOW + 1_000), Call::Events(0));
    let whole = feed.accept_events(&other, NOW + 1_000);
    assert_eq!(whole, Taken { scope: Scope::Changes, parts: vec![held(1, 100)] });
}

/// An engine without the call (404) is asked seldom, one that is full (429) or fails ever more
/// seldom, and after an answer as usual.
#[test]
fn failed_calls_back_off() {
    let pause = |feed: &Feed| match feed.next(NOW) {
        Call::Wait(until) => until.since(NOW),
        call => panic!("{call:?} at once"),
    };
    let mut feed = begun();
    let mut pauses = Vec::new();
    for _ in 0..7 {
        feed.record_failure(Trouble::Busy, 0.0, NOW);
        pauses.push(pause(&feed));
    }
    assert_eq!(pauses, [1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000]);
    feed.record_failure(Trouble::Unsupported, 1.0, NOW);
    assert_eq!(pause(&feed), 90_000);
    feed.record_call(Call::Events(10), NOW);
    feed.accept_events(&batch(10, Vec::new()), NOW);
    feed.record_failure(Trouble::Failed, 0.0, NOW);
    assert_eq!(pause(&feed), 1_000);
}

/// Whatever an engine answers, calls stay about a second apart and memory stays bounded by the
/// answer.
#[test]
fn fuzz_feed_keeps_its_pace() {
    type Event = (u64, bool, u8, u32);
    type Answer = (u8, u64, bool, bool, Vec<Event>);
    fuzz::check(2_000, |answers: &Vec<Answer>| {
        let (mut feed, mut now) = (Feed::new(0.0, NOW), NOW);
        for (epoch, next, is_gap, is_list, events) in answers {
            let call = feed.next(now);
            feed.record_call(call, now);
            let (epoch, next, is_gap) = (u64::from(*epoch % 2), *next, *is_gap);
            if *is_list {
                let items = events.iter().map(|event| held(u64::from(event.2), event.3)).collect();
                feed.accept_list(Batch { epoch, next, is_gap, items }, now);
            } else {
                let items = events.iter().map(|(number, added, part, tokens)| {
                    let sign = if *added { Sign::Added } else { Sign::Removed };
                    let (number, part, tokens) = (*number, u64::from(*part), *tokens);
                    Change { number, sign, part, tokens, model: 0 }
                });
                let taken =
                    feed.accept_events(&Batch { epoch, next, is_gap, items: items.collect() }, now);
                assert!(taken.parts.len() <= events.len());
            }
            assert_eq!(feed.next(now), Call::Wait(now + 1_000));
            now = now + 1_000;
        }
    });
}

/// A large failure domain must not make a host send more than 16 KB of notices in a second.
#[test]
fn notices_stay_within_their_bytes() {
    assert_eq!(receivers_max(500, 25), 25, "all hosts of a usual failure domain");
    assert!(receivers_max(500, 328) * 500 <= 16_000);
    assert_eq!(receivers_max(100_000, 328), 1);
    assert_eq!(receivers_max(100, 0), 0);
}
