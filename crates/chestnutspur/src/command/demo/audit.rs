//! What the stand-ins' own records say: nothing here is the system's word.

use std::collections::{BTreeMap, BTreeSet};

use policy::domain;
use policy::name::Name;
use standin::deployment::Deployment;
use standin::draw;
use standin::platform::audit::Bills;
use standin::run::Run;
use wire::configuration::VersionState;

use super::caller::{self, Outcome};
use super::drive::{Journal, Sent};
use super::traffic::Kind;
use super::world::World;

domain! {
    /// Numbers that must all be 0.
    #[derive(Default)]
    pub struct Audit {
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
        /// Batches missing in, or strange to, a bill log.
        pub bill_gaps: u64,
        /// Refusals that said "not run" of a request that ran.
        pub untrue_refusals: u64,
        /// Processes that did not stop as they should.
        pub unclean_stops: u64,
    }
}

/// What a request's runs are held to.
struct Intent<'a> {
    sent: Vec<&'a Sent>,
    runs: Vec<&'a Run>,
}

impl Audit {
    /// Compares what callers sent and got with all records.
    #[must_use]
    pub fn new(world: &World, deployment: &Deployment, journal: &Journal) -> Self {
        let runs = world.runs();
        let bills = world.platform.bills();
        let intents = intents(journal, &runs);
        let disallowed = intents.values().map(|intent| intent.disallowed(deployment));
        let wrong = |sent: &&Sent| matches!(sent.outcome, Outcome::Wrong(_));
        Self {
            wrong_answers: journal.sent.iter().filter(wrong).count() as u64,
            doubled_runs: intents.values().map(Intent::doubled).sum(),
            disallowed_runs: disallowed.sum(),
            sessions_moved: sessions_moved(&intents),
            bills_missing: missing(journal, &bills),
            bills_doubled: bills.doubled.len() as u64,
            bill_gaps: (bills.gaps.len() + bills.broken.len()) as u64,
            untrue_refusals: intents.values().map(Intent::untrue).sum(),
            unclean_stops: world.unclean.len() as u64,
        }
    }

    /// Each number that is not 0.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let numbers = self.numbers();
        let faults = numbers.iter().filter(|(_, number)| *number > 0);
        faults.map(|(name, number)| format!("{name}: {number}")).collect()
    }

    /// All numbers, with their names.
    #[must_use]
    pub fn numbers(&self) -> [(&'static str, u64); 9] {
        [
            ("wrong answers", self.wrong_answers),
            ("doubled runs", self.doubled_runs),
            ("runs on a version not allowed", self.disallowed_runs),
            ("sessions moved", self.sessions_moved),
            ("bills missing", self.bills_missing),
            ("bills doubled", self.bills_doubled),
            ("bill log gaps", self.bill_gaps),
            ("untrue refusals", self.untrue_refusals),
            ("unclean stops", self.unclean_stops),
        ]
    }
}

/// Requests by the digest of their text, with all their sendings and runs.
fn intents<'a>(journal: &'a Journal, runs: &'a [Run]) -> BTreeMap<Name, Intent<'a>> {
    let mut intents: BTreeMap<Name, Intent<'a>> = BTreeMap::new();
    for sent in &journal.sent {
        let digest = draw::digest(sent.request.text()).into();
        let intent = intents.entry(digest);
        intent.or_insert_with(|| Intent { sent: Vec::new(), runs: Vec::new() }).sent.push(sent);
    }
    for run in runs.iter().filter(|run| run.began()) {
        if let Some(intent) = intents.get_mut(&run.digest) {
            intent.runs.push(run);
        }
    }
    intents
}

impl Intent<'_> {
    fn doubled(&self) -> u64 {
        let once = self.sent.iter().any(|sent| !sent.request.may_repeat);
        if once { self.runs.len().saturating_sub(1) as u64 } else { 0 }
    }

    fn disallowed(&self, deployment: &Deployment) -> u64 {
        let Some(sent) = self.sent.first() else { return 0 };
        let document = &deployment.document;
        let Some(account) = document.accounts.get(&sent.request.account) else {
            return self.runs.len() as u64;
        };
        let allowed = |run: &&&Run| match &sent.request.kind {
            Kind::Chat { .. } => {
                let version = document.versions.get(&run.version);
                account.versions.contains(&run.version)
                    && version.is_some_and(|version| version.state != VersionState::Withdrawn)
            }
            Kind::Service { .. } => account.services.contains(&run.version),
        };
        self.runs.iter().filter(|run| !allowed(run)).count() as u64
    }

    /// A request whose every sending was refused as not run, and that ran.
    fn untrue(&self) -> u64 {
        let denied = self.sent.iter().all(|sent| caller::says_not_run(&sent.outcome));
        u64::from(denied && !self.runs.is_empty())
    }
}

fn sessions_moved(intents: &BTreeMap<Name, Intent<'_>>) -> u64 {
    let mut versions: BTreeMap<&Name, BTreeSet<&Name>> = BTreeMap::new();
    for intent in intents.values() {
        let session = intent.sent.first().and_then(|sent| sent.session.as_ref());
        let Some(session) = session else { continue };
        let seen = versions.entry(session).or_default();
        seen.extend(intent.runs.iter().map(|run| &run.version));
    }
    versions.values().filter(|versions| versions.len() > 1).count() as u64
}

fn missing(journal: &Journal, bills: &Bills) -> u64 {
    let billed = bills.ids();
    journal.answered().filter(|request| !billed.contains(request)).count() as u64
}
