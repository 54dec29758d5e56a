//! What servers say of how much they take, asked for in one place.

use fuzz::check;
use policy::intake::{Intake, Statement, Verdict};
use policy::throttle::Place;
use policy::time::Millis;

const START: Millis = Millis(1_000_000);
const ALONE: Place = Place { before: 0, hosts: 1, is_near: true, domains: 1 };
const LEAVING: Statement = Statement { per_second: None, is_leaving: true };

fn limited(per_second: f64) -> Statement {
    Statement { per_second: Some(per_second), is_leaving: false }
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
            news += u32::from(intake.heard(&said, now - u64::from(pause % 500), now).is_leave);
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
    intake.heard(&limited(100.0), START, START);
    intake.heard(&LEAVING, START, START + 10);
    assert_eq!(intake.verdict(Some(&ALONE), START + 60_000), Verdict::Leaving);
    assert!(intake.is_restricted(START + 60_000));
}

/// Guards against a host that takes all of a limit before it knows who else is there.
#[test]
fn verdict_limit_needs_a_place() {
    let mut intake = Intake::default();
    assert_eq!(intake.verdict(None, START), Verdict::Open);
    intake.heard(&limited(5.0), START, START);
    assert_eq!(intake.verdict(None, START + 2_000), Verdict::Limited);
    assert_eq!(intake.verdict(Some(&ALONE), START + 2_000), Verdict::Open);
    for _ in 0..3 {
        intake.sent(Some(&ALONE), START + 2_000);
    }
    assert_eq!(intake.verdict(Some(&ALONE), START + 2_000), Verdict::Limited);
}
