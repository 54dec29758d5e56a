//! Outcomes, causes and reports, from log lines as `node` writes them.

use policy::name::Name;
use review::cause::{self, Cause};
use review::request::Outcome;
use review::{Line, Report, Request};
use serde_json::{Value, json};

/// The log line of the end of a stream that was in time. `members` are added or replace others.
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
fn read_outcome_as_the_caller_saw_it() {
    for (members, outcome) in [
        (json!({}), Outcome::InTime),
        (json!({"first_ms": 501}), Outcome::Late),
        (json!({"pause_ms": 1_001}), Outcome::Late),
        // A plain answer counts at its end (`ms`), not at its first event.
        (json!({"events": 0, "first_ms": 100, "ms": 501, "gap_ms": 0}), Outcome::Late),
        (json!({"events": 0, "first_ms": 100, "ms": 500, "gap_ms": 0}), Outcome::InTime),
        (json!({"outcome": "Refused(503)"}), Outcome::Refused),
        (json!({"outcome": "Refused(429)"}), Outcome::Refused),
        // These outcomes don't promise that the request has not run.
        (json!({"outcome": "Refused(502)"}), Outcome::Failed),
        (json!({"outcome": "Broken(Truncated)"}), Outcome::Failed),
        (json!({"outcome": "CallerGone"}), Outcome::CallerGone),
    ] {
        assert_eq!(request(members.clone()).outcome, outcome, "{members}");
    }
}

#[test]
fn classify_each_cause() {
    for (members, expected) in [
        (json!({"pause_ms": 1_200}), Cause::Pause),
        (json!({"first_ms": 700, "sent": 2}), Cause::SentAgain),
        (json!({"first_ms": 700, "sent": 2, "doubted": 31, "head_ms": 300}), Cause::Lifted),
        // A hedge is sent because of a late first attempt, and does not make the answer late.
        (
            json!({"first_ms": 700, "sent": 2, "hedged": true, "head_ms": 690}),
            Cause::LongerThanExpected,
        ),
        // The third attempt can't come from the one dropped answer.
        (json!({"first_ms": 700, "sent": 3, "doubted": 31, "head_ms": 300}), Cause::SentAgain),
        (json!({"first_ms": 700, "unsent": 1, "head_ms": 300}), Cause::Unsent),
        (json!({"first_ms": 700, "expected_ms": 200, "head_ms": 690}), Cause::LongerThanExpected),
        (json!({"first_ms": 700, "expected_ms": 640, "head_ms": 690}), Cause::ExpectedLate),
        (json!({"first_ms": 700, "expected_ms": 80, "head_ms": 90}), Cause::Unsorted),
        (json!({"first_ms": 700, "waited_ms": 500, "head_ms": 90}), Cause::Waited),
        (json!({"first_ms": 700, "waited_ms": 100, "head_ms": 90}), Cause::Unsorted),
    ] {
        let request = request(members.clone());
        assert_eq!(request.outcome, Outcome::Late, "{members}");
        assert_eq!(cause::classify(&request), expected, "{members}");
    }
}

#[test]
fn report_counts_by_each_grouping() {
    let started = json!({"at": 90.0, "host": "host-1", "event": "started", "domain": "north"});
    let lines = [
        Line::read(&started.to_string()).unwrap(),
        ended(json!({})),
        ended(json!({"at": 103.0, "first_ms": 700, "expected_ms": 200, "head_ms": 690})),
        ended(json!({"at": 112.0, "host": "host-2", "route": "plans", "prompt": 9_000})),
        ended(json!({"at": 112.0, "outcome": "Refused(503)", "backend": "", "head_ms": 0})),
        // This line and the start are not ends of requests.
        Line::read(r#"{"event": "request refused", "host": "host-1"}"#).unwrap(),
    ];
    let report = Report::from_lines(&lines);
    assert_eq!(report.all.requests, 4);
    assert_eq!(report.all.outcomes[&Outcome::InTime], 2);
    assert_eq!(report.all.causes[&Cause::LongerThanExpected], 1);
    assert_eq!(report.routes[&Name::from("letters")].requests, 3);
    assert_eq!(report.failure_domains[&Name::from("north")].requests, 3);
    // The start of this host is not in the logs, so its own name stands for the domain.
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
fn report_text_and_charts() {
    let report =
        Report::from_lines(&[ended(json!({})), ended(json!({"first_ms": 700, "sent": 2}))]);
    let text = report.text();
    assert!(text.contains("SentAgain 1"), "{text}");
    for picture in [review::plot::outcomes(&report), review::plot::calibration(&report)] {
        assert!(picture.unwrap().starts_with("<svg"));
    }
}

#[test]
fn read_skips_lines_without_json() {
    for text in ["", "no brace", "{half", "[1]", "{\"event\": \"request ended\"}"] {
        // The last line has only its event: it still reads as a request.
        let request = Line::read(text).and_then(|line| Request::read(&line));
        assert_eq!(request.is_some(), text.contains("ended"), "{text}");
    }
}
