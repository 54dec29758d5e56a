//! The trace format: JSON lines, first a header, then requests and events ordered by time.

pub mod fault;

use std::collections::BTreeMap;

use policy::domain;
use policy::name::Name;
use serde_json::Value;
use wire::configuration::{Document, Task, check};

pub use fault::Fault;

domain! {
    /// The first line of a trace: deployment, settings of the replay and expected outcomes.
    pub struct Header {
        /// Configuration in force from the beginning of the trace.
        pub configuration: Document,
        /// Number of entry hosts that share the traffic; at least 1.
        pub entry_hosts: u32,
        /// Delay until a host receives another host's ratings and verdicts, in milliseconds.
        pub evidence_delay_ms: u64,
        /// Fraction of answers that may be sent to the rating service, 0 to 1.
        pub rated_share: f64,
        /// Backend servers of each pool, by the pool's name in the configuration.
        pub pools: BTreeMap<Name, Pool>,
        /// Cost of one rating, in the unit of the versions' cost.
        #[serde(default)]
        pub rate_cost: f64,
        /// Time that the rating service takes for one rating, in milliseconds.
        #[serde(default = "default_rate_ms")]
        pub rate_ms: u64,
        /// Seed of all random draws in the replay.
        #[serde(default)]
        pub seed: u64,
        /// Outcomes that a replay of this trace is checked against.
        #[serde(default)]
        pub expect: Expect,
    }

    /// The backend servers of one pool.
    #[derive(Copy)]
    pub struct Pool {
        /// Number of backend servers in the pool.
        pub workers: u32,
        /// Requests that one backend server works on at once.
        pub slots: u32,
        /// Age of a backend server's load report when it reaches the hosts, in milliseconds.
        pub report_lag_ms: u64,
    }

    /// Outcomes expected of a replay; an absent one is not checked.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Expect {
        /// If true, every task's share of good answers must reach its target.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub quality_met: Option<bool>,
        /// Maximum ratio of the replay's cost to that of the best fixed plans in hindsight.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub cost_over_oracle_max: Option<f64>,
        /// Maximum ratio of the replay's cost to that of always using the best version.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub cost_over_best_max: Option<f64>,
        /// Maximum number of calls of versions that have turned bad.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub exposure_max: Option<u64>,
        /// Maximum ratio of that number to what a single host with all the traffic lets through.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub exposure_over_one_host_max: Option<f64>,
        /// Maximum number of good versions that are quarantined.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub false_alarms_max: Option<u64>,
        /// Maximum 95th percentile of answer times, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub p95_ms_max: Option<u64>,
        /// Maximum share of requests that are refused, fail or are answered late, 0 to 1.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub refused_share_max: Option<f64>,
        /// Maximum share of refused, failed or late requests of single client accounts.
        #[serde(skip_serializing_if = "BTreeMap::is_empty")]
        pub account_refused_share_max: BTreeMap<Name, f64>,
        /// Minimum roll-out share of candidates at the end of the replay.
        #[serde(skip_serializing_if = "BTreeMap::is_empty")]
        pub rollout_share_min: BTreeMap<Name, f64>,
    }

    /// A request, with each version's answer time and whether its answer would be good.
    #[serde(deny_unknown_fields)]
    pub struct Request {
        /// When the request arrived, in milliseconds since the trace began.
        pub at_ms: u64,
        /// Identifier of the request; the replay does not read it.
        pub id: Name,
        /// Client account that sent the request.
        pub account: Name,
        /// Task of the client account that the request belongs to.
        pub task: Name,
        /// Session that the request belongs to; `None` for a single request.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub session: Option<Name>,
        /// False if the request must not run more than once; `None` leaves it to the task.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub may_repeat: Option<bool>,
        /// Time allowed for the answer, in milliseconds; `None` uses the task's.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub deadline_ms: Option<u64>,
        /// Whether the answer would be good, by version.
        pub good: BTreeMap<Name, bool>,
        /// Time that a backend server would need for the answer, by version, in milliseconds.
        pub ms: BTreeMap<Name, u64>,
    }

    /// A change in the deployment at a moment of the trace.
    pub struct Event {
        /// Time of the event, in milliseconds since the trace began.
        pub at_ms: u64,
        /// What changes.
        #[serde(flatten)]
        pub what: Happening,
    }

    /// The kinds of events in a trace.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum Happening {
        /// A version's quality drops. Only the count of exposed requests reads this event; the
        /// policy does not see it.
        TurnedBad {
            /// Version whose quality drops.
            version: Name,
        },
        /// An operator withdraws a version.
        Withdraw {
            /// Version that gets no further requests.
            version: Name,
        },
        /// Backend servers crash; the requests that they hold break off.
        PoolDown {
            /// Pool of the servers that crash.
            pool: Name,
            /// Number of servers that crash; `None` means all of the pool.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            workers: Option<u32>,
        },
        /// All backend servers of a pool are up again.
        PoolUp {
            /// Pool whose servers are up again.
            pool: Name,
        },
        /// The platform's store becomes unreachable; roll-outs take no step until it is back.
        PlatformDown,
        /// The platform's store is reachable again.
        PlatformUp,
        /// The rating service becomes unreachable.
        RaterDown,
        /// The rating service is reachable again.
        RaterUp,
        /// The time that a rating takes changes.
        RaterSlow {
            /// Time per rating from this event on, in milliseconds.
            ms: u64,
        },
        /// The control that drives the roll-outs fails, and no other control has noticed yet.
        ControlDown,
        /// Another control has taken over the roll-outs.
        ControlUp,
    }

    /// A parsed trace.
    pub struct Trace {
        /// Deployment, settings of the replay and expected outcomes.
        pub header: Header,
        /// All requests, ordered by time.
        pub requests: Vec<Request>,
        /// All events, ordered by time.
        pub events: Vec<Event>,
    }
}

fn default_rate_ms() -> u64 {
    50
}

/// A line after the header.
enum Line {
    Request(Request),
    Event(Event),
}

impl Trace {
    /// Looks up a request's task in the configuration. [`parse`] rejects traces in which a
    /// request's account or task is missing, so a parsed trace always has it.
    #[must_use]
    pub fn task(&self, request: &Request) -> Option<&Task> {
        self.header.configuration.accounts.get(&request.account)?.tasks.get(&request.task)
    }
}

/// Parses the text of a trace; `file` is the name that a [`Fault`] reports.
///
/// # Errors
/// Returns the first malformed line with its number.
pub fn parse(file: &str, text: &str) -> Result<Trace, Fault> {
    let fault = |line: usize, message: String| Fault { file: file.to_owned(), line, message };
    let mut lines = text.lines().enumerate().map(|(index, line)| (index + 1, line));
    let (_, first) = lines.next().ok_or_else(|| fault(1, "the file is empty".to_owned()))?;
    let header = parse_header(first).map_err(|message| fault(1, message))?;
    let mut trace = Trace { header, requests: Vec::new(), events: Vec::new() };
    let mut latest = 0;
    for (number, line) in lines.filter(|(_, line)| !line.trim().is_empty()) {
        let parsed = parse_line(line).and_then(|line| check_line(&trace, line, latest));
        match parsed.map_err(|message| fault(number, message))? {
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

fn parse_header(line: &str) -> Result<Header, String> {
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

fn parse_line(line: &str) -> Result<Line, String> {
    let value: Value = serde_json::from_str(line).map_err(|e| e.to_string())?;
    match value.get("event") {
        Some(_) => serde_json::from_value(value).map(Line::Event).map_err(|e| e.to_string()),
        None => serde_json::from_value(value).map(Line::Request).map_err(|e| e.to_string()),
    }
}

fn check_line(trace: &Trace, line: Line, latest: u64) -> Result<Line, String> {
    match &line {
        Line::Request(request) if request.at_ms < latest => Err(unsorted(request.at_ms, latest)),
        Line::Event(event) if event.at_ms < latest => Err(unsorted(event.at_ms, latest)),
        Line::Request(request) => check_request(trace, request).map(|()| line),
        Line::Event(event) => check_event(trace, event).map(|()| line),
    }
}

fn unsorted(at_ms: u64, latest: u64) -> String {
    format!("`at_ms` {at_ms} is earlier than {latest} of a previous line")
}

fn check_request(trace: &Trace, request: &Request) -> Result<(), String> {
    let accounts = &trace.header.configuration.accounts;
    let account = accounts
        .get(&request.account)
        .ok_or_else(|| format!("the configuration has no account {}", request.account))?;
    if !account.tasks.contains_key(&request.task) {
        return Err(format!("account {} has no task {}", request.account, request.task));
    }
    let missing = account
        .versions
        .iter()
        .find(|v| !request.good.contains_key(*v) || !request.ms.contains_key(*v));
    match missing {
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
