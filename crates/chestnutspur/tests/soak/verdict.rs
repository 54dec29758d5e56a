//! Checks the guarantees from what callers and backend servers observed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform::names;
use standin::routed::Arrival;

use crate::callers::{EVENT_COUNT, Kind, Observation, Outcome};
use crate::fleet::{ATTEMPTS_MAX, Fleet, domain};
use crate::history::{ColdStart, Evacuation, History};
use crate::scenario::Scenario;

/// Time after which a leaving backend server gets no new work.
const LEAVING_GRACE: Duration = Duration::from_millis(2_000);

/// Time after which an evacuated failure domain gets no new work.
const EVACUATION_GRACE: Duration = Duration::from_millis(2_000);
/// Factor by which the requests that reach a cold server in one second may exceed its warm-up rate.
const COLD_RATE_FACTOR: f64 = 1.5;
/// Number of requests that may reach a cold server in one second beyond that.
const COLD_EXTRA_REQUESTS: f64 = 5.0;
/// Time after a server has asked for a pause in which requests may reach it that were in flight.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// Number of requests from one node that may reach a server in the rest of its pause.
const PAUSE_REQUESTS_MAX: usize = 2;

/// Time within which a started node has read the store.
const STARTUP: Duration = Duration::from_millis(400);

/// Returns the violations of a run.
pub fn judge(fleet: &Fleet, history: &History, observations: &[Observation]) -> Vec<String> {
    let runs = runs(fleet);
    let mut violations: Vec<String> = Vec::new();
    for observation in observations {
        let ran = runs.get(&observation.id).copied().unwrap_or_default();
        let planned = matches!(history.scenario, Scenario::Planned | Scenario::Slowdowns)
            && !is_starting(observation, history);
        if let Some(why) = judge_request(observation, ran, planned) {
            let Observation { id, kind, node, outcome, latency, .. } = observation;
            violations.push(format!(
                "{why}: {id} ({kind:?}) at {node}, {outcome:?} after {latency:?}, ran {ran}"
            ));
        }
    }
    violations.extend(late_work(fleet, history));
    violations.extend(evacuated_work(fleet, history));
    violations.extend(cold_work(fleet, history));
    violations.extend(work_at_leaving(fleet, history, observations));
    violations.extend(work_in_pauses(fleet, history, observations));
    violations.extend(history.late_tables.iter().cloned());
    violations.extend(history.excess_memory.iter().cloned());
    violations.extend(history.wrong_streams.iter().cloned());
    violations.extend(
        history.stuck_nodes.iter().map(|node| format!("node {node} did not exit after SIGTERM")),
    );
    let served = observations.iter().filter(|one| is_served(one)).count();
    if served * 10 < observations.len() {
        violations.push(format!("only {served} of {} requests were served", observations.len()));
    }
    violations
}

fn is_served(observation: &Observation) -> bool {
    matches!(observation.outcome, Outcome::Answered { status: 200, is_whole: true, .. })
}

/// Returns the number of runs of each request by its id. A request that was rejected, with a pause
/// or for lack of a slot, did not run.
fn runs(fleet: &Fleet) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for backend in &fleet.backends {
        let has_run = |one: &&Arrival| one.retry_after.is_none() && !one.is_rejected;
        for arrival in backend.arrivals().iter().filter(has_run) {
            let id = arrival.headers[names::REQUEST_ID].to_str().unwrap_or_default().to_owned();
            *runs.entry(id).or_default() += 1;
        }
    }
    runs
}

/// Returns whether a node refused a request because it had just been started and had not read the
/// store yet. Such a refusal is correct; the callers send requests as soon as the port is open,
/// whether the node is ready or not.
fn is_starting(one: &Observation, history: &History) -> bool {
    let refused = matches!(one.outcome, Outcome::Answered { status: 503, .. });
    let started = history.node_restarts.iter().filter(|(node, _)| *node == one.node);
    refused && started.into_iter().any(|(_, at)| one.sent_at >= *at && one.sent_at < *at + STARTUP)
}

fn judge_request(one: &Observation, ran: usize, planned: bool) -> Option<&'static str> {
    match &one.outcome {
        _ if one.kind == Kind::Once && ran > 1 => Some("ran twice"),
        _ if ran > ATTEMPTS_MAX as usize => Some("ran on more servers than its route allows"),
        Outcome::Answered { is_own: false, .. } => Some("an answer to another request"),
        Outcome::Answered { status: 408 | 421 | 429 | 503, .. } if ran > 0 => {
            Some("ran, although the refusal says that it did not")
        }
        Outcome::Answered { status: 400..=407 | 413, .. } => Some("refused although it is allowed"),
        Outcome::Answered { status: 200, is_whole, ids, .. } => judge_body(*is_whole, ids, planned),
        Outcome::Answered { status: 500.., .. } if planned => Some("failed by planned work"),
        Outcome::Lost if planned && ran > 0 => Some("cut off by planned work"),
        Outcome::Late if planned => Some("late by planned work"),
        _ => None,
    }
}

/// Returns what is wrong with the events of an answer, if anything is.
pub fn judge_body(is_whole: bool, ids: &[u64], planned: bool) -> Option<&'static str> {
    let in_order = ids.iter().copied().eq(1..=ids.len() as u64);
    match () {
        () if !in_order => Some("events missing, doubled or out of order"),
        () if is_whole && ids.len() as u64 != EVENT_COUNT => Some("truncated, but looks complete"),
        () if !is_whole && planned => Some("broken off by planned work"),
        () => None,
    }
}

/// Reports work that reached an evacuated failure domain long after the order.
fn evacuated_work(fleet: &Fleet, history: &History) -> Vec<String> {
    let count_late = |order: &Evacuation| {
        let servers = fleet.backends.iter().enumerate();
        let servers = servers.filter(|(number, _)| domain(*number) == order.domain);
        let arrivals = servers.flat_map(|(_, server)| server.arrivals());
        let late =
            arrivals.filter(|one| one.at > order.at + EVACUATION_GRACE && one.at < order.ended_at);
        late.count()
    };
    let counts = history.evacuations.iter().map(|order| (order.domain, count_late(order)));
    let counts = counts.filter(|(_, count)| *count > 0);
    counts.map(|(domain, count)| format!("{count} requests reached evacuated {domain}")).collect()
}

/// Returns the observations by the id of their request.
fn by_id(observations: &[Observation]) -> HashMap<&str, &Observation> {
    observations.iter().map(|one| (one.id.as_str(), one)).collect()
}

/// Returns the request id of an arrival.
fn id(arrival: &Arrival) -> &str {
    arrival.headers[names::REQUEST_ID].to_str().unwrap_or_default()
}

/// Returns whether a node was restarted in a time span. A restarted node knows nothing of before.
fn is_restarted(history: &History, node: SocketAddr, from: Instant, to: Instant) -> bool {
    let mut starts = history.node_restarts.iter().filter(|(started, _)| *started == node);
    starts.any(|(_, at)| (from..=to).contains(at))
}

/// Reports requests that a node sent to a server long after the node had relayed an answer in which
/// the server announced that it leaves.
fn work_at_leaving(fleet: &Fleet, history: &History, observations: &[Observation]) -> Vec<String> {
    let by_id = by_id(observations);
    let mut violations = Vec::new();
    for departure in &history.announced_departures {
        let arrivals = fleet.backends[departure.number].arrivals();
        let arrivals =
            arrivals.iter().filter(|one| (departure.at..departure.ended_at).contains(&one.at));
        let sent: Vec<&Observation> =
            arrivals.filter_map(|one| by_id.get(id(one)).copied()).collect();
        for late in &sent {
            let is_announced = |one: &&&Observation| {
                let relayed_at = one.sent_at + one.latency;
                one.node == late.node
                    && is_served(one)
                    && late.sent_at > relayed_at + LEAVING_GRACE
                    && !is_restarted(history, late.node, relayed_at, late.sent_at)
            };
            if sent.iter().any(|one| is_announced(&one)) {
                violations
                    .push(format!("{} sent to leaving backend {}", late.id, departure.number));
            }
        }
    }
    violations
}

/// Reports requests of a node that reached a server during a pause which the server had asked that
/// node for.
fn work_in_pauses(fleet: &Fleet, history: &History, observations: &[Observation]) -> Vec<String> {
    let by_id = by_id(observations);
    let mut violations = Vec::new();
    for (number, backend) in fleet.backends.iter().enumerate() {
        let arrivals = backend.arrivals();
        let with_nodes: Vec<(&Arrival, SocketAddr)> = arrivals
            .iter()
            .filter_map(|one| by_id.get(id(one)).map(|seen| (one, seen.node)))
            .collect();
        for (first, node) in &with_nodes {
            let Some(pause) = first.retry_after else { continue };
            let (from, to) = (first.at + IN_FLIGHT_GRACE, first.at + pause);
            let within =
                |(one, by): &&(&Arrival, SocketAddr)| by == node && one.at > from && one.at < to;
            let count = with_nodes.iter().filter(within).count();
            if count > PAUSE_REQUESTS_MAX && !is_restarted(history, *node, first.at, to) {
                violations.push(format!("{count} requests in a pause at backend {number}"));
            }
        }
    }
    violations
}

/// Reports backend servers that received more requests in one second than a cold server may get.
fn cold_work(fleet: &Fleet, history: &History) -> Vec<String> {
    let Some(warmup) = fleet.warmup else { return Vec::new() };
    let allowed = (warmup.per_second * COLD_RATE_FACTOR + COLD_EXTRA_REQUESTS) as usize;
    let peak = |cold: &ColdStart| {
        let until = cold.at + Duration::from_millis(warmup.ms);
        let arrivals = fleet.backends[cold.number].arrivals();
        let is_expected = |one: &&Arrival| one.headers[names::EXPECT_BACKEND] == cold.id.as_str();
        let arrivals = arrivals.iter().filter(is_expected).map(|one| one.at);
        let times: Vec<Instant> = arrivals.filter(|at| (cold.at..until).contains(at)).collect();
        let count_in_second = |from: &Instant| {
            let within = *from..*from + Duration::from_secs(1);
            times.iter().filter(|at| within.contains(at)).count()
        };
        times.iter().map(count_in_second).max().unwrap_or_default()
    };
    let counts = history.cold_starts.iter().map(|cold| (cold.number, peak(cold)));
    let counts = counts.filter(|(_, count)| *count > allowed);
    counts.map(|(number, count)| format!("{count} requests in a second at cold {number}")).collect()
}

/// Reports work that reached backend servers long after the store's list said that they leave.
fn late_work(fleet: &Fleet, history: &History) -> Vec<String> {
    let mut violations = Vec::new();
    for departure in &history.listed_departures {
        let arrivals = fleet.backends[departure.number].arrivals();
        let late = arrivals
            .iter()
            .filter(|one| one.at > departure.at + LEAVING_GRACE && one.at < departure.ended_at);
        let count = late.count();
        if count > 0 {
            violations
                .push(format!("{count} requests reached leaving backend {}", departure.number));
        }
    }
    violations
}
