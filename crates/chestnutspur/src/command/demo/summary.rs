//! The printed summary of the demo.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use policy::domain;
use policy::name::Name;
use standin::audit::Audit;
use standin::deployment::Deployment;
use standin::platform::audit::Bills;

use super::caller::Outcome;
use super::drive::{self, Exchange, Journal};
use super::fleet::Fleet;

/// Name of the platform's table of quarantines.
const QUARANTINE_TABLE: &str = "quarantine";

domain! {
    /// Counts that `--json` prints.
    pub struct Figures {
        /// Number of complete answers, each to its own request.
        pub answered: u64,
        /// Number of refusals, and of calls that failed visibly: broken connections and timeouts.
        pub refused: u64,
        /// Number of responses that looked complete but were not the complete answer to their
        /// request.
        pub wrong_answers: u64,
        /// Number of runs beyond the first of requests that may run only once.
        pub doubled_runs: u64,
        /// Number of runs on a version that the client account does not allow or that is withdrawn.
        pub disallowed_runs: u64,
        /// Number of sessions with runs on more than one version.
        pub sessions_moved: u64,
        /// Number of answered requests without a bill.
        pub bills_missing: u64,
        /// Number of requests with more than one bill.
        pub bills_doubled: u64,
        /// Billed cost of all answered chat completions, divided by what they would have cost on
        /// the most expensive version.
        pub cost_ratio_to_best: f64,
        /// Number of runs on the version that turned bad, after it turned bad.
        pub exposure: u64,
    }
}

/// Results of a demo: what the callers saw, and the audit of the stand-ins' records.
pub struct Summary {
    /// Audited counts, each of which must be 0.
    pub audit: Audit,
    /// Errors of the processes that did not stop cleanly.
    pub unclean: Vec<String>,
    /// Wrong answers, each as the request's text and what was wrong with the answer.
    pub wrong: Vec<String>,
    answered: u64,
    refused: BTreeMap<String, u64>,
    good: u64,
    cost_ratio_to_best: f64,
    turned_bad: Name,
    exposure: u64,
    /// Versions under quarantine at the end, from the platform's table.
    quarantined: Vec<Name>,
    /// Latencies of all answered requests, in ascending order.
    latencies: Vec<Duration>,
}

impl Summary {
    /// Sums up the journal and audits the stand-ins' records.
    #[must_use]
    pub fn new(fleet: &Fleet, deployment: &Deployment, journal: &Journal) -> Self {
        let mut refused: BTreeMap<String, u64> = BTreeMap::new();
        let mut latencies = Vec::new();
        let mut wrong = Vec::new();
        let (mut answered, mut good) = (0, 0);
        for exchange in &journal.exchanges {
            match &exchange.outcome {
                Outcome::Answered { good: is_good, latency, .. } => {
                    answered += 1;
                    good += u64::from(*is_good);
                    latencies.push(*latency);
                }
                Outcome::Refused(refusal) => {
                    *refused.entry(code_name(refusal.code)).or_default() += 1;
                }
                Outcome::Broken(why) => *refused.entry(format!("broken: {why}")).or_default() += 1,
                Outcome::Wrong(why) => wrong.push(format!("{}: {why}", exchange.request.text())),
            }
        }
        latencies.sort_unstable();
        let bills = fleet.platform.bills();
        let sent: Vec<_> = journal.exchanges.iter().map(Exchange::record).collect();
        Self {
            audit: Audit::new(&deployment.document, &sent, &fleet.runs(), &bills),
            unclean: fleet.unclean.clone(),
            wrong,
            answered,
            refused,
            good,
            cost_ratio_to_best: cost_ratio(&bills, deployment, journal),
            turned_bad: journal.turned_bad.clone(),
            exposure: exposure(fleet, journal),
            quarantined: fleet
                .platform
                .rows(QUARANTINE_TABLE)
                .into_iter()
                .map(|row| row.key)
                .collect(),
            latencies,
        }
    }

    /// Returns the counts that `--json` prints.
    #[must_use]
    pub fn figures(&self) -> Figures {
        Figures {
            answered: self.answered,
            refused: self.refused.values().sum(),
            wrong_answers: self.audit.wrong_answers,
            doubled_runs: self.audit.doubled_runs,
            disallowed_runs: self.audit.disallowed_runs,
            sessions_moved: self.audit.sessions_moved,
            bills_missing: self.audit.bills_missing,
            bills_doubled: self.audit.bills_doubled,
            cost_ratio_to_best: self.cost_ratio_to_best,
            exposure: self.exposure,
        }
    }

    /// Describes each count that must be 0 and is not, and each unclean stop.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let numbers = self.audit.counts();
        let numbers = numbers.iter().filter(|(_, number)| *number > 0);
        let numbers = numbers.map(|(name, number)| format!("{name}: {number}"));
        let unclean = self.unclean.iter().map(|why| format!("unclean stop: {why}"));
        numbers.chain(unclean).collect()
    }

    /// Returns a quantile of the latencies, in milliseconds.
    fn latency_ms(&self, quantile: f64) -> f64 {
        let index = (self.latencies.len() as f64 * quantile) as usize;
        let latency = self.latencies.get(index).or(self.latencies.last());
        latency.map_or(0.0, |latency| latency.as_secs_f64() * 1000.0)
    }
}

fn code_name(code: wire::refusal::Code) -> String {
    match serde_json::to_value(code) {
        Ok(serde_json::Value::String(name)) => name,
        _ => format!("{code:?}"),
    }
}

fn cost_ratio(bills: &Bills, deployment: &Deployment, journal: &Journal) -> f64 {
    let chats = journal.exchanges.iter().filter(|exchange| drive::is_chat(&exchange.request));
    let ids: BTreeSet<&Name> = chats
        .filter_map(|exchange| match &exchange.outcome {
            Outcome::Answered { request, .. } => Some(request),
            _ => None,
        })
        .collect();
    let versions = deployment.document.versions.values();
    let best = versions.map(|version| version.cost).fold(0.0, f64::max);
    let costs: BTreeMap<&Name, f64> =
        bills.bills.iter().map(|bill| (&bill.request, bill.cost)).collect();
    let billed = ids.iter().filter_map(|id| costs.get(*id));
    billed.fold(0.0, |sum, cost| sum + cost) / (best * ids.len().max(1) as f64)
}

fn exposure(fleet: &Fleet, journal: &Journal) -> u64 {
    let engines = fleet.engines.iter().zip(&journal.runs_before);
    let counts = engines.map(|(engine, before)| {
        let after = engine.runs().into_iter().filter(|run| run.order >= *before);
        after.filter(|run| run.version == journal.turned_bad && run.has_begun()).count() as u64
    });
    counts.sum()
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let refused: u64 = self.refused.values().sum();
        writeln!(f, "{:<34}{:>10}", "answered", self.answered)?;
        writeln!(f, "{:<34}{:>10}", "refused", refused)?;
        for (reason, count) in &self.refused {
            writeln!(f, "  {reason:<32}{count:>10}")?;
        }
        let share = self.good as f64 / self.answered.max(1) as f64;
        writeln!(f, "{:<34}{share:>10.3}", "share of good answers")?;
        writeln!(f, "{:<34}{:>10.3}", "cost against always-best", self.cost_ratio_to_best)?;
        let exposure = format!("exposure to {}", self.turned_bad);
        writeln!(f, "{exposure:<34}{:>10}", self.exposure)?;
        for version in &self.quarantined {
            writeln!(f, "{:<34}{version:>10}", "under quarantine")?;
        }
        for (name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
            writeln!(
                f,
                "{:<34}{:>10.1}",
                format!("latency {name}, ms"),
                self.latency_ms(quantile)
            )?;
        }
        writeln!(f, "audit, from the stand-ins' own records:")?;
        for (name, number) in self.audit.counts() {
            writeln!(f, "  {name:<32}{number:>10}")?;
        }
        Ok(())
    }
}
