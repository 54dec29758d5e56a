//! What the demo prints.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use policy::domain;
use policy::name::Name;
use standin::audit::Audit;
use standin::deployment::Deployment;
use standin::platform::audit::Bills;

use super::caller::Outcome;
use super::drive::{self, Journal, Sent};
use super::world::World;

/// The platform's table of quarantines.
const QUARANTINE: &str = "quarantine";

domain! {
    /// What `--json` prints.
    pub struct Figures {
        /// Whole answers.
        pub answered: u64,
        /// Refusals, and answers that broke off visibly.
        pub refused: u64,
        /// Answers that were not, or not wholly, the answer to their request.
        pub wrong_answers: u64,
        /// Runs beyond the first of requests that may run once.
        pub doubled_runs: u64,
        /// Runs on a version that the account does not allow, or that is withdrawn.
        pub disallowed_runs: u64,
        /// Sessions with runs on more than one version.
        pub sessions_moved: u64,
        /// Requests answered without a bill.
        pub bills_missing: u64,
        /// Requests with more than one bill.
        pub bills_doubled: u64,
        /// Cost billed for chat completions, as a share of what the best version alone would cost.
        pub cost_ratio_to_best: f64,
        /// Runs on the version that turned bad, after it did.
        pub exposure: u64,
    }
}

/// The whole summary.
pub struct Summary {
    /// What must be 0.
    pub audit: Audit,
    /// Processes that did not stop as they should.
    pub unclean: Vec<String>,
    /// Each wrong answer: whose, and what it was.
    pub wrong: Vec<String>,
    answered: u64,
    refused: BTreeMap<String, u64>,
    good: u64,
    cost_ratio_to_best: f64,
    turned_bad: Name,
    exposure: u64,
    /// Keys of the platform's table of quarantines.
    quarantined: Vec<Name>,
    /// Sorted.
    latencies: Vec<Duration>,
}

impl Summary {
    /// Adds up everything.
    #[must_use]
    pub fn new(world: &World, deployment: &Deployment, journal: &Journal) -> Self {
        let mut refused: BTreeMap<String, u64> = BTreeMap::new();
        let mut latencies = Vec::new();
        let mut wrong = Vec::new();
        let (mut answered, mut good) = (0, 0);
        for sent in &journal.sent {
            match &sent.outcome {
                Outcome::Answered { good: is_good, took, .. } => {
                    answered += 1;
                    good += u64::from(*is_good);
                    latencies.push(*took);
                }
                Outcome::Refused(refusal) => {
                    *refused.entry(code(refusal.code)).or_default() += 1;
                }
                Outcome::Broken(why) => *refused.entry(format!("broken: {why}")).or_default() += 1,
                Outcome::Wrong(why) => wrong.push(format!("{}: {why}", sent.request.text())),
            }
        }
        latencies.sort_unstable();
        let bills = world.platform.bills();
        let sent: Vec<_> = journal.sent.iter().map(Sent::record).collect();
        Self {
            audit: Audit::new(&deployment.document, &sent, &world.runs(), &bills),
            unclean: world.unclean.clone(),
            wrong,
            answered,
            refused,
            good,
            cost_ratio_to_best: cost_ratio(&bills, deployment, journal),
            turned_bad: journal.turned_bad.clone(),
            exposure: exposure(world, journal),
            quarantined: world.platform.rows(QUARANTINE).into_iter().map(|row| row.key).collect(),
            latencies,
        }
    }

    /// The figures alone.
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

    /// Everything that must not be.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let numbers = self.audit.counts();
        let numbers = numbers.iter().filter(|(_, number)| *number > 0);
        let numbers = numbers.map(|(name, number)| format!("{name}: {number}"));
        let unclean = self.unclean.iter().map(|why| format!("unclean stop: {why}"));
        numbers.chain(unclean).collect()
    }

    fn percentile(&self, share: f64) -> f64 {
        let index = (self.latencies.len() as f64 * share) as usize;
        let found = self.latencies.get(index).or(self.latencies.last());
        found.map_or(0.0, |latency| latency.as_secs_f64() * 1000.0)
    }
}

fn code(code: wire::refusal::Code) -> String {
    match serde_json::to_value(code) {
        Ok(serde_json::Value::String(name)) => name,
        _ => format!("{code:?}"),
    }
}

fn cost_ratio(bills: &Bills, deployment: &Deployment, journal: &Journal) -> f64 {
    let chats = journal.sent.iter().filter(|sent| drive::is_chat(&sent.request));
    let ids: BTreeSet<&Name> = chats
        .filter_map(|sent| match &sent.outcome {
            Outcome::Answered { request, .. } => Some(request),
            _ => None,
        })
        .collect();
    let versions = deployment.document.versions.values();
    let best = versions.map(|version| version.cost).fold(0.0, f64::max);
    let once: BTreeMap<&Name, f64> = bills.bills.iter().map(|b| (&b.request, b.cost)).collect();
    let billed = ids.iter().filter_map(|id| once.get(*id));
    billed.fold(0.0, |sum, cost| sum + cost) / (best * ids.len().max(1) as f64)
}

fn exposure(world: &World, journal: &Journal) -> u64 {
    let engines = world.engines.iter().zip(&journal.runs_before);
    let bad = engines.map(|(engine, before)| {
        let after = engine.runs().into_iter().filter(|run| run.order >= *before);
        after.filter(|run| run.version == journal.turned_bad && run.has_begun()).count() as u64
    });
    bad.sum()
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
        for (name, share) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
            writeln!(f, "{:<34}{:>10.1}", format!("latency {name}, ms"), self.percentile(share))?;
        }
        writeln!(f, "audit, from the stand-ins' own records:")?;
        for (name, number) in self.audit.counts() {
            writeln!(f, "  {name:<32}{number:>10}")?;
        }
        Ok(())
    }
}
