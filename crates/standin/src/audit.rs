//! Joins what callers sent and got with what the stand-ins recorded.
//!
//! Requests and runs are matched by the digest of the request's text, which the system has no
//! hand in; its own ids serve only to find the bill of a run. Nothing here is the system's word.

use std::collections::{BTreeMap, BTreeSet};

use policy::domain;
use policy::name::Name;
use wire::configuration::{Document, VersionState};

use crate::platform::audit::Bills;
use crate::run::Run;

domain! {
    /// What came of one sending of a request.
    #[derive(Eq)]
    pub enum End {
        /// The whole answer to this request, made under an id that the backend server recorded.
        Answered {
            /// The id.
            request: Name,
        },
        /// Something that passed for a whole answer, and was not the one to this request.
        Wrong,
        /// A refusal which says that the request did not run.
        NotRun,
        /// Any other refusal, or a connection that broke visibly.
        Unknown,
    }

    /// One sending of a request. A caller that sends a request again sends the same text.
    pub struct CallRecord {
        /// Digest of its text.
        pub digest: Name,
        /// Whose it is.
        pub account: Name,
        /// Whether it calls a plain service; otherwise it is a chat completion.
        pub service: bool,
        /// Whether it may run more than once.
        pub may_repeat: bool,
        /// The session it was sent in, if any.
        pub session: Option<Name>,
        /// What came of it.
        pub end: End,
    }

    /// Numbers that must all be 0.
    #[derive(Default)]
    pub struct Audit {
        /// Answers that were not, or not wholly, the answer to their request.
        pub wrong_answers: u64,
        /// Runs beyond the first of requests that may run once.
        pub doubled_runs: u64,
        /// Runs on a version or service that the account does not allow, or that is withdrawn.
        pub disallowed_runs: u64,
        /// Sessions with runs on more than one version.
        pub sessions_moved: u64,
        /// Requests answered without a bill.
        pub bills_missing: u64,
        /// Requests with more than one bill.
        pub bills_doubled: u64,
        /// Bills for which no backend server has a run.
        pub bills_unfounded: u64,
        /// Batches missing in, or strange to, a bill log.
        pub bill_gaps: u64,
        /// Requests refused as not run that ran.
        pub untrue_refusals: u64,
    }
}

/// All sendings and runs of one request.
#[derive(Default)]
struct Request<'a> {
    sent: Vec<&'a CallRecord>,
    runs: Vec<&'a Run>,
}

impl Audit {
    /// Compares everything sent with everything recorded.
    #[must_use]
    pub fn new(document: &Document, sent: &[CallRecord], runs: &[Run], bills: &Bills) -> Self {
        let requests = requests(sent, runs);
        let sum = |numbers: Vec<u64>| numbers.iter().sum();
        let each = requests.values();
        Self {
            wrong_answers: sent.iter().filter(|sent| sent.end == End::Wrong).count() as u64,
            doubled_runs: sum(each.clone().map(Request::doubled).collect()),
            disallowed_runs: sum(each.clone().map(|r| r.disallowed(document)).collect()),
            sessions_moved: sessions_moved(&requests),
            bills_missing: bills_missing(sent, bills),
            bills_doubled: bills.doubled.len() as u64,
            bills_unfounded: bills_unfounded(runs, bills),
            bill_gaps: (bills.gaps.len() + bills.broken.len()) as u64,
            untrue_refusals: sum(each.map(Request::untrue).collect()),
        }
    }

    /// All numbers, with their names.
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

fn requests<'a>(sent: &'a [CallRecord], runs: &'a [Run]) -> BTreeMap<&'a Name, Request<'a>> {
    let mut requests: BTreeMap<&Name, Request<'_>> = BTreeMap::new();
    for sent in sent {
        requests.entry(&sent.digest).or_default().sent.push(sent);
    }
    for run in runs.iter().filter(|run| run.has_begun()) {
        if let Some(request) = requests.get_mut(&run.digest) {
            request.runs.push(run);
        }
    }
    requests
}

impl Request<'_> {
    fn doubled(&self) -> u64 {
        let once = self.sent.iter().any(|sent| !sent.may_repeat);
        if once { self.runs.len().saturating_sub(1) as u64 } else { 0 }
    }

    fn disallowed(&self, document: &Document) -> u64 {
        let Some(sent) = self.sent.first() else { return 0 };
        let Some(account) = document.accounts.get(&sent.account) else {
            return self.runs.len() as u64;
        };
        let withdrawn = |version: &Name| {
            let version = document.versions.get(version);
            version.is_none_or(|version| version.state == VersionState::Withdrawn)
        };
        let allowed = |run: &Run| match sent.service {
            true => account.services.contains(&run.version),
            false => account.versions.contains(&run.version) && !withdrawn(&run.version),
        };
        self.runs.iter().filter(|run| !allowed(run)).count() as u64
    }

    /// Whether it ran although every sending was refused as not run.
    fn untrue(&self) -> u64 {
        let denied = self.sent.iter().all(|sent| sent.end == End::NotRun);
        u64::from(denied && !self.runs.is_empty())
    }
}

fn sessions_moved(requests: &BTreeMap<&Name, Request<'_>>) -> u64 {
    let mut versions: BTreeMap<&Name, BTreeSet<&Name>> = BTreeMap::new();
    for request in requests.values() {
        let session = request.sent.first().and_then(|sent| sent.session.as_ref());
        let Some(session) = session else { continue };
        let seen = versions.entry(session).or_default();
        seen.extend(request.runs.iter().map(|run| &run.version));
    }
    versions.values().filter(|versions| versions.len() > 1).count() as u64
}

fn bills_missing(sent: &[CallRecord], bills: &Bills) -> u64 {
    let billed = bills.ids();
    let missing = |sent: &&CallRecord| match &sent.end {
        End::Answered { request } => !billed.contains(request),
        _ => false,
    };
    sent.iter().filter(missing).count() as u64
}

fn bills_unfounded(runs: &[Run], bills: &Bills) -> u64 {
    let began = runs.iter().filter(|run| run.has_begun());
    let ran: BTreeSet<&Name> = began.map(|run| &run.request).collect();
    bills.ids().iter().filter(|id| !ran.contains(id)).count() as u64
}
