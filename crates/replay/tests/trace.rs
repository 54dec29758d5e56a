//! Trace parsing: generated traces survive a round trip, and each malformed line is reported with
//! file and line.

use replay::generate::{self, Kind, kind::KINDS};
use replay::trace::parse;

fn text() -> String {
    generate::lines(&generate::trace(Kind::Sudden, 7))
}

fn fault(text: &str) -> String {
    parse("t.jsonl", text).unwrap_err().to_string()
}

#[test]
fn parse_generated_round_trip() {
    for (name, kind) in KINDS {
        let trace = generate::trace(kind, 3);
        let read = parse(name, &generate::lines(&trace)).unwrap();
        assert!(read == trace, "{name}");
    }
}

#[test]
fn parse_malformed_line_reports_position() {
    let good = text();
    let with = |line: &str| {
        let mut lines: Vec<&str> = good.lines().take(3).collect();
        lines.push(line);
        fault(&lines.join("\n"))
    };
    assert!(with("{").starts_with("t.jsonl:4: "));
    assert!(with(r#"{"at_ms":0,"event":"nonsense"}"#).contains("t.jsonl:4: unknown variant"));
    assert!(with(r#"{"at_ms":99999,"event":"withdraw","version":"x"}"#).contains("no version x"));
    assert!(
        with(r#"{"at_ms":99999,"id":"r","account":"x","task":"tag","good":{},"ms":{}}"#)
            .contains("no account x")
    );
    assert!(
        with(r#"{"at_ms":99999,"id":"r","account":"claims","task":"tag","good":{},"ms":{}}"#)
            .contains("lacks version")
    );
    assert!(with(r#"{"at_ms":99999,"id":"r","extra":1}"#).contains("t.jsonl:4: unknown field"));
}

#[test]
fn parse_invalid_header_rejected() {
    assert_eq!(fault(""), "t.jsonl:1: the file is empty");
    assert!(fault("{}").contains("t.jsonl:1: no `configuration`"));
    let good = text();
    let first = good.lines().next().unwrap();
    assert!(
        fault(&first.replace("\"entry_hosts\":6", "\"entry_hosts\":0")).contains("entry_hosts")
    );
    assert!(
        fault(&first.replace("\"pools\":{\"dossier-models\":{\"r", "\"pools\":{\"x\":{\"r"))
            .contains("`pools` has no dossier-models")
    );
}

#[test]
fn parse_decreasing_time_rejected() {
    let good = text();
    let mut lines: Vec<&str> = good.lines().take(6).collect();
    lines.swap(2, 5);
    assert!(fault(&lines.join("\n")).contains("is earlier than"));
}

/// For any bytes, the parser returns a trace or a fault whose line number is in the file.
#[test]
fn parse_arbitrary_bytes() {
    let header = text().lines().next().unwrap().to_owned();
    fuzz::check(2000, |(after_header, bytes): &(bool, Vec<u8>)| {
        let noise = String::from_utf8_lossy(bytes);
        let text = if *after_header { format!("{header}\n{noise}") } else { noise.into() };
        if let Err(fault) = parse("t", &text) {
            assert!(fault.line >= 1 && fault.line <= text.lines().count().max(1));
        }
    });
}
