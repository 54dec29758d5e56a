//! Generates traces. A scenario and a seed always give the same trace.

pub mod deployment;
pub mod draw;
pub mod kind;

use std::collections::BTreeMap;

use policy::name::Name;
use serde_json::json;

use crate::trace::{Event, Request, Trace};
use draw::Draw;
pub use kind::Kind;

/// Number of requests in a generated trace.
const REQUEST_COUNT: u64 = 1400;
/// Fraction of a version's answers that depend on the request's difficulty, which is the same for
/// all versions; the other answers are drawn for each version independently.
const SHARED_LUCK_FRACTION: f64 = 0.6;
/// Standard deviation of the logarithm of answer times.
const LOG_LATENCY_DEVIATION: f64 = 0.35;
/// Mean number of requests for one session number: each block of ten times as many requests draws
/// from ten session numbers.
const SESSION_REQUESTS: u64 = 4;

/// Generates the trace of a scenario.
#[must_use]
pub fn trace(kind: Kind, seed: u64) -> Trace {
    let scenario = kind.scenario();
    let mut header = scenario.deployment.header(seed);
    scenario.configure(&mut header);
    let mut draw = Draw::new(scenario.seed(seed));
    let times = scenario.times(REQUEST_COUNT, &mut draw);
    let requests = times
        .iter()
        .enumerate()
        .map(|(number, at)| request(&scenario, number as u64, *at, &mut draw))
        .collect();
    Trace { header, requests, events: scenario.events }
}

/// Formats a trace as JSON lines, with requests and events merged by time.
#[must_use]
pub fn lines(trace: &Trace) -> String {
    let mut text = json!(trace.header).to_string() + "\n";
    let mut events = trace.events.iter().peekable();
    let mut push = |line: String| {
        text.push_str(&line);
        text.push('\n');
    };
    for request in &trace.requests {
        while let Some(event) = events.next_if(|event: &&Event| event.at_ms <= request.at_ms) {
            push(json!(event).to_string());
        }
        push(json!(request).to_string());
    }
    events.for_each(|event| push(json!(event).to_string()));
    text
}

fn request(scenario: &kind::Scenario, number: u64, at_ms: u64, draw: &mut Draw) -> Request {
    let deployment = &scenario.deployment;
    let account = scenario.account(at_ms, draw);
    let task = deployment.task(draw);
    let difficulty = draw.unit();
    let mut good = BTreeMap::new();
    let mut ms = BTreeMap::new();
    for version in &deployment.versions {
        let luck = if draw.unit() < SHARED_LUCK_FRACTION { difficulty } else { draw.unit() };
        let quality = scenario.quality(version, task, at_ms);
        let time = version.ms * task.size * (LOG_LATENCY_DEVIATION * draw.normal()).exp();
        good.insert(Name::from(version.name), luck < quality);
        ms.insert(Name::from(version.name), time.round().max(1.0) as u64);
    }
    let in_session = task.in_session;
    let session = number / (SESSION_REQUESTS * 10) * 10 + draw.below(10);
    Request {
        at_ms,
        id: format!("r{number}").into(),
        account: account.clone(),
        task: task.name.into(),
        session: in_session.then(|| format!("{account}-{session}").into()),
        may_repeat: None,
        deadline_ms: None,
        good,
        ms,
    }
}
