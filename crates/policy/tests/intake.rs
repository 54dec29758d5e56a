//! Restrictions that backend servers name: limits, pauses, and that they are leaving.

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

/// Guards against an older answer revoking a notice that the server is leaving.
#[test]
fn record_answer_never_revokes_leaving() {
    check(300, |answers: &Vec<(u16, bool)>| {
        let mut intake = Intake::default();
        let mut notices = 0;
        let mut now = START;
        for (pause, is_leaving) in answers {
            now = now + u64::from(*pause);
            let statement = Statement { is_leaving: *is_leaving, ..Statement::default() };
            notices += u32::from(
                intake
                    .record_answer(&statement, now - u64::from(pause % 500), 0.0, now)
                    .has_begun_leaving,
            );
        }
        let has_left = answers.iter().any(|(_, is_leaving)| *is_leaving);
        assert_eq!(notices, u32::from(has_left));
        assert_eq!(intake.is_leaving(), has_left);
        let verdict = intake.verdict(Some(&ALONE), now + 100_000);
        assert_eq!(verdict, if has_left { Verdict::Leaving } else { Verdict::Open });
    });
}

#[test]
fn verdict_leaving_takes_precedence_over_a_limit() {
    let mut intake = Intake::default();
    intake.record_answer(&limited(100.0), START, 0.0, START);
    intake.record_answer(&LEAVING, START, 0.0, START + 10);
    assert_eq!(intake.verdict(Some(&ALONE), START + 60_000), Verdict::Leaving);
    assert!(intake.is_restricted(START + 60_000));
}

/// Guards against a host that uses all of a limit before it knows which other hosts exist.
#[test]
fn verdict_limit_without_a_place_is_limited() {
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

/// Guards against requests during a pause, whatever other answers arrive meanwhile and in any
/// order.
#[test]
fn verdict_is_paused_until_the_end_of_a_pause() {
    check(500, |steps: &Vec<(u16, u8, u8)>| {
        let mut intake = Intake::default();
        let (mut now, mut end) = (START, START);
        for (step, kind, draw) in steps {
            now = now + u64::from(*step);
            let statement = match kind % 4 {
                0 => pause(u64::from(*step) * 2),
                1 => limited(1_000.0),
                _ => Statement::default(),
            };
            let sent = now - u64::from(step % 400);
            if let Some(ms) = statement.pause_ms.filter(|ms| *ms > 0) {
                end = end.max(now + ms);
            }
            // During a pause a server answers only requests that were sent before it.
            if statement.pause_ms.is_some() || sent < end {
                intake.record_answer(&statement, sent.min(end - 1), f64::from(*draw) / 255.0, now);
            }
            if now < end {
                assert!(matches!(intake.verdict(Some(&ALONE), now), Verdict::Paused(_)));
            }
        }
    });
}

/// Guards against a server that gets all requests at once when its pause ends, and against one that
/// gets none because its trial was never answered.
#[test]
fn verdict_after_a_pause_allows_one_trial_until_answered() {
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

/// Guards against 300 hosts that are rejected together and return together.
#[test]
fn verdict_ends_a_pause_at_another_time_for_each_host() {
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
fn parse_seconds_accepts_numbers_only() {
    assert_eq!(parse_seconds("3"), Some(3_000));
    assert_eq!(parse_seconds(" 0.25 "), Some(250));
    assert_eq!(parse_seconds("0"), Some(0));
    assert_eq!(parse_seconds("1e12"), Some(MAX_MS));
    for text in ["", "-1", "NaN", "inf", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        assert_eq!(parse_seconds(text), None, "{text}");
    }
}

/// Guards against a pause of zero length counting as a pause.
#[test]
fn verdict_pause_of_zero_is_open() {
    let mut intake = Intake::default();
    assert!(!intake.record_answer(&pause(0), START, 0.5, START).has_begun_pause);
    assert_eq!(intake.verdict(Some(&ALONE), START), Verdict::Open);
}

/// Guards against a request that is sent although its server asked for a pause after it was chosen,
/// and against a trial that blocks itself.
#[test]
fn is_closed_by_a_pause_and_not_by_a_trial() {
    let mut intake = Intake::default();
    intake.record_answer(&pause(1_000), START, 0.0, START);
    assert!(intake.is_closed(START + 999));
    assert_eq!(intake.verdict(Some(&ALONE), START + 1_000), Verdict::Open);
    intake.record_sent(Some(&ALONE), START + 1_000);
    assert!(!intake.is_closed(START + 1_001));
    intake.mark_leaving(START + 1_001);
    assert!(intake.is_closed(START + 1_001));
}

/// Guards against an outdated report that revokes a newer notice that the server is leaving.
#[test]
fn apply_report_revokes_leaving_only_if_newer() {
    let mut intake = Intake::default();
    intake.record_answer(&LEAVING, START, 0.0, START + 100);
    intake.apply_report(false, START + 50, START + 2_000);
    assert!(intake.is_leaving());
    intake.apply_report(false, START + 101, START + 2_000);
    assert!(!intake.is_leaving());
    intake.apply_report(true, START + 3_000, START + 3_010);
    assert!(intake.is_leaving());
}
