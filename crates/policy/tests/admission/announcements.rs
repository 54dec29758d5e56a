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
