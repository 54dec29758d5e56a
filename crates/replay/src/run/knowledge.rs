//! What one entry host knows of the versions: ratings, verdicts, roll-out shares, answer times.

use std::collections::BTreeMap;

use policy::domain;
use policy::estimate::Estimate;
use policy::exposure::cusum::Cusum;
use policy::exposure::likelihood::Likelihood;
use policy::exposure::rating::Interest;
use policy::exposure::{Expectation, Hypotheses, Test, Verdict};
use policy::name::Name;
use policy::select::{Candidate, Goal, Rater, Table, baseline};
use policy::time::Millis;
use wire::configuration::{Document, Version, VersionState};

use crate::variant::{Detection, Selection, Variant};

/// Weight of a new sample in the moving averages of answer and rating times, 0 to 1.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Factor on the mean answer time for planning, so that most answers come within the planned time.
const LATENCY_FACTOR: f64 = 2.0;
/// Age at which a table of plans is built again.
const TABLE_MAX_AGE_MS: u64 = 1_000;

domain! {
    /// One rated answer.
    #[derive(Eq)]
    pub struct Rating {
        /// Version that gave the answer.
        pub version: Name,
        /// Task of the answered request.
        pub task: Name,
        /// Whether the answer is good.
        pub good: bool,
    }
}

/// What the host knows of one version.
#[derive(Clone, Debug)]
struct Record {
    model: Name,
    cost: f64,
    takes_work: bool,
    share: Option<f64>,
    test: Detector,
    /// Quality expected of the version, by task.
    expected: BTreeMap<Name, Expectation>,
    rated: u64,
    good: u64,
}

/// The test that detects whether one version has turned bad.
#[derive(Clone, Copy, Debug)]
enum Detector {
    Cusum(Cusum),
    Likelihood(Likelihood),
    None,
}

/// What one entry host knows of all versions.
#[derive(Clone, Debug)]
pub struct Knowledge {
    variant: Variant,
    versions: BTreeMap<Name, Record>,
    estimates: BTreeMap<(Name, Name), Estimate>,
    latencies_ms: BTreeMap<(Name, Name), f64>,
    tables: BTreeMap<(Name, Name, bool), (Millis, Table)>,
    /// Whether the rating service was reachable when the host last selected an answer for rating.
    pub rater_up: bool,
    rate_ms: f64,
    rate_cost: f64,
}

impl Knowledge {
    /// Creates the knowledge of a host that has seen only the configuration.
    #[must_use]
    pub fn new(document: &Document, variant: Variant, rate_cost: f64, rate_ms: u64) -> Self {
        let mut estimates = BTreeMap::new();
        for (name, version) in &document.versions {
            for (task, quality) in &version.quality {
                estimates.insert((name.clone(), task.clone()), Estimate::prior(*quality));
            }
        }
        let record = |version: &Version| Record {
            model: version.model.clone(),
            cost: version.cost,
            takes_work: version.accepts_new_sessions(),
            share: (version.state == VersionState::Candidate).then_some(0.0),
            test: Detector::new(variant.detection),
            expected: BTreeMap::new(),
            rated: 0,
            good: 0,
        };
        Self {
            variant,
            versions: document.versions.iter().map(|(n, v)| (n.clone(), record(v))).collect(),
            estimates,
            latencies_ms: BTreeMap::new(),
            tables: BTreeMap::new(),
            rater_up: true,
            rate_ms: rate_ms as f64,
            rate_cost,
        }
    }

    /// Returns the table of plans for an account's task, and rebuilds it if it is too old.
    pub fn table(
        &mut self,
        document: &Document,
        (account, task): (&Name, &Name),
        may_repeat: bool,
        now: Millis,
    ) -> &Table {
        let key = (account.clone(), task.clone(), may_repeat);
        let fresh = |(built, _): &(Millis, Table)| now.since(*built) < TABLE_MAX_AGE_MS;
        if !self.tables.get(&key).is_some_and(fresh) {
            let table = self.plan(document, (account, task), may_repeat, now);
            self.tables.insert(key.clone(), (now, table));
        }
        &self.tables[&key].1
    }

    fn plan(
        &self,
        document: &Document,
        (account, task): (&Name, &Name),
        may_repeat: bool,
        now: Millis,
    ) -> Table {
        let Some(account) = document.accounts.get(account) else { return Table::default() };
        let Some(rules) = account.tasks.get(task) else { return Table::default() };
        let allowed = account.versions.iter();
        let candidates: Vec<Candidate> =
            allowed.filter_map(|version| self.candidate(version, task)).collect();
        let rater = Rater { cost: self.rate_cost, latency_ms: self.rate_ms };
        let goal = Goal {
            target: rules.quality_target,
            may_repeat,
            deadline_ms: rules.deadline_ms as f64,
            rater: self.rater_up.then_some(rater),
            ..Goal::default()
        };
        match self.variant.selection {
            Selection::Planned => Table::build(&candidates, &goal, now),
            Selection::Best => baseline::best(&candidates, now),
            Selection::Cheapest => baseline::cheapest(&candidates, now),
            Selection::Split => baseline::fixed_split(&candidates, now),
        }
    }

    fn candidate(&self, version: &Name, task: &Name) -> Option<Candidate> {
        let record = self.versions.get(version).filter(|record| record.takes_work)?;
        let key = (version.clone(), task.clone());
        let quality = self.estimates.get(&key).copied().unwrap_or_default();
        let latency_ms = self.latencies_ms.get(&key).copied().unwrap_or(0.0);
        let candidate = Candidate::live(version.clone(), record.cost, quality)
            .with_model(record.model.clone())
            .with_latency(latency_ms * LATENCY_FACTOR);
        Some(match record.share {
            Some(share) => candidate.with_share(share),
            None => candidate,
        })
    }

    /// Records a rating from this host or another one. Returns true if the test now finds the
    /// version bad and the version still takes work.
    pub fn observe(&mut self, rating: &Rating, now: Millis) -> bool {
        let key = (rating.version.clone(), rating.task.clone());
        let estimate = self.estimates.entry(key).or_default();
        let Some(record) = self.versions.get_mut(&rating.version) else { return false };
        let expected = record.expected.entry(rating.task.clone()).or_default();
        let (verdict, prior) = (record.test.verdict(), estimate.prior_mean);
        let hypotheses = expected.hypotheses(verdict, prior, estimate.mean(now));
        estimate.observe(rating.good, now);
        record.rated += 1;
        record.good += u64::from(rating.good);
        record.test.observe(rating.good, &hypotheses) == Verdict::Bad && record.takes_work
    }

    /// Stops a version on quarantine or withdrawal, so that it gets no new requests.
    pub fn stop(&mut self, version: &Name) {
        if let Some(record) = self.versions.get_mut(version) {
            record.takes_work = false;
            self.tables.clear();
        }
    }

    /// Returns whether the version gets new requests; false if it is unknown.
    #[must_use]
    pub fn takes_work(&self, version: &Name) -> bool {
        self.versions.get(version).is_some_and(|record| record.takes_work)
    }

    /// Sets the share of requests that a roll-out gives to a candidate, 0 to 1.
    pub fn set_share(&mut self, version: &Name, share: f64) {
        if let Some(record) = self.versions.get_mut(version) {
            record.share = Some(share);
            self.tables.clear();
        }
    }

    /// Records the time that an answer took, in milliseconds.
    pub fn record_latency(&mut self, version: &Name, task: &Name, ms: f64) {
        let latency_ms = self.latencies_ms.entry((version.clone(), task.clone())).or_insert(ms);
        *latency_ms += SAMPLE_WEIGHT * (ms - *latency_ms);
    }

    /// Returns the mean time of a version's answers for a task, in milliseconds; 0 if unknown.
    #[must_use]
    pub fn mean_latency_ms(&self, version: &Name, task: &Name) -> f64 {
        self.latencies_ms.get(&(version.clone(), task.clone())).copied().unwrap_or(0.0)
    }

    /// Records the time that a rating took, in milliseconds.
    pub fn record_rating_latency(&mut self, ms: u64) {
        self.rate_ms += SAMPLE_WEIGHT * (ms as f64 - self.rate_ms);
    }

    /// Returns how much further ratings of a version matter.
    #[must_use]
    pub fn interest(&self, version: &Name) -> Interest {
        match self.versions.get(version) {
            Some(record) => Interest::new(record.share.is_some(), record.test.verdict()),
            None => Interest::Steady,
        }
    }

    /// Returns the version's ratings so far, and whether the test found the version bad.
    #[must_use]
    pub fn ratings(&self, version: &Name) -> policy::rollout::Ratings {
        let record = self.versions.get(version);
        policy::rollout::Ratings {
            good: record.map_or(0, |record| record.good),
            rated: record.map_or(0, |record| record.rated),
            quarantined: record.is_some_and(|record| record.test.verdict() == Verdict::Bad),
        }
    }
}

impl Detector {
    fn new(detection: Detection) -> Self {
        match detection {
            Detection::Cusum => Self::Cusum(Cusum::default()),
            Detection::Likelihood => Self::Likelihood(Likelihood::default()),
            Detection::None => Self::None,
        }
    }

    fn observe(&mut self, good: bool, hypotheses: &Hypotheses) -> Verdict {
        match self {
            Self::Cusum(test) => test.observe(good, hypotheses),
            Self::Likelihood(test) => test.observe(good, hypotheses),
            Self::None => Verdict::Good,
        }
    }

    fn verdict(&self) -> Verdict {
        match self {
            Self::Cusum(test) => test.verdict(),
            Self::Likelihood(test) => test.verdict(),
            Self::None => Verdict::Good,
        }
    }
}
