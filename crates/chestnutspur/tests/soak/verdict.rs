//! The promises, judged from what callers and backend servers saw.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform::names;
use standin::routed::Arrival;

use crate::callers::{EVENTS, Kind, Outcome, Seen};
use crate::faults::{Cold, Evacuated, Played, Trouble};
use crate::fleet::{ATTEMPTS_MAX, Fleet, domain};

/// A leaving backend server gets no new work later than this.
const LEAVING: Duration = Duration::from_millis(2_000);

/// An evacuated failure domain gets no new work later than this.
const EVACUATING: Duration = Duration::from_millis(2_000);
/// What a server that is not warm gets in a second at most, in parts of its rate, and beyond that.
const COLD_OVERRUN: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// What reaches a server this soon after it has asked for a pause was under way.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Requests of one node that may reach it in the rest of the pause.
const IN_A_PAUSE: usize = 2;

/// Until a node that was started has read the store.
const STARTING: Duration = Duration::from_millis(400);

/// What was broken.
pub fn judge(fleet: &Fleet, played: &Played, seen: &[Seen]) -> Vec<String> {
    let runs = runs(fleet);
    let mut broken: Vec<String> = Vec::new();
    for one in seen {
        let ran = runs.get(&one.id).copied().unwrap_or_default();
        let planned = played.trouble == Trouble::Planned && !is_starting(one, played);
        if let Some(why) = judge_one(one, ran, planned) {
            let Seen { id, kind, node, outcome, took, .. } = one;
            broken.push(format!(
                "{why}: {id} ({kind:?}) at {node}, {outcome:?} after {took:?}, ran {ran}"
            ));
        }
    }
    broken.extend(late_work(fleet, played));
    broken.extend(evacuated_work(fleet, played));
    broken.extend(cold_work(fleet, played));
    broken.extend(work_at_leaving(fleet, played, seen));
    broken.extend(work_in_pauses(fleet, played, seen));
    broken.extend(played.late_tables.iter().cloned());
    broken.extend(played.stuck.iter().map(|node| format!("node {node} did not end after SIGTERM")));
    let served = seen.iter().filter(|one| served(one)).count();
    if served * 10 < seen.len() {
        broken.push(format!("only {served} of {} requests were served", seen.len()));
    }
    broken
}

fn served(one: &Seen) -> bool {
    matches!(one.outcome, Outcome::Answered { status: 200, whole: true, .. })
}

/// How often backend servers ran each request; what they turned away they did not run.
fn runs(fleet: &Fleet) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for backend in &fleet.backends {
        for arrival in backend.arrivals().iter().filter(|one| one.retry_after.is_none()) {
            let id = arrival.headers[names::REQUEST_ID].to_str().unwrap_or_default().to_owned();
            *runs.entry(id).or_default() += 1;
        }
    }
    runs
}

/// These callers go to a node whose port is open, whether it says that it is ready or not. One
/// that has just started and not yet read the store refuses, truly: it can't know better.
fn is_starting(one: &Seen, played: &Played) -> bool {
    let refused = matches!(one.outcome, Outcome::Answered { status: 503, .. });
    let started = played.restarted.iter().filter(|(node, _)| *node == one.node);
    refused && started.into_iter().any(|(_, at)| one.began >= *at && one.began < *at + STARTING)
}

fn judge_one(one: &Seen, ran: usize, planned: bool) -> Option<&'static str> {
    match &one.outcome {
        _ if one.kind == Kind::Once && ran > 1 => Some("ran twice"),
        _ if ran > ATTEMPTS_MAX as usize => Some("ran on more servers than its route allows"),
        Outcome::Answered { own: false, .. } => Some("an answer to another request"),
        Outcome::Answered { status: 408 | 421 | 429 | 503, .. } if ran > 0 => {
            Some("said not to have run, and had")
        }
        Outcome::Answered { status: 400..=407 | 413, .. } => Some("refused though it is allowed"),
        Outcome::Answered { status: 200, whole, ids, .. } => judge_events(*whole, ids, planned),
        Outcome::Answered { status: 500.., .. } if planned => Some("failed by planned work"),
        Outcome::Lost if planned && ran > 0 => Some("cut off by planned work"),
        Outcome::Late if planned => Some("late by planned work"),
        _ => None,
    }
}

fn judge_events(whole: bool, ids: &[u64], planned: bool) -> Option<&'static str> {
    let in_order = ids.iter().copied().eq(1..=ids.len() as u64);
    match () {
        () if !in_order => Some("events missing, doubled or out of order"),
        () if whole && ids.len() as u64 != EVENTS => Some("an answer that looks whole and is not"),
        () if !whole && planned => Some("broken off by planned work"),
        () => None,
    }
}

/// Work that reached evacuated failure domains long after the order.
fn evacuated_work(fleet: &Fleet, played: &Played) -> Vec<String> {
    let late = |order: &Evacuated| {
        let servers = fleet.backends.iter().enumerate();
        let servers = servers.filter(|(number, _)| domain(*number) == order.domain);
        let arrivals = servers.flat_map(|(_, server)| server.arrivals());
        let late = arrivals.filter(|one| one.at > order.at + EVACUATING && one.at < order.back_at);
        late.count()
    };
    let counts = played.evacuated.iter().map(|order| (order.domain, late(order)));
    let counts = counts.filter(|(_, count)| *count > 0);
    counts.map(|(domain, count)| format!("{count} requests reached evacuated {domain}")).collect()
}

/// Callers' requests by their ids.
fn by_id(seen: &[Seen]) -> HashMap<&str, &Seen> {
    seen.iter().map(|one| (one.id.as_str(), one)).collect()
}

fn id(arrival: &Arrival) -> &str {
    arrival.headers[names::REQUEST_ID].to_str().unwrap_or_default()
}

/// Whether a node was started again in that time: it knows nothing of before.
fn is_restarted(played: &Played, node: SocketAddr, from: Instant, to: Instant) -> bool {
    let mut starts = played.restarted.iter().filter(|(started, _)| *started == node);
    starts.any(|(_, at)| (from..=to).contains(at))
}

/// Requests sent to a server long after the same node had passed on an answer with which it said that it
/// leaves.
fn work_at_leaving(fleet: &Fleet, played: &Played, seen: &[Seen]) -> Vec<String> {
    let asked = by_id(seen);
    let mut broken = Vec::new();
    for said in &played.said {
        let arrivals = fleet.backends[said.number].arrivals();
        let arrivals = arrivals.iter().filter(|one| (said.at..said.back_at).contains(&one.at));
        let asked: Vec<&Seen> = arrivals.filter_map(|one| asked.get(id(one)).copied()).collect();
        for late in &asked {
            let is_told = |one: &&&Seen| {
                let passed_on = one.began + one.took;
                one.node == late.node
                    && served(one)
                    && late.began > passed_on + LEAVING
                    && !is_restarted(played, late.node, passed_on, late.began)
            };
            if asked.iter().any(|one| is_told(&one)) {
                broken.push(format!("{} sent to leaving backend {}", late.id, said.number));
            }
        }
    }
    broken
}

/// Requests of a node that reached a server in a pause that it had asked that node for.
fn work_in_pauses(fleet: &Fleet, played: &Played, seen: &[Seen]) -> Vec<String> {
    let asked = by_id(seen);
    let mut broken = Vec::new();
    for (number, backend) in fleet.backends.iter().enumerate() {
        let arrivals = backend.arrivals();
        let of: Vec<(&Arrival, SocketAddr)> = arrivals
            .iter()
            .filter_map(|one| asked.get(id(one)).map(|seen| (one, seen.node)))
            .collect();
        for (first, node) in &of {
            let Some(pause) = first.retry_after else { continue };
            let (from, to) = (first.at + UNDER_WAY, first.at + pause);
            let within =
                |(one, by): &&(&Arrival, SocketAddr)| by == node && one.at > from && one.at < to;
            let count = of.iter().filter(within).count();
            if count > IN_A_PAUSE && !is_restarted(played, *node, first.at, to) {
                broken.push(format!("{count} requests in a pause at backend {number}"));
            }
        }
    }
    broken
}

/// Work that reached backend servers, in one second, beyond what they take until they are warm.
fn cold_work(fleet: &Fleet, played: &Played) -> Vec<String> {
    let Some(warmup) = fleet.warmup else { return Vec::new() };
    let allowed = (warmup.per_second * COLD_OVERRUN + COLD_SLACK) as usize;
    let most = |cold: &Cold| {
        let until = cold.at + Duration::from_millis(warmup.ms);
        let arrivals = fleet.backends[cold.number].arrivals();
        let is_meant = |one: &&Arrival| one.headers[names::EXPECT_BACKEND] == cold.id.as_str();
        let arrivals = arrivals.iter().filter(is_meant).map(|one| one.at);
        let reached: Vec<Instant> = arrivals.filter(|at| (cold.at..until).contains(at)).collect();
        let second = |from: &Instant| {
            let within = *from..*from + Duration::from_secs(1);
            reached.iter().filter(|at| within.contains(at)).count()
        };
        reached.iter().map(second).max().unwrap_or_default()
    };
    let counts = played.cold.iter().map(|cold| (cold.number, most(cold)));
    let counts = counts.filter(|(_, count)| *count > allowed);
    counts.map(|(number, count)| format!("{count} requests in a second at cold {number}")).collect()
}

/// Work that reached backend servers long after they said that they leave.
fn late_work(fleet: &Fleet, played: &Played) -> Vec<String> {
    let mut broken = Vec::new();
    for left in &played.left {
        let arrivals = fleet.backends[left.number].arrivals();
        let late = arrivals
            .iter()
            .filter(|arrival| arrival.at > left.at + LEAVING && arrival.at < left.back_at);
        let count = late.count();
        if count > 0 {
            broken.push(format!("{count} requests reached leaving backend {}", left.number));
        }
    }
    broken
}
