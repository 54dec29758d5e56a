//! What the counts of all hosts say of each version.

use std::collections::BTreeMap;

use policy::estimate::{self, HALF_LIFE_MS, UNKNOWN_MEAN};
use policy::exposure::cusum::Cusum;
use policy::exposure::{Expectation, Hypotheses, Test, Verdict};
use policy::name::Name;
use policy::rollout::Ratings;
use policy::time::Millis;
use wire::configuration::{Document, Version, VersionState};
use wire::evidence::Evidence;
use wire::gossip::Counts;
use wire::view::Estimate;

/// Share of calls that a candidate is expected to answer without failing.
const CALLS_EXPECTED: f64 = 0.95;

/// Tests and estimates.
#[derive(Default)]
pub struct Knowledge {
    versions: BTreeMap<Name, Judged>,
    estimates: BTreeMap<(Name, Name), estimate::Estimate>,
}

#[derive(Default)]
struct Judged {
    /// The clearing generation that the tests began under; a later one begins new tests.
    cleared: u64,
    rated: Cusum,
    /// What is expected on each task.
    expected: BTreeMap<Name, Expectation>,
    calls: Cusum,
    ratings: Ratings,
}

impl Knowledge {
    /// Takes in counts; gives the versions that they show to be bad, each with the reason.
    pub fn take(
        &mut self,
        counts: &Counts,
        document: &Document,
        now: Millis,
    ) -> Vec<(Name, String)> {
        let mut bad = Vec::new();
        for piece in &counts.evidence {
            match document.versions.get(&piece.version) {
                // Seen before the operator cleared the version: not of what runs now.
                Some(version) if counts.generation < version.cleared => {}
                Some(version) => bad.extend(self.judge(piece, version, now)),
                None => {}
            }
        }
        bad
    }

    fn judge(
        &mut self,
        piece: &Evidence,
        version: &Version,
        now: Millis,
    ) -> Option<(Name, String)> {
        let judged = self.versions.entry(piece.version.clone()).or_default();
        if judged.cleared != version.cleared {
            *judged = Judged { cleared: version.cleared, ..Judged::default() };
        }
        let prior = version.quality.get(&piece.task).copied().unwrap_or(UNKNOWN_MEAN);
        let expected = judged.expected.entry(piece.task.clone()).or_default();
        let key = (piece.version.clone(), piece.task.clone());
        let estimate = self.estimates.entry(key).or_default();
        for good in &piece.rated {
            judged.ratings.rated += 1;
            judged.ratings.good += u64::from(*good);
            let believed = estimate::Estimate::prior(prior)
                .with_counts(estimate.good, estimate.rated, estimate.at)
                .mean(now);
            let expecting = expected.hypotheses(judged.rated.verdict(), prior, believed);
            judged.rated.observe(*good, &expecting);
            estimate.observe(*good, now);
        }
        // A live version's failures are its backend servers' first of all, and these are met by
        // going round them. Were they a verdict, a failure domain cut off would put every version
        // under quarantine. A candidate can be stopped for less: others take its place.
        if version.state == VersionState::Candidate {
            let expecting = Hypotheses::from_expected(CALLS_EXPECTED);
            let (failed, calls) = (piece.failed, piece.calls);
            for call in 0..calls {
                // Their order is not known; failures in one run would look worse than they are.
                let good = (call + 1) * failed / calls == call * failed / calls;
                judged.calls.observe(good, &expecting);
            }
        }
        judged.verdict(piece).map(|reason| (piece.version.clone(), reason))
    }

    /// Counts of each version and task, faded to now.
    #[must_use]
    pub fn estimates(&self, now: Millis) -> Vec<Estimate> {
        let known = self.estimates.iter();
        let faded = known.map(|((version, task), estimate)| {
            let kept = kept(now.since(estimate.at));
            Estimate {
                version: version.clone(),
                task: task.clone(),
                good: estimate.good * kept,
                rated: estimate.rated * kept,
            }
        });
        faded.collect()
    }

    /// All ratings of a version that were taken in.
    #[must_use]
    pub fn ratings(&self, version: &str) -> Ratings {
        self.versions.get(version).map(|judged| judged.ratings).unwrap_or_default()
    }
}

impl Judged {
    fn verdict(&self, piece: &Evidence) -> Option<String> {
        match (self.rated.verdict(), self.calls.verdict()) {
            (Verdict::Bad, _) => {
                let Ratings { good, rated, .. } = self.ratings;
                Some(format!("answers rated bad, last on {} ({good} of {rated} good)", piece.task))
            }
            (_, Verdict::Bad) => {
                Some(format!("calls failed, {} of the last {}", piece.failed, piece.calls))
            }
            _ => None,
        }
    }
}

fn kept(ms: u64) -> f64 {
    0.5_f64.powf(ms as f64 / HALF_LIFE_MS as f64)
}
