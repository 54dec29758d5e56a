//! `chestnutspur explain`: a request's life, from logs alone.

use std::io::BufRead;

use review::Line;
use serde_json::Value;

use crate::exit::Exit;

/// What hosts came to believe this long before a request's first line may have decided it, in
/// seconds.
const BEFORE_S: f64 = 10.0;
/// Members that every line has, or that are printed apart.
const PLAIN: [&str; 6] = ["at", "host", "level", "part", "event", "request"];

/// Reads logs from standard input and prints what became of a request.
pub fn run(request: &str) -> Exit {
    let lines = read();
    match explain(&lines, request) {
        found if found.is_empty() => {
            eprintln!(
                "chestnutspur: no line names request {request}; are the logs of all hosts there?"
            );
            Exit::Refused
        }
        found => {
            found.iter().for_each(|line| println!("{line}"));
            Exit::Done
        }
    }
}

/// Lines of standard input that hold JSON.
pub fn read() -> Vec<Line> {
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
    // The same request under other ids, at any host: its other tries, and the servers lost with it.
    let is_same = |line: &Line| {
        let digest = line.text("digest");
        !digest.is_empty() && digests.contains(&digest)
    };
    let concerns = |line: &&Line| {
        let is_near = (first - BEFORE_S..=last).contains(&line.at());
        let names = |member: &str, all: &[&str]| {
            let value = line.text(member);
            !value.is_empty() && all.contains(&value)
        };
        let is_belief = match line.text("part") {
            "watch" => names("backend", &backends) || line.0.contains_key("list"),
            "rollout" => names("service", &services),
            "process" => true,
            _ => false,
        };
        let is_belief = is_near && is_belief && hosts.contains(&line.text("host"));
        line.text("request") != request && (is_same(line) || is_belief)
    };
    let mut found: Vec<&Line> = own.iter().copied().chain(lines.iter().filter(concerns)).collect();
    found.sort_by(|a, b| a.at().total_cmp(&b.at()));
    found.into_iter().map(|line| tell(line, first, request)).collect()
}

fn tell(line: &Line, first: f64, request: &str) -> String {
    let own = if line.text("request") == request { '>' } else { ' ' };
    let rest = line.0.iter().filter(|(name, _)| !PLAIN.contains(&name.as_str()));
    let rest = rest.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        value => format!("{name}={value}"),
    });
    format!(
        "{own} {:+9.3} s  {}  {}: {}",
        line.at() - first,
        line.text("host"),
        line.text("event"),
        rest.collect::<Vec<_>>().join(" ")
    )
}
