//! Requests that wait for engines whose loads the hosts announce.

use super::world::{Case, ENGINES, FIRST_USUALLY, USUAL, World};

/// Runs twelve engines with the first account at six times its usual load, and each other one at so
/// many requests a second. Returns the shares in time of the others and of all, without and with
/// admission control.
fn shares_in_time(per_second: f64, late_ms: u64) -> [[f64; 2]; 2] {
    let first = 6.0 * FIRST_USUALLY;
    let case = Case { service: ENGINES, servers: 12, per_second, first, late_ms, ..USUAL };
    [false, true].map(|is_on| {
        let out = World::run(Case { is_on, is_bounded: true, ms: 42_000, ..case });
        let [others, all] = out.in_time();
        println!(
            "engines {per_second} late {late_ms} on {is_on}: others {others:.3} all {all:.3} \
             busy {:.3} refused {} beside free {}",
            out.busy, out.refused, out.refused_beside_free
        );
        assert_eq!(out.held_past, 0);
        [others, all]
    })
}

/// Guards against one account that takes the engines from the others: shares that count the time to
/// the first event in place of the time that a stream holds a slot, engines of other failure domains
/// that look empty, and requests beyond their shares that fill the engines' queues.
#[test]
fn account_far_above_its_usual_load_at_engines() {
    for (late_ms, gain) in [(50, 0.25), (500, 0.1)] {
        let [off, on] = shares_in_time(1.2, late_ms);
        assert!(on[0] >= off[0] + gain, "late {late_ms} ms: others {on:?}, {off:?} without");
        assert!(on[1] >= off[1], "late {late_ms} ms: all {on:?}, {off:?} without");
    }
}

/// Guards against requests that wait at the host while engines could begin them.
#[test]
fn load_just_below_the_capacity_of_engines() {
    let [off, on] = shares_in_time(0.8, 50);
    assert!(on[0] >= off[0] - 0.005 && on[1] >= off[1] - 0.005, "{on:?}, {off:?} without");
}
