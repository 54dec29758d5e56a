//! Each account gets its share, and no request is refused beside a free slot.

use super::assert_shortage;
use super::world::{Case, USUAL, World};

/// Asserts, with one account at six and nine times its usual load, that the others get what they
/// usually get and that the slots are used.
fn assert_fair(hosts: usize, is_bounded: bool) {
    let usual = World::run(Case { hosts, first: 8.0, is_bounded, ..USUAL });
    let outcome = |first| {
        // The first account usually sends as much as eight others.
        let case = Case { hosts, first: 8.0 * first, is_bounded, ..USUAL };
        assert_shortage("one account", case)
    };
    for out in [6.0, 9.0].map(outcome) {
        let share = out.others() / usual.others();
        assert!(share >= 0.98, "{hosts} hosts: the others get {share:.3}");
        assert!(out.busy >= 0.95, "{hosts} hosts: slots used {:.3}", out.busy);
    }
}

/// Guards against one account that takes the servers from the others.
#[test]
fn account_far_above_its_usual_load_at_few_hosts() {
    [1, 6].into_iter().for_each(|hosts| assert_fair(hosts, false));
}

/// Guards against one account that takes the servers from the others where each host has only a few
/// requests waiting.
#[test]
fn account_far_above_its_usual_load_at_78_hosts() {
    assert_fair(78, false);
}

/// Guards against the same at 300 hosts.
#[test]
fn account_far_above_its_usual_load_at_300_hosts() {
    assert_fair(300, false);
}

/// Guards against the same where announcements have the product's bound on bytes, so that hosts know
/// less of the servers.
#[test]
fn one_account_with_bounded_announcements() {
    [6, 78, 300].into_iter().for_each(|hosts| assert_fair(hosts, true));
}

/// Guards against callers that come back at once and keep the servers from useful work.
#[test]
fn callers_that_return_at_once() {
    for hosts in [1, 6, 78, 300] {
        let case = Case { hosts, per_second: 40.0, return_share: 0.6, ..USUAL };
        let out = assert_shortage("returns", case);
        assert!(out.busy >= 0.95, "{hosts} hosts");
    }
}

/// Guards against requests that are refused although a server could take them.
#[test]
fn account_far_above_its_usual_load_refused_beside_a_free_slot() {
    for hosts in [1, 6, 78, 300] {
        let out = assert_shortage("free slot", Case { hosts, first: 48.0, ..USUAL });
        assert_eq!(out.refused_beside_free, 0, "{hosts} hosts");
    }
}
