//! Counts of requests by outcome, and the accuracy of expected waits.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use policy::domain;
use policy::name::Name;

use crate::cause::{self, Cause};
use crate::line::Line;
use crate::request::{Outcome, Request};

/// Upper bounds (inclusive) of the classes of prompt lengths, in tokens. Longer prompts are one more class.
const TOKENS_MAX: [u64; 4] = [0, 1_000, 4_000, 16_000];
/// Length of the time spans by which requests are grouped.
const SPAN_S: f64 = 5.0;
/// Delay over the expected time above which the head of an answer counts as much later.
const MUCH_LATER_MS: u64 = 300;

domain! {
    /// Counts of the requests of one group.
    #[derive(Default)]
    pub struct Group {
        /// Number of requests that ended.
        pub requests: u64,
        /// Number of requests by outcome.
        pub outcomes: BTreeMap<Outcome, u64>,
        /// Number of requests that were sent to a second server because the first one was late.
        #[serde(default)]
        pub hedged: u64,
        /// Number of requests that the second server answered first.
        #[serde(default)]
        pub hedges_won: u64,
        /// Number of late requests by cause.
        pub causes: BTreeMap<Cause, u64>,
    }

    /// Time from an attempt to the head of its answer: as expected when the backend server was
    /// chosen, and as measured.
    #[derive(Default)]
    pub struct Calibration {
        /// Number of requests whose last attempt was answered.
        pub answers: u64,
        /// Mean expected time, in milliseconds.
        pub expected_ms: f64,
        /// Mean measured time, in milliseconds.
        pub real_ms: f64,
        /// Mean absolute difference of expected and measured time, in milliseconds.
        pub off_ms: f64,
        /// Number of answers that came over 300 ms later than expected.
        pub much_later: u64,
    }

    /// Outcomes of requests, in total and by several groupings.
    #[derive(Default)]
    pub struct Report {
        /// Counts of all requests.
        pub all: Group,
        /// Counts by route.
        pub routes: BTreeMap<Name, Group>,
        /// Counts by failure domain of the host that received the request; by name of the host if
        /// the logs don't contain its start, which names the domain.
        pub failure_domains: BTreeMap<Name, Group>,
        /// Counts by class of prompt length, in tokens.
        pub prompts: BTreeMap<Name, Group>,
        /// Counts by time span of the request's end; the key is the span's start, in seconds since
        /// the end of the first request.
        pub spans: BTreeMap<u64, Group>,
        /// Accuracy of expected times by the backend server that answered last.
        pub backends: BTreeMap<Name, Calibration>,
        /// Accuracy of expected times by the model that answered last.
        pub models: BTreeMap<Name, Calibration>,
        /// Expected and measured times of answers with and without a fetch between engines.
        pub fetches: BTreeMap<Name, Calibration>,
    }
}

impl Group {
    fn add(&mut self, request: &Request) {
        self.requests += 1;
        self.hedged += u64::from(request.is_hedged);
        self.hedges_won += u64::from(request.has_hedge_won);
        *self.outcomes.entry(request.outcome).or_default() += 1;
        if request.outcome == Outcome::Late {
            *self.causes.entry(cause::classify(request)).or_default() += 1;
        }
    }

    fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or_default()
    }
}

impl Calibration {
    fn add(&mut self, request: &Request) {
        self.answers += 1;
        let weight = 1.0 / self.answers as f64;
        let (expected, real) = (request.expected_ms as f64, request.head_ms as f64);
        self.expected_ms += (expected - self.expected_ms) * weight;
        self.real_ms += (real - self.real_ms) * weight;
        self.off_ms += ((real - expected).abs() - self.off_ms) * weight;
        let is_much_later = request.head_ms > request.expected_ms + MUCH_LATER_MS;
        self.much_later += u64::from(is_much_later);
    }
}

impl Report {
    /// Builds a report from log lines of any number of hosts, in any order.
    #[must_use]
    pub fn from_lines(lines: &[Line]) -> Self {
        let requests: Vec<Request> = lines.iter().filter_map(Request::read).collect();
        let first_end = requests.iter().map(|request| request.at).fold(f64::INFINITY, f64::min);
        let domains = domains_by_host(lines);
        let mut report = Self::default();
        for request in &requests {
            let domain = domains.get(&request.host).unwrap_or(&request.host).clone();
            let span = ((request.at - first_end) / SPAN_S) as u64 * SPAN_S as u64;
            report.all.add(request);
            report.routes.entry(request.route.clone()).or_default().add(request);
            report.failure_domains.entry(domain).or_default().add(request);
            report.prompts.entry(prompt_class(request.prompt)).or_default().add(request);
            report.spans.entry(span).or_default().add(request);
            // A request without a measured time was never answered by a backend server.
            if request.head_ms > 0 && !request.backend.is_empty() {
                report.backends.entry(request.backend.clone()).or_default().add(request);
                report.models.entry(request.model.clone()).or_default().add(request);
                let fetch = if request.fetched > 0 { "with a fetch" } else { "without a fetch" };
                report.fetches.entry(Name::from(fetch)).or_default().add(request);
            }
        }
        report
    }

    /// The report as tables for people to read.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        write_groups(&mut text, "all requests", [(Name::from("all"), &self.all)]);
        write_groups(&mut text, "by route", named_groups(&self.routes));
        write_groups(&mut text, "by failure domain", named_groups(&self.failure_domains));
        write_groups(&mut text, "by prompt, tokens", named_groups(&self.prompts));
        let spans = self.spans.iter().map(|(at, group)| (Name::from(format!("{at:>6} s")), group));
        write_groups(&mut text, "by time", spans);
        write_calibrations(&mut text, "expected against real, by model", &self.models);
        write_calibrations(&mut text, "expected against real, by fetch", &self.fetches);
        write_calibrations(&mut text, "expected against real, by backend server", &self.backends);
        text
    }
}

/// The failure domain of each host, from the log line of the host's start.
fn domains_by_host(lines: &[Line]) -> BTreeMap<Name, Name> {
    let started = lines.iter().filter(|line| line.text("event") == "started");
    let named = started.filter(|line| !line.text("domain").is_empty());
    named.map(|line| (Name::from(line.text("host")), Name::from(line.text("domain")))).collect()
}

/// Names the class of a prompt's length. The names sort in order of length.
fn prompt_class(tokens: u64) -> Name {
    let class = TOKENS_MAX.iter().position(|bound| tokens <= *bound).unwrap_or(TOKENS_MAX.len());
    let name = match class {
        0 => "none".to_owned(),
        class if class == TOKENS_MAX.len() => format!("{:>6} and more", TOKENS_MAX[class - 1] + 1),
        class => format!("{:>6} to {}", TOKENS_MAX[class - 1] + 1, TOKENS_MAX[class]),
    };
    Name::from(name)
}

fn named_groups(groups: &BTreeMap<Name, Group>) -> impl Iterator<Item = (Name, &Group)> {
    groups.iter().map(|(name, group)| (name.clone(), group))
}

fn write_groups<'a>(
    text: &mut String,
    title: &str,
    rows: impl IntoIterator<Item = (Name, &'a Group)>,
) {
    // Writing to a `String` never fails.
    let _ = writeln!(
        text,
        "{title}\n{:<24} {:>8} {:>8} {:>7} {:>8} {:>7} {:>7} {:>7} {:>7}  late because",
        "", "requests", "in time", "late", "refused", "failed", "gone", "hedged", "won"
    );
    for (name, group) in rows {
        let causes: Vec<String> =
            group.causes.iter().map(|(cause, count)| format!("{cause:?} {count}")).collect();
        let _ = writeln!(
            text,
            "{:<24} {:>8} {:>8} {:>7} {:>8} {:>7} {:>7} {:>7} {:>7}  {}",
            name.as_str(),
            group.requests,
            group.count(Outcome::InTime),
            group.count(Outcome::Late),
            group.count(Outcome::Refused),
            group.count(Outcome::Failed),
            group.count(Outcome::CallerGone),
            group.hedged,
            group.hedges_won,
            causes.join(", ")
        );
    }
    text.push('\n');
}

fn write_calibrations(text: &mut String, title: &str, rows: &BTreeMap<Name, Calibration>) {
    let _ = writeln!(
        text,
        "{title}, ms\n{:<24} {:>8} {:>9} {:>9} {:>9} {:>11}",
        "", "answers", "expected", "real", "off by", "much later"
    );
    for (name, row) in rows {
        let _ = writeln!(
            text,
            "{:<24} {:>8} {:>9.0} {:>9.0} {:>9.0} {:>11}",
            name.as_str(),
            row.answers,
            row.expected_ms,
            row.real_ms,
            row.off_ms,
            row.much_later
        );
    }
    text.push('\n');
}
