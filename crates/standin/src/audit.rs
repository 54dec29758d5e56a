//! Compares what callers sent and received with what the stand-ins recorded.
//!
//! Requests and runs are matched by the digest of the request's text, which the system under test
//! doesn't make. The system's own request ids serve only to find the bill of a run. The audit
//! relies on no claim of the system about itself.

use std::collections::{BTreeMap, BTreeSet};

use policy::domain;
use policy::name::Name;
use wire::configuration::{Document, VersionState};

use crate::platform::audit::Bills;
use crate::run::Run;

domain! {
    /// How one call of a client ended.
    #[derive(Eq)]
    pub enum End {
        /// The caller received the whole answer to its request.
        Answered {
            /// The request id in the answer, which the backend server recorded too.
            request: Name,
        },
        /// The caller received what looked like a whole answer, but it was cut short or belonged to
        /// another request.
        Wrong,
        /// The call was rejected with the statement that the request did not run.
        NotRun,
        /// The call was rejected without that statement, or the connection broke visibly: the
        /// request may have run.
        Unknown,
    }

    /// One call of a client. A client that repeats a request sends the same text again.
    pub struct CallRecord {
        /// Digest of the request's text.
        pub digest: Name,
        /// The client account that made the call.
        pub account: Name,
        /// Whether the call was to a plain service; otherwise it asked for a chat completion.
        pub service: bool,
        /// Whether the request may run more than once.
        pub may_repeat: bool,
        /// The session that the call belonged to; `None` for a call without session.
        pub session: Option<Name>,
        /// How the call ended.
        pub end: End,
    }

    /// Counts of violated promises: in a correct system all are 0.
    #[derive(Default)]
    pub struct Audit {
        /// Answers that belonged to another request, or were cut short without a sign of it.
        pub wrong_answers: u64,
        /// Runs beyond the first of requests that may run only once.
        pub doubled_runs: u64,
        /// Runs on a version or service that the client account may not use, or on a withdrawn
        /// version.
        pub disallowed_runs: u64,
        /// Sessions with runs on more than one version.
        pub sessions_moved: u64,
        /// Answered calls whose request has no bill.
        pub bills_missing: u64,
        /// Requests with more than one bill.
        pub bills_doubled: u64,
        /// Bills whose request no backend server has run.
        pub bills_unfounded: u64,
        /// Batches that are missing in a bill log, and objects in it that are no batch of that log.
        pub bill_gaps: u64,
        /// Requests that ran although every call for them was rejected as not run.
        pub untrue_refusals: u64,
    }
}

/// All calls and runs of one request.
#[derive(Default)]
struct Request<'a> {
    calls: Vec<&'a CallRecord>,
    runs: Vec<&'a Run>,
}

impl Audit {
    /// Compares all calls with all recorded runs and bills.
    #[must_use]
    pub fn new(document: &Document, calls: &[CallRecord], runs: &[Run], bills: &Bills) -> Self {
        let requests = group_by_request(calls, runs);
        let sum = |numbers: Vec<u64>| numbers.iter().sum();
        let all = requests.values();
        Self {
            wrong_answers: calls.iter().filter(|call| call.end == End::Wrong).count() as u64,
            doubled_runs: sum(all.clone().map(Request::doubled_runs).collect()),
            disallowed_runs: sum(all.clone().map(|r| r.disallowed_runs(document)).collect()),
            sessions_moved: sessions_moved(&requests),
            bills_missing: bills_missing(calls, bills),
            bills_doubled: bills.doubled.len() as u64,
            bills_unfounded: bills_unfounded(runs, bills),
            bill_gaps: (bills.gaps.len() + bills.broken.len()) as u64,
            untrue_refusals: sum(all.map(Request::untrue_refusals).collect()),
        }
    }

    /// All counts, with the names that a report prints.
    #[must_use]
    pub fn counts(&self) -> [(&'static str, u64); 9] {
        [
            ("wrong answers", self.wrong_answers),
            ("doubled runs", self.doubled_runs),
            ("runs on a version not allowed", self.disallowed_runs),
            ("sessions moved", self.sessions_moved),
            ("bills missing", self.bills_missing),
            ("bills doubled", self.bills_doubled),
            ("bills without a run", self.bills_unfounded),
            ("bill log gaps", self.bill_gaps),
            ("untrue refusals", self.untrue_refusals),
        ]
    }
}

fn group_by_request<'a>(
    calls: &'a [CallRecord],
    runs: &'a [Run],
) -> BTreeMap<&'a Name, Request<'a>> {
    let mut requests: BTreeMap<&Name, Request<'_>> = BTreeMap::new();
    for call in calls {
        requests.entry(&call.digest).or_default().calls.push(call);
    }
    for run in runs.iter().filter(|run| run.has_begun()) {
        if let Some(request) = requests.get_mut(&run.digest) {
            request.runs.push(run);
        }
    }
    requests
}

impl Request<'_> {
    fn doubled_runs(&self) -> u64 {
        let runs_once = self.calls.iter().any(|call| !call.may_repeat);
        if runs_once { self.runs.len().saturating_sub(1) as u64 } else { 0 }
    }

    fn disallowed_runs(&self, document: &Document) -> u64 {
        let Some(call) = self.calls.first() else { return 0 };
        let Some(account) = document.accounts.get(&call.account) else {
            return self.runs.len() as u64;
        };
        let is_withdrawn = |version: &Name| {
            let version = document.versions.get(version);
            version.is_none_or(|version| version.state == VersionState::Withdrawn)
        };
        let is_allowed = |run: &Run| match call.service {
            true => account.services.contains(&run.version),
            false => account.versions.contains(&run.version) && !is_withdrawn(&run.version),
        };
        self.runs.iter().filter(|run| !is_allowed(run)).count() as u64
    }

    /// 1 if the request ran although every call for it was rejected as not run, else 0.
    fn untrue_refusals(&self) -> u64 {
        let is_denied = self.calls.iter().all(|call| call.end == End::NotRun);
        u64::from(is_denied && !self.runs.is_empty())
    }
}

fn sessions_moved(requests: &BTreeMap<&Name, Request<'_>>) -> u64 {
    let mut versions: BTreeMap<&Name, BTreeSet<&Name>> = BTreeMap::new();
    for request in requests.values() {
        let session = request.calls.first().and_then(|call| call.session.as_ref());
        let Some(session) = session else { continue };
        let seen = versions.entry(session).or_default();
        seen.extend(request.runs.iter().map(|run| &run.version));
    }
    versions.values().filter(|versions| versions.len() > 1).count() as u64
}

fn bills_missing(calls: &[CallRecord], bills: &Bills) -> u64 {
    let billed = bills.ids();
    let missing = |call: &&CallRecord| match &call.end {
        End::Answered { request } => !billed.contains(request),
        _ => false,
    };
    calls.iter().filter(missing).count() as u64
}

fn bills_unfounded(runs: &[Run], bills: &Bills) -> u64 {
    let began = runs.iter().filter(|run| run.has_begun());
    let ran: BTreeSet<&Name> = began.map(|run| &run.request).collect();
    bills.ids().iter().filter(|id| !ran.contains(id)).count() as u64
}
