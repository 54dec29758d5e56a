//! What servers say of how much they take, asked for in one place.

use fuzz::check;
use policy::intake::{Intake, Statement, Verdict};
use policy::pause::{MAX_MS, parse_seconds};
use policy::throttle::Place;
use policy::time::Millis;

const START: Millis = Millis(1_000_000);
const ALONE: Place = Place { before: 0, hosts: 1, is_near: true, domains: 1 };
const LEAVING: Statement = Statement { per_second: None, is_leaving: true, pause_ms: None };

fn limited(per_second: f64) -> Statement {
    Statement { per_second: Some(per_second), ..Statement::default() }
}

/// Guards against a leave that an older answer, or one of a request sent before, takes back.
#[test]
fn leave_is_not_taken_back() {
    check(300, |answers: &Vec<(u16, bool)>| {
        let mut intake = Intake::default();
        let mut news = 0;
        let mut now = START;
        for (pause, is_leaving) in answers {
            now = now + u64::from(*pause);
            let said = Statement { is_leaving: *is_leaving, ..Statement::default() };
            news += u32::from(
                intake
                    .record_answer(&said, now - u64::from(pause % 500), 0.0, now)
                    .has_begun_leaving,
            );
        }
        let has_left = answers.iter().any(|(_, is_leaving)| *is_leaving);
        assert_eq!(news, u32::from(has_left));
        assert_eq!(intake.is_leaving(), has_left);
        let verdict = intake.verdict(Some(&ALONE), now + 100_000);
        assert_eq!(verdict, if has_left { Verdict::Leaving } else { Verdict::Open });
    });
}

#[test]
fn verdict_leave_goes_before_a_limit() {
    let mut intake = Intake::default();
    intake.record_answer(&limited(100.0), START, 0.0, START);
    intake.record_answer(&LEAVING, START, 0.0, START + 10);
    assert_eq!(intake.verdict(Some(&ALONE), START + 60_000), Verdict::Leaving);
    assert!(intake.is_restricted(START + 60_000));
}

/// Guards against a host that takes all of a limit before it knows who else is there.
#[test]
fn verdict_limit_needs_a_place() {
    let mut intake = Intake::default();
    assert_eq!(intake.verdict(None, START), Verdict::Open);
    intake.record_answer(&limited(5.0), START, 0.0, START);
    assert_eq!(intake.verdict(None, START + 2_000), Verdict::Limited);
    assert_eq!(intake.verdict(Some(&ALONE), START + 2_000), Verdict::Open);
    for _ in 0..3 {
        intake.record_sent(Some(&ALONE), START + 2_000);
    }
    assert_eq!(intake.verdict(Some(&ALONE), START + 2_000), Verdict::Limited);
}

fn pause(ms: u64) -> Statement {
    Statement { pause_ms: Some(ms), ..Statement::default() }
}

/// Guards against requests in a pause, whatever else is said meanwhile and in whichever order.
#[test]
fn pause_is_kept_to_its_end() {
    check(500, |steps: &Vec<(u16, u8, u8)>| {
        let mut intake = Intake::default();
        let (mut now, mut end) = (START, START);
        for (step, kind, draw) in steps {
            now = now + u64::from(*step);
            let said = match kind % 4 {
                0 => pause(u64::from(*step) * 2),
                1 => limited(1_000.0),
                _ => Statement::default(),
            };
            let sent = now - u64::from(step % 400);
            if let Some(ms) = said.pause_ms.filter(|ms| *ms > 0) {
                end = end.max(now + ms);
            }
            // A server in its pause answers what was sent before only.
            if said.pause_ms.is_some() || sent < end {
                intake.record_answer(&said, sent.min(end - 1), f64::from(*draw) / 255.0, now);
            }
            if now < end {
                assert!(matches!(intake.verdict(Some(&ALONE), now), Verdict::Paused(_)));
            }
        }
    });
}

/// Guards against a server that gets everything at once when its pause ends, and against one that is
/// left alone since its trial got no answer.
#[test]
fn pause_ends_with_one_request_that_is_answered() {
    let mut intake = Intake::default();
    assert!(intake.record_answer(&pause(3_000), START, 0.0, START).has_begun_pause);
    let end = START + 3_000;
    assert_eq!(intake.verdict(Some(&ALONE), end - 1), Verdict::Paused(end));
    assert_eq!(intake.verdict(Some(&ALONE), end), Verdict::Open);
    intake.record_sent(Some(&ALONE), end);
    assert!(matches!(intake.verdict(Some(&ALONE), end + 10), Verdict::Paused(_)));
    assert_eq!(intake.verdict(Some(&ALONE), end + 1_000), Verdict::Open);
    intake.record_sent(Some(&ALONE), end + 1_000);
    intake.record_answer(&Statement::default(), START, 0.0, end + 1_010);
    assert!(matches!(intake.verdict(Some(&ALONE), end + 1_020), Verdict::Paused(_)));
    intake.record_answer(&Statement::default(), end + 1_000, 0.0, end + 1_030);
    assert_eq!(intake.verdict(Some(&ALONE), end + 1_040), Verdict::Open);
    assert!(!intake.is_restricted(end + 1_040));
}

/// Guards against 300 hosts, turned away together, that return together.
#[test]
fn pause_ends_at_another_time_for_each_host() {
    let ends = (0..300_u32).map(|host| {
        let mut intake = Intake::default();
        intake.record_answer(&pause(2_000), START, f64::from(host) / 300.0, START);
        match intake.verdict(Some(&ALONE), START + 1) {
            Verdict::Paused(end) => end,
            other => panic!("{other:?}"),
        }
    });
    let ends: Vec<Millis> = ends.collect();
    let within =
        |from: Millis| ends.iter().filter(|end| **end >= from && **end < from + 50).count();
    let most = ends.iter().map(|end| within(*end)).max().unwrap();
    assert!(most <= 40, "{most} hosts return within 50 ms");
    assert!(ends.iter().all(|end| *end >= START + 2_000));
}

#[test]
fn from_seconds_numbers_only() {
    assert_eq!(parse_seconds("3"), Some(3_000));
    assert_eq!(parse_seconds(" 0.25 "), Some(250));
    assert_eq!(parse_seconds("0"), Some(0));
    assert_eq!(parse_seconds("1e12"), Some(MAX_MS));
    for text in ["", "-1", "NaN", "inf", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        assert_eq!(parse_seconds(text), None, "{text}");
    }
}

/// Guards against a pause of zero, which is none.
#[test]
fn pause_of_zero_is_none() {
    let mut intake = Intake::default();
    assert!(!intake.record_answer(&pause(0), START, 0.5, START).has_begun_pause);
    assert_eq!(intake.verdict(Some(&ALONE), START), Verdict::Open);
}

/// Guards against a request that is sent though its server has asked for a pause since it was chosen, and
/// against a trial that keeps itself from being sent.
#[test]
fn is_closed_in_a_pause_and_not_by_a_trial() {
    let mut intake = Intake::default();
    intake.record_answer(&pause(1_000), START, 0.0, START);
    assert!(intake.is_closed(START + 999));
    assert_eq!(intake.verdict(Some(&ALONE), START + 1_000), Verdict::Open);
    intake.record_sent(Some(&ALONE), START + 1_000);
    assert!(!intake.is_closed(START + 1_001));
    intake.mark_leaving(START + 1_001);
    assert!(intake.is_closed(START + 1_001));
}

/// Guards against a report that was asked for before the server said that it leaves.
#[test]
fn reported_only_a_newer_report_takes_a_leave_back() {
    let mut intake = Intake::default();
    intake.record_answer(&LEAVING, START, 0.0, START + 100);
    intake.apply_report(false, START + 50, START + 2_000);
    assert!(intake.is_leaving());
    intake.apply_report(false, START + 101, START + 2_000);
    assert!(!intake.is_leaving());
    intake.apply_report(true, START + 3_000, START + 3_010);
    assert!(intake.is_leaving());
}
