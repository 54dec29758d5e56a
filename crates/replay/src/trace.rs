//! Traces: JSON lines, a header first, then requests and events in order of time.

pub mod fault;

use std::collections::BTreeMap;

use policy::domain;
use policy::name::Name;
use serde_json::Value;
use wire::configuration::{Document, Task, check};

pub use fault::Fault;

domain! {
    /// The first line.
    pub struct Header {
        /// The configuration in force.
        pub configuration: Document,
        /// Entry hosts that share the traffic.
        pub entry_hosts: u32,
        /// Time until a host learns of what another saw, in milliseconds.
        pub evidence_delay_ms: u64,
        /// Share of answers that may be sent to the rating service, 0 to 1.
        pub rated_share: f64,
        /// Backend servers by pool.
        pub pools: BTreeMap<Name, Pool>,
        /// Cost of one rating.
        #[serde(default)]
        pub rate_cost: f64,
        /// Time that one rating takes, in milliseconds.
        #[serde(default = "default_rate_ms")]
        pub rate_ms: u64,
        /// Seed of all draws.
        #[serde(default)]
        pub seed: u64,
        /// Stated outcomes.
        #[serde(default)]
        pub expect: Expect,
    }

    /// The backend servers of one pool.
    #[derive(Copy)]
    pub struct Pool {
        /// How many there are.
        pub workers: u32,
        /// Requests that each works on at once.
        pub slots: u32,
        /// Age of its reports of load, in milliseconds.
        pub report_lag_ms: u64,
    }

    /// Outcomes stated beforehand; an absent one is not checked.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Expect {
        /// Every task's share of good answers reaches its target.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub quality_met: Option<bool>,
        /// Cost over that of the best fixed plans in hindsight, at most.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub cost_over_oracle_max: Option<f64>,
        /// Cost over that of always using the best version, at most.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub cost_over_best_max: Option<f64>,
        /// Requests that reach versions turned bad, at most.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub exposure_max: Option<u64>,
        /// The same over what one host with all the traffic would let through, at most.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub exposure_over_one_host_max: Option<f64>,
        /// Good versions put under quarantine, at most.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub false_alarms_max: Option<u64>,
        /// 95 in 100 answers come within this, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub p95_ms_max: Option<u64>,
        /// Share of requests refused, failed or late, at most.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub refused_share_max: Option<f64>,
        /// The same for single client accounts.
        #[serde(skip_serializing_if = "BTreeMap::is_empty")]
        pub account_refused_share_max: BTreeMap<Name, f64>,
        /// The final roll-out share of candidates, at least.
        #[serde(skip_serializing_if = "BTreeMap::is_empty")]
        pub rollout_share_min: BTreeMap<Name, f64>,
    }

    /// A request, with what each version would have made of it.
    #[serde(deny_unknown_fields)]
    pub struct Request {
        /// When it came, in milliseconds since the trace began.
        pub at_ms: u64,
        /// Its id.
        pub id: Name,
        /// The client account.
        pub account: Name,
        /// The task.
        pub task: Name,
        /// The session, if it is part of one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub session: Option<Name>,
        /// Whether it may run more than once; the task says so if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub may_repeat: Option<bool>,
        /// Longest time it may take, in milliseconds; the task says so if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub deadline_ms: Option<u64>,
        /// Whether each version's answer would be good.
        pub good: BTreeMap<Name, bool>,
        /// Time that each version would take, in milliseconds.
        pub ms: BTreeMap<Name, u64>,
    }

    /// Something that happens.
    pub struct Event {
        /// When, in milliseconds since the trace began.
        pub at_ms: u64,
        /// What.
        #[serde(flatten)]
        pub what: Happening,
    }

    /// What can happen.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum Happening {
        /// A mark for counting exposure; the policy does not see it.
        TurnedBad {
            /// The version.
            version: Name,
        },
        /// An operator withdraws a version.
        Withdraw {
            /// The version.
            version: Name,
        },
        /// Backend servers go, with what they work on.
        PoolDown {
            /// The pool.
            pool: Name,
            /// How many; all if absent.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            workers: Option<u32>,
        },
        /// They all come back.
        PoolUp {
            /// The pool.
            pool: Name,
        },
        /// The platform's store is away: no roll-out step.
        PlatformDown,
        /// It is back.
        PlatformUp,
        /// The rating service is away.
        RaterDown,
        /// It is back.
        RaterUp,
        /// Ratings take this long from now on.
        RaterSlow {
            /// Milliseconds.
            ms: u64,
        },
        /// The control that drives the roll-outs is gone, and no other has noticed yet.
        ControlDown,
        /// Another one has taken over.
        ControlUp,
    }

    /// A whole trace.
    pub struct Trace {
        /// The first line.
        pub header: Header,
        /// Requests, in order of time.
        pub requests: Vec<Request>,
        /// Events, in order of time.
        pub events: Vec<Event>,
    }
}

fn default_rate_ms() -> u64 {
    50
}

/// A line after the first.
enum Line {
    Request(Request),
    Event(Event),
}

impl Trace {
    /// The request's task in the configuration; parsing has made sure that it is there.
    #[must_use]
    pub fn task(&self, request: &Request) -> Option<&Task> {
        self.header.configuration.accounts.get(&request.account)?.tasks.get(&request.task)
    }
}

/// Reads a trace; `file` is named in faults.
///
/// # Errors
/// The first malformed line, with its number.
pub fn parse(file: &str, text: &str) -> Result<Trace, Fault> {
    let fault = |line: usize, message: String| Fault { file: file.to_owned(), line, message };
    let mut lines = text.lines().enumerate().map(|(index, line)| (index + 1, line));
    let (_, first) = lines.next().ok_or_else(|| fault(1, "the file is empty".to_owned()))?;
    let header = header(first).map_err(|message| fault(1, message))?;
    let mut trace = Trace { header, requests: Vec::new(), events: Vec::new() };
    let mut latest = 0;
    for (number, line) in lines.filter(|(_, line)| !line.trim().is_empty()) {
        let read = read(line).and_then(|line| checked(&trace, line, latest));
        match read.map_err(|message| fault(number, message))? {
            Line::Request(request) => {
                latest = request.at_ms;
                trace.requests.push(request);
            }
            Line::Event(event) => {
                latest = event.at_ms;
                trace.events.push(event);
            }
        }
    }
    Ok(trace)
}

fn header(line: &str) -> Result<Header, String> {
    let value: Value = serde_json::from_str(line).map_err(|e| e.to_string())?;
    let document = value.get("configuration").ok_or("no `configuration` in the first line")?;
    if let Err(faults) = check::parse(&document.to_string()) {
        let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
        return Err(format!("configuration: {}", all.join("; ")));
    }
    let header: Header = serde_json::from_value(value).map_err(|e| e.to_string())?;
    match &header {
        header if header.entry_hosts == 0 => Err("`entry_hosts` must not be 0".to_owned()),
        header if !(0.0..=1.0).contains(&header.rated_share) => {
            Err("`rated_share` must be from 0 to 1".to_owned())
        }
        header => match missing_pool(header) {
            Some(message) => Err(message),
            None => Ok(header.clone()),
        },
    }
}

fn missing_pool(header: &Header) -> Option<String> {
    let pools = header.configuration.versions.values().map(|version| &version.pool);
    let missing = pools.into_iter().find(|pool| !header.pools.contains_key(*pool))?;
    Some(format!("`pools` has no {missing}"))
}

fn read(line: &str) -> Result<Line, String> {
    let value: Value = serde_json::from_str(line).map_err(|e| e.to_string())?;
    match value.get("event") {
        Some(_) => serde_json::from_value(value).map(Line::Event).map_err(|e| e.to_string()),
        None => serde_json::from_value(value).map(Line::Request).map_err(|e| e.to_string()),
    }
}

fn checked(trace: &Trace, line: Line, latest: u64) -> Result<Line, String> {
    match &line {
        Line::Request(request) if request.at_ms < latest => Err(earlier(request.at_ms, latest)),
        Line::Event(event) if event.at_ms < latest => Err(earlier(event.at_ms, latest)),
        Line::Request(request) => check_request(trace, request).map(|()| line),
        Line::Event(event) => check_event(trace, event).map(|()| line),
    }
}

fn earlier(at_ms: u64, latest: u64) -> String {
    format!("`at_ms` {at_ms} is earlier than {latest} of a line before")
}

fn check_request(trace: &Trace, request: &Request) -> Result<(), String> {
    let accounts = &trace.header.configuration.accounts;
    let account = accounts
        .get(&request.account)
        .ok_or_else(|| format!("the configuration has no account {}", request.account))?;
    if !account.tasks.contains_key(&request.task) {
        return Err(format!("account {} has no task {}", request.account, request.task));
    }
    let lacking = account
        .versions
        .iter()
        .find(|v| !request.good.contains_key(*v) || !request.ms.contains_key(*v));
    match lacking {
        Some(version) => Err(format!("`good` or `ms` lacks version {version}")),
        None => Ok(()),
    }
}

fn check_event(trace: &Trace, event: &Event) -> Result<(), String> {
    let header = &trace.header;
    match &event.what {
        Happening::TurnedBad { version } | Happening::Withdraw { version }
            if !header.configuration.versions.contains_key(version) =>
        {
            Err(format!("the configuration has no version {version}"))
        }
        Happening::PoolDown { pool, .. } | Happening::PoolUp { pool }
            if !header.pools.contains_key(pool) =>
        {
            Err(format!("`pools` has no {pool}"))
        }
        _ => Ok(()),
    }
}
