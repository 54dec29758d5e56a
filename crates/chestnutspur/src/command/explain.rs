//! `chestnutspur explain`: the history of one request, from logs alone.

use std::io::BufRead;

use review::Line;
use serde_json::Value;

use crate::exit::Exit;

/// How long before a request's first line the changes that hosts log are shown too, in seconds:
/// they may have decided where the request was sent.
const LOOKBACK_S: f64 = 10.0;
/// Members left out of the `name=value` list: each line has them, or they are printed before it.
const OMITTED_MEMBERS: [&str; 6] = ["at", "host", "level", "part", "event", "request"];

/// Reads logs from standard input and prints the lines that concern a request.
pub fn run(request: &str) -> Exit {
    let lines = read_lines();
    match explain(&lines, request) {
        found if found.is_empty() => {
            eprintln!(
                "chestnutspur: no line names request {request}; are the logs of all hosts included?"
            );
            Exit::Failure
        }
        found => {
            found.iter().for_each(|line| println!("{line}"));
            Exit::Success
        }
    }
}

/// Reads the log lines of standard input and skips lines that hold no JSON object.
pub fn read_lines() -> Vec<Line> {
    let lines = std::io::stdin().lock().lines().map_while(Result::ok);
    lines.filter_map(|line| Line::read(&line)).collect()
}

fn explain(lines: &[Line], request: &str) -> Vec<String> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.text("request") == request).collect();
    let (Some(first), Some(last)) = (
        own.iter().map(|line| line.at()).min_by(f64::total_cmp),
        own.iter().map(|line| line.at()).max_by(f64::total_cmp),
    ) else {
        return Vec::new();
    };
    let hosts: Vec<&str> = own.iter().map(|line| line.text("host")).collect();
    let backends: Vec<&str> = own.iter().map(|line| line.text("backend")).collect();
    let services: Vec<&str> = own.iter().map(|line| line.text("service")).collect();
    let digests: Vec<&str> = own.iter().map(|line| line.text("digest")).collect();
    // Lines with the same digest are about the same request, perhaps under another id and at another
    // host: its other attempts, and the backend servers lost with it.
    let is_same = |line: &Line| {
        let digest = line.text("digest");
        !digest.is_empty() && digests.contains(&digest)
    };
    let is_relevant = |line: &&Line| {
        let is_near = (first - LOOKBACK_S..=last).contains(&line.at());
        let is_any = |member: &str, values: &[&str]| {
            let value = line.text(member);
            !value.is_empty() && values.contains(&value)
        };
        let is_change = match line.text("part") {
            "watch" => is_any("backend", &backends) || line.0.contains_key("list"),
            "rollout" => is_any("service", &services),
            "process" => true,
            _ => false,
        };
        let is_change = is_near && is_change && hosts.contains(&line.text("host"));
        line.text("request") != request && (is_same(line) || is_change)
    };
    let mut found: Vec<&Line> =
        own.iter().copied().chain(lines.iter().filter(is_relevant)).collect();
    found.sort_by(|a, b| a.at().total_cmp(&b.at()));
    found.into_iter().map(|line| format_line(line, first, request)).collect()
}

fn format_line(line: &Line, first: f64, request: &str) -> String {
    let marker = if line.text("request") == request { '>' } else { ' ' };
    let members = line.0.iter().filter(|(name, _)| !OMITTED_MEMBERS.contains(&name.as_str()));
    let members = members.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        value => format!("{name}={value}"),
    });
    format!(
        "{marker} {:+9.3} s  {}  {}: {}",
        line.at() - first,
        line.text("host"),
        line.text("event"),
        members.collect::<Vec<_>>().join(" ")
    )
}
