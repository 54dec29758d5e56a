//! `chestnutspur where`: where a host would send a request now, and why. `where` can't name a
//! module, because it is a keyword.

use std::net::SocketAddr;

use bpaf::Bpaf;
use bytes::Bytes;
use gateway::explain::Question;
use hyper::Method;
use serde_json::Value;

use crate::exit::Exit;
use crate::http::Call;
use crate::{command, process};

/// Parts of a candidate's cost, in the order of the table's columns.
const COSTS: [&str; 9] =
    ["total", "wait", "reading", "distance", "suspicion", "load", "streams", "fetch", "answer"];

/// What is printed of an answer first, one line each.
const SUMMARY: [&str; 8] =
    ["route", "service", "version", "model", "priority", "chosen", "through", "would_wait"];

/// What is printed of a request in flight.
const RUN: [&str; 8] =
    ["service", "account", "backend", "version", "address", "age_ms", "continues_at", "moves_to"];

/// Arguments of where
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// Address of a node's operators' port
    #[bpaf(argument("ADDR"))]
    pub at: SocketAddr,
    /// Host name of the request
    #[bpaf(argument("HOST"), fallback(String::new()))]
    pub host: String,
    /// Path of the request
    #[bpaf(argument("PATH"), fallback(String::from("/")))]
    pub path: String,
    /// Name of the client account
    #[bpaf(argument("NAME"))]
    pub account: Option<String>,
    /// Session of the request
    #[bpaf(argument("ID"))]
    pub session: Option<String>,
    /// Version that the session or the resumed stream is on
    #[bpaf(argument("VERSION"))]
    pub on_version: Option<String>,
    /// Last event that the caller has, for a stream that is resumed
    #[bpaf(argument("N"))]
    pub last_event: Option<u64>,
    /// Parts of the prompt, ID:TOKENS,… with ids in hexadecimal
    #[bpaf(argument("PARTS"))]
    pub parts: Option<String>,
    /// Length of the prompt in tokens; the sum of its parts if absent
    #[bpaf(argument("N"))]
    pub tokens: Option<u32>,
    /// Id of a request in flight, to say where it is
    #[bpaf(argument("ID"))]
    pub request: Option<String>,
    /// Print one JSON line
    pub json: bool,
}

/// Asks a node and prints the answer.
pub fn run(arguments: &Arguments) -> Exit {
    let parts = arguments.parts.as_deref().unwrap_or_default();
    let parsed = platform::codec::parse_parts(parts);
    let wanted = parts.split(',').filter(|part| !part.is_empty()).count();
    if parsed.len() != wanted {
        eprintln!("chestnutspur: --parts: {parts}: must be ID:TOKENS,… with ids in hexadecimal");
        return Exit::Usage;
    }
    if arguments.request.is_none() && arguments.host.is_empty() {
        eprintln!("chestnutspur: --host or --request is missing");
        return Exit::Usage;
    }
    let question = Question {
        request: arguments.request.as_deref().map(Into::into),
        host: arguments.host.clone(),
        path: arguments.path.clone(),
        account: arguments.account.as_deref().map(Into::into),
        session: arguments.session.as_deref().map(Into::into),
        version: arguments.on_version.as_deref().map(Into::into),
        last_event: arguments.last_event,
        parts: parsed,
        tokens: arguments.tokens,
    };
    process::block_on(ask(arguments.at, &question, arguments.json))
}

async fn ask(at: SocketAddr, question: &Question, json: bool) -> Exit {
    let body = Bytes::from(serde_json::to_vec(question).unwrap_or_default());
    let call = Call { method: Method::POST, path: "/where", headers: Vec::new(), body };
    let response = match call.send(at).await {
        Ok(response) => response,
        Err(error) => {
            eprintln!("chestnutspur: {error}");
            return Exit::Failure;
        }
    };
    let answer: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    if !response.status.is_success() {
        let text = String::from_utf8_lossy(&response.body);
        eprintln!("chestnutspur: {at}: {}", answer["error"].as_str().unwrap_or(text.trim_end()));
        return Exit::Failure;
    }
    match json {
        true => command::print_json(&response.body, true),
        false => print!("{}", table(&answer)),
    }
    Exit::Success
}

/// A text for people: what the request meets, then one line for each candidate with its costs in
/// milliseconds.
fn table(answer: &Value) -> String {
    if let Some(runs) = answer["runs"].as_array() {
        return runs.iter().map(lines_of_run).collect();
    }
    let mut lines = String::new();
    for name in SUMMARY {
        lines += &format!("{name:<10} {}\n", text(&answer[name]));
    }
    if let Some(version) = answer["falls_back_from"].as_str() {
        lines += &format!("falls back from {version}\n");
    }
    let limits = answer["limits"].as_object().into_iter().flatten();
    for (name, value) in limits {
        lines += &format!("{name:<14} {}\n", text(value));
    }
    let refusal = &answer["refusal"];
    if !refusal.is_null() {
        let (status, message) = (&refusal["status"], text(&refusal["message"]));
        let ms = text(&refusal["retry_after_ms"]);
        lines += &format!("refused with {status}: {message}; come back after {ms} ms\n");
    }
    lines += &format!("{:<24} {:<10} {:<10}", "server", "domain", "version");
    COSTS.iter().for_each(|name| lines += &format!(" {name:>9}"));
    lines += "\n";
    for one in answer["candidates"].as_array().into_iter().flatten() {
        let [id, domain, version] = ["id", "domain", "version"].map(|name| text(&one[name]));
        lines += &format!("{id:<24} {domain:<10} {version:<10}");
        for name in COSTS {
            lines += &format!(" {:>9.1}", one[name].as_f64().unwrap_or_default());
        }
        for (name, label) in [("obstacle", "not now: "), ("fetch_from", "fetches from ")] {
            if let Some(value) = one[name].as_str() {
                lines += &format!("  {label}{value}");
            }
        }
        lines += "\n";
    }
    match answer["more"].as_u64() {
        Some(more) if more > 0 => lines + &format!("and {more} more\n"),
        _ => lines,
    }
}

/// A request in flight, then the copies that its stream could continue from.
fn lines_of_run(run: &Value) -> String {
    let members = RUN.map(|name| format!("{name}={}", text(&run[name])));
    let copies = run["copies"].as_array().into_iter().flatten().map(|copy| {
        let names = ["address", "backend", "obstacle"];
        names.map(|name| format!(" {name}={}", text(&copy[name]))).concat()
    });
    let lines =
        std::iter::once(members.join(" ")).chain(copies.map(|copy| format!("  copy{copy}")));
    lines.map(|line| line + "\n").collect()
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
