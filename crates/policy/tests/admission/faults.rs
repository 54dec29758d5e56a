//! Hosts that are cut off, restarted or lost.

use super::assert_shortage;
use super::world::{Case, Fault, USUAL, World};

/// Guards against servers that stay idle, requests held past their time and refusals beside a free
/// slot while hosts are cut off from the others or start again.
#[test]
fn hosts_cut_off_or_restarted() {
    for fault in [Fault::CutOff, Fault::Restarts] {
        let out = assert_shortage("fault", Case { first: 48.0, fault, ..USUAL });
        assert!(out.busy >= 0.95, "slots used {:.3}", out.busy);
        assert_eq!(out.refused_beside_free, 0);
    }
}

/// Guards against servers that stay idle, or accounts that lose their share, once a failure domain is
/// lost for good: the others count its hosts for a while, and share the room with them.
#[test]
fn hosts_lost_permanently() {
    for (hosts, is_bounded) in [(6, false), (78, false), (78, true), (300, false)] {
        let case = Case { hosts, fault: Fault::Lost, is_bounded, ..USUAL };
        let usual = World::run(Case { first: 8.0, ..case });
        let out = assert_shortage("lost", Case { first: 48.0, ..case });
        assert!(out.busy >= 0.95, "{hosts} hosts: slots used {:.3}", out.busy);
        let share = out.others() / usual.others();
        assert!(share >= 0.98, "{hosts} hosts: the others get {share:.3}");
        assert!(is_bounded || out.refused_beside_free == 0, "{hosts} hosts");
    }
}
