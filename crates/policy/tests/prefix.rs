//! The prefix cache index and the feed of cache events.

use policy::prefix::{self, ENTRY_BYTES, Index, Lag, Part, Recent, Weights, leading_tokens};
use policy::time::Millis;

const NOW: Millis = Millis(1_000_000);
const ENGINE: u64 = 17;
/// Entries that the settings allow at most.
const ENTRIES_MAX: usize = 160_000;

fn weights() -> Weights {
    Weights::new(0, "v1")
}

/// A part counts only if all parts before it are cached whole: an engine prefills from the first
/// gap on.
#[test]
fn leading_tokens_end_at_a_gap() {
    let parts = [1, 2, 3].map(|id| Part { id, tokens: 100 });
    let cached = |kept: [u32; 3]| leading_tokens(&parts, |part| kept[part.id as usize - 1]);
    assert_eq!(cached([100, 100, 100]), 300.0);
    assert_eq!(cached([100, 0, 100]), 100.0);
    assert_eq!(cached([100, 40, 100]), 140.0, "a part may be kept in part");
    assert_eq!(cached([0, 100, 100]), 0.0);
    assert_eq!(cached([u32::MAX, 0, 0]), 100.0, "no more is cached than the prompt has");
}

/// Without the index a part counts for 30 seconds after its last use.
#[test]
fn recent_parts_expire() {
    let mut recent = Recent::default();
    let parts = [Part { id: 1, tokens: 50 }, Part { id: 2, tokens: 70 }];
    recent.record(9, &parts, NOW);
    assert_eq!(recent.cached_tokens(9, &parts, NOW + 29_999), 120.0);
    assert_eq!(recent.cached_tokens(9, &parts, NOW + 30_000), 0.0);
    assert_eq!(recent.cached_tokens(8, &parts, NOW), 0.0, "another model");
}

/// Other weights, and another start of an engine under the same id, have nothing cached.
#[test]
fn index_separates_weights_and_starts() {
    let mut index = Index::new(1_024);
    let (first, second) = (prefix::start(1, 10), prefix::start(1, 20));
    index.confirm(weights().key(5), first, 100, NOW);
    assert_eq!(index.tokens(weights().key(5), first, NOW), 100);
    assert_eq!(index.tokens(weights().key(5), second, NOW), 0);
    assert_eq!(index.tokens(Weights::new(0, "v2").key(5), first, NOW), 0);
    assert_eq!(index.tokens(Weights::new(3, "v1").key(5), first, NOW), 0);
}

/// A part that no engine has confirmed is forgotten soon, a confirmed one later: a lost removal
/// event must not count for ever.
#[test]
fn index_forgets_unused_parts() {
    let mut index = Index::new(1_024);
    let (sent, confirmed) = (weights().key(1), weights().key(2));
    index.record_sent(sent, ENGINE, 10, true, NOW);
    index.confirm(confirmed, ENGINE, 10, NOW);
    assert_eq!(index.tokens(sent, ENGINE, NOW + 31_000), 0);
    assert_eq!(index.tokens(confirmed, ENGINE, NOW + 31_000), 10);
    assert_eq!(index.tokens(confirmed, ENGINE, NOW + 301_000), 0);
    index.confirm(confirmed, ENGINE, 0, NOW);
    assert_eq!(index.tokens(confirmed, ENGINE, NOW), 0, "an event with no tokens removes");
}

/// Holders come with the most recent first, at most four, and without those that evicted the part.
#[test]
fn holders_are_few_and_current() {
    let mut index = Index::new(1_024);
    let part = weights().key(1);
    for engine in 1..=6 {
        index.record_sent(part, engine, 10, true, NOW + engine);
    }
    assert_eq!(index.holders(part, NOW + 9).collect::<Vec<_>>(), [6, 5, 4, 3]);
    index.confirm(part, 5, 0, NOW + 9);
    assert_eq!(index.holders(part, NOW + 9).collect::<Vec<_>>(), [6, 4, 3]);
    index.forget(6, NOW + 9);
    assert_eq!(index.holders(part, NOW + 9).collect::<Vec<_>>(), [4, 3]);
}

/// Guards against an older message that replaces what is known from later: an eviction before the last
/// use, and an addition before the eviction.
#[test]
fn confirm_keeps_what_is_newer() {
    let mut index = Index::new(1_024);
    let (used, evicted, unknown) = (weights().key(1), weights().key(2), weights().key(3));
    index.record_sent(used, ENGINE, 10, true, NOW);
    index.confirm(used, ENGINE, 0, NOW - 1);
    assert_eq!(index.tokens(used, ENGINE, NOW), 10);
    for part in [evicted, unknown] {
        index.confirm(part, ENGINE, if part == evicted { 10 } else { 0 }, NOW);
        index.confirm(part, ENGINE, 0, NOW + 5);
        index.confirm(part, ENGINE, 10, NOW + 4);
        assert_eq!(index.tokens(part, ENGINE, NOW + 9), 0);
        assert_eq!(index.holders(part, NOW + 9).count(), 0);
        index.confirm(part, ENGINE, 10, NOW + 6);
        assert_eq!(index.tokens(part, ENGINE, NOW + 9), 10);
    }
    index.forget(ENGINE, NOW + 5);
    assert_eq!(index.tokens(used, ENGINE, NOW + 9), 0);
    index.confirm(used, ENGINE, 10, NOW + 4);
    assert_eq!(index.tokens(used, ENGINE, NOW + 9), 0, "from before the cache began anew");
    assert_eq!(index.tokens(evicted, ENGINE, NOW + 9), 10);
}

/// Guards against a late message that passes for a new one, and against a host whose messages all
/// count as late after a restart or by the drift of its clock.
#[test]
fn lag_is_the_delay_beyond_the_usual_one() {
    let mut lag = Lag::default();
    assert_eq!(lag.record(Millis(500), NOW), 0);
    assert_eq!(lag.record(Millis(1_500), NOW + 3_000), 1_997, "less what clocks may drift apart");
    assert_eq!(lag.record(Millis(3_400), NOW + 2_880), 0, "the quickest one so far");
    assert_eq!(lag.record(Millis(3_500), NOW + 3_000), 20);
    assert_eq!(lag.record(Millis(7), NOW + 60_000), 0, "restarted");
    assert_eq!(lag.record(Millis(1_007), NOW + 61_500), 499);
    for (sent, received) in [(0, u64::MAX), (u64::MAX, 0), (u64::MAX, u64::MAX), (0, 0)] {
        assert!(lag.record(Millis(sent), Millis(received)) <= 10_000);
    }
    let mut drifting = Lag::default();
    let late = (0..3_600).map(|s| drifting.record(Millis(s * 1_000), NOW + s * 1_000 + s / 2));
    assert!(late.max().is_some_and(|late| late < 10));
}

/// Memory must not grow with what engines tell: ten thousand engines fit the bound of 8 MB, and the
/// least recently used entries go first.
#[test]
fn index_is_bounded_for_ten_thousand_engines() {
    let mut index = Index::new(ENTRIES_MAX);
    let bytes = index.bytes();
    for engine in 1..=10_000 {
        for part in 0..40 {
            index.confirm(weights().key(part), engine, 100, NOW + engine);
        }
    }
    let now = NOW + 10_000;
    assert!(index.count(now) <= ENTRIES_MAX, "{} entries", index.count(now));
    assert_eq!(index.bytes(), bytes);
    assert!(bytes <= ENTRIES_MAX * ENTRY_BYTES + 1_024, "{bytes} bytes");
    assert!(bytes < 8_000_000, "{bytes} bytes");
    let kept =
        |engine| (0..40).filter(|part| index.tokens(weights().key(*part), engine, now) > 0).count();
    let newest: usize = (9_001..=10_000).map(kept).sum();
    assert!(newest >= 39_000, "{newest} of the 40,000 newest entries are kept");
    let oldest: usize = (1..=1_000).map(kept).sum();
    assert!(oldest <= 400, "{oldest} of the 40,000 oldest entries are kept, more than 1 in 100");
}
