//! Counts the answers of versions under roll-out on this host.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use policy::canary::{Evidence, Outcome};
use policy::name::Name;

/// The version that gave an answer, and under which load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cohort {
    /// The version before.
    Old,
    /// The version before, while it received all requests because the trial had not begun.
    Before,
    /// The version on trial, while it received a share of the requests.
    New,
    /// The version on trial, for a request that arrived while few of its servers had peak load.
    NewAtPeak,
    /// The version on trial, while it received all requests.
    NewAtFull,
}

impl Cohort {
    /// The value of the `cohort` label in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Old => "old",
            Self::Before => "before",
            Self::New => "new",
            Self::NewAtPeak => "new_at_peak",
            Self::NewAtFull => "new_at_full",
        }
    }

    /// Whether the version on trial gave the answer.
    #[must_use]
    pub fn is_new(self) -> bool {
        matches!(self, Self::New | Self::NewAtPeak | Self::NewAtFull)
    }
}

/// How an answer was counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CountedAnswer {
    /// The version that gave the answer, and under which load.
    pub cohort: Cohort,
    /// What the answer says of the version.
    pub sign: Outcome,
}

/// Counts of answers by service and route, for roll-outs in progress.
#[derive(Default)]
pub struct Tally(Mutex<BTreeMap<Name, BTreeMap<Name, Evidence>>>);

impl Tally {
    /// Counts an answer.
    pub fn record(&self, service: &Name, route: &Name, cohort: Cohort, sign: Outcome) {
        let mut tally = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let of_service = tally.entry(service.clone()).or_default();
        let evidence = of_service
            .entry(route.clone())
            .or_insert_with(|| Evidence { route: route.clone(), ..Evidence::default() });
        match cohort {
            Cohort::Old => evidence.old.record(sign),
            Cohort::Before => {
                evidence.old.record(sign);
                evidence.before.record(sign);
            }
            Cohort::New => evidence.new.record(sign),
            Cohort::NewAtPeak => {
                evidence.new.record(sign);
                evidence.peak.record(sign);
            }
            Cohort::NewAtFull => {
                evidence.new.record(sign);
                evidence.full.record(sign);
            }
        }
    }

    /// Retracts an answer. A stream that was counted by its first events and breaks later is
    /// counted as failed. If it were counted twice, a version that fails in this way would seem to
    /// fail half as often.
    pub fn retract(&self, service: &Name, route: &Name, counted: CountedAnswer) {
        let mut tally = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(evidence) = tally.get_mut(service).and_then(|routes| routes.get_mut(route)) else {
            return;
        };
        match counted.cohort {
            Cohort::Old => evidence.old.retract(counted.sign),
            Cohort::Before => {
                evidence.old.retract(counted.sign);
                evidence.before.retract(counted.sign);
            }
            Cohort::New => evidence.new.retract(counted.sign),
            Cohort::NewAtPeak => {
                evidence.new.retract(counted.sign);
                evidence.peak.retract(counted.sign);
            }
            Cohort::NewAtFull => {
                evidence.new.retract(counted.sign);
                evidence.full.retract(counted.sign);
            }
        }
    }

    /// The counts of a service, by route.
    #[must_use]
    pub fn evidence(&self, service: &Name) -> Vec<Evidence> {
        let tally = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        tally.get(service).map(|routes| routes.values().cloned().collect()).unwrap_or_default()
    }

    /// Removes the counts of a service, when a roll-out begins or has ended.
    pub fn clear(&self, service: &Name) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(service);
    }
}
