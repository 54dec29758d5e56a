//! Beginnings of answers that are held back.

use entry::beginning::Beginning;
use entry::body::Budget;

/// Guards against answers in small pieces that take many times their length, and against memory
/// that is not counted or not given back.
#[test]
fn append_counts_what_is_held_for_any_split() {
    for piece in [1, 7, 1_000, 16 << 10] {
        let budget = Budget::new(1 << 20);
        let mut beginning = Beginning::new(budget.reserve());
        while beginning.len() < 200_000 {
            assert!(beginning.append(&vec![b'x'; piece]));
            let used = budget.used_bytes();
            assert!((beginning.len()..=2 * beginning.len().max(1 << 10)).contains(&used), "{used}");
        }
        let length = beginning.len();
        let bytes = beginning.into_bytes();
        assert_eq!(bytes.len(), length);
        assert!(budget.used_bytes() >= length, "passed on, and still in memory");
        drop(bytes);
        assert_eq!(budget.used_bytes(), 0);
    }
}

/// Guards against a process that runs out of memory because many answers without end are held back
/// at once.
#[test]
fn append_holds_nothing_more_back_when_the_budget_is_used_up() {
    let budget = Budget::new(64 << 10);
    let mut beginnings: Vec<_> = (0..64).map(|_| Beginning::new(budget.reserve())).collect();
    let mut is_held: Vec<bool> = beginnings.iter().map(|_| true).collect();
    for _ in 0..1_000 {
        for (beginning, is_held) in beginnings.iter_mut().zip(&mut is_held) {
            *is_held = *is_held && beginning.append(&[b'x'; 100]);
        }
    }
    assert!(is_held.iter().all(|is_held| !is_held));
    // Each may exceed the budget once, by its last piece.
    assert!(budget.used_bytes() <= 2 * (64 << 10) + 64 * (1 << 10), "{}", budget.used_bytes());
}
