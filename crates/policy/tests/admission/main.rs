//! Admission control before few servers, in simulated time.

mod announcements;
mod burst;
mod engines;
mod fairness;
mod faults;
mod world;

use world::{Case, Outcome, World};

/// Runs a case and asserts what holds in each shortage.
fn assert_shortage(name: &str, case: Case) -> Outcome {
    let out = World::run(case);
    println!(
        "{name}: hosts {} others {:.3} refused {} beside free {} rejected {} busy {:.3} announced {}",
        case.hosts,
        out.others(),
        out.refused,
        out.refused_beside_free,
        out.rejected,
        out.busy,
        out.announced
    );
    assert_eq!(out.held_past, 0, "{name}");
    out
}
