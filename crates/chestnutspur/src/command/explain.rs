//! `chestnutspur explain`: a request's life, from logs alone.

use std::io::BufRead;

use serde_json::{Map, Value};

use crate::exit::Exit;

/// What hosts came to believe this long before a request's first line may have decided it, in
/// seconds.
const BEFORE_S: f64 = 10.0;
/// Members that every line has, or that are printed apart.
const PLAIN: [&str; 6] = ["at", "host", "level", "part", "event", "request"];

/// One line of a log.
type Line = Map<String, Value>;

/// Reads logs from standard input and prints what became of a request.
pub fn run(request: &str) -> Exit {
    let lines: Vec<Line> =
        std::io::stdin().lock().lines().map_while(Result::ok).filter_map(read).collect();
    match explain(&lines, request) {
        told if told.is_empty() => {
            eprintln!(
                "chestnutspur: no line names request {request}; are the logs of all hosts there?"
            );
            Exit::Refused
        }
        told => {
            told.iter().for_each(|line| println!("{line}"));
            Exit::Done
        }
    }
}

/// A line's JSON; none if it has none.
fn read(text: String) -> Option<Line> {
    let start = text.find('{')?;
    serde_json::from_str(&text[start..]).ok()
}

fn explain(lines: &[Line], request: &str) -> Vec<String> {
    let own: Vec<&Line> = lines.iter().filter(|line| text(line, "request") == request).collect();
    let (Some(first), Some(last)) = (
        own.iter().map(|line| at(line)).min_by(f64::total_cmp),
        own.iter().map(|line| at(line)).max_by(f64::total_cmp),
    ) else {
        return Vec::new();
    };
    let hosts: Vec<&str> = own.iter().map(|line| text(line, "host")).collect();
    let backends: Vec<&str> = own.iter().map(|line| text(line, "backend")).collect();
    let services: Vec<&str> = own.iter().map(|line| text(line, "service")).collect();
    let bears = |line: &&Line| {
        let is_near = (first - BEFORE_S..=last).contains(&at(line));
        let names = |member: &str, all: &[&str]| {
            let value = text(line, member);
            !value.is_empty() && all.contains(&value)
        };
        let is_belief = match text(line, "part") {
            "watch" => names("backend", &backends) || line.contains_key("list"),
            "rollout" => names("service", &services),
            "process" => true,
            _ => false,
        };
        is_near && is_belief && hosts.contains(&text(line, "host"))
    };
    let mut told: Vec<&Line> = own.iter().copied().chain(lines.iter().filter(bears)).collect();
    told.sort_by(|a, b| at(a).total_cmp(&at(b)));
    told.into_iter().map(|line| tell(line, first, request)).collect()
}

fn tell(line: &Line, first: f64, request: &str) -> String {
    let own = if text(line, "request") == request { '>' } else { ' ' };
    let rest = line.iter().filter(|(name, _)| !PLAIN.contains(&name.as_str()));
    let rest = rest.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        value => format!("{name}={value}"),
    });
    format!(
        "{own} {:+9.3} s  {}  {}: {}",
        at(line) - first,
        text(line, "host"),
        text(line, "event"),
        rest.collect::<Vec<_>>().join(" ")
    )
}

fn at(line: &Line) -> f64 {
    line.get("at").and_then(Value::as_f64).unwrap_or_default()
}

fn text<'a>(line: &'a Line, member: &str) -> &'a str {
    line.get(member).and_then(Value::as_str).unwrap_or_default()
}
