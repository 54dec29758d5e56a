//! What became of requests, from lines as `node` writes them.

use policy::name::Name;
use review::cause::{self, Cause};
use review::request::Outcome;
use review::{Line, Report, Request};
use serde_json::{Value, json};

/// The line that ends a stream which came in time; members given go before.
fn ended(members: Value) -> Line {
    let mut line = json!({
        "at": 100.0, "host": "host-1", "event": "request ended", "part": "route", "route": "letters",
        "backend": "b1", "model": "small", "doubted": "", "sent": 1, "unsent": 0, "events": 12,
        "prompt": 700, "expected_ms": 80, "head_ms": 90, "first_ms": 100, "ms": 900, "pause_ms": 40,
        "gap_ms": 1_000, "objective_ms": 500, "outcome": "Answered",
    });
    for (name, value) in members.as_object().unwrap() {
        line[name] = value.clone();
    }
    Line::read(&format!("  12.3 host-1 {line}")).unwrap()
}

fn request(members: Value) -> Request {
    Request::read(&ended(members)).unwrap()
}

#[test]
fn outcome_as_the_caller_saw_it() {
    for (members, outcome) in [
        (json!({}), Outcome::InTime),
        (json!({"first_ms": 501}), Outcome::Late),
        (json!({"pause_ms": 1_001}), Outcome::Late),
        // A plain answer is there when it is whole.
        (json!({"events": 0, "first_ms": 100, "ms": 501, "gap_ms": 0}), Outcome::Late),
        (json!({"events": 0, "first_ms": 100, "ms": 500, "gap_ms": 0}), Outcome::InTime),
        (json!({"outcome": "Refused(503)"}), Outcome::Refused),
        (json!({"outcome": "Refused(429)"}), Outcome::Refused),
        // These promise nothing: the request may have run.
        (json!({"outcome": "Refused(502)"}), Outcome::Failed),
        (json!({"outcome": "Broken(Truncated)"}), Outcome::Failed),
        (json!({"outcome": "CallerGone"}), Outcome::CallerGone),
    ] {
        assert_eq!(request(members.clone()).outcome, outcome, "{members}");
    }
}

#[test]
fn cause_of_each_kind() {
    for (members, expected) in [
        (json!({"pause_ms": 1_200}), Cause::Pause),
        (json!({"first_ms": 700, "sent": 2}), Cause::SentAgain),
        (json!({"first_ms": 700, "sent": 2, "doubted": 31, "head_ms": 300}), Cause::Lifted),
        // Sent a third time: that is no doubt of the answer.
        (json!({"first_ms": 700, "sent": 3, "doubted": 31, "head_ms": 300}), Cause::SentAgain),
        (json!({"first_ms": 700, "unsent": 1, "head_ms": 300}), Cause::Unsent),
        (json!({"first_ms": 700, "expected_ms": 200, "head_ms": 690}), Cause::LongerThanExpected),
        (json!({"first_ms": 700, "expected_ms": 640, "head_ms": 690}), Cause::ExpectedLate),
        (json!({"first_ms": 700, "expected_ms": 80, "head_ms": 90}), Cause::Unsorted),
    ] {
        let request = request(members.clone());
        assert_eq!(request.outcome, Outcome::Late, "{members}");
        assert_eq!(cause::classify(&request), expected, "{members}");
    }
}

#[test]
fn report_sums_by_each_key() {
    let started = json!({"at": 90.0, "host": "host-1", "event": "started", "domain": "north"});
    let lines = [
        Line::read(&started.to_string()).unwrap(),
        ended(json!({})),
        ended(json!({"at": 103.0, "first_ms": 700, "expected_ms": 200, "head_ms": 690})),
        ended(json!({"at": 112.0, "host": "host-2", "route": "plans", "prompt": 9_000})),
        ended(json!({"at": 112.0, "outcome": "Refused(503)", "backend": "", "head_ms": 0})),
        // Neither is a request that ended.
        Line::read(r#"{"event": "request refused", "host": "host-1"}"#).unwrap(),
    ];
    let report = Report::from_lines(&lines);
    assert_eq!(report.all.requests, 4);
    assert_eq!(report.all.outcomes[&Outcome::InTime], 2);
    assert_eq!(report.all.causes[&Cause::LongerThanExpected], 1);
    assert_eq!(report.routes[&Name::from("letters")].requests, 3);
    assert_eq!(report.failure_domains[&Name::from("north")].requests, 3);
    // Its start is not in the logs.
    assert_eq!(report.failure_domains[&Name::from("host-2")].requests, 1);
    assert_eq!(report.spans.keys().copied().collect::<Vec<_>>(), [0, 10]);
    let calibration = &report.backends[&Name::from("b1")];
    assert_eq!((calibration.answers, calibration.much_later), (3, 1));
    assert_eq!(
        (calibration.expected_ms, calibration.real_ms, calibration.off_ms),
        (120.0, 290.0, 170.0)
    );
}

#[test]
fn text_and_pictures_hold_the_figures() {
    let report =
        Report::from_lines(&[ended(json!({})), ended(json!({"first_ms": 700, "sent": 2}))]);
    let text = report.text();
    assert!(text.contains("SentAgain 1"), "{text}");
    for picture in [review::plot::outcomes(&report), review::plot::calibration(&report)] {
        assert!(picture.unwrap().starts_with("<svg"));
    }
}

#[test]
fn lines_that_are_no_json_are_passed_over() {
    for text in ["", "no brace", "{half", "[1]", "{\"event\": \"request ended\"}"] {
        // The last one names nothing: it is a request all the same, and nothing fails.
        let request = Line::read(text).and_then(|line| Request::read(&line));
        assert_eq!(request.is_some(), text.contains("ended"), "{text}");
    }
}
