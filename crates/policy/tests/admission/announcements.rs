//! Announcements that are lost or late.

use super::assert_shortage;
use super::world::{Case, USUAL};

fn assert_slots_used(lost: f64, late_ms: u64) {
    let case = Case { per_second: 30.0, lost, late_ms, ..USUAL };
    let out = assert_shortage("announcements", case);
    assert!(out.busy >= 0.95, "lost {lost}, late {late_ms} ms: slots used {:.3}", out.busy);
}

/// Guards against hosts that stop sending, or flood the servers, when announcements are lost.
#[test]
fn announcements_lost() {
    [1.0, 0.3].into_iter().for_each(|lost| assert_slots_used(lost, 0));
}

/// Guards against hosts that leave servers idle when announcements are late.
#[test]
fn announcements_late() {
    [40, 300].into_iter().for_each(|late_ms| assert_slots_used(0.0, late_ms));
}

/// Guards against refusals beside a free slot because reports that come late look new.
#[test]
fn announcements_late_from_a_moment_on() {
    let case = Case { per_second: 30.0, late_ms: 300, late_from_ms: 1_000, ..USUAL };
    let out = [0, 1, 2, 3].map(|seed| assert_shortage("late from", Case { seed, ..case }));
    let refused: u32 = out.iter().map(|out| out.refused).sum();
    let beside_free: u32 = out.iter().map(|out| out.refused_beside_free).sum();
    assert!(beside_free * 50 <= refused, "{beside_free} of {refused}");
}
