//! Which load reports hosts pass on to each other, and how they use them.

use policy::report::{Announcements, OwnRequests, Report, Scope, far, is_news};
use policy::time::Millis;

fn report(requests: u32, percent: u32) -> Report {
    Report { requests, slots: 6, percent }
}

/// Guards against messages while all servers have room, and against a flood while they don't.
#[test]
fn announcements_only_in_shortage() {
    let mut announcements = Announcements::default();
    let due = |announcements: &Announcements, requests, now| {
        announcements.is_due(report(requests, 100), Scope::NearlyFull, Millis(now))
    };
    assert!(!due(&announcements, 2, 1_000));
    assert!(due(&announcements, 6, 1_000));
    announcements.record_known(report(6, 100), Millis(1_000));
    assert!(!due(&announcements, 8, 1_010));
    assert!(due(&announcements, 8, 1_030));
    assert!(due(&announcements, 2, 1_010), "a free slot is announced at once");
    announcements.record_known(report(2, 100), Millis(1_010));
    assert!(!due(&announcements, 1, 1_500));
    announcements.record_known(report(6, 100), Millis(1_000));
    assert!(!due(&announcements, 1, 1_500), "an older report does not count");
}

/// Guards against servers whose slow moments only the host with the last answer knows.
#[test]
fn announcements_of_speed() {
    let mut announcements = Announcements::default();
    assert!(announcements.is_due(report(1, 250), Scope::NearlyFull, Millis(1_000)));
    announcements.record_known(report(1, 250), Millis(1_000));
    assert!(!announcements.is_due(report(1, 240), Scope::NearlyFull, Millis(2_000)));
    assert!(!announcements.is_due(report(1, 100), Scope::NearlyFull, Millis(1_050)));
    assert!(announcements.is_due(report(1, 100), Scope::NearlyFull, Millis(1_100)));
}

/// Guards against hosts that send to an engine whose slots are all taken while others are idle,
/// because each hears from an engine once in several seconds, and against a message per answer.
#[test]
fn announcements_of_changes() {
    let report = |requests| Report { requests, slots: 16, percent: 100 };
    let mut announcements = Announcements::default();
    assert!(announcements.is_due(report(3), Scope::Changes, Millis(1_000)));
    announcements.record_known(report(3), Millis(1_000));
    let due = |requests, now| announcements.is_due(report(requests), Scope::Changes, Millis(now));
    assert!(!due(9, 1_040), "the last report was a moment ago");
    assert!(due(4, 1_060));
    assert!(!due(3, 1_060));
    assert!(due(3, 1_500), "hosts discount old reports");
}

/// Guards against engines' reports that are dropped although all streams that they count still run.
#[test]
fn announced_report_of_an_engine_late() {
    assert!(is_news(Millis(1_000), Millis(900), Scope::Changes, Millis(4_900)));
    assert!(!is_news(Millis(1_000), Millis(900), Scope::Changes, Millis(5_000)));
    assert!(!is_news(Millis(880), Millis(900), Scope::Changes, Millis(1_000)));
}

/// Guards against reports that arrive late, twice or from a clock that jumped.
#[test]
fn announced_report_late() {
    assert!(is_news(Millis(990), Millis(900), Scope::NearlyFull, Millis(1_000)));
    assert!(!is_news(Millis(990), Millis(990), Scope::NearlyFull, Millis(1_000)));
    assert!(!is_news(Millis(880), Millis(900), Scope::NearlyFull, Millis(1_000)));
    assert!(!is_news(Millis(1_000), Millis(900), Scope::NearlyFull, Millis(2_000)));
}

/// Guards against a host that counts its own requests of before a report as another host's.
#[test]
fn own_requests_at_report() {
    let mut own = OwnRequests::default();
    own.record_change(0, Millis(1_000));
    own.record_change(1, Millis(1_040));
    own.record_change(2, Millis(1_060));
    let at = |time| own.at(Millis(time), 1);
    assert_eq!([at(999), at(1_000), at(1_039), at(1_050), at(1_060)], [0, 1, 1, 2, 1]);
    own.record_change(1, Millis(2_000));
    assert_eq!(own.at(Millis(1_050), 0), 1, "older changes are forgotten");
}

/// Guards against announcements to other failure domains that take more than a host may send, in
/// failure domains of any size.
#[test]
fn fanout_keeps_to_its_bytes() {
    let per_s = 1_000 / far::INTERVAL_MS as usize;
    for hosts in [1, 2, 26, 123, 328, 985] {
        for domains in [1, 2, 7] {
            let far::Fanout { engines, receivers } = far::fanout(hosts, domains);
            let bytes = 260 + engines * 34;
            assert!((1..=27).contains(&engines) && receivers >= 1, "{hosts} {domains}");
            let sent = receivers * bytes * domains * per_s;
            assert!(receivers == 1 || sent <= far::BYTES_PER_S, "{hosts} {domains}: {sent}");
            let reached = receivers * (far::BYTES_PER_S / bytes);
            assert!(
                hosts > 26 || domains > 2 || reached >= hosts / 2,
                "{hosts} {domains}: {reached}"
            );
        }
    }
}
