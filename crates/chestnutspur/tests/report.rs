//! `chestnutspur report decisions` and `chestnutspur explain`, run from the command line.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};

fn report(arguments: &[&str], logs: &str) -> Output {
    run_with_logs(&[&["report", "decisions"], arguments].concat(), logs)
}

/// Runs a command with logs on its standard input.
fn run_with_logs(arguments: &[&str], logs: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_chestnutspur"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(logs.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

fn logs() -> String {
    let line = |at: f64, first_ms: u64| {
        json!({
            "at": at, "host": "host-1", "event": "request ended", "route": "letters", "sent": 1,
            "backend": "b1", "model": "small", "doubted": "", "events": 9, "prompt": 700,
            "expected_ms": 80, "head_ms": first_ms, "first_ms": first_ms, "pause_ms": 10,
            "gap_ms": 500, "objective_ms": 400, "outcome": "Answered",
        })
    };
    format!("{}\nnot a line of ours\n  3.1 host-1 {}\n", line(1.0, 100), line(2.0, 900))
}

#[test]
fn decisions_as_text_json_and_pictures() {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("report-decisions");
    let _ = std::fs::remove_dir_all(&directory);
    let text = report(&["--svg", directory.to_str().unwrap()], &logs());
    assert!(text.status.success());
    assert!(String::from_utf8(text.stdout).unwrap().contains("LongerThanExpected 1"));
    for name in ["outcomes.svg", "calibration.svg"] {
        assert!(std::fs::read_to_string(directory.join(name)).unwrap().contains("</svg>"));
    }
    let json = report(&["--json"], &logs());
    let json: Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(json["all"]["outcomes"], json!({"in_time": 1, "late": 1}));
    assert_eq!(json["all"]["causes"], json!({"longer_than_expected": 1}));
}

#[test]
fn decisions_of_logs_without_requests_says_so() {
    let nothing = report(&[], "{\"event\": \"started\"}\n");
    assert_eq!(nothing.status.code(), Some(1));
    assert!(String::from_utf8(nothing.stderr).unwrap().contains("no request ended"));
}

#[test]
fn explain_follows_the_same_request_under_other_ids() {
    let line = |at: f64, host: &str, event: &str, more: Value| {
        let mut line = json!({"at": at, "host": host, "event": event, "part": "route"});
        line.as_object_mut().unwrap().extend(more.as_object().unwrap().clone());
        format!("{line}\n")
    };
    let logs = [
        line(1.0, "host-1", "try failed", json!({"request": "first", "digest": "d1"})),
        line(
            1.1,
            "host-1",
            "request lost with its server",
            json!({"digest": "d1", "backend": "b4"}),
        ),
        line(1.2, "host-2", "lost request heard of", json!({"digest": "d1", "servers": 3})),
        line(
            1.3,
            "host-2",
            "request lost with its server",
            json!({"digest": "d2", "backend": "b5"}),
        ),
        line(9.0, "host-2", "request held", json!({"request": "last", "digest": "d1"})),
    ];
    let explained = run_with_logs(&["explain", "last"], &logs.concat());
    let text = String::from_utf8(explained.stdout).unwrap();
    assert_eq!(text.lines().count(), 4, "{text}");
    assert!(text.contains("b4") && !text.contains("b5"), "{text}");
}
