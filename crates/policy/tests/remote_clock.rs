//! Times of another machine's clock.

use policy::remote_clock::RemoteClock;
use policy::time::Millis;

#[test]
fn local_follows_the_message_with_the_shortest_delay() {
    let mut clock = RemoteClock::default();
    assert_eq!(clock.local(1_000), None);
    clock.record(1_000, Millis(50_300));
    clock.record(2_000, Millis(51_005));
    clock.record(3_000, Millis(54_900));
    // A host that read the last message late knows when it was sent all the same.
    assert_eq!(clock.local(3_000), Some(Millis(52_005)));
}

/// Guards against a difference of the clocks that is used for good although they drift apart.
#[test]
fn local_forgets_old_messages() {
    let mut clock = RemoteClock::default();
    clock.record(1_000, Millis(50_000));
    for second in 1..200 {
        clock.record(1_000 + second * 1_000, Millis(50_010 + second * 1_000));
    }
    assert_eq!(clock.local(1_000), Some(Millis(50_010)));
}

/// Guards against a panic when the other clock is far ahead of this one.
#[test]
fn local_other_clock_ahead() {
    let mut clock = RemoteClock::default();
    clock.record(u64::MAX, Millis(10));
    assert!(clock.local(0).is_some());
    let mut clock = RemoteClock::default();
    clock.record(1_000_000, Millis(10));
    assert_eq!(clock.local(1_000_000), Some(Millis(10)));
    assert_eq!(clock.local(0), Some(Millis(0)));
}
